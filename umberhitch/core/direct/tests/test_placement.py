"""Placement: least work, what is cached, and the same home for all routers."""

from umberhitch.core.direct import (
    Ask,
    Directory,
    Endpoint,
    Placement,
    PromptPart,
    ReportedLoad,
    Service,
)
from umberhitch.testing import make_endpoint_entry

MODELS = ("small", "large")
SERVICE = Service("svc", slots=8, cache_tokens=100_000)
ENDPOINTS = [Endpoint(make_endpoint_entry(f"e{number}")) for number in range(8)]


def make_ask(subject: str = "s", shared: int = 4000, own: int = 500) -> Ask:
    parts = (PromptPart(subject, shared), PromptPart("own", own))
    return Ask("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 100)


def make_plain() -> Ask:
    return Ask("a", b"POST", b"/", "h", "/", [], None, 10.0)


def choose(placement: Placement, ask: Ask, now_s: float = 0.0) -> Endpoint:
    home = home_of(ask) if ask.prompt else None
    return placement.choose(ENDPOINTS, ask, "large", MODELS, now_s, home)[0]


def home_of(ask: Ask) -> Endpoint:
    directory = Directory()
    for endpoint in ENDPOINTS:
        directory.put(endpoint.entry)
    home = directory.home("svc", ask.prompt[-2].part_id)
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
    for _ in range(6):
        placement.place(other, make_ask("x"), "large", MODELS, SERVICE, 0.0)
    assert choose(placement, make_ask()) is not other


def test_what_peers_have_under_way_counts():
    placement = Placement("a")
    home = choose(placement, make_ask())
    placement.others(home.entry.incarnation, 20, 3.0)
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
    placement.report("e0", ReportedLoad(8, 20, 8), 0.0)
    endpoints = ENDPOINTS[:2]
    placement.others("e1", 3, 0.0)
    fresh = placement.choose(endpoints, make_plain(), "", (), 0.0)[0]
    stale = placement.choose(endpoints, make_plain(), "", (), 60.0)[0]
    assert [each.entry.incarnation for each in (fresh, stale)] == ["e1", "e0"]


def test_what_was_placed_is_released_whole():
    placement = Placement("a")
    placed = [placement.place(ENDPOINTS[0], make_ask(), "large", MODELS, SERVICE, 0.0)]
    placed.append(placement.place(ENDPOINTS[0], make_ask("y"), "large", MODELS, SERVICE, 0.0))
    placement.began(placed[0], 0.2)
    for each in placed:
        placement.release(each, None)
    assert placement.own() == {}
    assert placement.running("e0") == 0
