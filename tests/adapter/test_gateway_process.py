"""Runs a gateway as a process between callers, upstreams and a store on loopback sockets."""

import signal
import socket
import threading
import time
from contextlib import closing
from http.client import HTTPConnection, IncompleteRead

import pytest

from adapter_harness import CONFIG, answer, request
from adapter_processes import WAIT_S, GatewayProcess, StoreServer
from adapter_store import configuration_record, entry_record

EVENT_1, EVENT_2 = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"


class Upstream(threading.Thread):
    """Answers each connection with one of the prepared answers, and closes it."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.answers = []
        self.received = []
        # Answers are followed by the end of their connection once this is set.
        self.may_close = threading.Event()
        self.may_close.set()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with closing(connection):
                data = b""
                while b"\r\n\r\n" not in data and (chunk := connection.recv(65_536)):
                    data += chunk
                if data:
                    self.received.append(data)
                    connection.sendall(self.answers.pop(0))
                    self.may_close.wait(WAIT_S)


@pytest.fixture
def engines():
    upstreams = [Upstream() for _ in range(2)]
    for upstream in upstreams:
        upstream.start()
    yield upstreams
    for upstream in upstreams:
        upstream.listener.close()


@pytest.fixture
def gateway(process):
    """Return the port for callers of a ready gateway with two engines."""
    return process[1]


@pytest.fixture
def store():
    server = StoreServer()
    yield server
    server.close()


@pytest.fixture
def process(engines, store, tmp_path):
    """Return a ready gateway with two engines, and its port for callers."""
    for number, engine in enumerate(engines):
        entry = entry_record(address=f"127.0.0.1:{engine.port}", slots=2, seq=1)
        store.write("keyed.servers", f"e{number}", entry)
    store.write("keyed.op", "config", CONFIG)
    gateway = GatewayProcess(tmp_path, "front-1", store, ("e0", "e1"))
    yield gateway.process, gateway.port
    gateway.end()


def ask(port, path):
    connection = HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    headers = {
        "Host": "a.example",
        "Skylarkmoor-Request-Id": "r1",
        "Skylarkmoor-Deadline-Ms": "9000",
        "Authorization": "Token secret",
    }
    with closing(connection):
        connection.request("POST", path, b"x", headers)
        response = connection.getresponse()
        return response.status, response.read()


def unframed(body):
    """Return an answer that ends with its connection."""
    return answer(b"", Content_Length="") + body


def test_an_answer_that_ends_with_its_connection_is_whole(gateway, engines):
    for engine in engines:
        engine.answers = [answer(b"", "404 Not Found", Content_Length="") + b"no such draft"]
    assert ask(gateway, "/answer/1") == (404, b"no such draft")


@pytest.mark.parametrize("path", ["/answer/1", "/brief/1"])
def test_a_stream_that_ends_with_its_connection_is_whole(gateway, engines, path):
    for engine in engines:
        engine.answers = [unframed(EVENT_1 + EVENT_2)]
    assert ask(gateway, path) == (200, EVENT_1 + EVENT_2)


def test_a_stream_that_ends_inside_an_event_is_resumed_elsewhere(gateway, engines):
    """The half event was sent as the end of a complete answer."""
    whole = unframed(EVENT_2)
    for engine, other in (engines, reversed(engines)):
        engine.answers = Once(unframed(EVENT_1 + b"id: 2\nda"), whole, other)
    assert ask(gateway, "/brief/1") == (200, EVENT_1 + EVENT_2)
    resumed = [data for engine in engines for data in engine.received if b"Last-Event-Id" in data]
    assert len(resumed) == 1
    assert b"Last-Event-Id: 1\r\n" in resumed[0]


def test_a_stream_that_cannot_resume_and_ends_inside_an_event_looks_broken(gateway, engines):
    """The half event was sent as the end of a complete answer."""
    for engine in engines:
        engine.answers = [unframed(EVENT_1 + b"id: 2\nda")]
    with pytest.raises((IncompleteRead, ConnectionError)):
        ask(gateway, "/answer/1")


@pytest.mark.parametrize(
    "signals",
    [(signal.SIGKILL,), (signal.SIGTERM, signal.SIGTERM)],
    ids=["killed", "forced to stop"],
)
def test_a_caller_without_chunks_sees_that_the_gateway_was_ended(process, engines, signals):
    """The end of the connection was an orderly one, which completes an answer of HTTP/1.0."""
    gateway, port = process
    for engine in engines:
        engine.answers = [answer(b"", Content_Length="") + EVENT_1]
        engine.may_close.clear()
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as caller:
        head = request("/answer/1", "POST", Skylarkmoor_Deadline_Ms="9000")
        caller.sendall(head.replace(b"HTTP/1.1", b"HTTP/1.0"))
        received = b""
        while EVENT_1 not in received:
            received += caller.recv(65_536)
        for each in signals:
            gateway.send_signal(each)
            # Signals of one kind that are pending together are delivered once.
            time.sleep(0.2)
        with pytest.raises(ConnectionResetError):
            caller.recv(65_536)
    for engine in engines:
        engine.may_close.set()


def version(number):
    """Return a configuration with a route that only this version has."""
    route = {"name": "new", "host": "a.example", "path_prefix": f"/v{number}/", "kind": "safe"}
    return configuration_record(number, route | {"timeout_ms": 800, "service": "none"})


def wait_for_status(port, path, expected):
    """Send requests until one gets a status."""
    until = time.monotonic() + WAIT_S
    while (status := ask(port, path)[0]) != expected:
        assert time.monotonic() < until, f"{path}: {status} in place of {expected}"
        time.sleep(0.05)


def test_a_store_that_comes_back_older_neither_takes_back_nor_hides_a_version(gateway, store):
    """A version that was written after the restore was not in force (CONFIG)."""
    older = store.model.copy()
    store.write("keyed.op", "config", version(5))
    wait_for_status(gateway, "/v5/1", 503)
    for restore in (1, 2):
        store.restore(older)
        # The read that shows the restore has been made when the address is written again.
        until = time.monotonic() + WAIT_S
        while "front-1" not in store.model.newest("keyed.gateways"):
            assert time.monotonic() < until
            time.sleep(0.05)
        newest = f"/v{restore + 4}/1"
        assert ask(gateway, newest)[0] == 503
        store.write("keyed.op", "config", version(restore + 5))
        wait_for_status(gateway, f"/v{restore + 5}/1", 503)
        assert ask(gateway, newest)[0] == 404


class Once:
    """The answers of an engine: the second one if the other engine got a request before it."""

    def __init__(self, first, second, other):
        self.first, self.second, self.other = first, second, other

    def pop(self, _index):
        return self.second if self.other.received else self.first
