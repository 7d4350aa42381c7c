"""Routers with one mechanism broken, to show that a soak finds it.

``python -m umberhitch.soak._mutations NAME --settings=FILE`` runs such a daemon.
"""

import sys
from collections.abc import Callable
from typing import Any

__all__ = ["MUTATIONS"]


def _repeat_all() -> None:
    """What must not be repeated is."""
    from umberhitch.core.direct import Route

    Route.is_repeatable = property(lambda self: True)  # type: ignore[assignment,method-assign]


def _promise_all() -> None:
    """What may have run is refused as not run."""
    from umberhitch.tasks.direct.proxied_request import ProxiedRequest

    give_up = ProxiedRequest._give_up

    def promise(self: Any, reason: str) -> None:
        self._may_have_run = False
        give_up(self, reason)

    ProxiedRequest._give_up = promise  # type: ignore[method-assign]


def _end_broken() -> None:
    """A stream that broke off is ended as if it were complete."""
    from umberhitch.tasks.direct.proxied_request import ProxiedRequest

    broken = ProxiedRequest._broken

    def end(self: Any, detail: str) -> None:
        if not self._relay.is_streaming:
            broken(self, detail)
            return
        self._end_call(None)
        self._relay.end(self._head)
        self._finish("done")

    ProxiedRequest._broken = end  # type: ignore[method-assign]


def _know_whole_requests_only() -> None:
    """What crashes endpoints is known by the whole request, not by the parts of its prompt."""
    from umberhitch.core.direct import request_key
    from umberhitch.tasks.direct import admission

    admission.cause_keys = lambda req, customer: (request_key(req, customer),)


def _keep_keys() -> None:
    """A configuration that was taken is never replaced."""
    from umberhitch.tasks.direct.store_view import StoreView

    take = StoreView._apply_document

    def take_first(self: Any, document: Any, batch: Any) -> None:
        if self.table is None:
            take(self, document, batch)

    StoreView._apply_document = take_first  # type: ignore[method-assign]


def _ignore_leaving() -> None:
    """Endpoints that leave go on getting work."""
    from dataclasses import replace

    from umberhitch.core.direct import Directory, EndpointState

    put = Directory.put

    def put_ready(self: Any, entry: Any, now_s: float) -> Any:
        return put(self, replace(entry, state=EndpointState.READY), now_s)

    Directory.put = put_ready  # type: ignore[method-assign]


def _ignore_zones() -> None:
    """Zones that are out of service go on getting work."""
    from umberhitch.core.direct import Directory

    Directory.disable_zone = lambda self, zone, now_s: False  # type: ignore[method-assign]


def _rush_cold() -> None:
    """Cold endpoints get what warm ones get."""
    from umberhitch.core.direct import Endpoint

    Endpoint.is_cold = lambda self, now_s: False  # type: ignore[method-assign]


def _ignore_limits() -> None:
    """Endpoints that name a limit get what others get."""
    from umberhitch.tasks.direct.send_gate import SendGate

    SendGate._limit_ok = lambda self, endpoint, reserved, now_s: True  # type: ignore[method-assign]


def _ignore_words() -> None:
    """Endpoints that say that they leave, or want nothing for a while, get what others get."""
    from umberhitch.core.direct import ClosedEndpoints

    ClosedEndpoints.apply_draining = lambda self, *word: False  # type: ignore[method-assign]
    ClosedEndpoints.apply_backoff = lambda self, *word: False  # type: ignore[method-assign]


def _compare_offsets() -> None:
    """Routers do not know that the store has returned from another copy."""
    from umberhitch.adapters.store_client import StoreClient

    StoreClient._check_epoch = lambda self, head, called_s: 0  # type: ignore[method-assign]


def _believe_copies() -> None:
    """What the store's copy lacks or contradicts is gone at once."""
    from umberhitch.core.direct import RestoredCopy

    RestoredCopy.merge = (  # type: ignore[method-assign]
        lambda self, restored, known, removed, now_s: dict(restored)
    )


def _trust_old_answers() -> None:
    """A version that answered well in the first half of its roll-out is not judged any more."""
    from umberhitch.core.direct import Canary

    observe = Canary.observe

    def observe_first_half(self: Any, now_s: float) -> None:
        if self.pins_sessions(now_s):
            observe(self, now_s)

    Canary.observe = observe_first_half  # type: ignore[method-assign]


def _forget_uploads() -> None:
    """A drain ends under requests that are coming in."""
    from umberhitch.adapters.h11_callers import CallerFactory
    from umberhitch.tasks.direct.drain import Drain

    CallerFactory.is_under_way = lambda self: False  # type: ignore[method-assign]
    Drain._is_busy = lambda self: bool(self._running())  # type: ignore[method-assign]


def _forget_sessions() -> None:
    """A router that has restarted is not told what its earlier process knew."""
    from umberhitch.tasks.direct.recovery import Recovery

    Recovery.receive = lambda self, reply: None  # type: ignore[method-assign]


MUTATIONS: dict[str, Callable[[], None]] = {
    "repeat-all": _repeat_all,
    "promise-all": _promise_all,
    "end-broken": _end_broken,
    "keep-keys": _keep_keys,
    "ignore-leaving": _ignore_leaving,
    "ignore-zones": _ignore_zones,
    "rush-cold": _rush_cold,
    "ignore-limits": _ignore_limits,
    "ignore-words": _ignore_words,
    "compare-offsets": _compare_offsets,
    "believe-copies": _believe_copies,
    "trust-old-answers": _trust_old_answers,
    "know-whole-requests-only": _know_whole_requests_only,
    "forget-uploads": _forget_uploads,
    "forget-sessions": _forget_sessions,
}


def main() -> None:
    """Break what is named, then run the daemon."""
    from umberhitch.cli.daemon import run

    name = sys.argv.pop(1)
    MUTATIONS[name]()
    run()


if __name__ == "__main__":
    main()
