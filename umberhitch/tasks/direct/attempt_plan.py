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
    replaced_model : str or None
        Larger model in whose place a cheaper one is called first.
    """

    def __init__(self, services: Services, admitted: AdmittedRequest) -> None:
        self.model: str | None = None
        self.sends = 0
        self.replaced_model: str | None = None
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
        if self.sends == 0:
            return self._first_candidate()
        if small_model is None:
            return self.select_candidate()
        return self._candidate_after_drop(small_model)

    def _first_candidate(self) -> Candidate | None:
        """Return the candidate for the first call, of a cheaper model where that begins in time."""
        candidate = self.select_candidate()
        models = self._admitted.route.models
        if not self._admitted.request.picks_model or self.model not in models[1:]:
            return candidate
        if candidate is not None and self._is_in_time(candidate, self.model):
            return candidate
        for model in reversed(models[: models.index(self.model)]):
            cheaper = self.select_candidate_of(model)
            if cheaper is not None and self._is_in_time(cheaper, model):
                self.replaced_model, self.model = self.model, model
                return cheaper
        return candidate

    def _candidate_after_drop(self, small_model: str) -> Candidate | None:
        """Return the candidate for a call after the small model's answer was given up.

        It is one of the larger model only if an attempt is left beside it, and if it is expected to
        begin in time.
        """
        larger = self.select_candidate() if self.attempts_left > 1 else None
        if larger is not None and self._is_in_time(larger, self.model):
            return larger
        small = self.select_candidate_of(small_model)
        if small is None:
            return larger
        self.model = small_model
        return small

    def _is_in_time(self, candidate: Candidate, model: str | None) -> bool:
        return self._svc.selector.is_in_time(self._admitted, model or "", candidate)

    def select_candidate(self) -> Candidate | None:
        """Return a candidate that has not been tried yet, or None."""
        return self.select_candidate_of(self.model)

    def select_candidate_of(self, model: str | None) -> Candidate | None:
        """Return a candidate for another model, that has not been tried yet, or None."""
        return self._svc.selector.select_endpoint(self._admitted, model, self._tried_lifetimes)

    def facts(self) -> dict[str, object]:
        """Return why the model was chosen, for the log."""
        return {} if self.replaced_model is None else {"replaced_model": self.replaced_model}

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
