"""Packed values are restored; malformed or too large ones raise `FrameError`."""

from zlib import compress

import pytest

from umberhitch.core.direct import RolloutOrder, diff_documents
from umberhitch.errors import FrameError
from umberhitch.testing import make_direct_document, make_route
from umberhitch.wire import _packing, pack_value, unpack_value

OLD = make_direct_document(1)
NEW = make_direct_document(2, routes=(make_route("look"), make_route("new")), keys=("k9",))


@pytest.mark.parametrize("value", [None, RolloutOrder("svc", "v2", 20.0), diff_documents(OLD, NEW)])
def test_a_packed_value_is_restored(value):
    assert unpack_value(pack_value(value)) == value


@pytest.mark.parametrize("data", [b"", b"x", compress(b"x"), pack_value(None)[:-6]])
def test_malformed_bytes_are_rejected(data):
    with pytest.raises(FrameError):
        unpack_value(data)


def test_a_value_over_the_limit_is_rejected(monkeypatch):
    monkeypatch.setattr(_packing, "MAX_UNPACKED_BYTES", 100)
    with pytest.raises(FrameError):
        unpack_value(pack_value(diff_documents(OLD, NEW)))
