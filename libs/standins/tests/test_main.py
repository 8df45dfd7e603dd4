"""Guards against a missing ready line, an ignored SIGTERM and help without an example."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner

from skylarkmoor_standins.main import cli

COMMANDS = ["log", "hosts", "weights", "engine", "plain"]


@pytest.mark.parametrize("command", COMMANDS)
def test_help_shows_an_example_and_the_environment_variables(command):
    result = CliRunner().invoke(cli, [command, "--help"], terminal_width=200)
    assert result.exit_code == 0
    assert f"Example: skylarkmoor-standin {command} " in result.output
    assert f"SKYLARKMOOR_STANDIN_{command.upper()}_ADDRESS" in result.output


@pytest.mark.parametrize(
    "arguments",
    [["--address", "localhost:80"], ["--faults", "[]"], ["--faults", "{"], ["--lag-ms", "-1"]],
)
def test_invalid_options_are_refused(arguments):
    result = CliRunner().invoke(cli, ["hosts", *arguments])
    assert result.exit_code == 2


def start(command, *arguments, **variables):
    return subprocess.Popen(
        [sys.executable, "-m", "skylarkmoor_standins.main", command, *arguments],
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)} | variables,
        stdout=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("command", COMMANDS)
def test_ready_line_is_printed_and_sigterm_stops_the_process(command):
    address = f"SKYLARKMOOR_STANDIN_{command.upper()}_ADDRESS"
    process = start(command, **{address: "127.0.0.1:0"})
    try:
        ready = json.loads(process.stdout.readline())
        assert ready["ready"].startswith("127.0.0.1:")
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


@pytest.mark.parametrize(
    ("command", "path", "body"),
    [
        ("plain", "/call", {"attempt": "a", "route": "order", "body": {"note": "boom"}}),
        (
            "engine",
            "/generate",
            {"attempt": "a", "version": "v1", "prompt": "a boom", "max_tokens": 5},
        ),
    ],
)
def test_crash_fault_exits_without_an_answer(command, path, body):
    process = start(command, "--faults", json.dumps({"crash_on": "boom"}))
    try:
        address = json.loads(process.stdout.readline())["ready"]
        connection = http.client.HTTPConnection(address, timeout=20)
        with contextlib.closing(connection):
            connection.request("POST", path, json.dumps(body))
            with pytest.raises((http.client.HTTPException, ConnectionError)):
                connection.getresponse().read()
        assert process.wait(timeout=20) == 70
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
