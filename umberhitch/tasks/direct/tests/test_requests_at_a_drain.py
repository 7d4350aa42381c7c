"""A router that stops answers what callers are sending, and ends in time all the same."""

import signal
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.testing import StoppingRouter

IDLE_DRAIN_S = 2.6
"""After this the balancer has noticed, and a router with nothing under way ends."""
STEP_S = 0.01
END_S = 7.8
"""A process must have ended by then."""
GET = b"GET /look/x HTTP/1.1\r\nHost: models.example\r\nId: g1\r\nKey: key-1\r\n\r\n"
UPLOADS = {
    "many pieces": [0.5, 1.0, 1.5, 2.0, 2.5, 2.9, 3.2],
    "two pieces": [2.0, 3.4],
    "later": [2.4, 5.0],
    "head in the last moment": [2.59, 2.9],
}
FRAMINGS = pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])


# The drain ended under bodies that came in: they were passed on, and cut off without an answer.
@FRAMINGS
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT], ids=["term", "int"])
@pytest.mark.parametrize("pieces_s", UPLOADS.values(), ids=UPLOADS)
def test_an_upload_under_way_when_a_router_stops_is_answered(pieces_s, number, is_chunked):
    play = StoppingRouter()
    caller = play.upload(pieces_s, is_chunked)
    play.stop(number)
    play.world.run(9.0)
    assert (caller.statuses, play.runs(caller)) == ([200], 1)
    assert play.exit_code == 0
    assert play.ended_s <= pieces_s[-1] + play.reply_s + 0.5


# Only requests that ran counted: first bytes of a head were none.
def test_a_head_under_way_when_a_router_stops_is_answered():
    play = StoppingRouter()
    caller = play.connect()
    head = play.head(caller, 0)
    play.at(2.5, caller.send, head[:9])
    play.at(3.5, caller.send, head[9:])
    play.play()
    assert caller.statuses == [200]


# What became whole between the end of the drain and that of the process was passed on and cut off.
@pytest.mark.parametrize("after_s", [0.0, 0.02, 0.06, 0.1])
def test_a_request_that_comes_whole_at_the_end_is_answered_or_not_begun(after_s):
    play = StoppingRouter(reply_s=0.3)
    caller = play.connect()
    play.at(IDLE_DRAIN_S - 0.01, caller.send, GET[:5])
    play.at(3.4, caller.send, b"")
    other = play.connect()
    play.at(IDLE_DRAIN_S + after_s, other.send, play.head(other, 0))
    play.at(IDLE_DRAIN_S + after_s, caller.send, GET[5:])
    play.play()
    for each in (caller, other):
        assert (play.runs(each) == 0) or each.statuses == [200]


def test_a_router_with_nothing_under_way_ends_as_soon_as_before():
    play = StoppingRouter()
    for _ in range(3):
        play.connect()
    play.play()
    assert play.exit_code == 0
    assert IDLE_DRAIN_S <= play.ended_s <= IDLE_DRAIN_S + 0.2


# Callers that never end a body must not hold the process, nor cost others their answers.
@pytest.mark.parametrize("callers", [1, 300])
def test_bodies_that_never_end_are_refused_in_time_and_cost_nobody_else(callers):
    play = StoppingRouter()
    endless = [play.upload([1.0 + number / 300, 99.0]) for number in range(callers)]
    others = [play.upload([at_s, at_s + 2.0]) for at_s in (0.5, 1.5, 2.5)]
    play.play()
    assert play.ended_s <= END_S
    assert [caller.statuses for caller in endless] == [[503]] * callers
    assert sum(play.runs(caller) for caller in endless) == 0
    assert [caller.statuses for caller in others] == [[200]] * 3


def test_a_body_that_ends_too_late_to_be_answered_is_not_begun():
    play = StoppingRouter(reply_s=0.4)
    late = [play.upload([2.0, at_s]) for at_s in (6.3, 6.8, 7.2)]
    play.play()
    assert play.ended_s <= END_S
    for caller in late:
        assert (caller.statuses, play.runs(caller)) == ([503], 0)


def test_a_request_that_cannot_be_done_in_the_time_left_is_not_begun():
    play = StoppingRouter()
    endless = play.upload([1.0, 99.0])
    play.stop()
    play.world.run(6.9)
    whole = play.connect()
    whole.send(play.head(whole, 0))
    play.world.run(2.0)
    assert (whole.statuses, play.runs(whole)) == ([503], 0)
    assert endless.statuses == [503]


# A reply counted as ended once its endpoint had sent it, though its caller still read it.
def test_the_drain_waits_for_a_caller_that_reads_its_answer_slowly():
    play = StoppingRouter()
    reader = play.connect()
    play.at(0.1, reader.send, play.head(reader, 0))
    play.at(0.15, setattr, reader.transport, "dataBuffer", b"rest")
    play.at(4.0, setattr, reader.transport, "dataBuffer", b"")
    play.play()
    assert 4.0 <= play.ended_s <= 4.3


# The second signal ended the process under requests that came in.
def test_a_second_signal_refuses_what_is_not_read_whole_and_gives_the_rest_a_final_answer():
    play = StoppingRouter(reply_s=3.0)
    uploading, running = play.upload([0.2, 5.0]), play.connect()
    running.send(play.head(running, 0))
    play.stop()
    play.world.run(1.0)
    play.stop()
    play.world.run(2.0)
    assert play.ended_s <= 1.5
    assert uploading.statuses == [503]
    assert running.statuses == [502]
    assert play.exit_code == 1


def test_a_request_that_waits_for_the_store_at_the_end_is_refused():
    play = StoppingRouter()
    play.router.faults.is_down = True
    play.world.run(6.0)
    waiting = play.connect()
    play.stop()
    play.world.run(0.5)
    waiting.send(play.head(waiting, 0))
    play.stop()
    play.world.run(1.0)
    assert waiting.statuses == [503]


@given(seed=st.integers(0, 10_000))
def test_no_order_of_uploads_loses_one_at_a_drain(seed):
    """Uploads begin at any time around the drain, in any pieces; some never end."""
    rng = Random(seed)
    play = StoppingRouter(reply_s=rng.choice((0.02, 0.15, 0.45)))
    callers, begun = [], []
    for _ in range(12):
        begin_s, length_s = rng.uniform(0.0, 3.0), rng.choice((0.0, 0.3, 2.0, 4.0, 50.0))
        cuts = sorted(rng.random() for _ in range(rng.randrange(4)))
        pieces_s = [begin_s, *(begin_s + cut * length_s for cut in cuts), begin_s + length_s]
        callers.append(play.upload(pieces_s, rng.random() < 0.5))
        if begin_s < IDLE_DRAIN_S - STEP_S:
            begun.append(callers[-1])
    play.play()
    assert play.ended_s <= END_S
    for caller in callers:
        assert (play.runs(caller) == 1) == (caller.statuses == [200])
    for caller in begun:  # the others' connections were closed before anything was read
        assert caller.statuses in ([200], [503])
