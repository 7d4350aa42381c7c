"""The calls of one request: how many remain, to which endpoints, and of which model."""

from umberhitch.core.direct import Candidate, Endpoint
from umberhitch.tasks.direct.services import AdmittedRequest, Services

__all__ = ["AttemptPlan"]

MAX_CONNECT_FAILURES = 6
"""Maximum number of endpoints that one request may fail to reach."""


class AttemptPlan:
    """Chooses the next call of a request within its limits.

    Parameters
    ----------
    services : Services
    admitted : AdmittedRequest

    Attributes
    ----------
    model : str or None
        Model of the last call, or of the next one.
    sends : int
        Number of calls so far that reached an endpoint or may have reached one.
    """

    def __init__(self, services: Services, admitted: AdmittedRequest) -> None:
        self.model: str | None = None
        self.sends = 0
        self._svc = services
        self._admitted = admitted
        self._connect_failures = 0
        self._tried_lifetimes: set[str] = set()

    @property
    def attempts_left(self) -> int:
        """Number of calls that may still be sent."""
        return self._admitted.route.max_attempts - self.sends

    def start(self) -> None:
        """Choose the model of the first call."""
        self.model = self._svc.selector.first_model(self._admitted)

    def next_candidate(self, small_model: str | None) -> Candidate | None:
        """Return the candidate for the next call, and choose its model.

        Parameters
        ----------
        small_model : str or None
            Model whose answer was given up; the last attempt is one of this model.
        """
        candidate = None
        if small_model is None or self.attempts_left > 1:
            candidate = self.select_candidate()
        if candidate is None and small_model is not None:
            self.model = small_model
            candidate = self.select_candidate()
        return candidate

    def select_candidate(self) -> Candidate | None:
        """Return a candidate that has not been tried yet, or None."""
        return self._svc.selector.select_endpoint(self._admitted, self.model, self._tried_lifetimes)

    def change_model(self, model: str) -> None:
        """Choose another model for the next call; all endpoints may be tried with it."""
        self.model = model
        self._tried_lifetimes.clear()

    def note_call(self, endpoint: Endpoint) -> None:
        """Count a call."""
        self.sends += 1
        self._tried_lifetimes.add(endpoint.lifetime)

    def note_not_sent(self) -> bool:
        """Do not count the last call, which had no connection; return whether to go on."""
        self.sends -= 1
        self._connect_failures += 1
        return self._connect_failures < MAX_CONNECT_FAILURES

    def exclude_only(self, endpoint: Endpoint) -> None:
        """Allow all endpoints but one for the next call."""
        self._tried_lifetimes = {endpoint.lifetime}
