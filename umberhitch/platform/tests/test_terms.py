"""Which terms of the platform call for admission control."""

import pytest

from umberhitch.gateway_settings import parse_gateway_file
from umberhitch.platform import calls_for_admission_control


@pytest.mark.parametrize(
    ("terms", "is_called_for"), [((), False), (("base", "pool"), False), (("pressure",), True)]
)
def test_pressure_calls_for_admission_control(terms: tuple[str, ...], is_called_for: bool):
    assert calls_for_admission_control(terms) is is_called_for


def test_the_settings_hold_the_terms():
    data = (
        b'{"role": "gateway", "name": "r1", "zone": "a", "store": "127.0.0.1:1",'
        b' "listen": {"callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",'
        b' "pages": "127.0.0.1:0", "link": "127.0.0.1:0"},'
        b' "terms": ["base", "pressure"]}'
    )
    settings = parse_gateway_file(data)
    assert settings.terms == ("base", "pressure")
    assert settings.admission_control is None
