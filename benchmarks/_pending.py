"""Prints the resident memory, in MB, with so many usage records waiting for a log that is down."""

import logging
import sys
from pathlib import Path
from random import Random

from twisted.internet.task import Clock

from benchmarks._processes import PAGE_BYTES
from umberhitch.fakes import FakeLog, FakeNetwork, LogFaults, MemoryLog
from umberhitch.tasks.usage_writer import UsageWriter
from umberhitch.wire import Usage, UsageRecord


def main() -> None:
    """Hold the records and print the memory."""
    logging.disable(logging.CRITICAL)
    count = int(sys.argv[1])
    clock = Clock()
    port = FakeLog(MemoryLog(), clock, LogFaults(is_down=True))
    link = FakeNetwork(clock, Random(1)).link("r1")
    bills = UsageWriter(port, clock, Random(1), link)
    for index in range(count):
        usage = Usage(500, 200, 100)
        record = UsageRecord(
            f"req-{index:032x}", "a-customer", "registry-mid@2026-11", usage, 4321, 1, "lookup"
        )
        bills.write(record, [f"endpoint-{index % 260}"])
    clock.advance(1.0)
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    print(pages * PAGE_BYTES / 1e6)


if __name__ == "__main__":
    main()
