"""Callers: threads that send requests to any router, and note what they got."""

import threading
from collections.abc import Callable
from random import Random
from time import sleep

from umberhitch.adapters.steady import steady_s
from umberhitch.platform.standins.client import RouterProcess
from umberhitch.soak._records import Record

__all__ = ["Callers"]

KINDS = ("look", "order", "draft")
PAUSE_S = 0.02


class Callers:
    """Sends requests until it is stopped.

    Parameters
    ----------
    seed : int
    count : int
    routers : callable
        Returns the routers that there are.
    keys : callable
        Returns the keys that callers may use, those just taken away among them.
    """

    def __init__(
        self,
        seed: int,
        count: int,
        routers: Callable[[], list[RouterProcess]],
        keys: Callable[[], list[str]],
    ) -> None:
        self._routers = routers
        self._keys = keys
        self._records: list[Record] = []
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, Random(f"{seed}.{number}")))
            for number in range(count)
        ]

    def start(self) -> None:
        """Begin."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send no more, and wait for the answers that are due."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def records(self) -> list[Record]:
        """Return what was seen so far."""
        return list(self._records)

    def _run(self, number: int, rng: Random) -> None:
        sent = 0
        while not self._is_stopped.is_set():
            routers = self._routers()
            if routers:
                sent += 1
                self._records.append(self._send(f"c{number}-{sent}", rng, rng.choice(routers)))
            sleep(PAUSE_S * rng.random())

    def _send(self, call_id: str, rng: Random, router: RouterProcess) -> Record:
        kind, key = rng.choice(KINDS), rng.choice(self._keys())
        model = "small" if kind == "draft" else None
        sent_s = steady_s()
        answer = router.send_request(f"/{kind}/x", call_id, key, model=model)
        return Record(
            call_id,
            kind,
            key,
            sent_s,
            steady_s(),
            answer.status,
            answer.body,
            answer.is_complete,
            router.process.pid,
        )
