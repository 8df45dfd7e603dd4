"""Processor time that a daemon adds to each request, token and call, and takes when idle.

All processes run on this machine and communicate over loopback. Each load is sent to the daemon
and then, in the same run, directly to the stand-in behind it. Processor time is the user and
system time of all threads of a process. The idle time of the daemon is subtracted from its time
under load, and is also measured by number of upstreams, of listed hosts and of daemons.
"""

import argparse
import http.client
import json
import os
import signal
import statistics
import sys
import time
import uuid
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

# Imported first because it makes the project's own modules importable.
from sources import ROOT

from skylarkmoor_daemon.claiming import PARTITIONS
from skylarkmoor_measure.fitting import Line, fit_line
from skylarkmoor_standins.harness import (
    Deadline,
    HarnessError,
    Processes,
    get,
    post,
    run_module,
    wait_until,
)

RUN_LIMIT_S = 400.0
READY_TIMEOUT_S = 15.0
STANDIN_MODULE = "skylarkmoor_standins.main"
OPERATOR_CODE = "from skylarkmoor_operator.main import main; main()"
CUSTOMER = {"X-Customer": "caerdydd"}
FAILURE_DOMAIN = "caerdydd"
ANSWER_LENGTHS = (8, 64, 160)
CONCURRENT_REQUESTS = 16
REQUESTS_PER_LENGTH = 96
CALL_COUNT = 400
IDLE_PERIOD_S = 8.0
SETTLE_TIME_S = 5.0
UPSTREAM_COUNTS = (1, 16, 32, 64)
LISTED_HOST_COUNTS = (0, 300, 600, 900)
DAEMON_COUNTS = (1, 2, 4, 8, 16, 32)
REQUEST_TIMEOUT_S = 60.0


@dataclass
class Setup:
    """Running processes of a measurement and their addresses."""

    processes: Processes
    deadline: Deadline
    addresses: dict[str, str] = field(default_factory=dict)
    peers: dict[str, str] = field(default_factory=dict)

    def url(self, name: str, path: str = "") -> str:
        """Return the URL of a path on the process `name`."""
        return f"http://{self.addresses[name]}{path}"


@dataclass
class Load:
    """Processor time of a load, and the latencies that its callers measured."""

    requests: int
    seconds: float
    server_us: float
    client_us: float
    first_ms: list[float]
    token_interval_ms: list[float]


def cpu_us(pid: int) -> float:
    """Return the processor time of all threads of a process in microseconds."""
    total_ns = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total_ns += int(path.read_text().split()[0])
    return total_ns / 1_000


