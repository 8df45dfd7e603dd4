"""Processor time that a daemon adds to each request, token and call, and takes when idle.

Everything runs on this machine over loopback. Each load is put on the daemon and then, in the
same run, directly on the stand-in behind it. The daemon's time is user and system time of all its
threads. Its idle time is measured over upstreams, listed hosts and peers, and taken off the time
under load.
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

# Comes before the project's own modules, which it makes importable.
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

LIMIT_S = 400.0
READY_S = 15.0
STANDIN = "skylarkmoor_standins.main"
OPERATOR = "from skylarkmoor_operator.main import main; main()"
CUSTOMER = {"X-Customer": "caerdydd"}
DOMAIN = "caerdydd"
LENGTHS = (8, 64, 160)
STREAMS = 16
REQUESTS = 96
CALLS = 400
IDLE_S = 8.0
SETTLE_S = 5.0
UPSTREAMS = (1, 16, 32, 64)
LISTED = (0, 300, 600, 900)
DAEMONS = (1, 2, 4, 8, 16, 32)
TIMEOUT_S = 60.0


@dataclass
class Setup:
    """The processes of a run with their addresses, and what is in the host list."""

    processes: Processes
    deadline: Deadline
    addresses: dict[str, str] = field(default_factory=dict)
    peers: dict[str, str] = field(default_factory=dict)

    def url(self, name: str, path: str = "") -> str:
        """Return a URL of the process called `name`."""
        return f"http://{self.addresses[name]}{path}"


@dataclass
class Load:
    """What a load cost and what its callers saw; times in microseconds and milliseconds."""

    requests: int
    seconds: float
    server_us: float
    client_us: float
    first_ms: list[float]
    between_ms: list[float]


def cpu_us(pid: int) -> float:
    """Return the processor time of all threads of a process in microseconds."""
    total_ns = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total_ns += int(path.read_text().split()[0])
    return total_ns / 1_000


def memory_kb(pid: int) -> int:
    """Return the memory that a process holds in RAM."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def start(setup: Setup) -> None:
    """Start the platform, an engine, a plain service and the first daemon."""
    begin = setup.processes.start
    begin("log", STANDIN, "log", "--appends-per-s", "300")
    begin("hosts", STANDIN, "hosts", "--lag-ms", "0")
    begin("plain", STANDIN, "plain", "--service-ms", "0")
    speed = ("--decode-ms", "10", "--decode-ms-per-running", "0.1", "--max-batch", "64")
    room = ("--kv-capacity-tokens", "400000", "--prefill-tokens-per-s", "100000")
    begin("engine", STANDIN, "engine", *speed, *room)
    for name in ("log", "hosts", "plain", "engine"):
        setup.addresses[name] = setup.processes.ready(name)
    start_daemon(setup, "entry-0")
    entries = [upstream_entry(setup, "engine-0", "engine", "assistant")]
    add_hosts(setup, [*entries, upstream_entry(setup, "plain-0", "plain", "ordering")])
    for service in ("assistant", "ordering"):
        publish(setup, service)
    ready_url = setup.url("entry-0", "/readyz")
    longest_s = setup.deadline.left_s(READY_S)
    wait_until(lambda: get(ready_url)[0] == 200, longest_s, "entry-0 is ready")


def start_daemon(setup: Setup, name: str) -> None:
    """Start a daemon and enter it in the host list."""
    setup.processes.start(
        name,
        "skylarkmoor_daemon.main",
        *("--host", name, "--failure-domain", DOMAIN),
        *("--http-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0"),
        *("--log-url", setup.url("log"), "--hosts-url", setup.url("hosts")),
    )
    ready = setup.processes.ready(name)
    setup.addresses[name], setup.peers[name] = ready["http"], ready["peer"]
    entry = {
        "host": name,
        "kind": "entry",
        "address": ready["http"],
        "failure_domain": DOMAIN,
        "peer_address": ready["peer"],
    }
    add_hosts(setup, [entry])


def upstream_entry(setup: Setup, host: str, process: str, service: str) -> dict[str, Any]:
    """Return the entry of an upstream; several may name the same process."""
    return {
        "host": host,
        "kind": "upstream",
        "address": setup.addresses[process],
        "failure_domain": DOMAIN,
        "service": service,
    }


