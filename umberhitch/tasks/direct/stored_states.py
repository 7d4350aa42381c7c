"""The states of roll-outs in the platform's store: one router writes each state for all.

A final state is written on the condition that nothing was written since the last read, so that
there is one verdict whichever router writes it. This needs no lease, and the loss of one or all
routers costs only time. If the store returns from an older copy, it may lack states, and nobody but
the routers writes them again: each forgets what the store had and ensures its state once more. What
was decided stays decided. The order in which routers read and write follows their rank among the
routers that the store lists.
"""

from collections.abc import Callable
from logging import getLogger

from twisted.internet.defer import ensureDeferred

from umberhitch.core.direct import Canary, RolloutState, StoreEpoch
from umberhitch.errors import LogError
from umberhitch.ports.clock import Clock, pause
from umberhitch.ports.direct import StatusPort, do_nothing

__all__ = ["FINAL_STATES", "StoredRolloutStates"]

log = getLogger(__name__)

TURN_POLL_S = 0.1
"""Interval at which a router that waits for its turn checks whether a peer has sent the state."""
RETRY_S = 0.3
"""Pause after a failed call to the store."""
RANK_DELAY_S = 0.2
"""Additional delay per rank before a router reads the state from the store and writes it. A router
that has written it sends it to the others within 0.05 s, so that one of 68 routers calls the store
rather than all. If the store refuses a third of the routers, one of the first five in rank has
written after 0.8 s in 99 of 100 cases."""
MAX_RANK_WAIT_S = 1.0
"""A router that has no list of the others after this time proceeds without it."""
FINAL_STATES = (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)
STATES = frozenset(RolloutState)


