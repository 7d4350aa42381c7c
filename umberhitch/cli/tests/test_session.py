"""The tool against a router over real sockets."""

from typing import Any

import pytest

from umberhitch.cli._client import Client
from umberhitch.cli._completion import completion_script
from umberhitch.cli._output import format_rows
from umberhitch.cli._session import ExitCode, Options, Session
from umberhitch.conftest import Served


class Tool:
    """A session that remembers what it printed."""

    def __init__(self, address: str, **options: Any) -> None:
        self.rows: list[dict[str, Any]] = []
        self.lines: list[str] = []
        client = Client([address])
        self.session = Session(client, Options(**options), self.rows.extend, self.lines.append)

    def run(self, text: str) -> int:
        self.rows.clear()
        self.lines.clear()
        return self.session.run(text)


@pytest.fixture
def tool(served: Served) -> Tool:
    return Tool(served.operators, waits_in_force=True, timeout_s=10.0)


def test_queries(tool: Tool) -> None:
    assert tool.run("show versions of m where state = active") == ExitCode.OK
    assert [row["name"] for row in tool.rows] == ["1"]
    assert tool.run("count endpoints by state") == ExitCode.OK
    assert tool.rows == [{"state": "ready", "count": 2}]
    assert tool.run("show customers sort by name desc limit 1; status") == ExitCode.OK
    assert tool.rows[0]["name"] == "other"


def test_several_changes_go_all_or_none(tool: Tool) -> None:
    assert tool.run("activate m@2 share 0.5; retire m@nope") == ExitCode.REFUSED
    assert any('unknown version "m@nope"' in line for line in tool.lines)
    tool.run('show versions where name = "2"')
    assert tool.rows[0]["state"] == "staged"


def test_a_change_is_awaited_and_kept_in_the_history(tool: Tool) -> None:
    assert tool.run("set customer other limits.burst = 7") == ExitCode.OK
    assert "in force everywhere" in tool.lines[-1]
    tool.run("show customers where name = other")
    assert tool.rows[0]["limits"]["burst"] == 7
    tool.run("history of customer other")
    assert [row["verdict"] for row in tool.rows] == ["accepted", "accepted"]


def test_a_guard_and_a_dry_run_change_nothing(served: Served) -> None:
    guarded = Tool(served.operators, if_revision=99999)
    assert guarded.run("retire m@2") == ExitCode.REFUSED
    dry = Tool(served.operators, is_dry_run=True)
    assert dry.run("withdraw m@1; permit other m@2") == ExitCode.OK
    assert len(dry.rows) == 2
    assert dry.run("show versions where state = withdrawn") == ExitCode.OK
    assert dry.rows == []


def test_every_mistake_is_pointed_at(tool: Tool) -> None:
    assert tool.run("show versions where = 3; withdraw m\nshow foo") == ExitCode.BAD_USAGE
    assert tool.lines[0].startswith("line 1, column 21: ")
    assert "MODEL@VERSION" in tool.lines[1]
    assert tool.lines[2].startswith('line 2, column 6: "foo"')


def test_no_router_has_its_own_exit_code() -> None:
    assert Tool("127.0.0.1:1").run("status") == ExitCode.UNREACHABLE


def test_output_formats() -> None:
    rows = [{"a": 1, "b": [1, 2], "c": None}]
    assert format_rows(rows, "jsonl") == '{"a":1,"b":[1,2],"c":null}'
    assert "1, 2" in format_rows(rows, "table")
    assert "complete -F" in completion_script("bash")