def memory_kb(pid: int) -> int:
    """Return the resident memory of a process in kB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def start(setup: Setup) -> None:
    """Start the platform, an engine, a plain service and the first daemon, and wait until ready."""
    start_process = setup.processes.start
    start_process("log", STANDIN_MODULE, "log", "--appends-per-s", "300")
    start_process("hosts", STANDIN_MODULE, "hosts", "--lag-ms", "0")
    start_process("plain", STANDIN_MODULE, "plain", "--service-ms", "0")
    speed = ("--decode-ms", "10", "--decode-ms-per-running", "0.1", "--max-batch", "64")
    capacity = ("--kv-capacity-tokens", "400000", "--prefill-tokens-per-s", "100000")
    start_process("engine", STANDIN_MODULE, "engine", *speed, *capacity)
    for name in ("log", "hosts", "plain", "engine"):
        setup.addresses[name] = setup.processes.ready(name)
    start_daemon(setup, "entry-0")
    entries = [upstream_entry(setup, "engine-0", "engine", "assistant")]
    add_hosts(setup, [*entries, upstream_entry(setup, "plain-0", "plain", "ordering")])
    for service in ("assistant", "ordering"):
        publish(setup, service)
    ready_url = setup.url("entry-0", "/readyz")
    timeout_s = setup.deadline.left_s(READY_TIMEOUT_S)
    wait_until(lambda: get(ready_url)[0] == 200, timeout_s, "entry-0 is ready")


def start_daemon(setup: Setup, name: str) -> None:
    """Start a daemon and add it to the host list."""
    setup.processes.start(
        name,
        "skylarkmoor_daemon.main",
        *("--host", name, "--failure-domain", FAILURE_DOMAIN),
        *("--http-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0"),
        *("--log-url", setup.url("log"), "--hosts-url", setup.url("hosts")),
    )
    ready = setup.processes.ready(name)
    setup.addresses[name], setup.peers[name] = ready["http"], ready["peer"]
    entry = {
        "host": name,
        "kind": "entry",
        "address": ready["http"],
        "failure_domain": FAILURE_DOMAIN,
        "peer_address": ready["peer"],
    }
    add_hosts(setup, [entry])


def upstream_entry(setup: Setup, host: str, process: str, service: str) -> dict[str, Any]:
    """Return the host list entry of an upstream; several entries may share one process."""
    return {
        "host": host,
        "kind": "upstream",
        "address": setup.addresses[process],
        "failure_domain": FAILURE_DOMAIN,
        "service": service,
    }


def add_hosts(setup: Setup, entries: Sequence[dict[str, Any]]) -> None:
    """Add entries to the host list."""
    change_hosts(setup, {"add": list(entries)})


def change_hosts(setup: Setup, change: object) -> None:
    """Send a change to the host list service; raise `HarnessError` if it is refused."""
    status, body = post(setup.url("hosts", "/hosts"), change)
    if status != 200:
        raise HarnessError(f"the host list answered {status}: {body}")


def publish(setup: Setup, service: str) -> None:
    """Publish an example document with rate limits that the load cannot reach."""
    document = json.loads((ROOT / "examples" / f"{service}.json").read_text())
    for customer in document["customers"]:
        customer["requests_per_s"] = 100_000
    path = ROOT / "out" / "overhead" / f"{service}.json"
    path.write_text(json.dumps(document))
    arguments = ["--log-url", setup.url("log"), "publish", str(path), "--author", "overhead"]
    completed = run_module(OPERATOR_CODE, arguments, setup.deadline.left_s(READY_TIMEOUT_S))
    if completed.returncode != 0:
        raise HarnessError(f"skylarkmoorctl failed: {completed.stdout}{completed.stderr}")


def idle(setup: Setup, name: str = "entry-0") -> float:
    """Return the processor time of an idle daemon in microseconds per second."""
    time.sleep(SETTLE_TIME_S)
    return cpu_rate(setup, name, IDLE_PERIOD_S)


def cpu_rate(setup: Setup, name: str, seconds: float) -> float:
    """Return the processor time of a process in microseconds per second."""
    pid = setup.processes.pid(name)
    begin_s, begin_us = time.monotonic(), cpu_us(pid)
    time.sleep(seconds)
    return (cpu_us(pid) - begin_us) / (time.monotonic() - begin_s)


def run_load(setup: Setup, server: str, count: int, request: Callable[[int], list[float]]) -> Load:
    """Send concurrent requests and measure the processor time of server and client."""
    pid = setup.processes.pid(server)
    begin_s, begin_us, client_ns = time.monotonic(), cpu_us(pid), time.process_time_ns()
    with ThreadPoolExecutor(CONCURRENT_REQUESTS) as pool:
        times = list(pool.map(request, range(count)))
    return Load(
        requests=count,
        seconds=time.monotonic() - begin_s,
        server_us=cpu_us(pid) - begin_us,
        client_us=(time.process_time_ns() - client_ns) / 1_000,
        first_ms=[each[0] for each in times],
        token_interval_ms=[(each[-1] - each[0]) / max(1, len(each) - 1) for each in times],
    )


def post_and_read_lines(
    address: str, path: str, body: object, headers: dict[str, str]
) -> Iterator[bytes]:
    """Send a POST on a new connection and yield the lines of the response."""
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        data = json.dumps(body).encode()
        connection.request("POST", path, data, {"Content-Type": "application/json", **headers})
        response = connection.getresponse()
        if response.status != 200:
            raise HarnessError(f"{address}{path} answered {response.status}: {response.read()!r}")
        yield from response
    finally:
        connection.close()


def prompt(tokens: int, number: int) -> str:
    """Return a prompt that is unique to the request, so that no prefix of it is cached."""
    words = " ".join(f"word{number}x{i}" for i in range(60))
    return f"{words} answer_tokens={tokens}"


def chat(setup: Setup, tokens: int, number: int) -> list[float]:
    """Stream a completion through the daemon and return the arrival time of each token."""
    body = {
        "model": "question",
        "messages": [{"role": "user", "content": prompt(tokens, number)}],
        "stream": True,
        "max_tokens": tokens,
    }
    begin_s = time.monotonic()
    times = []
    complete = False
    address = setup.addresses["entry-0"]
    for line in post_and_read_lines(address, "/v1/chat/completions", body, CUSTOMER):
        if line.startswith(b"data: [DONE]"):
            complete = True
        elif b'"content":"' in line:
            times.append(1_000 * (time.monotonic() - begin_s))
    return check_complete(times, tokens, complete)


def generate(setup: Setup, tokens: int, number: int) -> list[float]:
    """Stream a completion directly from the engine and return the arrival time of each token."""
    body = {
        "attempt": f"direct-{tokens}-{number}",
        "version": "v1",
        "prompt": prompt(tokens, number),
        "max_tokens": tokens,
        "start_position": 0,
    }
    begin_s = time.monotonic()
    times = []
    complete = False
    for line in post_and_read_lines(setup.addresses["engine"], "/generate", body, {}):
        if b'"end":true' in line.replace(b" ", b""):
            complete = True
        elif b'"text"' in line:
            times.append(1_000 * (time.monotonic() - begin_s))
    return check_complete(times, tokens, complete)


def check_complete(times: list[float], tokens: int, complete: bool) -> list[float]:
    """Return `times`, or raise `HarnessError` if the answer is incomplete."""
    if len(times) != tokens or not complete:
        raise HarnessError(f"an answer has {len(times)} of {tokens} tokens, whole: {complete}")
    return times


def call(setup: Setup, route: str, number: int) -> list[float]:
    """Make a call through the daemon and return its duration; an order has a key."""
    headers = dict(CUSTOMER)
    if route == "order":
        issued_ms = int(time.time() * 1_000)
        headers["Idempotency-Key"] = f'"{uuid.uuid4()}"; issued={issued_ms}'
    begin_s = time.monotonic()
    body = {"item": "refill", "number": number}
    b"".join(post_and_read_lines(setup.addresses["entry-0"], f"/v1/call/{route}", body, headers))
    return [1_000 * (time.monotonic() - begin_s)]


def call_directly(setup: Setup, number: int) -> list[float]:
    """Make a call directly to the plain service and return its duration."""
    body = {"attempt": f"direct-{number}", "route": "stock", "body": {"number": number}}
    begin_s = time.monotonic()
    b"".join(post_and_read_lines(setup.addresses["plain"], "/call", body, {}))
    return [1_000 * (time.monotonic() - begin_s)]


def measure_streams(setup: Setup, idle_us: float) -> None:
    """Print the processor time per request and token, through the daemon and directly."""
    for name, server, request, base_us in (
        ("through the daemon", "entry-0", chat, idle_us),
        ("directly", "engine", generate, 0.0),
    ):
        print(
            f"streams {name}, {REQUESTS_PER_LENGTH} requests at each length, "
            f"{CONCURRENT_REQUESTS} at a time:"
        )
        server_us, client_us = [], []
        for tokens in ANSWER_LENGTHS:
            load = run_load(
                setup, server, REQUESTS_PER_LENGTH, lambda i, n=tokens, r=request: r(setup, n, i)
            )
            server_us.append((load.server_us - base_us * load.seconds) / load.requests)
            client_us.append(load.client_us / load.requests)
            print(
                f"  {tokens} tokens: {server} {server_us[-1]:.0f} us and client "
                f"{client_us[-1]:.0f} us a request; first token {median_of(load.first_ms):.1f} ms, "
                f"between tokens {median_of(load.token_interval_ms):.2f} ms (medians); "
                f"{load.requests * tokens / load.seconds:.0f} tokens/s"
            )
        print_fit(f"  {server}", fit_line(ANSWER_LENGTHS, server_us), "request", "token")
        print_fit("  client", fit_line(ANSWER_LENGTHS, client_us), "request", "token")


def measure_calls(setup: Setup, idle_us: float) -> None:
    """Print the processor time per call, through the daemon and directly."""
    for name, server, request, base_us in (
        ("stock through the daemon", "entry-0", lambda i: call(setup, "stock", i), idle_us),
        (
            "order (claimed) through the daemon",
            "entry-0",
            lambda i: call(setup, "order", i),
            idle_us,
        ),
        ("directly", "plain", lambda i: call_directly(setup, i), 0.0),
    ):
        load = run_load(setup, server, CALL_COUNT, request)
        server_us = (load.server_us - base_us * load.seconds) / load.requests
        client_us = load.client_us / load.requests
        print(
            f"calls, {name}: {server} {server_us:.0f} us and client {client_us:.0f} us a call; "
            f"median {median_of(load.first_ms):.1f} ms, "
            f"{load.requests / load.seconds:.0f} calls/s"
        )


def measure_upstreams(setup: Setup) -> None:
    """Print idle processor time by upstream count; each is polled for reports and events."""
    idle_us_per_s = []
    registered = 1
    for upstreams in UPSTREAM_COUNTS:
        added = range(registered, upstreams)
        add_hosts(
            setup, [upstream_entry(setup, f"engine-{i}", "engine", "assistant") for i in added]
        )
        registered = max(registered, upstreams)
        idle_us_per_s.append(idle(setup))
        print(f"idle with {upstreams} engines: {idle_us_per_s[-1]:.0f} us/s")
    print_fit(
        "idle daemon", fit_line(UPSTREAM_COUNTS, idle_us_per_s), "second", "engine and second"
    )
    change_hosts(setup, {"remove": [f"engine-{i}" for i in range(1, registered)]})


def measure_host_list(setup: Setup) -> None:
    """Print idle processor time by number of listed hosts of a service without a document."""
    idle_us_per_s = []
    registered = 0
    for listed in LISTED_HOST_COUNTS:
        added = range(registered, listed)
        add_hosts(setup, [upstream_entry(setup, f"other-{i}", "engine", "other") for i in added])
        registered = listed
        idle_us_per_s.append(idle(setup))
        print(f"idle with {listed} other hosts in the list: {idle_us_per_s[-1]:.0f} us/s")
    print_fit(
        "idle daemon",
        fit_line(LISTED_HOST_COUNTS, idle_us_per_s),
        "second",
        "listed host and second",
    )
    change_hosts(setup, {"remove": [f"other-{i}" for i in range(registered)]})


def measure_peers(setup: Setup) -> None:
    """Print the mean idle processor time of a daemon by number of daemons.

    Each claim partition is read once a second by the daemon that owns it. The time of a daemon
    therefore depends on the number of partitions that it owns and on the number of its peers.
    """
    idle_us_per_s = []
    registered = 1
    for daemons in DAEMON_COUNTS:
        for i in range(registered, daemons):
            start_daemon(setup, f"entry-{i}")
        registered = daemons
        idle_us_per_s.append(mean_idle(setup, daemons))
        memory = sum(memory_kb(setup.processes.pid(f"entry-{i}")) for i in range(daemons))
        print(
            f"idle with {daemons} daemons: {idle_us_per_s[-1]:.0f} us/s and "
            f"{memory / daemons:.0f} kB of memory, the means of all"
        )
    partitions_per_daemon = [PARTITIONS / daemons for daemons in DAEMON_COUNTS]
    design_matrix = np.column_stack(
        [np.ones(len(DAEMON_COUNTS)), partitions_per_daemon, DAEMON_COUNTS]
    )
    (base, partition, peer), *_ = np.linalg.lstsq(
        design_matrix, np.array(idle_us_per_s), rcond=None
    )
    residuals = np.abs(design_matrix @ np.array([base, partition, peer]) - idle_us_per_s)
    print(
        f"idle daemon: {base:.0f} us a second, {partition:.0f} us a partition and second, "
        f"{peer:.1f} us a daemon and second, "
        f"residual {100 * residuals.max() / max(idle_us_per_s):.1f}%"
    )


def mean_idle(setup: Setup, daemons: int) -> float:
    """Return the mean processor time of all idle daemons in microseconds per second."""
    time.sleep(SETTLE_TIME_S)
    pids = [setup.processes.pid(f"entry-{i}") for i in range(daemons)]
    begin_s, begin_us = time.monotonic(), sum(map(cpu_us, pids))
    time.sleep(IDLE_PERIOD_S)
    return (sum(map(cpu_us, pids)) - begin_us) / (time.monotonic() - begin_s) / daemons


def measure_poll_sizes(setup: Setup) -> None:
    """Print the body size and approximate header size of the responses that a daemon polls."""
    for name, path in (("engine", "/report"), ("engine", "/events?from=0"), ("hosts", "/hosts")):
        connection = http.client.HTTPConnection(setup.addresses[name], timeout=REQUEST_TIMEOUT_S)
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
        head = sum(len(key) + len(value) + 4 for key, value in response.getheaders())
        connection.close()
        print(f"GET {path}: {len(body)} bytes of body and about {head + 17} of head")


def print_fit(what: str, line: Line, unit: str, driver: str) -> None:
    """Print the intercept, slope and residual of a linear fit of processor times."""
    print(
        f"{what}: {line.intercept:.0f} us a {unit} and {line.slope:.1f} us a {driver}, "
        f"residual {line.residual_percent:.1f}%"
    )


def median_of(values: Sequence[float]) -> float:
    """Return the median."""
    return statistics.median(values)


MEASUREMENTS = ("streams", "calls", "upstreams", "list", "peers")


def run(setup: Setup, parts: Sequence[str]) -> None:
    """Start all processes and take the measurements that `parts` names."""
    start(setup)
    idle_us = idle(setup)
    print(f"idle with 1 engine and 1 plain service: {idle_us:.0f} us/s")
    measure_poll_sizes(setup)
    print(f"memory of the daemon: {memory_kb(setup.processes.pid('entry-0'))} kB")
    if "streams" in parts:
        measure_streams(setup, idle_us)
    if "calls" in parts:
        measure_calls(setup, idle_us)
    if "upstreams" in parts:
        measure_upstreams(setup)
    if "list" in parts:
        measure_host_list(setup)
    if "peers" in parts:
        measure_peers(setup)
    print(f"memory of the daemon: {memory_kb(setup.processes.pid('entry-0'))} kB")


def main() -> int:
    """Run the measurements and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("parts", nargs="*", metavar="PART", help=f"of {', '.join(MEASUREMENTS)}")
    parts = parser.parse_args().parts or MEASUREMENTS
    # SystemExit runs the `finally` block below, so that no child process is left running.
    signal.signal(signal.SIGTERM, lambda signum, frame: sys.exit(128 + signum))
    deadline = Deadline(RUN_LIMIT_S)
    setup = Setup(Processes(ROOT / "out" / "overhead", deadline), deadline)
    print(f"{os.cpu_count()} cores, {sys.implementation.name} {sys.version.split()[0]}")
    failures: list[str] = []
    try:
        run(setup, parts)
    except HarnessError as error:
        failures.append(str(error))
    finally:
        failures += setup.processes.stop_all()
    for failure in failures:
        print(f"failed: {failure}")
    if failures:
        setup.processes.print_log_tails()
    print(f"{'failed' if failures else 'done'} after {deadline.passed_s():.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
