"""The daemon as a process: its settings, its exit codes, its shutdown."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from socket import create_connection

from msgspec import json

from umberhitch.cli._listening import SETTINGS_VARIABLE, listen_early

LIMIT_S = 60.0
AGENT = {
    "role": "agent",
    "name": "e1",
    "zone": "a",
    "listen": {"link": "127.0.0.1:0", "health": "127.0.0.1:0"},
    "backend": {"url": "http://127.0.0.1:9", "targets": ["m@1"]},
}


def write(folder: Path, settings: dict) -> str:
    path = folder / "settings.json"
    path.write_bytes(json.encode(settings))
    return f"--settings={path}"


def run(*args: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "umberhitch.cli.daemon", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)


def test_check_accepts_good_settings(tmp_path: Path) -> None:
    done = run(write(tmp_path, AGENT), "--check")
    assert (done.returncode, done.stdout.endswith("ok\n")) == (0, True)


def test_every_finding_in_bad_settings_is_reported(tmp_path: Path) -> None:
    bad = {
        **AGENT,
        "zone": "",
        "surplus": 1,
        "listen": {"link": "localhost:1", "health": "127.0.0.1:99999"},
    }
    done = run(write(tmp_path, bad))
    assert done.returncode == 2
    lines = done.stderr.splitlines()
    for place in ("zone", "surplus", "listen.link", "listen.health"):
        assert any(f": {place}: " in line for line in lines), place


def test_the_link_needs_keys_off_loopback(tmp_path: Path) -> None:
    away = {**AGENT, "listen": {"link": "10.0.0.1:7000", "health": "127.0.0.1:0"}}
    done = run(write(tmp_path, away), "--check")
    assert done.returncode == 2
    assert "link_keys" in done.stderr


def test_unknown_flags_and_missing_files_have_their_exit_code(tmp_path: Path) -> None:
    assert run("--nonsense").returncode == 2
    assert run(f"--settings={tmp_path / 'none.json'}").returncode == 2
    assert run("--version").stdout.startswith("umberhitchd ")


def test_an_idle_agent_drains_at_once_and_keeps_tls_out(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "umberhitch.cli.daemon", write(tmp_path, AGENT)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE)
    assert process.stderr is not None
    try:
        for line in process.stderr:
            record = json.decode(line)
            if "addresses" in record:
                break
        assert record["node"] == "e1"
        mapped = Path(f"/proc/{process.pid}/maps").read_text()
        assert "cryptography" not in mapped
        process.send_signal(signal.SIGTERM)
        assert process.wait(LIMIT_S) == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_a_signal_drains_a_process_as_soon_as_it_says_that_it_started(tmp_path: Path) -> None:
    """It died of the signal until the reactor ran (CI beside load: exit -15)."""
    code = (
        "import os, signal, sys; sys.argv = ['d', sys.argv[1]]\n"
        "from umberhitch.cli import _gateway_process, daemon\n"
        "def tell_and_end(log):\n"
        "    told = log.info\n"
        "    def tell(message, **kwargs):\n"
        "        told(message, **kwargs)\n"
        "        if message == 'started':\n"
        "            os.kill(os.getpid(), signal.SIGTERM)\n"
        "    log.info = tell\n"
        "tell_and_end(daemon.log)\n"
        "tell_and_end(_gateway_process.log)\n"
        "daemon.run()\n"
    )
    for settings in (AGENT, GATEWAY):
        command = [sys.executable, "-c", code, write(tmp_path, settings)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)
        assert (done.returncode, '"draining"' in done.stderr) == (0, True), done.stderr


def test_every_role_goes_by_the_steady_clock(tmp_path: Path) -> None:
    code = (
        "import sys, time; sys.argv = ['d', sys.argv[1]]\n"
        "from twisted.internet import reactor\n"
        "from umberhitch.cli import daemon\n"
        "steady = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)\n"
        "reactor.run = lambda **kwargs: print(steady() <= reactor.seconds() <= steady())\n"
        "daemon.run()\n"
    )
    for settings in (AGENT, GATEWAY):
        command = [sys.executable, "-c", code, write(tmp_path, settings)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)
        assert done.stdout == "True\n", done.stderr


GATEWAY = {
    "role": "gateway",
    "name": "r1",
    "zone": "a",
    "drain_s": 3.5,
    "listen": {
        "callers": "127.0.0.1:0",
        "readiness": "127.0.0.1:0",
        "pages": "127.0.0.1:0",
        "link": "127.0.0.1:0",
    },
    "store": "127.0.0.1:9",
}


def test_a_gateway_lives_on_at_sighup_and_ends_at_sigterm(tmp_path: Path) -> None:
    """At SIGHUP it once died, and every request with it (score of the registry's scale-1)."""
    flag = write(tmp_path, GATEWAY)
    command = [sys.executable, "-m", "umberhitch.cli.daemon", flag]
    with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
        assert process.stderr is not None
        seen: list[str] = []

        def wait_for(message: str) -> dict:
            for line in process.stderr:
                seen.append(line)
                if f'"{message}"' in line:
                    return json.decode(line)
            raise AssertionError(seen)

        wait_for("started")
        write(tmp_path, {"role": "gateway"})
        process.send_signal(signal.SIGHUP)
        wait_for("settings not valid, the old ones hold")
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=LIMIT_S)
        assert process.returncode == 0