class StoredRolloutStates:
    """The state of each roll-out in the store, as far as this router knows.

    Parameters
    ----------
    clock : Clock
    status : StatusPort
    on_final : callable
        Called with a roll-out whose final state is known, and with this state.

    Attributes
    ----------
    rank : callable
        Returns the rank of this router among the routers that the store lists, starting at 0, or
        None before the list is known.
    on_unsent : callable
        Called when a state must be sent to the peers at once.
    """

    def __init__(
        self, clock: Clock, status: StatusPort, on_final: Callable[[Canary, RolloutState], None]
    ) -> None:
        self.rank: Callable[[], int | None] = lambda: 0
        self.on_unsent: Callable[[], None] = do_nothing
        self._clock = clock
        self._status = status
        self._on_final = on_final
        self._canaries: dict[str, Canary] = {}
        self._writing: set[str] = set()
        self._unread: set[str] = set()
        """Services for which it is not known yet whether their roll-out was decided earlier."""
        self._written: dict[str, RolloutState] = {}
        """The state in the store, by service."""
        self._confirmed: dict[str, RolloutState] = {}
        """The state in the store by service, where this router read or wrote it itself."""
        self._unsent: set[str] = set()
        """Services whose state has not been sent to the peers yet."""
        self._is_stopped = False
        self._epochs = StoreEpoch()

    def follow(self, canary: Canary) -> None:
        """Follow a roll-out that was ordered."""
        service = canary.order.service
        self.drop(service)
        self._canaries[service] = canary
        self._unread.add(service)
        self.ensure_written(canary, RolloutState.IN_PROGRESS)

    def drop(self, service: str) -> None:
        """Stop following the roll-out of a service."""
        self._canaries.pop(service, None)
        self._written.pop(service, None)
        self._confirmed.pop(service, None)
        self._unread.discard(service)

    def stop(self) -> None:
        """Stop writing."""
        self._is_stopped = True

    def is_earlier_decision_known(self, service: str) -> bool:
        """Whether it is known if a roll-out was decided earlier."""
        return service not in self._unread

    def confirmed_state(self, service: str) -> str:
        """Return the state that this router read or wrote, or an empty string if it did neither."""
        return self._confirmed.get(service, "")

    def pop_unsent(self) -> set[str]:
        """Return the services whose state must be sent to the peers, and clear them."""
        unsent, self._unsent = self._unsent, set()
        return unsent

    def follow_epoch(self, epochs: StoreEpoch) -> None:
        """Forget the states in the store whenever it has returned from another copy."""
        self._epochs = epochs
        epochs.on_change.append(self._on_epoch)

    def _on_epoch(self, before: int, epoch: int) -> None:
        self._written.clear()
        self._confirmed.clear()

    @property
    def epoch(self) -> int:
        """Epoch of the store in which the confirmed states were read or written."""
        return self._epochs.current

    # Updates from peers

    def note_peer_follows(self, service: str) -> None:
        """Note that a peer follows the same order."""
        self._unread.discard(service)

    def apply_peer_state(self, canary: Canary, state: str, epoch: int) -> None:
        """Apply a state that a peer read or wrote; an empty string means that it did neither.

        What the store had in another epoch says nothing of what it has now.
        """
        if epoch != self.epoch:
            return
        if state in STATES and self._canaries.get(canary.order.service) is canary:
            self._note_written(canary, RolloutState(state))

    def _note_written(self, canary: Canary, state: RolloutState) -> None:
        service = canary.order.service
        self._unread.discard(service)
        if self._written.get(service) in FINAL_STATES:
            return
        self._written[service] = state
        if state in FINAL_STATES:
            self._on_final(canary, state)

    # Writing

    def ensure_written(self, canary: Canary, state: RolloutState) -> None:
        """Write a state unless the store has an equivalent or final one."""
        service = canary.order.service
        if service in self._writing or not self._is_wanted(canary, state):
            return
        self._writing.add(service)
        done = ensureDeferred(self._write(canary, state))
        done.addErrback(
            lambda failure: log.error("writing of roll-out state failed", extra={"e": str(failure)})
        )
        done.addBoth(lambda result: self._writing.discard(service))

    def _is_wanted(self, canary: Canary, state: RolloutState) -> bool:
        """Whether a state must still be written.

        This is so if the store has none, or if the state is final and the stored one is not.
        """
        service = canary.order.service
        if self._is_stopped or self._canaries.get(service) is not canary:
            return False
        current = self._written.get(service)
        return current is None or (state in FINAL_STATES and current not in FINAL_STATES)

    async def _write(self, canary: Canary, state: RolloutState) -> None:
        """Read the stored state, and write the given one unless a final state is stored already."""
        service, target = canary.order.service, canary.order.target
        await self._wait_for_turn(canary, state)
        while self._is_wanted(canary, state):
            if canary.state in FINAL_STATES:
                state = canary.state
            try:
                stored = await self._status.read()
                self._unread.discard(service)
                found, current = stored.states.get(service, ("", RolloutState.IN_PROGRESS))
                if found == target and (current in FINAL_STATES or current is state):
                    self._note_confirmed(canary, current)
                elif await self._status.write(service, target, state, stored.end):
                    self._note_confirmed(canary, state)
            except LogError as exc:
                log.warning("roll-out state not written", extra={"error": str(exc)})
                await pause(self._clock, RETRY_S)

    async def _wait_for_turn(self, canary: Canary, state: RolloutState) -> None:
        """Wait until the routers of lower rank had time to write, or one has sent the state."""
        started_s = self._clock.seconds()
        while self._is_wanted(canary, state):
            rank = self.rank()
            wait_s = MAX_RANK_WAIT_S if rank is None else RANK_DELAY_S * rank
            left_s = started_s + wait_s - self._clock.seconds()
            if left_s <= 0.0:
                return
            await pause(self._clock, min(TURN_POLL_S, left_s))

    def _note_confirmed(self, canary: Canary, state: RolloutState) -> None:
        """Record the state in the store, and send it to the peers."""
        service = canary.order.service
        if self._canaries.get(service) is not canary:
            return
        self._confirmed[service] = state
        self._unsent.add(service)
        self._note_written(canary, state)
        self.on_unsent()