def add_hosts(setup: Setup, entries: Sequence[dict[str, Any]]) -> None:
    """Add hosts to the list."""
    change_hosts(setup, {"add": list(entries)})


def change_hosts(setup: Setup, change: object) -> None:
    """Change the host list."""
    status, body = post(setup.url("hosts", "/hosts"), change)
    if status != 200:
        raise HarnessError(f"the host list answered {status}: {body}")


def publish(setup: Setup, service: str) -> None:
    """Publish an example document with limits that the load does not reach."""
    document = json.loads((ROOT / "examples" / f"{service}.json").read_text())
    for customer in document["customers"]:
        customer["requests_per_s"] = 100_000
    path = ROOT / "out" / "overhead" / f"{service}.json"
    path.write_text(json.dumps(document))
    arguments = ["--log-url", setup.url("log"), "publish", str(path), "--author", "overhead"]
    done = run_module(OPERATOR, arguments, setup.deadline.left_s(READY_S))
    if done.returncode != 0:
        raise HarnessError(f"skylarkmoorctl failed: {done.stdout}{done.stderr}")


def idle(setup: Setup, name: str = "entry-0") -> float:
    """Return the processor time of a daemon without callers, in microseconds a second."""
    time.sleep(SETTLE_S)
    return rate(setup, name, IDLE_S)


def rate(setup: Setup, name: str, seconds: float) -> float:
    """Return the processor time of a process in microseconds a second."""
    pid = setup.processes.pid(name)
    begin_s, begin_us = time.monotonic(), cpu_us(pid)
    time.sleep(seconds)
    return (cpu_us(pid) - begin_us) / (time.monotonic() - begin_s)


def run_load(setup: Setup, server: str, count: int, request: Callable[[int], list[float]]) -> Load:
    """Send requests from several threads and measure a server's and the client's time."""
    pid = setup.processes.pid(server)
    begin_s, begin_us, client_ns = time.monotonic(), cpu_us(pid), time.process_time_ns()
    with ThreadPoolExecutor(STREAMS) as pool:
        times = list(pool.map(request, range(count)))
    return Load(
        requests=count,
        seconds=time.monotonic() - begin_s,
        server_us=cpu_us(pid) - begin_us,
        client_us=(time.process_time_ns() - client_ns) / 1_000,
        first_ms=[each[0] for each in times],
        between_ms=[(each[-1] - each[0]) / max(1, len(each) - 1) for each in times],
    )


