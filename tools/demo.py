"""Demonstration on one machine: three daemons in front of three engines and a plain service.

It streams one chat completion and sends one order twice, by way of different daemons, and checks
that the order ran once. It ends with exit code 0 only if everything was as expected.
"""

import json
import signal
import sys
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

# Comes before the project's own modules, which it makes importable.
from sources import ROOT

from skylarkmoor_standins.harness import (
    Deadline,
    HarnessError,
    Processes,
    get,
    post,
    run_module,
    stream_events,
    wait_until,
)

# The whole run takes less than a minute; what is left is for stopping.
LIMIT_S = 40.0
CALL_S = 15.0
PUBLISH_S = 15.0
CUSTOMER = {"X-Customer": "caerdydd"}
DOMAINS = ("caerdydd", "abertawe", "bangor")
DAEMONS = ("entry-1", "entry-2", "entry-3")
# Time of a decode step and prompt tokens a second: three generations of hardware.
ENGINES = {"engine-1": ("12", "8000"), "engine-2": ("20", "4000"), "engine-3": ("30", "2000")}
STANDIN = "skylarkmoor_standins.main"
# Does what the installed command skylarkmoorctl does, with the sources of this working copy.
OPERATOR = "from skylarkmoor_operator.main import main; main()"


@dataclass
class Demo:
    """The processes with their addresses, and the lines of the final report."""

    processes: Processes
    deadline: Deadline
    addresses: dict[str, str] = field(default_factory=dict)
    peers: dict[str, str] = field(default_factory=dict)
    report: list[str] = field(default_factory=list)

    def url(self, name: str, path: str = "") -> str:
        """Return a URL of the process called `name`."""
        return f"http://{self.addresses[name]}{path}"


def start_platform(demo: Demo) -> None:
    """Start the log, the host list, the engines and the plain service."""
    start = demo.processes.start
    start("log", STANDIN, "log")
    start("hosts", STANDIN, "hosts", "--lag-ms", "200")
    start("ordering-1", STANDIN, "plain", "--service-ms", "100")
    for name, (decode_ms, prefill) in ENGINES.items():
        speed = ("--decode-ms", decode_ms, "--prefill-tokens-per-s", prefill)
        start(name, STANDIN, "engine", *speed)
    for name in ("log", "hosts", "ordering-1", *ENGINES):
        demo.addresses[name] = demo.processes.ready(name)


def start_daemons(demo: Demo) -> None:
    """Start the daemons and learn their addresses."""
    for name, domain in zip(DAEMONS, DOMAINS, strict=True):
        demo.processes.start(
            name,
            "skylarkmoor_daemon.main",
            *("--host", name, "--failure-domain", domain),
            *("--http-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0"),
            *("--log-url", demo.url("log"), "--hosts-url", demo.url("hosts")),
        )
    for name in DAEMONS:
        ready = demo.processes.ready(name)
        demo.addresses[name] = ready["http"]
        demo.peers[name] = ready["peer"]


def enter_hosts(demo: Demo) -> None:
    """Enter all hosts in the host list."""
    entries: list[dict[str, Any]] = []
    for name, domain in zip(DAEMONS, DOMAINS, strict=True):
        entry = _entry(demo, name, "entry", domain)
        entries.append(entry | {"peer_address": demo.peers[name]})
    for name, domain in zip(ENGINES, DOMAINS, strict=True):
        entry = _entry(demo, name, "upstream", domain)
        entries.append(entry | {"service": "assistant", "checks_fencing": True})
    entry = _entry(demo, "ordering-1", "upstream", DOMAINS[0])
    entries.append(entry | {"service": "ordering"})
    status, body = post(demo.url("hosts", "/hosts"), {"add": entries}, _time(demo))
    _expect(status == 200, f"the host list answered {status}: {body}")


def publish_documents(demo: Demo) -> None:
    """Publish the documents of both services and wait until every daemon is ready."""
    for service in ("assistant", "ordering"):
        document = str(ROOT / "examples" / f"{service}.json")
        arguments = ["--log-url", demo.url("log"), "publish", document, "--author", "demo"]
        _run_operator(arguments, demo.deadline.left_s(PUBLISH_S))
    for name in DAEMONS:
        url = demo.url(name, "/readyz")
        wait_until(lambda url=url: _is_ready(demo, url), _time(demo), f"{name} is ready")
    demo.report.append(f"3 daemons ready after {demo.deadline.passed_s():.1f} s")


