"""The platform's stand-ins in one process, with a configuration published.

``python -m benchmarks._platform``: prints the addresses as one JSON line.
"""

import sys
from typing import Any

from msgspec import json
from twisted.internet import reactor as _reactor

from umberhitch.adapters.http_server import listen_http
from umberhitch.config import Config, encode_record
from umberhitch.config.documents import changes_to
from umberhitch.fakes import EnginePace, FakeEngine, FakeHostList, MemoryLog
from umberhitch.standins import EngineStandin, HostListStandin, LogStandin
from umberhitch.tasks.config_feed import CONFIG_STREAM
from umberhitch.testing import make_customer, make_document

reactor: Any = _reactor
MAX_BODY_BYTES = 64 * 1024 * 1024


def main() -> None:
    """Serve until ended."""
    customers = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    memory = MemoryLog()
    rows = [make_customer(), *(make_customer(f"c{index}") for index in range(customers - 1))]
    change = changes_to(make_document(customers=rows), Config(), "chg-first", "benchmark")
    memory.append(CONFIG_STREAM, [encode_record(change)])
    pace = EnginePace(slots=64, token_s=0.0, prefill_s_per_token=0.0, answer_words=8)
    standins: dict[str, Any] = {
        "log": LogStandin(reactor, memory),
        "hosts": HostListStandin(reactor, FakeHostList()),
        "engine": EngineStandin(reactor, FakeEngine(reactor, pace)),
    }
    addresses = {
        name: listen_http(reactor, standin.app, "127.0.0.1:0", MAX_BODY_BYTES)[1]
        for name, standin in standins.items()
    }
    print(json.encode(addresses).decode(), flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