def lines_of(address: str, path: str, body: object, headers: dict[str, str]) -> Iterator[bytes]:
    """Post a request on a connection of its own and yield the lines of the answer."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
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
    """Return a prompt of its own for each request, so that nothing of it is cached."""
    words = " ".join(f"word{number}x{i}" for i in range(60))
    return f"{words} answer_tokens={tokens}"


def chat(setup: Setup, tokens: int, number: int) -> list[float]:
    """Stream a completion through the daemon and return the times of its tokens."""
    body = {
        "model": "question",
        "messages": [{"role": "user", "content": prompt(tokens, number)}],
        "stream": True,
        "max_tokens": tokens,
    }
    begin_s = time.monotonic()
    times = []
    whole = False
    address = setup.addresses["entry-0"]
    for line in lines_of(address, "/v1/chat/completions", body, CUSTOMER):
        if line.startswith(b"data: [DONE]"):
            whole = True
        elif b'"content":"' in line:
            times.append(1_000 * (time.monotonic() - begin_s))
    return check_tokens(times, tokens, whole)


def generate(setup: Setup, tokens: int, number: int) -> list[float]:
    """Stream a completion from the engine itself and return the times of its tokens."""
    body = {
        "attempt": f"direct-{tokens}-{number}",
        "version": "v1",
        "prompt": prompt(tokens, number),
        "max_tokens": tokens,
        "start_position": 0,
    }
    begin_s = time.monotonic()
    times = []
    whole = False
    for line in lines_of(setup.addresses["engine"], "/generate", body, {}):
        if b'"end":true' in line.replace(b" ", b""):
            whole = True
        elif b'"text"' in line:
            times.append(1_000 * (time.monotonic() - begin_s))
    return check_tokens(times, tokens, whole)


def check_tokens(times: list[float], tokens: int, whole: bool) -> list[float]:
    """Raise `HarnessError` unless the answer is whole."""
    if len(times) != tokens or not whole:
        raise HarnessError(f"an answer has {len(times)} of {tokens} tokens, whole: {whole}")
    return times


def call(setup: Setup, route: str, number: int) -> list[float]:
    """Make a call through the daemon; an order has a key."""
    headers = dict(CUSTOMER)
    if route == "order":
        issued_ms = int(time.time() * 1_000)
        headers["Idempotency-Key"] = f'"{uuid.uuid4()}"; issued={issued_ms}'
    begin_s = time.monotonic()
    body = {"item": "refill", "number": number}
    b"".join(lines_of(setup.addresses["entry-0"], f"/v1/call/{route}", body, headers))
    return [1_000 * (time.monotonic() - begin_s)]


def call_directly(setup: Setup, number: int) -> list[float]:
    """Make a call to the plain service itself."""
    body = {"attempt": f"direct-{number}", "route": "stock", "body": {"number": number}}
    begin_s = time.monotonic()
    b"".join(lines_of(setup.addresses["plain"], "/call", body, {}))
    return [1_000 * (time.monotonic() - begin_s)]


def measure_streams(setup: Setup, idle_us: float) -> None:
    """Print the time for each request and token, through the daemon and directly."""
    for name, server, request, base_us in (
        ("through the daemon", "entry-0", chat, idle_us),
        ("directly", "engine", generate, 0.0),
    ):
        print(f"streams {name}, {REQUESTS} requests at each length, {STREAMS} at a time:")
        server_us, client_us = [], []
        for tokens in LENGTHS:
            load = run_load(setup, server, REQUESTS, lambda i, n=tokens, r=request: r(setup, n, i))
            server_us.append((load.server_us - base_us * load.seconds) / load.requests)
            client_us.append(load.client_us / load.requests)
            print(
                f"  {tokens} tokens: {server} {server_us[-1]:.0f} us and client "
                f"{client_us[-1]:.0f} us a request; first token {middle(load.first_ms):.1f} ms, "
                f"between tokens {middle(load.between_ms):.2f} ms (medians); "
                f"{load.requests * tokens / load.seconds:.0f} tokens/s"
            )
        print_line(f"  {server}", fit_line(LENGTHS, server_us), "request", "token")
        print_line("  client", fit_line(LENGTHS, client_us), "request", "token")


def measure_calls(setup: Setup, idle_us: float) -> None:
    """Print the time for each call, through the daemon and directly."""
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
        load = run_load(setup, server, CALLS, request)
        server_us = (load.server_us - base_us * load.seconds) / load.requests
        client_us = load.client_us / load.requests
        print(
            f"calls, {name}: {server} {server_us:.0f} us and client {client_us:.0f} us a call; "
            f"median {middle(load.first_ms):.1f} ms, "
            f"{load.requests / load.seconds:.0f} calls/s"
        )


def measure_upstreams(setup: Setup) -> None:
    """Print the idle time over upstreams, each of which is polled for reports and events."""
    spent = []
    present = 1
    for upstreams in UPSTREAMS:
        new = range(present, upstreams)
        add_hosts(setup, [upstream_entry(setup, f"engine-{i}", "engine", "assistant") for i in new])
        present = max(present, upstreams)
        spent.append(idle(setup))
        print(f"idle with {upstreams} engines: {spent[-1]:.0f} us/s")
    print_line("idle daemon", fit_line(UPSTREAMS, spent), "second", "engine and second")
    change_hosts(setup, {"remove": [f"engine-{i}" for i in range(1, present)]})


def measure_list(setup: Setup) -> None:
    """Print the idle time over listed hosts of a service that has no document."""
    spent = []
    present = 0
    for listed in LISTED:
        new = range(present, listed)
        add_hosts(setup, [upstream_entry(setup, f"other-{i}", "engine", "other") for i in new])
        present = listed
        spent.append(idle(setup))
        print(f"idle with {listed} other hosts in the list: {spent[-1]:.0f} us/s")
    print_line("idle daemon", fit_line(LISTED, spent), "second", "listed host and second")
    change_hosts(setup, {"remove": [f"other-{i}" for i in range(present)]})


def measure_peers(setup: Setup) -> None:
    """Print the mean idle time of a daemon over daemons.

    The daemons share the partitions of the claims, each of which its owner reads once a second.
    So the time depends on the partitions that a daemon owns and on the number of its peers.
    """
    spent = []
    present = 1
    for daemons in DAEMONS:
        for i in range(present, daemons):
            start_daemon(setup, f"entry-{i}")
        present = daemons
        spent.append(idle_mean(setup, daemons))
        memory = sum(memory_kb(setup.processes.pid(f"entry-{i}")) for i in range(daemons))
        print(
            f"idle with {daemons} daemons: {spent[-1]:.0f} us/s and "
            f"{memory / daemons:.0f} kB of memory, the means of all"
        )
    owned = [PARTITIONS / daemons for daemons in DAEMONS]
    columns = np.column_stack([np.ones(len(DAEMONS)), owned, DAEMONS])
    (base, partition, peer), *_ = np.linalg.lstsq(columns, np.array(spent), rcond=None)
    distances = np.abs(columns @ np.array([base, partition, peer]) - spent)
    print(
        f"idle daemon: {base:.0f} us a second, {partition:.0f} us a partition and second, "
        f"{peer:.1f} us a daemon and second, residual {100 * distances.max() / max(spent):.1f}%"
    )


def idle_mean(setup: Setup, daemons: int) -> float:
    """Return the mean processor time of all daemons in microseconds a second."""
    time.sleep(SETTLE_S)
    pids = [setup.processes.pid(f"entry-{i}") for i in range(daemons)]
    begin_s, begin_us = time.monotonic(), sum(map(cpu_us, pids))
    time.sleep(IDLE_S)
    return (sum(map(cpu_us, pids)) - begin_us) / (time.monotonic() - begin_s) / daemons


def measure_polls(setup: Setup) -> None:
    """Print the bytes of the answers that a daemon polls for, without headers."""
    for name, path in (("engine", "/report"), ("engine", "/events?from=0"), ("hosts", "/hosts")):
        connection = http.client.HTTPConnection(setup.addresses[name], timeout=TIMEOUT_S)
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
        head = sum(len(key) + len(value) + 4 for key, value in response.getheaders())
        connection.close()
        print(f"GET {path}: {len(body)} bytes of body and about {head + 17} of head")


def print_line(what: str, line: Line, unit: str, driver: str) -> None:
    """Print a fitted line of processor times."""
    print(
        f"{what}: {line.intercept:.0f} us a {unit} and {line.slope:.1f} us a {driver}, "
        f"residual {line.residual_percent:.1f}%"
    )


def middle(values: Sequence[float]) -> float:
    """Return the median."""
    return statistics.median(values)


PARTS = ("streams", "calls", "upstreams", "list", "peers")


def run(setup: Setup, parts: Sequence[str]) -> None:
    """Take all measurements of `parts`."""
    start(setup)
    idle_us = idle(setup)
    print(f"idle with 1 engine and 1 plain service: {idle_us:.0f} us/s")
    measure_polls(setup)
    print(f"memory of the daemon: {memory_kb(setup.processes.pid('entry-0'))} kB")
    if "streams" in parts:
        measure_streams(setup, idle_us)
    if "calls" in parts:
        measure_calls(setup, idle_us)
    if "upstreams" in parts:
        measure_upstreams(setup)
    if "list" in parts:
        measure_list(setup)
    if "peers" in parts:
        measure_peers(setup)
    print(f"memory of the daemon: {memory_kb(setup.processes.pid('entry-0'))} kB")


def main() -> int:
    """Run the measurements and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("parts", nargs="*", metavar="PART", help=f"of {', '.join(PARTS)}")
    parts = parser.parse_args().parts or PARTS
    # Ends by way of the clean-up below, so that no process is left behind.
    signal.signal(signal.SIGTERM, lambda signum, frame: sys.exit(128 + signum))
    deadline = Deadline(LIMIT_S)
    setup = Setup(Processes(ROOT / "out" / "overhead", deadline), deadline)
    print(f"{os.cpu_count()} cores, {sys.implementation.name} {sys.version.split()[0]}")
    faults: list[str] = []
    try:
        run(setup, parts)
    except HarnessError as error:
        faults.append(str(error))
    finally:
        faults += setup.processes.stop_all()
    for fault in faults:
        print(f"failed: {fault}")
    if faults:
        setup.processes.print_log_tails()
    print(f"{'failed' if faults else 'done'} after {deadline.passed_s():.0f} s")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
