"""Runs a gateway as a process between callers, upstreams and a store on loopback sockets."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import closing, suppress
from http.client import HTTPConnection, IncompleteRead
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

import pytest

from adapter_harness import CONFIG, answer, request
from adapter_store import StoreModel, configuration_record, entry_record

EVENT_1, EVENT_2 = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
WAIT_S = 20
# Two offsets, without records after them.
EMPTY_PAGE_BYTES = 16


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


class StoreServer:
    """Serves a store model; while it is away, it closes connections without an answer."""

    def __init__(self):
        self.model = StoreModel()
        self.is_away = False
        self.lock = threading.Lock()
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), store_handler(self))
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write(self, topic, key, value):
        with self.lock:
            self.model.write(topic, key, value)

    def restore(self, older):
        """Be away for a moment, and come back from a copy."""
        self.is_away = True
        time.sleep(0.3)
        with self.lock:
            self.model.restore(older)
        self.is_away = False

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def store_handler(store):
    """Return a request handler for the calls of the store."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *args):
            pass

        def handle_call(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
            url = urlsplit(self.path)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            wait_until = time.monotonic() + min(1.0, int(query.get("wait_ms", "0")) / 1_000)
            while True:
                if store.is_away:
                    self.close_connection = True
                    return
                with store.lock:
                    response = store.model.respond(self.command, url.path, query, body)
                has_records = len(response.body) > EMPTY_PAGE_BYTES
                if self.command != "GET" or has_records or time.monotonic() >= wait_until:
                    break
                time.sleep(0.02)
            # The gateway ends while its last read waits.
            with suppress(BrokenPipeError, ConnectionResetError):
                self.send_response(response.status)
                for name, value in response.headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(response.body)))
                self.end_headers()
                self.wfile.write(response.body)

        do_GET = do_POST = handle_call  # noqa: N815

    return Handler


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
    ports = free_ports(3)
    settings = {
        "node": "front-1",
        "ip": "127.0.0.1",
        "listen": {"front": f"127.0.0.1:{ports[0]}", "ready": f"127.0.0.1:{ports[1]}"},
        "port_range": [ports[2], ports[2]],
        "platform": {"address": store.address},
        "bootstrap": True,
    }
    path = tmp_path / "node.yaml"
    path.write_text(json.dumps(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "skylarkmoor_adapter.main"],
        env=os.environ | {"SKYLARKMOOR_SETTINGS": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    try:
        wait_until_ready(process, ports[1], ("e0", "e1"))
        yield process, ports[0]
    finally:
        process.send_signal(signal.SIGKILL)
        process.communicate()


def free_ports(count):
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in listeners]
    for each in listeners:
        each.close()
    return ports


def wait_until_ready(process, port, upstreams):
    """Read the log until the upstreams are known and the gateway is ready."""
    seen = set()
    timer = threading.Timer(WAIT_S, process.kill)
    timer.start()
    for line in process.stdout:
        record = json.loads(line)
        if record["message"] == "gateway: upstream changed":
            seen.add(record["upstream"])
        if record["message"] == "gateway: ready":
            seen.add("ready")
        if seen >= {*upstreams, "ready"}:
            timer.cancel()
            # Keeps the pipe from filling up.
            threading.Thread(target=process.stdout.read, daemon=True).start()
            return
    raise AssertionError("the gateway ended before it was ready")


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
