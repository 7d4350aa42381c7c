"""The states of roll-outs in the platform's store: one router writes each, and tells the others.

What is final is written under the condition that nothing was written since it was read, so that one
verdict stands, whoever wrote it; no lease is needed, and the loss of any router, or of all, loses
nothing but time. Which router reads and writes first goes by rank among those that the store lists.
"""

from collections.abc import Callable
from logging import getLogger

from twisted.internet.defer import ensureDeferred

from umberhitch.core.direct import Canary, RolloutState
from umberhitch.errors import LogError
from umberhitch.ports.clock import Clock, pause
from umberhitch.ports.direct import StatusPort, do_nothing

__all__ = ["FINAL_STATES", "StoredRolloutStates"]

log = getLogger(__name__)

TURN_POLL_S = 0.1
"""How often a router that waits for its turn looks whether it was told."""
RETRY_S = 0.3
"""Pause after a call to the store that failed."""
RANK_DELAY_S = 0.2
"""So much later each next router asks the store what stands, and writes: one that did tells the
others within 0.05 s, so that one of 68 calls the store, and not each. Where the store turns a third
of them away, the fifth in rank writes after 0.8 s at the latest in 99 of 100 cases."""
MAX_RANK_WAIT_S = 1.0
"""A router that has no list of the others after this goes on without."""
FINAL_STATES = (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)
STATES = frozenset(RolloutState)


class StoredRolloutStates:
    """What stands in the store of each roll-out, as far as this router knows.

    Parameters
    ----------
    clock : Clock
    status : StatusPort
    on_final : callable
        Takes a roll-out of which a final state stands, and that.

    Attributes
    ----------
    rank : callable
        Returns this router's place among those that the store lists, 0 first; None before they are
        known.
    on_untold : callable
        Called when there is something that the others are to be told at once.
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
        """Services of whose roll-out it is not known yet whether it was decided before."""
        self._written: dict[str, RolloutState] = {}
        """By service: the state that stands."""
        self._confirmed: dict[str, RolloutState] = {}
        """The same as this router read or wrote it itself."""
        self._unsent: set[str] = set()
        """Services of which the others have not been told yet what stands."""
        self._is_stopped = False

    def follow(self, trial: Canary) -> None:
        """Follow a roll-out that was ordered."""
        service = trial.order.service
        self.drop(service)
        self._canaries[service] = trial
        self._unread.add(service)
        self.ensure_written(trial, RolloutState.IN_PROGRESS)

    def drop(self, service: str) -> None:
        """Forget a roll-out."""
        self._canaries.pop(service, None)
        self._written.pop(service, None)
        self._confirmed.pop(service, None)
        self._unread.discard(service)

    def stop(self) -> None:
        """Write nothing more."""
        self._is_stopped = True

    def is_earlier_decision_known(self, service: str) -> bool:
        """Whether it is known if a roll-out was decided before."""
        return service not in self._unread

    def confirmed_state(self, service: str) -> str:
        """Return the state that this router found or wrote; empty where it did not."""
        return self._confirmed.get(service, "")

    def pop_unsent(self) -> set[str]:
        """Return the services of which the others are to be told what stands."""
        untold, self._unsent = self._unsent, set()
        return untold

    # What others tell

    def note_peer_follows(self, service: str) -> None:
        """Take note that a peer follows the same order."""
        self._unread.discard(service)

    def apply_peer_state(self, trial: Canary, state: str) -> None:
        """Take note of a state that a peer found or wrote; empty where it did not."""
        if state in STATES and self._canaries.get(trial.order.service) is trial:
            self._note_written(trial, RolloutState(state))

    def _note_written(self, trial: Canary, state: RolloutState) -> None:
        service = trial.order.service
        self._unread.discard(service)
        if self._written.get(service) in FINAL_STATES:
            return
        self._written[service] = state
        if state in FINAL_STATES:
            self._on_final(trial, state)

    # Writing

    def ensure_written(self, trial: Canary, state: RolloutState) -> None:
        """Let a state stand, unless one does that says as much."""
        service = trial.order.service
        if service in self._writing or not self._is_wanted(trial, state):
            return
        self._writing.add(service)
        done = ensureDeferred(self._write(trial, state))
        done.addErrback(
            lambda failure: log.error("roll-out not written", extra={"e": str(failure)})
        )
        done.addBoth(lambda result: self._writing.discard(service))

    def _is_wanted(self, trial: Canary, state: RolloutState) -> bool:
        """Whether a state is still to be written: none stands, or it is final and none is."""
        service = trial.order.service
        if self._is_stopped or self._canaries.get(service) is not trial:
            return False
        stands = self._written.get(service)
        return stands is None or (state in FINAL_STATES and stands not in FINAL_STATES)

    async def _write(self, trial: Canary, state: RolloutState) -> None:
        """Read what stands, and write the state unless a final one stands already."""
        service, target = trial.order.service, trial.order.target
        await self._wait_for_turn(trial, state)
        while self._is_wanted(trial, state):
            if trial.state in FINAL_STATES:
                state = trial.state
            try:
                stored = await self._status.read()
                self._unread.discard(service)
                found, stands = stored.states.get(service, ("", RolloutState.IN_PROGRESS))
                if found == target and (stands in FINAL_STATES or stands is state):
                    self._note_confirmed(trial, stands)
                elif await self._status.write(service, target, state, stored.end):
                    self._note_confirmed(trial, state)
            except LogError as exc:
                log.warning("roll-out state not written", extra={"error": str(exc)})
                await pause(self._clock, RETRY_S)

    async def _wait_for_turn(self, trial: Canary, state: RolloutState) -> None:
        """Wait until the routers before this one had time, or one of them tells what stands."""
        began_s = self._clock.seconds()
        while self._is_wanted(trial, state):
            rank = self.rank()
            wait_s = MAX_RANK_WAIT_S if rank is None else RANK_DELAY_S * rank
            left_s = began_s + wait_s - self._clock.seconds()
            if left_s <= 0.0:
                return
            await pause(self._clock, min(TURN_POLL_S, left_s))

    def _note_confirmed(self, trial: Canary, state: RolloutState) -> None:
        """Take note of what stands in the store, and tell the others."""
        service = trial.order.service
        if self._canaries.get(service) is not trial:
            return
        self._confirmed[service] = state
        self._unsent.add(service)
        self._note_written(trial, state)
        self.on_unsent()
