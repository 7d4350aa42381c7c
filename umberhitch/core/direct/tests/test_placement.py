"""Placement: least work, prefix caches, and the same affinity endpoint at all routers."""

from dataclasses import replace

from umberhitch.core.direct import (
    AnswerValueLimits,
    CallerRequest,
    Directory,
    Endpoint,
    EngineCall,
    EnginePrice,
    Placement,
    PromptPart,
    ReportedLoad,
    RouteKind,
    Service,
    make_answer_value,
)
from umberhitch.testing import make_endpoint_entry, make_route

MODELS = ("small", "large")
PRICE = EnginePrice(1.0, 2.0, 1.0, 0.3)
ROUTE = make_route("draft", RouteKind.STREAM, models=MODELS, objective_s=3.0)
SERVICE = Service("svc", slots=8, cache_tokens=100_000)
ENDPOINTS = [Endpoint(make_endpoint_entry(f"e{number}")) for number in range(8)]


def make_request(subject: str = "s", shared: int = 4000, own: int = 500) -> CallerRequest:
    parts = (PromptPart(subject, shared), PromptPart("own", own))
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 100)


def make_plain() -> CallerRequest:
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0)


def choose(
    placement: Placement, req: CallerRequest, now_s: float = 0.0, price: EnginePrice = PRICE
) -> Endpoint:
    if not req.prompt:
        return placement.choose_plain(ENDPOINTS, now_s).endpoint
    answer_value = make_answer_value(ROUTE, req, AnswerValueLimits())
    call = EngineCall(req, "large", MODELS, answer_value, price, affinity_endpoint(req))
    return placement.choose_engine(ENDPOINTS, call, now_s).endpoint


def affinity_endpoint(req: CallerRequest) -> Endpoint:
    directory = Directory()
    for endpoint in ENDPOINTS:
        directory.put(endpoint.entry, 0.0)
    found = directory.affinity_endpoint("svc", req.prompt[-2].part_id)
    return next(endpoint for endpoint in ENDPOINTS if endpoint.entry == found.entry)


def test_plain_calls_spread_over_endpoints():
    placement = Placement("a")
    chosen = set()
    for _ in range(8):
        endpoint = choose(placement, make_plain())
        placement.place(endpoint, make_plain(), "", (), None, 0.0)
        chosen.add(endpoint.entry.incarnation)
    assert len(chosen) == 8


def test_routers_without_contact_choose_the_same_affinity_endpoint():
    for subject in ("s1", "s2", "s3"):
        chosen = {choose(Placement("a"), make_request(subject)).entry.incarnation for _ in range(3)}
        assert len(chosen) == 1
    chosen = {choose(Placement("a"), make_request(f"t{n}")).entry.incarnation for n in range(40)}
    assert len(chosen) > 4


def test_a_prefix_cache_attracts_a_call_and_a_queue_repels_it():
    placement = Placement("a")
    preferred = choose(placement, make_request())
    other = next(endpoint for endpoint in ENDPOINTS if endpoint is not preferred)
    placed = placement.place(other, make_request(), "large", MODELS, SERVICE, 0.0)
    placement.release(placed, False)
    assert choose(placement, make_request()) is other
    for number in range(6):
        placement.place(other, make_request(f"x{number}", 4000), "large", MODELS, SERVICE, 0.0)
    assert choose(placement, make_request()) is other  # it is on time there all the same
    for number in range(6, 30):
        placement.place(other, make_request(f"x{number}", 4000), "large", MODELS, SERVICE, 0.0)
    assert choose(placement, make_request()) is not other


def test_a_call_crosses_zones_only_where_a_cached_prefix_saves_much():
    """A local prefill is preferred for a short prompt, the remote cache for a long one."""
    remote = [Endpoint(replace(endpoint.entry, zone="b")) for endpoint in ENDPOINTS[1:]]
    endpoints = [ENDPOINTS[0], *remote]
    chosen = []
    for shared in (1000, 30_000):
        placement = Placement("a")
        req = make_request(shared=shared)
        req.body = b"x" * 4500
        placement.release(placement.place(remote[0], req, "large", MODELS, SERVICE, 0.0), False)
        call = EngineCall(
            req, "large", MODELS, make_answer_value(ROUTE, req, AnswerValueLimits()), PRICE
        )
        chosen.append(placement.choose_engine(endpoints, call, 0.0).endpoint)
    assert chosen == [ENDPOINTS[0], remote[0]]


def test_calls_of_peers_count_as_load():
    placement = Placement("a")
    preferred = choose(placement, make_request())
    placement.update_peer_load(preferred.entry.incarnation, 20, 3.0, -1, 0.0)
    assert choose(placement, make_request()) is not preferred


def test_an_endpoint_whose_calls_fail_is_avoided():
    placement = Placement("a")
    bad = ENDPOINTS[0]
    for _ in range(5):
        placement.release(placement.place(bad, make_plain(), "", (), None, 0.0), True)
    chosen = set()
    for _ in range(7):
        endpoint = choose(placement, make_plain())
        placement.place(endpoint, make_plain(), "", (), None, 0.0)
        chosen.add(endpoint.entry.incarnation)
    assert bad.entry.incarnation not in chosen


def test_a_reported_load_counts_less_as_it_ages():
    placement = Placement("a")
    placement.update_reported_load("e0", ReportedLoad(8, 20, 8), 0.0)
    endpoints = ENDPOINTS[:2]
    placement.update_peer_load("e1", 3, 0.0, -1, 0.0)
    fresh = placement.choose_plain(endpoints, 0.0).endpoint
    stale = placement.choose_plain(endpoints, 60.0).endpoint
    assert [endpoint.entry.incarnation for endpoint in (fresh, stale)] == ["e1", "e0"]


def test_released_calls_leave_no_load():
    placement = Placement("a")
    placed = [placement.place(ENDPOINTS[0], make_request(), "large", MODELS, SERVICE, 0.0)]
    placed.append(placement.place(ENDPOINTS[0], make_request("y"), "large", MODELS, SERVICE, 0.0))
    placement.note_reply_started(placed[0], 0.2)
    for call in placed:
        placement.release(call, None)
    assert placement.own_load() == {}
    assert placement.running_calls("e0") == 0
