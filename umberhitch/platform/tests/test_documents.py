"""Documents in the platform's store are decoded, or reported with the position of the error."""

import pytest
from msgspec import json

from umberhitch.core.direct import (
    EndpointState,
    RolloutOrder,
    RolloutState,
    RouteKind,
    RouteTable,
    ZoneOut,
)
from umberhitch.errors import ConfigError
from umberhitch.platform._documents import (
    decode_endpoint,
    decode_operator,
    decode_status,
    encode_status,
)

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "pathPrefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 20000,
            "targetLatencyMs": 1500,
            "priority": 2,
            "sizes": ["s", "l"],
            "trafficSplit": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
            "maxAttempts": 3,
            "public": False,
            "resumable": True,
            "targetGapMs": 1200,
            "unheardOf": 1,
        }
    ],
    "services": [{"name": "x", "engine": {"slots": 64, "kvCapacityTokens": 1000}}],
    "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200, "headerTimeoutMs": 3000},
    "tenants": [{"name": "acme", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def test_a_configuration_is_decoded():
    document = decode_operator("config", json.encode(CONFIG))
    assert document.number == 7
    route = document.routes[0]
    assert (route.kind, route.timeout_s, route.gap_s) == (RouteKind.STREAM, 20.0, 1.2)
    assert route.services == (("x", 90.0), ("y", 10.0))
    assert route.models == ("s", "l")
    assert document.services["x"].cache_tokens == 1000
    assert RouteTable(document).find_customer("k2").name == "acme"
    assert (document.intake.head_bytes, document.intake.idle_timeout_s) == (100, 15.0)


@pytest.mark.parametrize(
    ("change", "position"),
    [
        ({"version": "x"}, "$.version"),
        ({"routes": [{**CONFIG["routes"][0], "timeoutMs": None}]}, "$.routes[0].timeoutMs"),
        ({"routes": [{**CONFIG["routes"][0], "kind": "odd"}]}, "odd"),
    ],
)
def test_an_invalid_configuration_is_reported_with_the_position_of_the_error(change, position):
    with pytest.raises(ConfigError) as caught:
        decode_operator("config", json.encode({**CONFIG, **change}))
    assert position in str(caught.value)


def test_rollout_orders_entries_and_states_are_decoded():
    order = decode_operator("rollout/x", b'{"service":"x","target":"v2","durationS":12}')
    assert order == RolloutOrder("x", "v2", 12.0)
    assert decode_operator("unheard-of", b"{}") is None
    raw = b'{"service":"x","address":"10.0.0.1:80","version":"v1","slots":4,"state":"draining"}'
    entry = decode_endpoint("i-1", raw)
    assert (entry.incarnation, entry.state) == ("i-1", EndpointState.DRAINING)
    key, value = encode_status("x", "v2", RolloutState.COMPLETED)
    assert decode_status(key, value) == ("x", "v2", RolloutState.COMPLETED)
    with pytest.raises(ConfigError):
        decode_endpoint("i-1", b"{}")


@pytest.mark.parametrize("value", [b"{}", b"\xff\xfe", b"[" * 5000, b"null", b"0"])
def test_a_zones_record_takes_the_zone_out_of_service_whatever_its_content(value):
    assert decode_operator("evacuate/suva-a", value) == ZoneOut("suva-a")


def test_a_services_cold_start_settings_are_decoded():
    raw = json.decode(json.encode(CONFIG))
    raw["services"][0] |= {"coldStartS": 3.0, "coldPerS": 14.0}
    document = decode_operator("config", json.encode(raw))
    service = document.services[raw["services"][0]["name"]]
    assert (service.cold_start_s, service.cold_rate) == (3.0, 14.0)
