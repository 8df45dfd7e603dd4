"""Guards against faults while gateways of this build and of an earlier one run side by side."""

import random
import subprocess
import tarfile
import threading
from collections import Counter
from contextlib import closing, suppress
from http.client import HTTPConnection, HTTPException
from io import BytesIO
from pathlib import Path

import pytest

from adapter_harness import CONFIG
from adapter_processes import WAIT_S, GatewayProcess, NoticingUpstream, StoreServer
from adapter_store import entry_record

ROOT = Path(__file__).resolve().parents[2]
EARLIER_COMMITS = {
    # The last landing whose slot requests are counted from 1 and whose tunnels have no frames.
    "unframed tunnels": "43f5c25",
    # The last landing that keeps replicas of the customers' limits.
    "replicated limits": "c2d1a9f",
}
HOSTS = ("front-1", "front-2", "front-3")
SERVICES = {"/order/": "orders", "/answer/": "assistant"}
NAMES = {"o1": "orders", "o2": "orders", "e1": "assistant", "e2": "assistant"}
CALLERS = 9
REQUEST_GAP_S = 0.05
STEP_S = 1.5


@pytest.fixture(scope="module", params=EARLIER_COMMITS.values(), ids=EARLIER_COMMITS)
def earlier_sources(request, tmp_path_factory):
    """Return the folders with the packages of the earlier build, from the history."""
    folder = tmp_path_factory.mktemp("earlier")
    command = ["git", "archive", request.param, "libs", "platform"]
    archive = subprocess.run(command, cwd=ROOT, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    return [*sorted(folder.glob("libs/*/src")), folder / "platform"]


class MixedFleet:
    """Gateways of two builds before two services, and callers that ask for both."""

    def __init__(self, folder):
        self.folder = folder
        self.store = StoreServer()
        self.upstreams = {name: NoticingUpstream() for name in NAMES}
        for name, upstream in self.upstreams.items():
            address = f"127.0.0.1:{upstream.port}"
            entry = entry_record(service=NAMES[name], address=address, slots=1, seq=1)
            self.store.write("keyed.servers", name, entry)
        self.store.write("keyed.op", "config", CONFIG)
        self.gateways = {}
        self.results = []
        self.phase = ""
        self.ended = threading.Event()
        self.callers = [
            threading.Thread(target=self.call, args=(number,)) for number in range(CALLERS)
        ]

    def start(self, host, sources):
        """Start a gateway, or replace it by one of a build."""
        ports = None
        if host in self.gateways:
            ports = self.gateways[host].ports
            self.gateways[host].end()
        self.gateways[host] = GatewayProcess(
            self.folder, host, self.store, tuple(NAMES), ports, sources
        )

    def call(self, number):
        rng = random.Random(number)
        for count in range(10_000):
            if self.ended.wait(REQUEST_GAP_S):
                return
            path = rng.choice(list(SERVICES))
            phase, host = self.phase, rng.choice(HOSTS)
            status = None
            # Gateways are killed when they are replaced.
            with suppress(OSError, HTTPException):
                status = ask(self.gateways[host].port, path, f"r{number}-{count}")
            # A gateway may be killed right after a phase.
            if self.phase == phase:
                self.results.append((phase, status))

    def run(self, phase):
        self.phase = phase
        self.ended.wait(STEP_S)
        self.phase = "replacing"

    def end(self):
        self.ended.set()
        for caller in self.callers:
            if caller.ident:
                caller.join()
        for gateway in self.gateways.values():
            gateway.end()
        for upstream in self.upstreams.values():
            upstream.close()
        self.store.close()


def ask(port, path, name):
    connection = HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    headers = {
        "Host": "a.example",
        "Skylarkmoor-Request-Id": name,
        "Skylarkmoor-Deadline-Ms": "5000",
        "Authorization": "Token secret",
        "Skylarkmoor-Token-Counts": "1,1",
    }
    with closing(connection):
        connection.request("POST", f"{path}{name}", b"x", headers)
        return connection.getresponse().status


@pytest.mark.parametrize("direction", ["forward", "back"])
def test_requests_are_served_once_while_gateways_are_replaced(tmp_path, earlier_sources, direction):
    builds = [earlier_sources, ()] if direction == "forward" else [(), earlier_sources]
    fleet = MixedFleet(tmp_path)
    try:
        for host in HOSTS:
            fleet.start(host, builds[0])
        for caller in fleet.callers:
            caller.start()
        fleet.run("0 replaced")
        for number, host in enumerate(HOSTS, 1):
            fleet.start(host, builds[1])
            fleet.run(f"{number} replaced")
    finally:
        fleet.end()
    runs = [
        (NAMES[name], request, path)
        for name, upstream in fleet.upstreams.items()
        for request, path in upstream.requests
    ]
    for service, _, path in runs:
        assert SERVICES[path[: path.index("/", 1) + 1]] == service
    most = Counter(request for _, request, _ in runs).most_common(1)
    assert most[0][1] == 1
    for number in range(len(HOSTS) + 1):
        statuses = Counter(
            status for phase, status in fleet.results if phase == f"{number} replaced"
        )
        assert set(statuses) == {200}, statuses
        assert statuses[200] >= 20
