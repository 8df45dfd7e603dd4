"""Runs a gateway process of a small host before crowds of callers that mean it no good.

Each test guards against a process that grows until its host ends it, and against one that no longer
answers others. The crowds and the bounds are those with which 618b722 exceeds the bounds.
"""

import json
import os
import selectors
import socket
import threading
import time
from contextlib import closing, suppress
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest

from adapter_harness import CONFIG, answer
from adapter_harness import request as encode
from adapter_processes import WAIT_S, GatewayProcess, NoticingUpstream, StoreServer
from adapter_store import entry_record

LIMITS = {"memory_mb": 90, "max_fds": 600}
# Descriptors of a host that are reserved for files.
RESERVED_FDS = 200
CONNECTIONS = 150
PIPELINED_REQUESTS = 3_000
BODY_BYTES = 1_048_576
# A crowd has sent all that it can if nobody takes a byte for this time.
QUIET_S = 0.7
MB = 1_048_576


def configuration():
    """Return the configuration of the other tests with the default sizes and a second route."""
    content = json.loads(CONFIG)
    del content["limits"]
    # Long answers are not to end by their deadline.
    content["routes"][1]["timeout_ms"] = 15_000
    return json.dumps(content).encode()


class LongAnswer(BaseHTTPRequestHandler):
    """Answers each request to a path of long answers with more than any buffer holds."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_POST(self):  # noqa: N802
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        is_long = self.path.startswith("/stock/long")
        body = bytes(16 * MB) if is_long else b"ok"
        headers = {"Skylarkmoor_Request_Id": self.headers["Skylarkmoor-Request-Id"]}
        with suppress(OSError):
            self.wfile.write(answer(body, **headers))


class LongServer(ThreadingHTTPServer):
    """A server that accepts the connections of a whole crowd at once."""

    request_queue_size = 512


class LongAnswers:
    """An upstream whose answers are long."""

    def __init__(self):
        self.server = LongServer(("127.0.0.1", 0), LongAnswer)
        self.server.handle_error = lambda *args: None
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Host:
    """A gateway process on a small host, with its upstream."""

    def __init__(self, folder, limits, make_upstream=NoticingUpstream):
        self.limits = limits
        self.store = StoreServer()
        self.upstream = make_upstream()
        entry = entry_record(
            service="orders", address=f"127.0.0.1:{self.upstream.port}", slots=400, seq=1
        )
        self.store.write("keyed.servers", "o0", entry)
        self.store.write("keyed.op", "config", configuration())
        self.gateway = GatewayProcess(folder, "front-1", self.store, ("o0",), limits=limits)

    def memory_mb(self):
        """Return the largest resident size so far, and what the kernel holds for callers now."""
        status = Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        resident = int(status.partition("VmHWM:")[2].split()[0]) * 1_024
        queued = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if int(fields[1].partition(":")[2], 16) == self.gateway.port:
                queued += sum(int(each, 16) for each in fields[4].split(":"))
        return (resident + queued) / MB

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.gateway.process.pid}/fd"))

    def check(self):
        """Check that the process lives within its bounds and still answers others."""
        assert self.gateway.process.poll() is None
        # Connections are accepted in order, so that all others have been accepted by then.
        assert self.ask() == 200
        assert self.descriptors() <= self.limits["max_fds"] - RESERVED_FDS
        assert self.memory_mb() <= self.limits["memory_mb"]

    def ask(self, body=b"x"):
        """Return the status of an ordinary request, sent again if it is refused or cut off."""
        until = time.monotonic() + WAIT_S
        while True:
            status = None
            with suppress(OSError), closing(connect(self.gateway.port)) as connection:
                headers = {"Host": "a.example", "Skylarkmoor-Request-Id": "r1"}
                headers |= {"Authorization": "Token secret", "Skylarkmoor-Deadline-Ms": "9000"}
                connection.request("POST", "/stock/1", body, headers)
                status = connection.getresponse().status
            if status == 200 or time.monotonic() > until:
                return status
            time.sleep(0.1)

    def close(self):
        self.gateway.end()
        self.upstream.close()
        self.store.close()


def connect(port):
    return HTTPConnection("127.0.0.1", port, timeout=WAIT_S)


@pytest.fixture
def host(tmp_path, request):
    """Return a host; a parameter overrides its limits."""
    made = Host(tmp_path, LIMITS | getattr(request, "param", {}))
    yield made
    made.close()


class Crowd:
    """Connections that send as much as the gateway takes, and read nothing."""

    def __init__(self, port, number=CONNECTIONS):
        self.sockets = []
        for _ in range(number):
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            connection.settimeout(WAIT_S)
            connection.connect(("127.0.0.1", port))
            connection.setblocking(False)
            self.sockets.append(connection)

    def send(self, payload, limit_s=WAIT_S):
        """Send each connection's bytes until all are sent, or none of the rest is taken."""
        rest = {each: memoryview(payload(number)) for number, each in enumerate(self.sockets)}
        began_s = moved_s = time.monotonic()
        with selectors.DefaultSelector() as selector:
            for each in rest:
                selector.register(each, selectors.EVENT_WRITE)
            while (
                rest
                and time.monotonic() - moved_s < QUIET_S
                and time.monotonic() - began_s < limit_s
            ):
                for key, _ in selector.select(0.05):
                    each = key.fileobj
                    try:
                        sent = each.send(rest[each][:65_536])
                    except BlockingIOError:
                        continue
                    except OSError:
                        sent = len(rest[each])
                    moved_s = time.monotonic()
                    rest[each] = rest[each][sent:]
                    if not rest[each]:
                        selector.unregister(each)
                        del rest[each]

    def close(self):
        for each in self.sockets:
            each.close()


