"""A router restarts in the second half of a good roll-out; see claim.txt."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit"))

import standins as kit  # noqa: E402

SERVICE, ROLLOUT_S, SESSION_S, CONTACT_S = "clerk", 24.0, 5.0, 3.0
SESSIONS = 160
EVENTS, EVENT_S = 30, 0.05
THINK_S = (4.3, 4.95)
TERM_S = 11.4
"""SIGTERM, after the order: in the second half of the roll-out."""
END_S = 20.5
RESTART_S = 0.3
MODEL = "m1"
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "letter",
            "host": "app.example",
            "pathPrefix": "/letter/",
            "kind": "streaming",
            "timeoutMs": 20000,
            "targetLatencyMs": 1500,
            "targetGapMs": 1200,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "healthPath": "/healthz",
            "maxConnections": 370,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 431395,
                "models": [{"name": MODEL, "cost": 0.18}],
            },
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "registry", "apiKeys": ["key-1"]}],
}


class Engine(kit.Replica):
    """A sound model replica: a stream of events at an even pace."""

    async def answer(self, reader, writer, head, fields, body, attempt):
        run = {"attempt": attempt, "version": self.version, "end": "running"}
        self.runs.append(run)
        self._running += 1
        self._record.note(f"{self.name} ({self.version}) runs {attempt}: {fields.get('session')}")
        try:
            lines = [
                "HTTP/1.1 200 OK",
                "Content-Type: text/event-stream",
                f"Attempt-Id: {attempt}",
                f"Response-Signature: {self.name}.{attempt}",
                f"Replica-Load: {self._running},0,{self.slots}",
                "Weight-Versions: 1",
                "Transfer-Encoding: chunked",
                "",
                "",
            ]
            writer.write("\r\n".join(lines).encode())
            first = int(fields.get("last-event-id", 0)) + 1
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                if reader.at_eof() or reader.exception() is not None:
                    raise ConnectionError("channel closed")
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            run["end"] = "answered"
        except ConnectionError:
            run["end"] = "dropped: its channel was closed"
            raise
        finally:
            self._running -= 1


class Balancer:
    """The platform's forwarding of new channels: two misses take a node out."""

    def __init__(self, routers):
        self._routers, self._misses = routers, dict.fromkeys(routers, 0)

    async def probe(self):
        while True:
            for router in self._routers:
                is_ready = await router.is_ready()
                self._misses[router] = 0 if is_ready else self._misses[router] + 1
            await asyncio.sleep(1.0)

    def choose(self, number):
        home = self._routers[number % len(self._routers)]
        if self._misses[home] < 2:
            return home
        return next((each for each in self._routers if self._misses[each] < 2), home)


async def use(record, number, balancer, until_s, rng, asked):
    """One consumer's session: a question, its whole answer, some time to read it, the next."""
    session = f"s{number}-{rng.getrandbits(48):012x}"
    await asyncio.sleep(rng.uniform(0.0, 7.0))
    while time.monotonic() < until_s:
        router, attempt = balancer.choose(number), kit.new_attempt()
        channel = kit.Channel(record, session, router.callers)
        sent_s = time.monotonic()
        try:
            await channel.open()
        except OSError:
            await asyncio.sleep(0.2)
            continue
        headers = [
            ("Authorization", "Bearer key-1"),
            ("Deadline-Ms", "20000"),
            ("Session", session),
            ("Model", MODEL),
            ("Token-Count", "828,300"),
            ("Prompt-Prefix", f"a{number % 8:x}:119,b{number:x}:79,c{number:x}:630"),
        ]
        end = await channel.request("POST", "app.example", "/letter/1", attempt, headers, (b"{}",))
        channel.close()
        asked.append((session, attempt, router, sent_s, time.monotonic(), end))
        if isinstance(end, str) or end[0] != 200:
            await asyncio.sleep(0.2)
            continue
        await asyncio.sleep(rng.uniform(*THINK_S))


async def scenario(record, folder, routers):
    rng = random.Random()
    store = kit.Store()
    await store.start()
    store.put("keyed.op", "config", CONFIG)
    replicas = []

    async def start_replicas(version):
        for n in range(3):
            replica = Engine(record, store, f"i-{version}-{n}", SERVICE)
            replica.version = version
            replicas.append(replica)
            await replica.start()

    await start_replicas("v1")
    for n in range(2):
        routers.append(kit.Router(record, folder, f"edge-{n}", store.address))
        routers[-1].start()
    for router in routers:
        await router.wait_until_ready()
    await asyncio.sleep(4.0)
    balancer = Balancer(routers)
    probing = asyncio.ensure_future(balancer.probe())
    asked = []
    end_s = time.monotonic() + 8.0 + END_S
    users = [
        asyncio.ensure_future(use(record, n, balancer, end_s, rng, asked)) for n in range(SESSIONS)
    ]
    await asyncio.sleep(8.0)
    order_s = time.monotonic()
    order = {"service": SERVICE, "target": "v2", "durationS": ROLLOUT_S}
    store.put("keyed.op", f"rollout/{SERVICE}", order)
    record.note("the roll-out is ordered")
    await asyncio.sleep(0.3)
    await start_replicas("v2")
    await asyncio.sleep(order_s + TERM_S - time.monotonic())
    disturbed = {}
    if kit.HAS_TROUBLE:
        router = routers[0]
        router.signal(signal.SIGTERM)
        while router.process.poll() is None:
            await asyncio.sleep(0.02)
        record.note(f"{router.name} has ended: {router.process.poll()}")
        await asyncio.sleep(RESTART_S)
        router.start()
        disturbed[router] = time.monotonic()
    await asyncio.gather(*users)
    probing.cancel()
    status = store.newest("keyed.status").get(f"rollout/{SERVICE}", (b"none", 0))[0].decode()
    record.note(f"status of the roll-out: {status}")
    if "rolled_back" in status:
        raise kit.CannotRun("the good version was rolled back")
    versions = {run["attempt"]: run["version"] for each in replicas for run in each.runs}
    return check(record, asked, versions, order_s, disturbed)


def check(record, asked, versions, order_s, disturbed):
    """Return the requests that ran on the old version after one of their session on the new."""
    last, moved_back = {}, []
    for session, attempt, router, sent_s, ended_s, end in sorted(asked, key=lambda row: row[3]):
        version = versions.get(attempt)
        if version is None:
            continue
        before = last.get(session)
        last[session] = (version, ended_s)
        if before is None or before[0] != "v2" or version != "v1":
            continue
        gap_s = sent_s - before[1]
        is_second_half = sent_s > order_s + ROLLOUT_S / 2
        is_in_touch = router not in disturbed or sent_s > disturbed[router] + CONTACT_S
        record.note(
            f"{session}: v2, then v1 for {attempt} at {router.name}, {gap_s:.2f} s after the end"
            f" of the request before, in touch: {is_in_touch}"
        )
        if gap_s < SESSION_S and is_second_half and is_in_touch:
            moved_back.append(session)
    shares = [versions.get(row[1]) for row in asked]
    record.note(f"{len(asked)} requests, {shares.count('v1')} on v1, {shares.count('v2')} on v2")
    if len(moved_back) <= 3:
        return []
    return [
        f"PINNED: {len(moved_back)} requests ran on the old version, sent on by a machine in touch,"
        f" after the one before in their session had run on the new one: {', '.join(moved_back)}"
    ]


if __name__ == "__main__":
    sys.exit(kit.play(HERE, scenario))
