"""Demonstration on one machine: three daemons in front of three engines and a plain service.

It streams one chat completion, sends one order through two daemons and checks that the order ran
once. The exit code is 0 only if every check passed.
"""

import json
import signal
import sys
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

# Imported first because it makes the project's own modules importable.
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

# The whole run must take less than a minute; the rest of it is left for stopping the processes.
RUN_LIMIT_S = 40.0
REQUEST_TIMEOUT_S = 15.0
PUBLISH_TIMEOUT_S = 15.0
CUSTOMER = {"X-Customer": "caerdydd"}
FAILURE_DOMAINS = ("caerdydd", "abertawe", "bangor")
DAEMONS = ("entry-1", "entry-2", "entry-3")
# Milliseconds per decode step and prefill speed in prompt tokens per second, for three hardware
# generations.
ENGINES = {"engine-1": ("12", "8000"), "engine-2": ("20", "4000"), "engine-3": ("30", "2000")}
STANDIN_MODULE = "skylarkmoor_standins.main"
# Runs the command skylarkmoorctl from the sources of this working copy.
OPERATOR_CODE = "from skylarkmoor_operator.main import main; main()"


@dataclass
class Demo:
    """Running processes, their addresses and the lines of the final report."""

    processes: Processes
    deadline: Deadline
    addresses: dict[str, str] = field(default_factory=dict)
    peers: dict[str, str] = field(default_factory=dict)
    report: list[str] = field(default_factory=list)

    def url(self, name: str, path: str = "") -> str:
        """Return the URL of a path on the process `name`."""
        return f"http://{self.addresses[name]}{path}"


def start_platform(demo: Demo) -> None:
    """Start the platform services, the engines and the plain service."""
    start = demo.processes.start
    start("log", STANDIN_MODULE, "log")
    start("hosts", STANDIN_MODULE, "hosts", "--lag-ms", "200")
    start("ordering-1", STANDIN_MODULE, "plain", "--service-ms", "100")
    for name, (decode_ms, prefill_tokens_per_s) in ENGINES.items():
        speed = ("--decode-ms", decode_ms, "--prefill-tokens-per-s", prefill_tokens_per_s)
        start(name, STANDIN_MODULE, "engine", *speed)
    for name in ("log", "hosts", "ordering-1", *ENGINES):
        demo.addresses[name] = demo.processes.ready(name)


def start_daemons(demo: Demo) -> None:
    """Start the daemons and store their HTTP and peer addresses."""
    for name, failure_domain in zip(DAEMONS, FAILURE_DOMAINS, strict=True):
        demo.processes.start(
            name,
            "skylarkmoor_daemon.main",
            *("--host", name, "--failure-domain", failure_domain),
            *("--http-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0"),
            *("--log-url", demo.url("log"), "--hosts-url", demo.url("hosts")),
        )
    for name in DAEMONS:
        ready = demo.processes.ready(name)
        demo.addresses[name] = ready["http"]
        demo.peers[name] = ready["peer"]


def register_hosts(demo: Demo) -> None:
    """Add the daemons and upstreams to the host list."""
    entries: list[dict[str, Any]] = []
    for name, failure_domain in zip(DAEMONS, FAILURE_DOMAINS, strict=True):
        entry = _host_entry(demo, name, "entry", failure_domain)
        entries.append(entry | {"peer_address": demo.peers[name]})
    for name, failure_domain in zip(ENGINES, FAILURE_DOMAINS, strict=True):
        entry = _host_entry(demo, name, "upstream", failure_domain)
        entries.append(entry | {"service": "assistant", "checks_fencing": True})
    entry = _host_entry(demo, "ordering-1", "upstream", FAILURE_DOMAINS[0])
    entries.append(entry | {"service": "ordering"})
    status, body = post(demo.url("hosts", "/hosts"), {"add": entries}, _request_timeout_s(demo))
    _require(status == 200, f"the host list answered {status}: {body}")


def publish_documents(demo: Demo) -> None:
    """Publish the documents of both services and wait until every daemon is ready."""
    for service in ("assistant", "ordering"):
        document = str(ROOT / "examples" / f"{service}.json")
        arguments = ["--log-url", demo.url("log"), "publish", document, "--author", "demo"]
        _run_skylarkmoorctl(arguments, demo.deadline.left_s(PUBLISH_TIMEOUT_S))
    for name in DAEMONS:
        url = demo.url(name, "/readyz")
        wait_until(
            lambda url=url: _is_ready(demo, url), _request_timeout_s(demo), f"{name} is ready"
        )
    demo.report.append(f"3 daemons ready after {demo.deadline.passed_s():.1f} s")


