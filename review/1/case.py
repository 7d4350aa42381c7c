"""Routers are stopped and started in turn while consumers upload; see claim.txt."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit"))

import standins as kit  # noqa: E402

ROUTERS = 3
CONSUMERS = 80
PIECES, PIECE_BYTES, GAPS_S = 8, 8000, (0.1, 0.4)
"""An upload of 64 kB takes 0.7 to 2.8 s: 0.2 to 0.75 Mbit/s."""
FIRST_S, LAST_S = 0.5, 2.5
"""Uploads begin at random moments in this time after SIGTERM."""
TIMEOUT_MS = 8000
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "photo-upload",
            "host": "app.example",
            "pathPrefix": "/upload/",
            "kind": "non_idempotent",
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 418,
            "priority": 0,
            "service": "fieldapp",
            "maxAttempts": 1,
            "public": False,
        }
    ],
    "services": [{"name": "fieldapp", "healthPath": "/healthz", "maxConnections": 230}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "district", "apiKeys": ["key-1"]}],
}


async def upload(channel, delay_s, gap_s, sent):
    await asyncio.sleep(delay_s)
    if not channel.is_open:
        return  # the router has closed the idle channel: the consumer would go elsewhere
    attempt = kit.new_attempt()
    pieces = [b"x" * PIECE_BYTES] * PIECES
    headers = [("Authorization", "Bearer key-1"), ("Deadline-Ms", str(TIMEOUT_MS))]
    sent[attempt] = await channel.request(
        "POST", "app.example", "/upload/photo", attempt, headers, pieces, gap_s
    )


async def scenario(record, folder, routers):
    rng = random.Random()
    store = kit.Store()
    await store.start()
    store.put("keyed.op", "config", CONFIG)
    replicas = [
        kit.Replica(record, store, f"i-{n}", "fieldapp", work_s=lambda: rng.uniform(0.09, 0.15))
        for n in range(5)
    ]
    for replica in replicas:
        await replica.start()
    for n in range(ROUTERS):
        routers.append(kit.Router(record, folder, f"edge-{n}", store.address))
        routers[-1].start()
    for router in routers:
        await router.wait_until_ready()
    await asyncio.sleep(4.0)  # in touch: contactMs without any disruption
    sent = {}
    for router in routers:
        channels = [kit.Channel(record, f"c{n}", router.callers) for n in range(CONSUMERS)]
        for channel in channels:
            await channel.open()
        await asyncio.gather(
            *(upload(channel, rng.uniform(0.0, 2.0), GAPS_S[0], sent) for channel in channels)
        )
        if kit.HAS_TROUBLE:
            router.signal(signal.SIGTERM)
        await asyncio.gather(
            *(
                upload(channel, rng.uniform(FIRST_S, LAST_S), rng.uniform(*GAPS_S), sent)
                for channel in channels
            )
        )
        for channel in channels:
            channel.close()
        if kit.HAS_TROUBLE:
            until_s = time.monotonic() + 8.0
            while router.process.poll() is None and time.monotonic() < until_s:
                await asyncio.sleep(0.05)
            record.note(f"{router.name} has ended: {router.process.poll()}")
            router.end()
            router.start()
            await router.wait_until_ready()
            await asyncio.sleep(3.0)
    runs = {run["attempt"]: run for replica in replicas for run in replica.runs}
    record.note(f"{len(sent)} uploads, {len(runs)} ran")
    return [
        f"LOST: upload {attempt} was read whole and passed on ({runs[attempt]['end']}), and its"
        f" channel ended without an answer: {end}"
        for attempt, end in sent.items()
        if isinstance(end, str) and attempt in runs
    ]


if __name__ == "__main__":
    sys.exit(kit.play(HERE, scenario))
