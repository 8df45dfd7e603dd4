"""Runs gateway processes before upstreams that say of themselves what they want."""

import random
import signal
import threading
import time
from contextlib import closing, suppress
from http.client import HTTPConnection, HTTPException

import pytest

from adapter_harness import CONFIG
from adapter_processes import WAIT_S, GatewayProcess, NoticingUpstream, StoreServer
from adapter_store import entry_record
from limit_windows import excess

NAMES = ("o0", "o1", "o2")
CALLERS = 8
REQUEST_GAP_S = 0.15


class Fleet:
    """Gateways before three upstreams, and callers that send requests until the fleet ends."""

    def __init__(self, folder):
        self.folder = folder
        self.store = StoreServer()
        self.upstreams = [NoticingUpstream() for _ in NAMES]
        for name, upstream in zip(NAMES, self.upstreams, strict=True):
            address = f"127.0.0.1:{upstream.port}"
            entry = entry_record(service="orders", address=address, slots=4, seq=1)
            self.store.write("keyed.servers", name, entry)
        self.store.write("keyed.op", "config", CONFIG)
        self.gateways = {}
        self.statuses = []
        self.ended = threading.Event()
        self.callers = [
            threading.Thread(target=self.call, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self, host, ports=None):
        self.gateways[host] = GatewayProcess(self.folder, host, self.store, NAMES, ports)

    def signal(self, host, number):
        self.gateways[host].process.send_signal(number)

    def restart(self, host):
        """Kill a gateway, and start it again on its ports."""
        ports = self.gateways[host].ports
        self.gateways[host].end()
        self.start(host, ports)

    def call(self, number):
        rng = random.Random(number)
        for count in range(10_000):
            if self.ended.wait(REQUEST_GAP_S):
                return
            gateway = rng.choice(list(self.gateways.values()))
            # Gateways are killed and paused.
            with suppress(OSError, HTTPException):
                self.statuses.append(ask(gateway.port, f"r{number}-{count}", 1)[0])

    def run(self, duration_s):
        for caller in self.callers:
            if not caller.is_alive():
                caller.start()
        time.sleep(duration_s)

    def end(self):
        self.ended.set()
        for gateway in self.gateways.values():
            gateway.end()
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()


def ask(port, name, timeout_s=WAIT_S):
    """Send an order, and return the status and the headers of its answer."""
    headers = {
        "Host": "a.example",
        "Skylarkmoor-Request-Id": name,
        "Skylarkmoor-Deadline-Ms": "9000",
        "Authorization": "Token secret",
    }
    with closing(HTTPConnection("127.0.0.1", port, timeout=timeout_s)) as connection:
        connection.request("POST", "/order/1", name.encode(), headers)
        response = connection.getresponse()
        response.read()
        return response.status, response.headers


@pytest.fixture
def fleet(tmp_path):
    started = Fleet(tmp_path)
    yield started
    started.end()


def test_gateway_processes_keep_together_to_the_limits_of_upstreams(fleet):
    """Fifty requests more than allowed reached an upstream in 4 s."""
    for host in ("front-1", "front-2", "front-3"):
        fleet.start(host)
    first, second, _ = fleet.upstreams
    fleet.run(1)
    first.set_limit(2.0)
    fleet.run(4)
    second.set_limit(0.5)
    fleet.signal("front-1", signal.SIGSTOP)
    fleet.run(2)
    fleet.signal("front-1", signal.SIGCONT)
    first.set_limit(5.0)
    fleet.restart("front-2")
    fleet.start("front-4")
    fleet.run(4)
    first.set_limit(1.0)
    fleet.signal("front-3", signal.SIGTERM)
    fleet.run(4)
    second.set_limit(None)
    fleet.run(4)
    for upstream in (first, second):
        received_ms = [each * 1_000 for each in upstream.received_s]
        limits = [(time_s * 1_000, limit) for time_s, limit in upstream.limits]
        assert excess(received_ms, limits) == 0
        # The limits, and the end of the second one, leave room for more.
        assert len(upstream.received_s) >= 10
    assert fleet.statuses.count(200) >= 0.8 * len(fleet.statuses)


def test_a_gateway_process_sends_nothing_after_a_notice(fleet):
    """Requests reached upstreams that were leaving or had asked for a pause."""
    fleet.start("front-1")
    port = fleet.gateways["front-1"].port
    first, second, third = fleet.upstreams
    first.notices = {"Server_Leaving": "1"}
    second.notices = {"Retry_After": "600"}
    second.refuses = True
    numbers = iter(range(1_000))
    until = time.monotonic() + WAIT_S
    while not (first.received_s and second.received_s):
        assert time.monotonic() < until
        assert ask(port, f"n{next(numbers)}")[0] == 200
    before = len(first.received_s), len(second.received_s)
    for _ in range(20):
        assert ask(port, f"n{next(numbers)}")[0] == 200
    assert (len(first.received_s), len(second.received_s)) == before == (1, 1)
    third.notices = {"Server_Leaving": "1"}
    assert ask(port, f"n{next(numbers)}")[0] == 200
    status, headers = ask(port, f"n{next(numbers)}")
    assert status == 503
    # The deadline of the route is 800 ms.
    assert 0 < float(headers["Retry-After"]) <= 0.8
