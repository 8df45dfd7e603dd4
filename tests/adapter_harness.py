"""Gateway with in-memory connections, so that tests control the bytes on both sides."""

import socket
import struct
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from skylarkmoor_core.clock import ManualClock
from skylarkmoor_gateway.callerconnections import CallerConnection
from skylarkmoor_gateway.gateway import Gateway
from skylarkmoor_policy.trackedupstream import RegisteredUpstream

CONFIG = b"""{"version": 3, "routes": [
  {"name": "order", "host": "a.example", "path_prefix": "/order/", "kind": "unsafe",
   "timeout_ms": 800, "goal_ms": 100, "priority": 2, "service": "orders", "max_attempts": 1},
  {"name": "stock", "host": "a.example", "path_prefix": "/stock/", "kind": "safe",
   "timeout_ms": 800, "goal_ms": 100, "priority": 2, "service": "orders", "max_attempts": 2},
  {"name": "brief", "host": "a.example", "path_prefix": "/brief/", "kind": "stream",
   "timeout_ms": 15000, "goal_ms": 1000, "priority": 0, "service": "assistant",
   "max_attempts": 2, "resumable": true, "gap_target_ms": 400},
  {"name": "answer", "host": "a.example", "path_prefix": "/answer/", "kind": "stream",
   "timeout_ms": 12000, "goal_ms": 400, "priority": 1, "service": "assistant",
   "max_attempts": 1, "gap_target_ms": 400}],
 "services": [{"name": "orders", "max_conns": 10},
  {"name": "assistant", "max_conns": 10, "engine": {"slots": 2}}],
 "limits": {"max_header_bytes": 2048, "max_body_bytes": 4096, "header_timeout_ms": 3000,
  "idle_timeout_ms": 15000},
 "tenants": [{"name": "depots", "api_keys": ["secret"], "unit": "tokens", "plain_tokens": 10,
  "rate_per_s": 1000, "burst": 1000}]}"""


class RecordingTransport(StringTransport):
    """A transport that records aborts and accepts socket options.

    Attributes
    ----------
    has_unsent : bool
        Whether the kernel has not taken all bytes that were written.
    """

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False
        self.has_unsent = False
        self.options: dict[tuple[int, int], Any] = {}

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option."""

    def getHandle(self) -> "RecordingTransport":  # noqa: N802
        """Return an object that accepts socket options."""
        return self

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Record the option."""
        self.options[level, option] = value

    @property
    def resets_on_close(self) -> bool:
        """Whether closing the connection resets it, also when the process ends."""
        linger = self.options.get((socket.SOL_SOCKET, socket.SO_LINGER), bytes(8))
        return struct.unpack("ii", linger) == (1, 0)

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Register a producer; a pull producer is asked for bytes at once."""
        super().registerProducer(producer, streaming)
        if not streaming:
            producer.resumeProducing()

    def write(self, data: bytes) -> None:
        """Pass bytes to the kernel, and ask a pull producer for more when it has taken them."""
        super().write(data)
        if not self.has_unsent:
            self.send_rest()

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection when all bytes were sent."""
        super().loseConnection()
        if not self.has_unsent:
            self.send_rest()

    def send_rest(self) -> None:
        """Let the kernel take all bytes, and ask a pull producer for more."""
        self.has_unsent = False
        if self.producer is not None and not self.streaming:
            self.producer.resumeProducing()

    def abortConnection(self) -> None:  # noqa: N802
        """Record a reset."""
        self.aborted = True
        self.disconnecting = True


@dataclass
class Caller:
    """The caller's side of a connection to the gateway."""

    connection: CallerConnection
    transport: RecordingTransport
    # Path of the request, if a test keeps it.
    asked_path: str = ""

    def send(self, data: bytes) -> None:
        """Send bytes to the gateway."""
        self.connection.dataReceived(data)

    def received(self) -> bytes:
        """Return what the gateway has sent since the last call."""
        data = self.transport.value()
        self.transport.clear()
        return bytes(data)

    def disconnect(self) -> None:
        """Close the connection."""
        self.connection.connectionLost(Failure(ConnectionDone()))


