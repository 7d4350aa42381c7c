"""The wait of one request for a larger model's first event, and what is learned from it."""

from collections.abc import Callable

from umberhitch.core.direct import (
    Candidate,
    LargerChoice,
    LargerWait,
    give_up_s,
    is_worth_calling,
)
from umberhitch.tasks.direct.idle_timer import IdleTimer
from umberhitch.tasks.direct.services import RequestState, Services

__all__ = ["LargerCall"]


class LargerCall:
    """Waits for the larger model's calls of one request, one at a time.

    All times are seconds since the arrival of the request.

    Parameters
    ----------
    services : Services
    request : RequestState
    choice : LargerChoice
    on_overdue : callable
        Called when the call must no longer be waited for.

    Attributes
    ----------
    model : str
    latest_s : float
        Time until which an answer must be passed on.
    """

    def __init__(
        self,
        services: Services,
        request: RequestState,
        choice: LargerChoice,
        on_overdue: Callable[[], None],
    ) -> None:
        self.model = choice.model
        self.latest_s = request.admitted.latest_delivery_s
        self._svc = services
        self._admitted = request.admitted
        self._values = choice.values
        self._first_share: float | None = choice.in_time_share
        """Share that the first call was chosen by; None once that was sent."""
        self._wait: LargerWait | None = None
        """The wait for the last call."""
        self._is_open = False
        """Whether nothing has been learned from the last call yet."""
        self._timer = IdleTimer(services.clock, on_overdue)

    @property
    def _now_s(self) -> float:
        return self._svc.clock.seconds() - self._admitted.received_s

    def _make_wait(self, candidate: Candidate) -> LargerWait:
        share = self._first_share
        if share is None:
            share = self._svc.selector.in_time_share(self._admitted, self.model)
        return LargerWait(self._now_s, candidate.wait_s, share)

    def is_worth_it(self, candidate: Candidate) -> bool:
        """Whether a kept answer should wait for a call to a candidate."""
        wait = self._make_wait(candidate)
        return is_worth_calling(self._values, wait, self._now_s, self.latest_s)

    def start(self, candidate: Candidate, until_s: float | None) -> None:
        """Start to wait for a call.

        Parameters
        ----------
        candidate : Candidate
        until_s : float or None
            How long to wait; while it is worth it if None.
        """
        self._wait = self._make_wait(candidate)
        self._first_share = None
        self._is_open = True
        if until_s is None:
            until_s = give_up_s(self._values, self._wait, self.latest_s)
        self.wait_until(until_s)

    def wait_until(self, until_s: float) -> None:
        """Change for how long the call is waited for."""
        self._timer.restart(max(0.0, until_s - self._now_s))

    def is_expected_by(self, until_s: float) -> bool:
        """Whether the call is expected to begin by a time, and to be worth more."""
        wait, now_s = self._wait, self._now_s
        if wait is None or wait.arrival_s(now_s) >= until_s:
            return False
        return is_worth_calling(self._values, wait, now_s, self.latest_s)

    def is_later_than(self, wait_s: float) -> bool:
        """Whether the call is expected to begin later than another one that is sent now."""
        return self._wait is not None and self._wait.arrival_s(self._now_s) > self._now_s + wait_s

    def end(self, has_begun: bool) -> None:
        """Learn from the call, which has begun or has ended before; only the first time counts."""
        if not self._is_open or self._wait is None:
            return
        self._is_open = False
        waited_s = self._now_s - self._wait.sent_s
        self._svc.selector.record_larger_wait(
            self._admitted, self.model, self._wait.sent_s, waited_s, has_begun
        )

    def ignore(self) -> None:
        """Learn nothing from the call."""
        self._is_open = False

    def stop(self) -> None:
        """Wait no longer."""
        self._timer.stop()

    def facts(self) -> dict[str, object]:
        """Return what is known of the call, for the log."""
        objective_s = self._admitted.route.objective_s
        facts: dict[str, object] = {"objective_left_s": round(objective_s - self._now_s, 3)}
        if self._wait is not None:
            facts["larger_expected_s"] = round(self._wait.expected_s, 3)
            facts["larger_in_time_share"] = round(self._wait.in_time_share, 3)
            facts["larger_waited_s"] = round(self._now_s - self._wait.sent_s, 3)
        return facts
