"""Callers: a bounded load on loopback, light enough not to be what is measured."""

import asyncio
import http.client
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from msgspec import json

__all__ = ["LoadResult", "call_repeatedly", "percentile", "stream_tokens"]

KEY = "key-acme"
HEADERS = {"Content-Type": "application/json", "Authorization": f"Bearer {KEY}"}
CHAT_PATH = "/v1/chat/completions"
TIMEOUT_S = 60.0


@dataclass
class LoadResult:
    """What a load measured."""

    latencies_s: list[float]
    seconds: float

    @property
    def rate(self) -> float:
        """Requests a second."""
        return len(self.latencies_s) / self.seconds


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _body(model: str, is_streamed: bool, tokens: int) -> bytes:
    return json.encode(
        {
            "model": model,
            "messages": [{"role": "user", "content": "a short question"}],
            "max_tokens": tokens,
            "stream": is_streamed,
        }
    )


def _one_caller(address: str, body: bytes, count: int) -> list[float]:
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    times = []
    for _ in range(count):
        began_s = time.perf_counter()
        conn.request("POST", CHAT_PATH, body, HEADERS)
        response = conn.getresponse()
        response.read()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")
        times.append(time.perf_counter() - began_s)
    conn.close()
    return times


def call_repeatedly(address: str, model: str, callers: int, count: int) -> LoadResult:
    """Let callers send ``count`` requests each, one after the other."""
    body = _body(model, False, 8)
    began_s = time.perf_counter()
    with ThreadPoolExecutor(callers) as pool:
        jobs = [pool.submit(_one_caller, address, body, count) for _ in range(callers)]
        times = [took for job in jobs for took in job.result()]
    return LoadResult(times, time.perf_counter() - began_s)


async def _one_stream(address: str, body: bytes, gaps_s: list[float]) -> int:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    writer.write(
        f"POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\n{head}Content-Length: {len(body)}\r\n"
        f"Connection: close\r\n\r\n".encode() + body
    )
    tokens, last_s = 0, 0.0
    while True:
        data = await reader.read(65536)
        if not data:
            break
        now_s = time.perf_counter()
        tokens += data.count(b'"content"')
        if last_s and len(gaps_s) < 200_000:
            gaps_s.append(now_s - last_s)
        last_s = now_s
    writer.close()
    return tokens


async def _streams(address: str, streams: int, spread_s: float, body: bytes) -> tuple[int, list]:
    gaps_s: list[float] = []

    async def begin(index: int) -> int:
        await asyncio.sleep(spread_s * index / streams)
        return await _one_stream(address, body, gaps_s)

    counts = await asyncio.gather(*(begin(index) for index in range(streams)))
    return sum(counts), gaps_s


def stream_tokens(address: str, streams: int, spread_s: float) -> tuple[int, list[float]]:
    """Open streams, spread over a time; returns the tokens received and the gaps between."""
    return asyncio.run(_streams(address, streams, spread_s, _body("m@1", True, 1000)))