def test_unread_answers_of_unknown_paths(host):
    """Requests sent ahead at paths of no route, whose answers are not read."""
    with closing(Crowd(host.gateway.port)) as crowd:
        crowd.send(
            lambda number: b"".join(
                encode(f"/none/{number}/{count}") for count in range(PIPELINED_REQUESTS)
            )
        )
        host.check()


def test_unread_answers_of_new_keys(host):
    """Requests sent ahead, each with another key, whose answers are not read."""
    with closing(Crowd(host.gateway.port)) as crowd:
        crowd.send(
            lambda number: b"".join(
                encode(f"/stock/{number}", Authorization=f"Token {number}-{count}")
                for count in range(PIPELINED_REQUESTS)
            )
        )
        host.check()


def body_that_stops_short(number):
    """Return a request whose body lacks its last ten bytes."""
    head = encode(f"/stock/{number}", "POST", Content_Length=str(BODY_BYTES))
    return head + bytes(BODY_BYTES - 10)


def test_bodies_that_stop_short(host):
    """Large bodies sent whole, all of which stop just short of their end and stay open."""
    with closing(Crowd(host.gateway.port)) as crowd:
        crowd.send(body_that_stops_short)
        host.check()


def test_bodies_in_pieces_that_stop_short(host):
    """Large bodies sent in chunks, all of which stop before their last chunk and stay open."""
    head = encode("/stock/1", "POST", Transfer_Encoding="chunked")
    pieces = (b"2000\r\n" + bytes(8_192) + b"\r\n") * (BODY_BYTES // 8_192)
    with closing(Crowd(host.gateway.port)) as crowd:
        crowd.send(lambda number: head + pieces)
        host.check()


@pytest.mark.parametrize("host", [{"max_fds": 300}], indirect=True)
def test_idle_connections(host):
    """More connections than the process has descriptors for, none of which sends a byte."""
    with closing(Crowd(host.gateway.port)):
        host.check()


@pytest.mark.parametrize("host", [{"max_fds": 300}], indirect=True)
def test_heads_one_byte_at_a_time(host):
    """More connections than the process has descriptors for, whose heads never end."""
    with closing(Crowd(host.gateway.port)) as crowd:
        for count in range(20):
            crowd.send(lambda number, count=count: encode("/stock/1")[count : count + 1])
        host.check()


def test_long_answers_that_are_not_read(tmp_path):
    """Answers of many megabytes, of which callers read nothing."""
    host = Host(tmp_path, LIMITS, LongAnswers)
    with closing(host), closing(Crowd(host.gateway.port, 2 * CONNECTIONS)) as crowd:
        head = encode("/stock/long", "POST", b"x", Skylarkmoor_Deadline_Ms="9000")
        crowd.send(lambda number: head)
        time.sleep(QUIET_S)
        host.check()


def test_chunk_extensions(host):
    """Chunks of one byte, each with an extension of several kilobytes."""
    head = encode("/stock/1", "POST", Transfer_Encoding="chunked")
    pieces = (b"1;" + b"e" * 8_192 + b"\r\nx\r\n") * 500
    with closing(Crowd(host.gateway.port)) as crowd:
        crowd.send(lambda number: head + pieces)
        host.check()


def test_bodies_in_tiny_chunks(host):
    """Chunks of eight bytes, which take far longer to parse than to send."""
    head = encode("/stock/1", "POST", Transfer_Encoding="chunked")
    pieces = b"8\r\nxxxxxxxx\r\n" * 60_000
    with closing(Crowd(host.gateway.port)) as crowd:
        crowd.send(lambda number: head + pieces, limit_s=2)
        host.check()
