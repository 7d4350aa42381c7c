"""Stand-ins for the review's scripts: the platform's store, replicas, consumers, and routers.

Standard library only. The stand-ins speak what PROTOCOL.md says and have no faults of their own;
a script adds the one disruption that it is about. Everything listens on loopback.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from base64 import b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
PARTS = 24


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def note(self, text):
        self._file.write(f"{time.monotonic() - self._start_s:9.3f} {text}\n")
        self._file.flush()


# HTTP


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError("channel ended within a head") from exc
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return first, headers


async def read_body(reader, headers, is_reply=False):
    """Return the body of a message; raises if the channel ends before it is whole."""
    fields = dict(headers)
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if is_reply else b""


def reply(status, body=b"", headers=()):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handle, host=LOOPBACK, port=0):
    """Serve channels with ``handle(reader, writer)``; return the server and its ``IP:PORT``."""

    async def on_channel(reader, writer):
        try:
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # the channel has ended, or the case has
        finally:
            if not asyncio.get_running_loop().is_closed():
                writer.close()

    server = await asyncio.start_server(on_channel, host, port, limit=2**20)
    at = server.sockets[0].getsockname()
    return server, f"{at[0]}:{at[1]}"


# The platform's store


class Partition:
    def __init__(self):
        self.records = []
        self.first = 0
        self.changed = asyncio.Event()


class Store:
    """The store: a log with keyed topics, conditional appends and groups."""

    def __init__(self, answer_s=0.004):
        self.answer_s = answer_s
        self.address = ""
        self._topics = {}
        self._groups = {}

    async def start(self):
        _, self.address = await serve(self._channel)

    def put(self, topic, key, value):
        """Write as the operator or a replica does; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append(topic, [bytes([len(key)]) + key.encode() + data])

    def newest(self, topic):
        """Return the newest record of each key, and its offset."""
        found = {}
        for offset, record in enumerate(self._partition(topic).records):
            end = 1 + record[0]
            found[record[1:end].decode()] = (record[end:], offset)
        return {key: row for key, row in found.items() if row[0]}

    def _partition(self, topic):
        return self._topics.setdefault(topic, Partition())

    def _append(self, topic, records):
        part = self._partition(topic)
        offset = len(part.records)
        part.records += records
        part.changed.set()
        part.changed = asyncio.Event()
        return offset

    async def _channel(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(" ")
            body = await read_body(reader, head[1])
            url = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            await asyncio.sleep(self.answer_s)
            status, data = await self._call(method, url.path, query, body)
            if not isinstance(data, bytes):
                data = json.dumps(data).encode()
            writer.write(reply(status, data))
            await writer.drain()

    async def _call(self, method, path, query, body):
        match method, path:
            case "GET", "/-/log-read":
                return await self._read(query)
            case "GET", "/-/log-newest":
                return self._newest_page(query)
            case "POST", "/-/log-append":
                return self._append_call(query, body)
            case "POST", "/-/log-join":
                return self._join(json.loads(body))
            case "POST", "/-/log-leave":
                call = json.loads(body)
                group = self._group(call["group"])
                if group["members"].pop(call["member"], None) is not None:
                    group["generation"] += 1
                return 200, {}
            case "GET", "/-/log-owners":
                group = self._group(query["group"])
                return 200, {"parts": self._owners(group)}
        return 404, {}

    async def _read(self, query):
        part = self._partition(query["topic"])
        start, wait_s = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        if start < part.first or start > len(part.records):
            return 410, {"firstOffset": part.first}
        if start == len(part.records) and wait_s:
            try:
                await asyncio.wait_for(part.changed.wait(), wait_s)
            except TimeoutError:
                pass
        data = struct.pack(">QQ", len(part.records), part.first)
        for record in part.records[start:]:
            data += struct.pack(">I", len(record)) + record
        return 200, data

    def _newest_page(self, query):
        topic = query["topic"]
        items = [
            {"key": key, "value": b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(self.newest(topic).items())
            if key > query.get("after", "")
        ]
        end = len(self._partition(topic).records)
        return 200, {"items": items, "hasMore": False, "endOffset": end}

    def _append_call(self, query, body):
        part = self._partition(query["topic"])
        if "expectedOffset" in query and int(query["expectedOffset"]) != len(part.records):
            return 412, {"endOffset": len(part.records)}
        records, at = [], 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        offset = self._append(query["topic"], records)
        return 200, {"offset": offset, "endOffset": len(part.records)}

    def _group(self, name):
        group = self._groups.setdefault(name, {"members": {}, "topics": [], "generation": 1})
        now_s = time.monotonic()
        for member, until_s in list(group["members"].items()):
            if now_s > until_s:
                del group["members"][member]
                group["generation"] += 1
        return group

    def _join(self, call):
        group = self._group(call["group"])
        if call["member"] not in group["members"]:
            group["generation"] += 1
        group["topics"] = call["topics"]
        group["members"][call["member"]] = time.monotonic() + call["ttlMs"] / 1000
        rows = [[t, n, 0] for t, n, member, _ in self._owners(group) if member == call["member"]]
        return 200, {"generation": group["generation"], "ttlMs": call["ttlMs"], "parts": rows}

    def _owners(self, group):
        members = sorted(group["members"])
        seats = [(topic, n) for topic in group["topics"] for n in range(PARTS)]
        return [
            [topic, n, members[index % len(members)], 0]
            for index, (topic, n) in enumerate(seats)
            if members
        ]


# Replicas


class Replica:
    """A sound replica of a plain service; ``work_s`` returns how long a request takes."""

    version = "v1"

    def __init__(self, record, store, name, service, zone="a", work_s=lambda: 0.02, body=None):
        self.name, self.service, self.zone = name, service, zone
        self.work_s = work_s
        self.runs = []
        """Attempt ids that began to run here, with what became of each."""
        self._record, self._store = record, store
        self._sequence = 0
        self._running = 0
        self._body = body or (lambda attempt: f"answer to {attempt}".encode())
        self.slots = 64

    async def start(self):
        _, self.address = await serve(self._channel)
        self.write("ready")
        self._beating = asyncio.ensure_future(self._beat())

    def write(self, state):
        self.state = state
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
        }
        self._store.put("keyed.servers", self.name, entry)

    async def _beat(self):
        while self.state != "gone":
            await asyncio.sleep(1.2)
            self.write(self.state)

    async def _channel(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            fields = dict(head[1])
            body = await read_body(reader, head[1])
            attempt = fields.get("attempt-id", "")
            if fields.get("expect-instance", self.name) != self.name:
                writer.write(reply(421, b"", [("Replica-Id", self.name), ("Not-Executed", "1")]))
                continue
            await self.answer(reader, writer, head, fields, body, attempt)

    async def answer(self, reader, writer, head, fields, body, attempt):
        run = {"attempt": attempt, "at_s": time.monotonic(), "end": "running"}
        self.runs.append(run)
        self._running += 1
        self._record.note(f"{self.name} runs {attempt}: {head[0]}, body of {len(body)} bytes")
        try:
            await self.work(reader, fields)
            data = self._body(attempt)
            headers = [
                ("Attempt-Id", attempt),
                ("Response-Signature", f"{self.name}.{attempt}"),
                ("Replica-Load", f"{self._running},0,{self.slots}"),
            ]
            writer.write(reply(200, data, headers))
            await writer.drain()
            run["end"] = "answered"
        except ConnectionError:
            run["end"] = "dropped: its channel was closed"
            raise
        finally:
            self._running -= 1
            self._record.note(f"{self.name} ends {attempt}: {run['end']}")

    async def work(self, reader, fields):
        """Work; drop the request if its channel closes meanwhile."""
        until_s = time.monotonic() + self.work_s()
        while (left_s := until_s - time.monotonic()) > 0:
            await asyncio.sleep(min(0.01, left_s))
            if reader.at_eof() or reader.exception() is not None:
                raise ConnectionError("channel closed")


# Consumers


class Channel:
    """One channel of a consumer; sends one request after the other."""

    def __init__(self, record, name, address):
        self.name, self._record, self._address = name, record, address
        self.reader = self.writer = None

    async def open(self):
        host, _, port = self._address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=2**20)

    @property
    def is_open(self):
        return self.writer is not None and not self.reader.at_eof()

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def request(self, method, host, path, attempt, headers=(), pieces=(b"",), gap_s=0.0):
        """Send a request, its body in pieces; return (status, headers, body) or how it ended."""
        size = sum(map(len, pieces))
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Attempt-Id: {attempt}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if size:
            lines.append(f"Content-Length: {size}")
        start_s = time.monotonic()
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + pieces[0])
            await self.writer.drain()
            for piece in pieces[1:]:
                await asyncio.sleep(gap_s)
                self.writer.write(piece)
                await self.writer.drain()
            self._record.note(f"{self.name} has sent {attempt} whole: {method} {path}")
            head = await read_head(self.reader)
            if head is None:
                return self._ended(attempt, "closed without an answer", start_s)
            body = await read_body(self.reader, head[1], True)
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as exc:
            return self._ended(attempt, f"broken: {type(exc).__name__}", start_s)
        status, fields = int(head[0].split(" ")[1]), dict(head[1])
        took_ms = (time.monotonic() - start_s) * 1000
        self._record.note(f"{self.name} gets {status} to {attempt} after {took_ms:.0f} ms")
        if fields.get("connection", "").lower() == "close":
            self.close()
        return status, fields, body

    def _ended(self, attempt, how, start_s):
        took_ms = (time.monotonic() - start_s) * 1000
        self._record.note(f"{self.name} gets no answer to {attempt}: {how}, {took_ms:.0f} ms")
        self.close()
        return how


