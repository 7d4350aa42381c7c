"""Placement: least work, what is cached, and the same home for all routers."""

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


def make_ask(subject: str = "s", shared: int = 4000, own: int = 500) -> CallerRequest:
    parts = (PromptPart(subject, shared), PromptPart("own", own))
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 100)


def make_plain() -> CallerRequest:
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0)


def choose(
    placement: Placement, ask: CallerRequest, now_s: float = 0.0, price: EnginePrice = PRICE
) -> Endpoint:
    if not ask.prompt:
        return placement.choose_plain(ENDPOINTS, now_s).endpoint
    stake = make_answer_value(ROUTE, ask, AnswerValueLimits())
    work = EngineCall(ask, "large", MODELS, stake, price, home_of(ask))
    return placement.choose_engine(ENDPOINTS, work, now_s).endpoint


def home_of(ask: CallerRequest) -> Endpoint:
    directory = Directory()
    for endpoint in ENDPOINTS:
        directory.put(endpoint.entry, 0.0)
    home = directory.affinity_endpoint("svc", ask.prompt[-2].part_id)
    return next(each for each in ENDPOINTS if each.entry == home.entry)


def test_plain_calls_spread_over_endpoints():
    placement = Placement("a")
    chosen = set()
    for _ in range(8):
        endpoint = choose(placement, make_plain())
        placement.place(endpoint, make_plain(), "", (), None, 0.0)
        chosen.add(endpoint.entry.incarnation)
    assert len(chosen) == 8


def test_routers_that_know_nothing_of_each_other_choose_the_same_home():
    for subject in ("s1", "s2", "s3"):
        homes = {choose(Placement("a"), make_ask(subject)).entry.incarnation for _ in range(3)}
        assert len(homes) == 1
    homes = {choose(Placement("a"), make_ask(f"t{n}")).entry.incarnation for n in range(40)}
    assert len(homes) > 4


def test_what_is_cached_there_draws_a_call_and_a_queue_drives_it_away():
    placement = Placement("a")
    home = choose(placement, make_ask())
    other = next(each for each in ENDPOINTS if each is not home)
    placed = placement.place(other, make_ask(), "large", MODELS, SERVICE, 0.0)
    placement.release(placed, False)
    assert choose(placement, make_ask()) is other
    for number in range(6):
        placement.place(other, make_ask(f"x{number}", 4000), "large", MODELS, SERVICE, 0.0)
    assert choose(placement, make_ask()) is other  # it is in time there all the same
    for number in range(6, 30):
        placement.place(other, make_ask(f"x{number}", 4000), "large", MODELS, SERVICE, 0.0)
    assert choose(placement, make_ask()) is not other


def test_a_prompt_is_read_near_by_unless_the_way_saves_much():
    """Small models read again near by; what a large one has read elsewhere is worth the way."""
    far = [Endpoint(replace(each.entry, zone="b")) for each in ENDPOINTS[1:]]
    endpoints = [ENDPOINTS[0], *far]
    chosen = []
    for shared in (1000, 30_000):
        placement = Placement("a")
        ask = make_ask(shared=shared)
        ask.body = b"x" * 4500
        placement.release(placement.place(far[0], ask, "large", MODELS, SERVICE, 0.0), False)
        work = EngineCall(
            ask, "large", MODELS, make_answer_value(ROUTE, ask, AnswerValueLimits()), PRICE
        )
        chosen.append(placement.choose_engine(endpoints, work, 0.0).endpoint)
    assert chosen == [ENDPOINTS[0], far[0]]


def test_what_peers_have_under_way_counts():
    placement = Placement("a")
    home = choose(placement, make_ask())
    placement.update_peer_load(home.entry.incarnation, 20, 3.0, -1, 0.0)
    assert choose(placement, make_ask()) is not home


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
    assert [each.entry.incarnation for each in (fresh, stale)] == ["e1", "e0"]


def test_what_was_placed_is_released_whole():
    placement = Placement("a")
    placed = [placement.place(ENDPOINTS[0], make_ask(), "large", MODELS, SERVICE, 0.0)]
    placed.append(placement.place(ENDPOINTS[0], make_ask("y"), "large", MODELS, SERVICE, 0.0))
    placement.note_reply_started(placed[0], 0.2)
    for each in placed:
        placement.release(each, None)
    assert placement.own_load() == {}
    assert placement.running_calls("e0") == 0
