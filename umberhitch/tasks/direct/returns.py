"""Names the times at which callers come back who were refused for lack of room."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from xxhash import xxh32_intdigest

from umberhitch.core.direct import Appointment, ReturnBook, ReturnPlan, RoomForecast
from umberhitch.core.scheduling import Claim
from umberhitch.tasks.direct.retry_after import HONORED_SHARE, MIN_RETRY_AFTER_S
from umberhitch.tasks.direct.services import AdmittedRequest

__all__ = ["Returns"]


@dataclass(slots=True)
class Returns:
    """Plans returns by service, and recognizes those who come back to this router.

    Attributes
    ----------
    router : str
        Name of this router.
    forecast : callable
        Returns the room of a service.
    recognized : int
        Callers who came back at their time, to this router.
    """

    router: str
    forecast: Callable[[str], RoomForecast]
    recognized: int = 0
    plans: dict[str, ReturnPlan] = field(default_factory=dict)
    _book: ReturnBook = field(default_factory=ReturnBook)

    def _plan(self, service: str) -> ReturnPlan:
        plan = self.plans.get(service)
        if plan is None:
            offset = xxh32_intdigest(f"{self.router}|{service}".encode()) / 2**32
            plan = self.plans[service] = ReturnPlan(offset)
        return plan

    def recognize(self, admitted: AdmittedRequest, claim: Claim) -> Claim:
        """Return the claim of a request, with what its caller has waited if it came back."""
        if admitted.waited_s is None:
            appointment = self._book.take(admitted.request_key, admitted.received_s)
            if appointment is None:
                self._plan(admitted.service).note_arrival(admitted.received_s)
                admitted.waited_s = 0.0
            else:
                self.recognized += 1
                admitted.waited_s = max(0.0, admitted.received_s - appointment.first_s)
        return replace(claim, waited_s=admitted.waited_s) if admitted.waited_s else claim

    def retry_after_s(self, admitted: AdmittedRequest, claim: Claim, now_s: float) -> float:
        """Return after how many seconds a caller shall come back."""
        left_s = admitted.received_s + admitted.request.patience_s - now_s
        earliest_s = now_s + MIN_RETRY_AFTER_S
        latest_s = max(earliest_s, now_s + HONORED_SHARE * left_s)
        plan, forecast = self._plan(admitted.service), self.forecast(admitted.service)
        at_s = plan.retry_at_s(claim, forecast, now_s, earliest_s, latest_s)
        first_s = claim.arrived_s - claim.waited_s
        self._book.add(admitted.request_key, Appointment(at_s, first_s), now_s)
        return at_s - now_s