def test_every_finding_in_bad_settings_of_a_gateway_is_reported(tmp_path: Path) -> None:
    bad = {
        **GATEWAY,
        "zone": "",
        "surplus": 1,
        "store": "nowhere",
        "listen": {**GATEWAY["listen"], "link": "127.0.0.1:99999"},
        "bounds": {"retry_ratio": -1, "strict_revocation": "no"},
    }
    del bad["name"]
    done = run(write(tmp_path, bad), "--check")
    assert done.returncode == 2
    lines = done.stderr.splitlines()
    places = ["name", "zone", "surplus", "store", "listen.link"]
    places += ["bounds.retry_ratio", "bounds.strict_revocation"]
    for place in places:
        assert any(f": {place}: " in line for line in lines), place


def test_a_gateway_starts_without_what_it_does_not_use(tmp_path: Path) -> None:
    """Its start is time in which callers are refused."""
    code = (
        "import sys; sys.argv = ['d', sys.argv[1]]\n"
        "from umberhitch.cli import daemon\n"
        "import umberhitch.gateway_node, umberhitch.adapters.logs\n"
        "print(*sorted({'pydantic', 'klein', 'treq', 'opentelemetry', 'lark'} & set(sys.modules)))"
    )
    command = [sys.executable, "-c", code, "x"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)
    assert (done.returncode, done.stdout.strip()) == (0, "")


def test_callers_are_taken_before_the_process_is_ready() -> None:
    """They found no connection for 0.6 s after a restart (registry, trouble-3)."""
    with (
        listen_early("127.0.0.1:0") as listening,
        create_connection(listening.getsockname(), LIMIT_S) as caller,
    ):
        caller.sendall(b"GET")


def test_callers_are_taken_before_the_libraries_are_imported(tmp_path: Path) -> None:
    """Imports were half of the time in which callers found no one (Cedarline, scale-1)."""
    path = tmp_path / "settings.json"
    path.write_bytes(json.encode(GATEWAY))
    code = (
        "import sys; sys.argv = ['d']\n"
        "from umberhitch.cli import early\n"
        "took = early.keep_early_socket\n"
        "def listen(address):\n"
        "    print(*sorted({'absl', 'msgspec', 'twisted'} & set(sys.modules)), flush=True)\n"
        "    print(took(address), flush=True)\n"
        "    sys.exit(0)\n"
        "early.keep_early_socket = listen\n"
        "early.run()\n"
    )
    command = [sys.executable, "-c", code]
    env = {**os.environ, SETTINGS_VARIABLE: str(path)}
    done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S, env=env)
    assert (done.returncode, done.stdout) == (0, "\nNone\n")


def test_the_early_entry_leaves_bad_settings_to_the_daemon(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(json.encode({"role": "gateway", "listen": 3}))
    command = [sys.executable, "-m", "umberhitch.cli.early"]
    env = {**os.environ, SETTINGS_VARIABLE: str(path)}
    done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S, env=env)
    assert done.returncode == 2
    assert "listen" in done.stderr


def test_a_gateway_that_is_hung_up_while_it_starts_lives_and_reads_its_settings_again(
    tmp_path: Path,
) -> None:
    """It ended with the signal until its handlers stood, some 0.3 s after the start."""
    path = tmp_path / "settings.json"
    path.write_bytes(json.encode(GATEWAY))
    code = (
        "import os, signal, sys; sys.argv = ['d']\n"
        "from umberhitch.cli import early\n"
        "took = early.keep_early_socket\n"
        "def listen(address):\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    took(address)\n"
        "early.keep_early_socket = listen\n"
        "from umberhitch.cli import _gateway_process\n"
        "reload = _gateway_process._Reload._reload\n"
        "def reload_and_stop(self):\n"
        "    reload(self)\n"
        "    os.kill(os.getpid(), signal.SIGTERM)\n"
        "_gateway_process._Reload._reload = reload_and_stop\n"
        "early.run()\n"
    )
    command = [sys.executable, "-c", code]
    env = {**os.environ, SETTINGS_VARIABLE: str(path)}
    done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S, env=env)
    assert (done.returncode, '"settings read again"' in done.stderr) == (0, True), done.stderr