def show_chat(demo: Demo) -> None:
    """Stream one completion through the first daemon and check that it is whole."""
    body = {
        "model": "question",
        "messages": [{"role": "user", "content": "How do I refill a warmer? answer_tokens=60"}],
        "stream": True,
        "max_tokens": 100,
    }
    print("question to entry-1, answer:")
    start_s = time.monotonic()
    first_s: float | None = None
    pieces: list[str] = []
    url = demo.url("entry-1", "/v1/chat/completions")
    for piece in _chat_pieces(demo, url, body):
        if piece and first_s is None:
            first_s = time.monotonic() - start_s
        pieces.append(piece)
        print(piece, end="", flush=True)
    print()
    words = len("".join(pieces).split())
    _expect(words == 60, f"the answer has {words} words instead of 60")
    served = [
        (name, record)
        for name in ENGINES
        for record in get(demo.url(name, "/served"), _time(demo))[1]["served"]
        if record["end"] == "done"
    ]
    _expect(len(served) == 1, f"{len(served)} engines served the question to its end")
    demo.report.append(
        f"the answer of {words} words came from {served[0][0]}; "
        f"first text after {(first_s or 0) * 1000:.0f} ms"
    )


def show_order(demo: Demo) -> None:
    """Send one order through two daemons and check that it ran once."""
    order = {"item": "refill", "count": 12, "depot": "Bangor"}
    issued_ms = int(time.time() * 1000)
    headers = CUSTOMER | {"Idempotency-Key": f'"{uuid.uuid4()}"; issued={issued_ms}'}
    answers = []
    for name in ("entry-2", "entry-3"):
        status, body = post(demo.url(name, "/v1/call/order"), order, _time(demo), headers)
        print(f"order to {name}: {status} {body}")
        _expect(status == 200, f"{name} answered the order with {status}: {body}")
        answers.append(body)
    _expect(answers[0] == answers[1], "the resend of the order got a different answer")
    calls = get(demo.url("ordering-1", "/calls"), _time(demo))[1]["calls"]
    print(f"calls that the plain service ran: {calls}")
    _expect(len(calls) == 1, f"the order ran {len(calls)} times")
    demo.report.append("the order was sent twice with one key and ran once")


def stop(demo: Demo) -> list[str]:
    """Stop the daemons, then the stand-ins, and return what was not as expected."""
    faults = demo.processes.stop(list(DAEMONS))
    return faults + demo.processes.stop_all()


def main() -> int:
    """Run the demonstration and return the exit code."""
    # Ends by way of the clean-up below, so that no process is left behind.
    signal.signal(signal.SIGTERM, lambda signum, frame: sys.exit(128 + signum))
    deadline = Deadline(LIMIT_S)
    demo = Demo(Processes(ROOT / "out" / "demo", deadline), deadline)
    faults: list[str] = []
    try:
        for part in (start_platform, start_daemons, enter_hosts, publish_documents):
            part(demo)
        show_chat(demo)
        show_order(demo)
    except HarnessError as error:
        faults.append(str(error))
    finally:
        faults += stop(demo)
    for line in demo.report:
        print(f"ok: {line}")
    for fault in faults:
        print(f"failed: {fault}")
    if faults:
        demo.processes.print_log_tails()
    print(f"{'failed' if faults else 'done'} after {deadline.passed_s():.1f} s")
    return 1 if faults else 0


def _entry(demo: Demo, name: str, kind: str, domain: str) -> dict[str, Any]:
    return {
        "host": name,
        "kind": kind,
        "address": demo.addresses[name],
        "failure_domain": domain,
    }


def _time(demo: Demo) -> float:
    return demo.deadline.left_s(CALL_S)


def _is_ready(demo: Demo, url: str) -> bool:
    return get(url, _time(demo))[0] == 200


def _chat_pieces(demo: Demo, url: str, body: object) -> Iterator[str]:
    for data in stream_events(url, body, CUSTOMER, _time(demo)):
        if data == "[DONE]":
            return
        event = json.loads(data)
        _expect("error" not in event, f"the stream ended with the error {event}")
        choices = event.get("choices") or [{}]
        yield str(choices[0].get("delta", {}).get("content") or "")
        demo.deadline.left_s(CALL_S)
    raise HarnessError(f"the stream of {url} ended without [DONE]")


def _run_operator(arguments: list[str], timeout_s: float) -> None:
    done = run_module(OPERATOR, arguments, timeout_s)
    print(done.stdout, end="")
    _expect(done.returncode == 0, f"skylarkmoorctl failed: {done.stdout}{done.stderr}")


def _expect(condition: bool, fault: str) -> None:
    if not condition:
        raise HarnessError(fault)


if __name__ == "__main__":
    sys.exit(main())
