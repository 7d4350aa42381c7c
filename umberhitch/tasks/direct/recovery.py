"""Recovery of what a router's earlier process knew of sessions and counts, from its peers.

A process tells all peers of the sessions that it moves, and its last words before it ends. The next
process of its name asks a few peers for all that they know, theirs and what they were told, before
it takes callers. Every entry carries its age, so it lapses when the session does, whoever passes it
on, and late or repeated messages change nothing.
"""

from collections.abc import Callable
from logging import getLogger
from random import Random

from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.canary_controller import CanaryController
from umberhitch.wire import Message, RecoveryReply, RecoveryRequest

__all__ = ["Recovery"]

log = getLogger(__name__)

ASKED_PEERS = 2
"""Peers that are asked at a time; one that has just started itself knows little."""
RETRY_S = 0.1
"""A reply takes some ms; after so long, other peers are asked."""
MAX_REQUESTS = 8
"""Requests until the recovery is given up."""
MAX_WAIT_S = 0.4
"""Callers are not kept waiting for longer, as at any start."""
POLL_S = 0.01


class Recovery:
    """One router's questions after its start, and its answers to those of others.

    Parameters
    ----------
    process : tuple of (str, int)
        Name and incarnation of this router.
    clock : Clock
    rng : Random
    controller : CanaryController
    can_ask : callable
        Whether the roll-outs and the peers are known.
    peer_names : callable
    send : callable
        Sends a message to a peer.
    """

    def __init__(
        self,
        process: tuple[str, int],
        clock: Clock,
        rng: Random,
        controller: CanaryController,
        can_ask: Callable[[], bool],
        peer_names: Callable[[], list[str]],
        send: Callable[[str, Message], None],
    ) -> None:
        self._process = process
        self._clock = clock
        self._rng = rng
        self._controller = controller
        self._can_ask = can_ask
        self._peer_names = peer_names
        self._send = send
        self._started_s = clock.seconds()
        self._unasked: list[str] = []
        self._unanswered: list[str] = []
        self._requests = 0
        self._is_complete = False
        self._is_over = False
        """Whether nothing more is asked."""

    def start(self) -> None:
        """Ask as soon as it is known whom, and what for."""
        if self._is_over:
            return
        if not self._can_ask():
            self._clock.callLater(POLL_S, self.start)
            return
        self._unasked = sorted(self._peer_names())
        self._rng.shuffle(self._unasked)
        self._ask()

    def stop(self) -> None:
        """Ask nothing more."""
        self._is_over = True

    def is_done(self) -> bool:
        """Whether callers need not wait (any longer) for what peers know."""
        if self._is_over or not self._controller.is_any_in_progress():
            return True
        return self._clock.seconds() >= self._started_s + MAX_WAIT_S

    def _ask(self) -> None:
        """Ask the next peers; once all were asked, ask those again that have not answered."""
        if self._is_over:
            return
        asked = self._unasked[:ASKED_PEERS] or self._unanswered[:ASKED_PEERS]
        if not asked or self._requests >= MAX_REQUESTS:
            self._end("not told by any peer")
            return
        del self._unasked[:ASKED_PEERS]
        for name in asked:
            self._requests += 1
            self._send(name, RecoveryRequest())
        self._unanswered = [name for name in self._unanswered if name not in asked] + asked
        self._clock.callLater(RETRY_S, self._ask)

    def _end(self, reason: str) -> None:
        self._is_over = True
        took_s = round(self._clock.seconds() - self._started_s, 3)
        log.info("recovery ends", extra={"reason": reason, "took_s": took_s})

    def receive(self, reply: RecoveryReply) -> None:
        """Apply the reply or the last words of a peer, even if they were not asked for."""
        name, incarnation = self._process
        self._controller.hand_over.apply(reply, f"{name}.{incarnation}")
        if reply.router in self._unanswered:
            self._unanswered.remove(reply.router)
        if reply.is_complete and not self._is_over:
            self._is_complete = True
            self._end(f"told by {reply.router}")

    def answer(self, live: set[str]) -> RecoveryReply:
        """Return what this router knows.

        Parameters
        ----------
        live : set of str
            Processes that report themselves.
        """
        return self._controller.hand_over.make(self._process, self._knows_all(), live)

    def last_words(self) -> RecoveryReply:
        """Return what only this router knows."""
        return self._controller.hand_over.make(self._process, False)

    def _knows_all(self) -> bool:
        """Whether this router has run for as long as sessions last, or was told."""
        ran_s = self._clock.seconds() - self._started_s
        return self._is_complete or ran_s >= self._controller.hand_over.session_s