def demonstrate_chat(demo: Demo) -> None:
    """Stream one completion through the first daemon and check that it is complete."""
    body = {
        "model": "question",
        "messages": [{"role": "user", "content": "How do I refill a warmer? answer_tokens=60"}],
        "stream": True,
        "max_tokens": 100,
    }
    print("question to entry-1, answer:")
    start_s = time.monotonic()
    first_text_s: float | None = None
    fragments: list[str] = []
    url = demo.url("entry-1", "/v1/chat/completions")
    for fragment in _chat_fragments(demo, url, body):
        if fragment and first_text_s is None:
            first_text_s = time.monotonic() - start_s
        fragments.append(fragment)
        print(fragment, end="", flush=True)
    print()
    words = len("".join(fragments).split())
    _require(words == 60, f"the answer has {words} words instead of 60")
    served = [
        (name, record)
        for name in ENGINES
        for record in get(demo.url(name, "/served"), _request_timeout_s(demo))[1]["served"]
        if record["end"] == "done"
    ]
    _require(len(served) == 1, f"{len(served)} engines served the question to its end")
    demo.report.append(
        f"the answer of {words} words came from {served[0][0]}; "
        f"first text after {(first_text_s or 0) * 1000:.0f} ms"
    )


def demonstrate_order(demo: Demo) -> None:
    """Send one order through two daemons and check that it ran once."""
    order = {"item": "refill", "count": 12, "depot": "Bangor"}
    issued_ms = int(time.time() * 1000)
    headers = CUSTOMER | {"Idempotency-Key": f'"{uuid.uuid4()}"; issued={issued_ms}'}
    answers = []
    for name in ("entry-2", "entry-3"):
        status, body = post(
            demo.url(name, "/v1/call/order"), order, _request_timeout_s(demo), headers
        )
        print(f"order to {name}: {status} {body}")
        _require(status == 200, f"{name} answered the order with {status}: {body}")
        answers.append(body)
    _require(answers[0] == answers[1], "the resend of the order got a different answer")
    calls = get(demo.url("ordering-1", "/calls"), _request_timeout_s(demo))[1]["calls"]
    print(f"calls that the plain service ran: {calls}")
    _require(len(calls) == 1, f"the order ran {len(calls)} times")
    demo.report.append("the order was sent twice with one key and ran once")


def stop(demo: Demo) -> list[str]:
    """Stop the daemons, then the stand-ins, and return the failures of both."""
    failures = demo.processes.stop(list(DAEMONS))
    return failures + demo.processes.stop_all()


def main() -> int:
    """Run the demonstration and return the exit code."""
    # SystemExit runs the `finally` block below, so that no child process is left running.
    signal.signal(signal.SIGTERM, lambda signum, frame: sys.exit(128 + signum))
    deadline = Deadline(RUN_LIMIT_S)
    demo = Demo(Processes(ROOT / "out" / "demo", deadline), deadline)
    failures: list[str] = []
    try:
        for phase in (start_platform, start_daemons, register_hosts, publish_documents):
            phase(demo)
        demonstrate_chat(demo)
        demonstrate_order(demo)
    except HarnessError as error:
        failures.append(str(error))
    finally:
        failures += stop(demo)
    for line in demo.report:
        print(f"ok: {line}")
    for failure in failures:
        print(f"failed: {failure}")
    if failures:
        demo.processes.print_log_tails()
    print(f"{'failed' if failures else 'done'} after {deadline.passed_s():.1f} s")
    return 1 if failures else 0


def _host_entry(demo: Demo, name: str, kind: str, failure_domain: str) -> dict[str, Any]:
    return {
        "host": name,
        "kind": kind,
        "address": demo.addresses[name],
        "failure_domain": failure_domain,
    }


def _request_timeout_s(demo: Demo) -> float:
    return demo.deadline.left_s(REQUEST_TIMEOUT_S)


def _is_ready(demo: Demo, url: str) -> bool:
    return get(url, _request_timeout_s(demo))[0] == 200


def _chat_fragments(demo: Demo, url: str, body: object) -> Iterator[str]:
    for data in stream_events(url, body, CUSTOMER, _request_timeout_s(demo)):
        if data == "[DONE]":
            return
        event = json.loads(data)
        _require("error" not in event, f"the stream ended with the error {event}")
        choices = event.get("choices") or [{}]
        yield str(choices[0].get("delta", {}).get("content") or "")
        demo.deadline.left_s(REQUEST_TIMEOUT_S)
    raise HarnessError(f"the stream of {url} ended without [DONE]")


def _run_skylarkmoorctl(arguments: list[str], timeout_s: float) -> None:
    completed = run_module(OPERATOR_CODE, arguments, timeout_s)
    print(completed.stdout, end="")
    _require(
        completed.returncode == 0, f"skylarkmoorctl failed: {completed.stdout}{completed.stderr}"
    )


def _require(condition: bool, failure: str) -> None:
    if not condition:
        raise HarnessError(failure)


if __name__ == "__main__":
    sys.exit(main())
