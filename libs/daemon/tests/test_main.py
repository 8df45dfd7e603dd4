"""Guards the command against unreported invalid options and a wrong ready line or exit code."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from skylarkmoor_daemon.main import EXIT_FORCED, EXIT_SETTINGS, main

_LIBS = Path(__file__).parents[2]


def test_all_invalid_options_are_reported_together():
    arguments = ["--http-address", "localhost:80", "--peer-address", "127.0.0.1:99999"]
    arguments += ["--log-url", "ftp://x", "--log-level", "loud"]
    result = CliRunner().invoke(main, arguments, env={"SKYLARKMOOR_HOST": "entry-1"})
    assert result.exit_code == EXIT_SETTINGS
    faults = [line.split(": ")[1] for line in result.stderr.splitlines()]
    assert faults == [
        "--failure-domain",
        "--http-address",
        "--peer-address",
        "--log-url",
        "--hosts-url",
        "--log-level",
    ]


@pytest.fixture
def daemon():
    """Run the command with a log and a host list that refuse connections."""
    url = "http://127.0.0.1:9"
    settings = {
        "HOST": "entry-1",
        "FAILURE_DOMAIN": "a",
        "HTTP_ADDRESS": "127.0.0.1:0",
        "PEER_ADDRESS": "127.0.0.1:0",
        "LOG_URL": url,
        "HOSTS_URL": url,
    }
    environment = {f"SKYLARKMOOR_{name}": value for name, value in settings.items()}
    environment["PYTHONPATH"] = ":".join(str(path) for path in sorted(_LIBS.glob("*/src")))
    process = subprocess.Popen(
        [sys.executable, "-m", "skylarkmoor_daemon.main"],
        env={**os.environ, **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    yield process
    if process.poll() is None:
        process.kill()
    process.communicate(timeout=20)


def test_ready_line_has_both_addresses_and_sigterm_exits_with_zero(daemon):
    ready = msgspec.json.decode(daemon.stdout.readline())["ready"]
    assert [address.rpartition(":")[0] for address in ready.values()] == ["127.0.0.1"] * 2
    assert all(not address.endswith(":0") for address in ready.values())
    daemon.send_signal(signal.SIGTERM)
    assert daemon.wait(timeout=20) == 0
    assert EXIT_FORCED != 0
