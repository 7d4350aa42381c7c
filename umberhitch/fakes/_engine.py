"""A small model engine: batches, streams words at a pace, honours priorities, caches prefixes.

Its answers are a function of the question, so that a test can tell whether a caller got its own.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256
from heapq import heappop, heappush

from twisted.internet.defer import Deferred

from umberhitch.ports import (
    BackendCall,
    BackendDone,
    BackendFailed,
    BackendLoad,
    BackendRefused,
    BackendText,
    Clock,
    EventSink,
    Timer,
)
from umberhitch.wire import EngineWork, ServiceWork, Usage

__all__ = ["EngineFaults", "EnginePace", "FakeEngine", "expected_answer"]


@dataclass(frozen=True, slots=True)
class EnginePace:
    """How fast an engine works.

    Attributes
    ----------
    slots : int
        Calls in one batch.
    prefill_s_per_token : float
    token_s : float
        Between two words of an answer.
    answer_words : int
        Words of an answer, unless the call allows fewer.
    cached_prefixes : int
        Prefixes kept in memory.
    load_s : float
        Time to load a version.
    checks_fencing : bool
        Whether orders with an older token than one seen are refused.
    """

    slots: int = 8
    prefill_s_per_token: float = 0.0005
    token_s: float = 0.02
    answer_words: int = 12
    cached_prefixes: int = 64
    load_s: float = 3.0
    checks_fencing: bool = False


@dataclass(slots=True)
class EngineFaults:
    """What is wrong with an engine at the moment."""

    is_refusing: bool = False
    is_stuck: bool = False
    """Takes calls and says nothing."""
    fail_after_words: int | None = None
    slowdown: float = 1.0


@dataclass(slots=True)
class _Call:
    call: BackendCall
    sink: EventSink
    words: list[str]
    sent: int = 0
    timer: Timer | None = None
    cached: bool = False


def expected_answer(target: str, work: EngineWork | ServiceWork, words: int) -> str:
    """Return the whole answer that an engine gives to a question."""
    return "".join(_answer_words(target, work, words))


def _answer_words(target: str, work: EngineWork | ServiceWork, words: int) -> list[str]:
    if isinstance(work, ServiceWork):
        digest = sha256(work.body + work.path.encode()).hexdigest()[:8]
        return [f'{{"service":"{target}","echo":"{digest}"}}']
    digest = sha256(_body(work).encode()).hexdigest()[:8]
    return [f"{target}/{digest}/{index} " for index in range(min(words, work.max_tokens))]


@dataclass(slots=True)
class EngineRun:
    """One call that began, for oracles."""

    call_id: str
    target: str
    body: str
    began_s: float


class FakeEngine:
    """A `BackendPort` on any clock; it also stands for a plain service.

    Parameters
    ----------
    clock : Clock
    pace : EnginePace

    Attributes
    ----------
    runs : list of EngineRun
        Every call that began.
    on_run : callable or None
        Called with each run as it begins.
    """

    def __init__(self, clock: Clock, pace: EnginePace | None = None) -> None:
        self.pace = pace or EnginePace()
        self.faults = EngineFaults()
        self.runs: list[EngineRun] = []
        self.on_run: Callable[[EngineRun], None] | None = None
        self.is_lost = False
        self.orders: list[tuple[int, str]] = []
        self._token = -1
        self._clock = clock
        self._running: dict[str, _Call] = {}
        self._queue: list[tuple[int, int, str]] = []
        self._waiting: dict[str, _Call] = {}
        self._count = 0
        self._cache: OrderedDict[str, None] = OrderedDict()

    def start(self, call: BackendCall, sink: EventSink) -> None:
        """Begin the call, or queue it by priority if the batch is full."""
        if self.is_lost:
            sink(BackendFailed("connection lost"))
            return
        if self.faults.is_refusing:
            sink(BackendRefused("refusing"))
            return
        words = _answer_words(call.target, call.work, self.pace.answer_words)
        self._count += 1
        self._waiting[call.call_id] = _Call(call, sink, words)
        heappush(self._queue, (call.priority, self._count, call.call_id))
        self._fill()

    def _fill(self) -> None:
        while self._queue and len(self._running) < self.pace.slots:
            _, _, call_id = heappop(self._queue)
            running = self._waiting.pop(call_id, None)
            if running is not None:
                self._begin(running)

    def _begin(self, running: _Call) -> None:
        call = running.call
        self._running[call.call_id] = running
        run = EngineRun(call.call_id, call.target, _body(call.work), self._clock.seconds())
        self.runs.append(run)
        if self.on_run is not None:
            self.on_run(run)
        if not self.faults.is_stuck:
            delay_s = self._prefill_s(running) * self.faults.slowdown
            running.timer = self._clock.callLater(delay_s, self._step, call.call_id)

    def _prefill_s(self, running: _Call) -> float:
        work = running.call.work
        if isinstance(work, ServiceWork):
            return self.pace.token_s
        if work.prefix:
            running.cached = work.prefix in self._cache
            self._cache[work.prefix] = None
            self._cache.move_to_end(work.prefix)
            while len(self._cache) > self.pace.cached_prefixes:
                self._cache.popitem(last=False)
        share = 0.2 if running.cached else 1.0
        return self.pace.prefill_s_per_token * count_tokens(work) * share

    def _step(self, call_id: str) -> None:
        running = self._running.get(call_id)
        if running is None or self.is_lost or self.faults.is_stuck:
            return
        limit = self.faults.fail_after_words
        if limit is not None and running.sent >= limit:
            self._finish(call_id, BackendFailed("engine error"))
            return
        if running.sent < len(running.words):
            word = running.words[running.sent]
            running.sent += 1
            running.timer = self._clock.callLater(
                self.pace.token_s * self.faults.slowdown, self._step, call_id
            )
            running.sink(BackendText(word))
            return
        self._finish(call_id, self._done(running))

    def _done(self, running: _Call) -> BackendDone:
        work = running.call.work
        if isinstance(work, ServiceWork):
            return BackendDone(Usage(), "stop", 200, (("content-type", "application/json"),))
        tokens = count_tokens(work)
        usage = Usage(tokens, len(running.words), tokens if running.cached else 0)
        return BackendDone(usage, "stop")

    def _finish(self, call_id: str, event: BackendDone | BackendFailed) -> None:
        running = self._running.pop(call_id)
        if running.timer is not None and running.timer.active():
            running.timer.cancel()
        running.sink(event)
        self._fill()

    def cancel(self, call_id: str) -> None:
        """Stop a call; one that has not begun is refused, one that has fails."""
        waiting = self._waiting.pop(call_id, None)
        if waiting is not None:
            waiting.sink(BackendRefused("cancelled"))
        elif call_id in self._running:
            self._finish(call_id, BackendFailed("cancelled"))

    def lose(self) -> None:
        """Fail every call, now and later, as a lost engine does."""
        self.is_lost = True
        for call_id in list(self._running):
            self._finish(call_id, BackendFailed("connection lost"))
        for call_id in list(self._waiting):
            waiting = self._waiting.pop(call_id)
            waiting.sink(BackendFailed("connection lost"))

    def load(self, target: str, token: int) -> Deferred[bool]:
        """Load a version; an engine that checks fencing refuses an older token."""
        self.orders.append((token, target))
        done: Deferred[bool] = Deferred()
        if self.pace.checks_fencing and token < self._token:
            done.callback(False)
            return done
        self._token = max(self._token, token)
        self._clock.callLater(self.pace.load_s, done.callback, True)
        return done

    def current_load(self) -> BackendLoad:
        """Return the load as of now."""
        return BackendLoad(len(self._running), len(self._waiting))


def count_tokens(work: EngineWork) -> int:
    """Return the tokens of a question, one a word."""
    return sum(len(str(message.get("content", "")).split()) for message in work.messages)


def _body(work: EngineWork | ServiceWork) -> str:
    if isinstance(work, ServiceWork):
        return work.body.decode("latin-1")
    return "|".join(str(message.get("content", "")) for message in work.messages)