@dataclass
class Upstream:
    """The upstream's side of a connection from the gateway."""

    protocol: Any
    transport: RecordingTransport

    def received(self) -> bytes:
        """Return what the gateway has sent since the last call."""
        data = self.transport.value()
        self.transport.clear()
        return bytes(data)

    def send(self, data: bytes) -> None:
        """Send bytes to the gateway."""
        self.protocol.dataReceived(data)

    def close(self, *, reset: bool = False) -> None:
        """Close the connection orderly, or reset it."""
        reason = ConnectionLost() if reset else ConnectionDone()
        self.protocol.connectionLost(Failure(reason))


@dataclass
class PendingConnection:
    """A connection of the gateway that is neither accepted nor refused yet."""

    address: tuple[str, int]
    factory: Any
    timeout_s: float

    def accept(self, *, has_unsent: bool = False) -> Upstream:
        """Accept the connection; the kernel may not take the bytes that are written to it."""
        protocol = self.factory.buildProtocol(None)
        transport = RecordingTransport()
        transport.has_unsent = has_unsent
        protocol.makeConnection(transport)
        return Upstream(protocol, transport)

    def fail(self, error: Exception) -> None:
        """Let the connection fail."""
        self.factory.clientConnectionFailed(None, Failure(error))


@dataclass
class Harness:
    """A gateway with its clock and reactor, and the connections that it opens."""

    gateway: Gateway
    reactor: MemoryReactorClock
    clock: ManualClock
    next_connection: int = field(default=0)

    def add_upstream(self, name: str, service: str, port: int, **overrides: Any) -> None:
        """Add a ready upstream."""
        values = {"slots": 2, "version": "v1", "started_wall_ms": 1} | overrides
        self.gateway.set_upstream(RegisteredUpstream(name, service, ("10.0.0.9", port), **values))

    def caller(self) -> Caller:
        """Open a caller's connection."""
        transport = RecordingTransport()
        connection = CallerConnection(self.gateway, self.reactor)
        connection.makeConnection(transport)
        return Caller(connection, transport)

    def accept(self) -> Upstream:
        """Accept the gateway's next connection to an upstream."""
        return self.take_connection().accept()

    def refuse(self) -> None:
        """Refuse the gateway's next connection to an upstream."""
        self.take_connection().fail(ConnectionRefusedError())

    def take_connection(self) -> "PendingConnection":
        """Return the gateway's next connection, to be accepted or refused later."""
        address, port, factory, timeout_s, _ = self.reactor.tcpClients[self.next_connection]
        self.next_connection += 1
        return PendingConnection((address, port), factory, timeout_s)

    def pending_connections(self) -> int:
        """Return how many connections to upstreams are neither accepted nor refused yet."""
        return len(self.reactor.tcpClients) - self.next_connection

    def advance(self, elapsed_ms: int) -> None:
        """Advance the clock and the reactor in steps of the gateway's tick."""
        for _ in range(0, elapsed_ms, 25):
            self.clock.advance(25)
            self.reactor.advance(0.025)
            self.gateway._tick()


def request(
    path: str = "/stock/1", method: str = "GET", body: bytes = b"", **headers: str
) -> bytes:
    """Return a valid request; a header that is set to an empty string is omitted."""
    values = {
        "Host": "a.example",
        "Skylarkmoor-Request-Id": "r1",
        "Skylarkmoor-Deadline-Ms": "1500",
        "Authorization": "Token secret",
    }
    if body:
        values["Content-Length"] = str(len(body))
    values |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}\r\n" for name, value in values.items() if value]
    return f"{method} {path} HTTP/1.1\r\n{''.join(lines)}\r\n".encode() + body


def answer(body: bytes = b"ok", status: str = "200 OK", **headers: str) -> bytes:
    """Return a complete answer of an upstream."""
    values = {
        "Skylarkmoor-Request-Id": "r1",
        "Skylarkmoor-Response-Seal": "seal",
        "Content-Length": str(len(body)),
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}\r\n" for name, value in values.items() if value]
    return f"HTTP/1.1 {status}\r\n{''.join(lines)}\r\n".encode() + body


def stream_head(**headers: str) -> bytes:
    """Return the head of a chunked stream."""
    return answer(b"", Content_Length="", Transfer_Encoding="chunked", **headers)


def chunk(data: bytes) -> bytes:
    """Return a chunk in chunked encoding; an empty one ends the stream."""
    return b"%x\r\n%s\r\n" % (len(data), data)
