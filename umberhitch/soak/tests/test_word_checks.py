"""What endpoints said of themselves is checked by what they got from the routers that heard it."""

from umberhitch.soak._records import ArrivalSeen, Record
from umberhitch.soak._word_checks import check_leaving, check_rests


def _record(
    call_id: str, sent_s: float, router: int = 1, status: int = 200, took_s: float = 0.2
) -> Record:
    return Record(call_id, "look", "k1", sent_s, sent_s + took_s, status, b"", True, router)


def test_a_call_sent_after_its_router_was_told_that_the_endpoint_leaves_is_found():
    told = ArrivalSeen("q1", "e1", 10.1, is_leaving=True)
    later = ArrivalSeen("q2", "e1", 10.7)
    records = [_record("q1", 10.0), _record("q2", 10.6)]
    assert check_leaving(records, [told, later]) != []
    for others in (
        [_record("q1", 10.0), _record("q2", 10.1)],  # sent before its answer
        [_record("q1", 10.0), _record("q2", 10.6, router=2)],
        [_record("q1", 10.0, status=502), _record("q2", 10.6)],
        [_record("q2", 10.6)],
    ):
        assert check_leaving(others, [told, later]) == []
    assert check_leaving(records, [told, ArrivalSeen("q2", "e2", 10.7)]) == []
    elsewhere = ArrivalSeen("q1", "e2", 10.15)  # its answer came from there: e1 may be unheard
    assert check_leaving(records, [told, elsewhere, later]) == []


def test_a_call_sent_within_a_rest_is_found_and_one_after_it_is_not():
    told = ArrivalSeen("q1", "e1", 10.1, rest_s=2.0)
    records = [_record("q1", 10.0), _record("q2", 10.6)]
    for at_s, count in ((10.7, 1), (12.0, 1), (12.2, 0)):
        assert len(check_rests(records, [told, ArrivalSeen("q2", "e1", at_s)])) == count
    slow = [_record("q1", 10.0, took_s=0.5), _record("q2", 10.6)]  # given up unread, perhaps
    assert check_rests(slow, [told, ArrivalSeen("q2", "e1", 10.7)]) == []
    other = [_record("q1", 10.0), _record("q2", 10.6, router=2)]
    assert check_rests(other, [told, ArrivalSeen("q2", "e1", 10.7)]) == []
    assert check_rests(records, [told, ArrivalSeen("q2", "e2", 10.7)]) == []
