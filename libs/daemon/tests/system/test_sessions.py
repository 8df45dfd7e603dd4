"""Guards against changed answers and command output in sessions with failures (snapshots)."""

import json
import re
import time

import pytest

from skylarkmoor_standins.harness import wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3"]
_REPLACED_PATTERNS = [
    (re.compile(r"127\.0\.0\.1:\d+"), "<address>"),
    (re.compile(r"\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)?( UTC)?"), "<time>"),
    (re.compile(r"\b1\d{12}\b"), "<time>"),
    (re.compile(r"/\S*/(?=[a-z-]+\.json)"), ""),
]


@pytest.fixture(scope="module")
def system(new_system):
    system = new_system()
    system.start_platform()
    system.start_plain_services(["plain-1"], "--service-ms", "50")
    system.start_daemons(DAEMONS)
    return system


class Session:
    """Transcript of answers and output; times, incarnations, addresses and paths are replaced."""

    def __init__(self, system):
        self.lines = []
        self._system = system

    def operator(self, *arguments):
        completed = self._system.run_skylarkmoorctl(*arguments)
        self.append_lines(
            f"$ skylarkmoorctl {' '.join(arguments)}",
            completed.stdout,
            completed.stderr,
            f"exit {completed.returncode}",
        )

    def order(self, daemon, key, body, issued_ms):
        answer = self._system.order(daemon, key, body, issued_ms=issued_ms)
        body_json = json.dumps(answer.body, sort_keys=True)
        self.append_lines(
            f"> order {key} {json.dumps(body)} to {daemon}", f"{answer.status} {body_json}"
        )

    def append_lines(self, *texts):
        for text in texts:
            for pattern, name in _REPLACED_PATTERNS:
                text = pattern.sub(name, text)
            self.lines += text.splitlines()


def test_session_of_orders_through_failures(system, orders, tmp_path, snapshot):
    """Callers and operators must get the recorded answers while daemons and the log fail."""
    path = tmp_path / "orders.json"
    path.write_text(json.dumps(orders))
    session = Session(system)
    session.operator("publish", str(path), "--author", "gwen")
    session.operator("publish", str(path), "--author", "mere", "--based-on", "none")
    system.wait_until_converged()
    issued_ms = int(time.time() * 1_000)
    key = system.key_owned_by("entry-3", DAEMONS)
    body = {"item": "refill"}
    session.order("entry-1", key, body, issued_ms)
    session.order("entry-2", key, body, issued_ms)
    session.order("entry-2", key, {"item": "warmer"}, issued_ms)
    system.set_faults("log", outage=True)
    session.order("entry-2", "during-outage", body, issued_ms)
    system.set_faults("log", outage=False)
    system.processes.kill("entry-1")
    wait_until(lambda: "entry-1" not in system.status("entry-2")["peers"], 10.0, "entry-1 is gone")
    session.order("entry-2", key, body, issued_ms)
    session.operator("drain", "entry-3", "--author", "gwen")
    assert system.processes.exit_code("entry-3", 15.0) == 0
    session.order("entry-2", "after-the-drain", body, issued_ms)
    session.operator("show", "orders")
    assert len(system.calls("plain-1")) == 2
    assert "\n".join(session.lines) == snapshot
