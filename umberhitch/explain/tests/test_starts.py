"""The stages of starts, from log lines."""

from pathlib import Path

from msgspec import json

from umberhitch.cli.starts import main
from umberhitch.explain import read_lines, stage_times, starts


def _line(second: float, node: str, message: str, **facts: object) -> str:
    at = f"2026-01-02 03:04:{int(second):02d},{round(second % 1 * 1000):03d}"
    return json.encode({"at": at, "node": node, "message": message, **facts}).decode()


def _logs() -> list[str]:
    return [
        "1.5 r1 " + _line(1.0, "r1", "started"),
        _line(1.2, "r1", "peers", names=[]),
        _line(1.5, "r1", "configuration in force", number=3),
        _line(2.0, "r1", "peers", names=["r2"]),
        _line(2.5, "r1", "request ended", outcome="given up: no endpoint"),
        _line(3.0, "r1", "request ended", outcome="done"),
        _line(3.5, "r1", "configuration in force", number=4),
        _line(1.1, "r2", "started"),
        _line(4.1, "r2", "configuration in force", number=4),
        _line(9.0, "r2", "started"),
        "no line of ours",
        json.encode({"at": "yesterday", "node": "r3", "message": "started"}).decode(),
    ]


def test_each_stage_counts_from_the_start_before_it():
    found = starts(read_lines(_logs()))
    assert [start.node for start in found] == ["r1", "r2", "r2"]
    rounded = {stage: round(time_s, 3) for stage, time_s in found[0].stages_s.items()}
    assert rounded == {"configuration in force": 0.5, "peers": 1.0, "request ended": 2.0}
    assert found[2].stages_s == {}


def test_the_slowest_router_of_each_stage_is_named():
    row, *_ = stage_times(starts(read_lines(_logs())))
    assert (row.stage, row.reached, row.slowest) == ("configuration in force", 2, "r2")
    assert (round(row.middle_s, 3), round(row.slowest_s, 3)) == (1.75, 3.0)


def test_the_command_prints_a_table(tmp_path: Path, capsys):
    path = tmp_path / "a.log"
    path.write_text("\n".join(_logs()))
    assert main([str(path)]) == 0
    out = capsys.readouterr().out
    assert "3 starts within 8.00 s" in out
    assert "configuration in force" in out
    assert main([str(path), "--after", "2026-01-02 03:04:08"]) == 0
    assert "1 starts" in capsys.readouterr().out


def test_what_it_cannot_use_is_said(tmp_path: Path, capsys):
    assert main([]) == 2
    assert main([str(tmp_path / "none.log")]) == 2
    (tmp_path / "empty.log").write_text("")
    assert main([str(tmp_path / "empty.log")]) == 1
    assert "no line tells of a start" in capsys.readouterr().err
