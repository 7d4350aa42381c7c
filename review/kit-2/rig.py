"""Small stand-ins for the second review: store, replicas, consumers, and the start of routers.

Standard library only. Everything listens on loopback, at free ports. The store and the replicas
follow PROTOCOL.md; the routers are started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
BOUNDS = {
    "configuration_s": 2.0,
    "revocation_s": 5.0,
    "strict_revocation": True,
    "retry_ratio": 0.9,
    "retry_slack": 58,
    "retry_window_s": 10,
    "exposure_share": 0.15,
    "exposure_slack": 30,
    "session_s": 5,
}


class Record:
    """What was sent, answered and run, in the file that ``RECORD`` names."""

    def __init__(self, folder):
        self._file = open(os.environ.get("RECORD") or Path(folder) / "record.txt", "w")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, *words):
        print(f"{self.now():9.3f}", *words, file=self._file, flush=True)


async def read_head(reader):
    """Return first line and headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's metadata store: a log with keyed topics and groups."""

    PARTS = 24

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.groups = {}
        self.address = None
        self.on_status = lambda key, value: None

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        async with self.changed:
            self.topics.setdefault(topic, []).append(bytes([len(key)]) + key.encode() + data)
            self.changed.notify_all()

    def newest(self, topic):
        found = {}
        for offset, record in enumerate(self.topics.get(topic, [])):
            end = 1 + record[0]
            found[record[1:end].decode()] = (record[end:], offset)
        return {key: row for key, row in found.items() if row[0]}

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = line.split(" ")
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                status, data = await self._answer(url.path, query, body)
                out = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                writer.write(out + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query, body):
        topic = query.get("topic")
        match path:
            case "/-/log-append":
                return await self._append(topic, query, body)
            case "/-/log-read":
                return await self._read(topic, query)
            case "/-/log-newest":
                after = query.get("after", "")
                rows = sorted(self.newest(topic).items())
                items = [
                    {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                    for key, (value, offset) in rows
                    if key > after
                ]
                end = len(self.topics.get(topic, []))
                page = {"items": items[:500], "hasMore": len(items) > 500, "endOffset": end}
                return 200, json.dumps(page).encode()
            case "/-/log-join":
                return 200, json.dumps(self._join(json.loads(body))).encode()
            case "/-/log-leave":
                asked = json.loads(body)
                group = self.groups.get(asked["group"])
                if group is not None and group["seen"].pop(asked["member"], None):
                    group["generation"] += 1
                return 200, b"{}"
            case "/-/log-owners":
                group = self.groups.get(query["group"])
                rows = [] if group is None else self._owners(group)
                return 200, json.dumps({"parts": rows}).encode()
        return 404, b"{}"

    async def _append(self, topic, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        async with self.changed:
            known = self.topics.setdefault(topic, [])
            expected = query.get("expectedOffset")
            if expected is not None and int(expected) != len(known):
                return 412, json.dumps({"endOffset": len(known)}).encode()
            offset = len(known)
            known += records
            self.changed.notify_all()
        if topic == "keyed.status":
            for record in records:
                end = 1 + record[0]
                if record[end:]:
                    self.on_status(record[1:end].decode(), json.loads(record[end:]))
        reply = {"offset": offset, "endOffset": len(known)}
        return 200, json.dumps(reply).encode()

    async def _read(self, topic, query):
        start, until = int(query["from"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        async with self.changed:
            while len(self.topics.get(topic, [])) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    break
        records = self.topics.get(topic, [])
        if start > len(records):
            return 410, b'{"firstOffset":0}'
        out = struct.pack(">QQ", len(records), 0)
        out += b"".join(struct.pack(">I", len(each)) + each for each in records[start:])
        return 200, out

    def _join(self, asked):
        group = self.groups.setdefault(
            asked["group"], {"generation": 0, "seen": {}, "ttl": {}, "topics": asked["topics"]}
        )
        if asked["member"] not in self._live(group):
            group["generation"] += 1
        group["seen"][asked["member"]] = time.monotonic()
        group["ttl"][asked["member"]] = asked["ttlMs"] / 1000
        parts = [[t, n, 0] for t, n, member, _ in self._owners(group) if member == asked["member"]]
        return {"generation": group["generation"], "ttlMs": asked["ttlMs"], "parts": parts}

    def _live(self, group):
        now = time.monotonic()
        for member in [m for m, at in group["seen"].items() if now - at > group["ttl"][m]]:
            del group["seen"][member]
            group["generation"] += 1
        return sorted(group["seen"])

    def _owners(self, group):
        members = self._live(group)
        parts = [(topic, number) for topic in group["topics"] for number in range(self.PARTS)]
        return [
            [topic, number, members[index % len(members)], 0]
            for index, (topic, number) in enumerate(parts)
            if members
        ]


class Replica:
    """One lifetime of a replica; ``behave(replica, request)`` writes the answer."""

    def __init__(self, store, service, name, version="v1", zone="suva-a", slots=8, behave=None):
        self.store, self.service, self.id, self.version = store, service, name, version
        self.zone, self.slots, self.behave = zone, slots, behave or answer_plainly
        self.state = "ready"
        self.runs = []
        self.arrivals = []
        self._sequence = 0
        self._server = None
        self._beats = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=64 * 1024
        )
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        await self.beat()
        self._beats = asyncio.ensure_future(self._keep_beating())

    async def beat(self):
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
        }
        await self.store.put("keyed.servers", self.id, entry)

    async def _keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def drain(self):
        self.state = "draining"
        await self.beat()

    async def leave(self):
        """Remove the entry and stop."""
        self._beats.cancel()
        await self.store.put("keyed.servers", self.id, None)
        self.stop()

    def stop(self):
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                request = Request(self, line, headers, reader, writer)
                self.arrivals.append(request)
                if headers.get("expect-instance", self.id) != self.id:
                    await request.read_body()
                    request.answer(421, b"", {"Replica-Id": self.id}, echo=False)
                    continue
                if (await self.behave(self, request)) is False:
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Request:
    """A request as a replica sees it."""

    def __init__(self, replica, line, headers, reader, writer):
        self.replica, self.headers, self.reader, self.writer = replica, headers, reader, writer
        self.method, self.target, _ = line.split(" ")
        self.id = headers.get("attempt-id", "")
        self.at = time.monotonic()
        self.body = b""

    async def read_body(self):
        self.body = await self.reader.readexactly(int(self.headers.get("content-length", 0)))
        return self.body

    def run(self):
        """Note that the replica begins to work on the request."""
        self.replica.runs.append(self)

    def answer(self, status, body=b"", headers=None, echo=True):
        named = {"Content-Length": str(len(body)), **(headers or {})}
        if echo:
            named |= {"Attempt-Id": self.id}
        if echo and "Not-Executed" not in named:
            named |= {"Response-Signature": f"{self.replica.id}.{self.id}"}
        head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in named.items())
        self.writer.write(head.encode() + b"\r\n" + body)


async def answer_plainly(replica, request):
    await request.read_body()
    request.run()
    await asyncio.sleep(0.02)
    request.answer(200, f"{replica.id} ran {request.id}".encode())


class Answer:
    """What a consumer got; status 0 if the channel ended before an answer."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole


class Channel:
    """A kept channel of a consumer."""

    def __init__(self, address):
        self._address = address
        self.reader = self.writer = None

    async def open(self):
        host, _, port = self._address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    async def ask(self, path, attempt, *, method="POST", body=b"", headers=None, key=KEY, deadline=1500):
        named = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline)}
        if key:
            named["Authorization"] = f"Bearer {key}"
        named |= headers or {}
        if body or method == "POST":
            named["Content-Length"] = str(len(body))
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in named.items())
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            await self.writer.drain()
            return await self._answer()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            return Answer(0, {}, b"", False)

    async def _answer(self):
        found = await read_head(self.reader)
        if found is None:
            return Answer(0, {}, b"", False)
        line, headers = found
        status, body, is_whole = int(line.split(" ")[1]), b"", True
        try:
            if headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    body += (await self.reader.readexactly(size + 2))[:-2]
                    if not size:
                        break
            else:
                body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError):
            is_whole = False
        return Answer(status, headers, body, is_whole)

    def close(self):
        if self.writer is not None:
            self.writer.close()


def free_port():
    """Return a free port below those that the kernel gives to connections."""
    for _ in range(200):
        port = random.randint(10_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise RuntimeError("no free port")


class Router:
    """One process of the role ``router``, started with the command of the deploy file."""

    def __init__(self, folder, store, name, zone="suva-a", memory_mb=150, bounds=None, terms=()):
        self.name, self._folder = name, Path(folder)
        self.settings = {
            "role": "gateway",
            "name": name,
            "zone": zone,
            "region": "suva",
            "log_level": "INFO",
            "drain_s": 8,
            "memory_mb": memory_mb,
            "link_mbps": 1000,
            "store": store.address,
            "terms": list(terms),
            "bounds": BOUNDS | (bounds or {}),
        }
        self.process = None

    async def start(self):
        """Start the process; with other ports if it doesn't come up, as one may have been taken."""
        for _ in range(3):
            if await self._try_start():
                return self
            await self.kill()
        raise RuntimeError("a router did not become ready")

    async def _try_start(self):
        names = ("callers", "readiness", "pages", "link")
        listen = {name: f"127.0.0.1:{free_port()}" for name in names}
        self.callers, self.readiness = listen["callers"], listen["readiness"]
        self.settings["listen"] = listen
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        run = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]["run"]
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "UMBERHITCH_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = open(self._folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *run.split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        until = time.monotonic() + 10
        while time.monotonic() < until and self.process.returncode is None:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self):
        try:
            channel = await Channel(self.readiness).open()
            asked = channel.ask("/-/readyz", "", method="GET", key=None)
            answer = await asyncio.wait_for(asked, 1.0)
            channel.close()
            return answer.status == 200
        except (OSError, TimeoutError):
            return False

    def memory_mb(self):
        """Return the present and the highest resident memory in MiB, or None once it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return None
        found = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
        if "VmHWM" not in found:
            return None
        return tuple(int(found[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM"))

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def route(name, kind, service, **fields):
    """Return a route of a manifest."""
    found = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 800,
        "targetLatencyMs": 125,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
    }
    return found | fields


def manifest(version, routes, services, limits=None, keys=(KEY,)):
    """Return a manifest."""
    bounds = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": bounds | (limits or {}),
        "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}],
    }


def play(folder, scenario, limit_s=110):
    """Run ``scenario(record, folder, has_trouble)``; exit with what it returns, 2 if it can't run."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble" if has_trouble else "no trouble")
    temporary = tempfile.mkdtemp()
    routers = []

    async def run():
        try:
            return await asyncio.wait_for(scenario(record, temporary, routers, has_trouble), limit_s)
        finally:
            for router in routers:
                await router.kill()

    try:
        code = asyncio.run(run())
    except Exception as exc:  # the case couldn't run
        record.write("could not run:", repr(exc))
        if os.environ.get("KEEP"):
            raise
        code = 2
    record.write("exit", code)
    if os.environ.get("KEEP"):
        print("kept", temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    print({0: "the rule held", 1: "the rule was broken"}.get(code, "the case could not run"))
    sys.exit(code)