def new_attempt():
    return f"{random.getrandbits(64):016x}"


# Routers


def render(template, fields):
    """Fill in a template of settings, as DEPLOY.md says (the parts that are used here)."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        return match[2] if find(match[1]) in (None, False) else ""

    def place(match):
        name, is_json = match[1], match[2]
        value = find(name)
        if is_json:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


BOUNDS = {
    "contactMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "strictRevocation": True, "revokeMs": 5000, "retryBudgetRatio": 0.9, "retryWindowS": 10,
    "retrySlack": 58, "exposureShare": 0.15, "exposureSlack": 30, "rollbackMs": 5000,
    "sessionS": 5,
}  # fmt: skip
CONTRACTS = [
    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
    "platform", "rollout",
]  # fmt: skip


def free_ports(count):
    """Return free ports below those that the kernel gives to channels, so that they stay free."""
    found = []
    while len(found) < count:
        port = random.randrange(20_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Router:
    """A router process, started as the deploy file says."""

    def __init__(self, record, folder, name, store, zone="a", bounds=None, memory_mb=150):
        self.name, self._record, self._folder = name, record, Path(folder)
        callers, readiness, first, last = free_ports(4)
        self.callers, self.readiness = f"{LOOPBACK}:{callers}", f"{LOOPBACK}:{readiness}"
        fields = {
            "nodeName": name,
            "zone": zone,
            "region": "r",
            "ip": LOOPBACK,
            "listen": {"front": self.callers, "readiness": self.readiness},
            "internalPortRange": [first, last],
            "limits": {"memoryMb": memory_mb, "linkMbps": 1000.0},
            "contracts": CONTRACTS,
            "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": store},
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]
        self._command = role["run"].split(" ")
        self._settings = self._folder / f"{name}.json"
        self._settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        self.process = None

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": "target/deps", "UMBERHITCH_NODE_FILE": str(self._settings)}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.note(f"{self.name} starts at {self.callers}")

    async def is_ready(self):
        host, _, port = self.readiness.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and head[0].split(" ")[1] == "200"

    async def wait_until_ready(self, limit_s=20.0):
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if await self.is_ready():
                self._record.note(f"{self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready after {limit_s} s")

    def signal(self, number):
        self._record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


def play(folder, scenario):
    """Run ``scenario(record, work_folder, routers)``; return the exit code.

    The scenario returns the findings: what broke the rule. ``routers`` is a list to which it adds
    the routers that it starts.
    """
    record = Record(folder)
    work, routers = tempfile.mkdtemp(), []
    try:
        findings = asyncio.run(asyncio.wait_for(scenario(record, work, routers), 110.0))
    except Exception as exc:
        record.note(f"the case could not run: {type(exc).__name__}: {exc}")
        print(f"could not run: {type(exc).__name__}: {exc}")
        return 2
    finally:
        for router in routers:
            router.end()
        if "KEEP" in os.environ:
            shutil.copytree(work, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    for finding in findings:
        record.note(f"BROKEN: {finding}")
        print(f"BROKEN: {finding}")
    record.note("rule broken" if findings else "rule held")
    print("rule broken" if findings else "rule held")
    return 1 if findings else 0


HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
