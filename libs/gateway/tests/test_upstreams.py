"""Guards against answers that look complete although the upstream never read the request.

The upstreams are sockets, since it is the kernel that tells how a connection has ended.
"""

import select
import socket
import struct

import pytest
import pytest_twisted
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from skylarkmoor_core.clock import SystemClock
from skylarkmoor_core.settings import Address

WAIT_S = 10
# More than the buffers of both sides hold.
UPLOAD = b"x" * 16_000_000
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
HEAD_1_0 = b"HTTP/1.0 200 OK\r\n\r\n"


class Reader:
    """Records a response, and fires with None when it is complete, else with its failure."""

    def __init__(self):
        self.statuses = []
        self.body = b""
        self.done = Deferred()

    def response_head(self, status, headers):
        self.statuses.append(status)

    def response_data(self, data):
        self.body += data

    def response_end(self):
        self.done.callback(None)

    def response_failed(self, reason):
        self.done.callback(reason)


class Upstream:
    """A listener, and the connections to it that were accepted."""

    def __init__(self):
        from twisted.internet import reactor

        from skylarkmoor_gateway.tunnels import TunnelEndpoint, TunnelServerFactory
        from skylarkmoor_gateway.upstreams import UpstreamPool

        self.reactor = reactor
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = self.listener.getsockname()
        self.accepted = []
        self.tunnels = TunnelServerFactory(
            reactor, lambda *_: None, lambda _: None, lambda *_: None
        )
        self.port = reactor.listenTCP(0, self.tunnels, interface="127.0.0.1")
        peer = Address("127.0.0.1", self.port.getHost().port)
        tunnel = TunnelEndpoint(reactor, peer, "u1", self.address)
        clock = SystemClock()
        self.pools = {
            "direct": UpstreamPool(reactor, clock, self.address),
            "tunnel": UpstreamPool(reactor, clock, self.address, endpoint=tunnel),
        }

    def accept(self):
        connection, _ = self.listener.accept()
        connection.settimeout(WAIT_S)
        self.accepted.append(connection)
        return connection

    async def send(self, way, body):
        """Return the connection to the upstream, its other end and the reader of the answer."""
        near = await self.pools[way].connect()
        far = self.accept()
        return near, far, self.send_on(near, body)

    def send_on(self, near, body):
        reader = Reader()
        length = str(len(body)).encode()
        headers = [(b"Host", b"a"), (b"Content-Length", length)]
        near.send(b"POST", b"/", headers, body, reader)
        return reader

    async def wait(self, wait_s=0.005):
        await deferLater(self.reactor, wait_s)

    async def arrived(self, far):
        """Wait until some of a request has arrived."""
        for _ in range(WAIT_S * 200):
            if select.select([far], [], [], 0)[0]:
                return
            await self.wait()
        raise AssertionError("no request has arrived")

    async def end_of(self, reader):
        return await reader.done.addTimeout(WAIT_S, self.reactor)


@pytest.fixture
def upstream():
    made = Upstream()
    yield made
    made.tunnels.close()
    for connection in made.accepted:
        connection.close()
    made.listener.close()
    pytest_twisted.blockon(made.port.stopListening())


def reset(far):
    """Close a connection so that the kernel resets it."""
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    far.close()


def half_close(far):
    far.shutdown(socket.SHUT_WR)


def close(far):
    """Close a connection; the kernel resets it if bytes were not read."""
    far.close()


def half_close_and_close(far):
    """Send an orderly end, which a reset follows if bytes were not read."""
    far.shutdown(socket.SHUT_WR)
    far.close()


WAYS = ["direct", "tunnel"]
HEADS = [
    HEAD,
    HEAD_1_0,
    b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD,
    b"HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD_1_0,
]


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("end", [reset, half_close, close, half_close_and_close])
@pytest.mark.parametrize("head", HEADS, ids=["1.1", "1.0", "100 first", "103 first"])
@pytest_twisted.ensureDeferred
async def test_an_answer_without_length_to_an_unread_upload_is_not_complete(
    upstream, way, end, head
):
    """A half-close while the upload was still being written completed the answer (MIXED)."""
    _, far, reader = await upstream.send(way, UPLOAD)
    await upstream.arrived(far)
    far.sendall(head + b"part")
    end(far)
    assert await upstream.end_of(reader) is not None


@pytest.mark.parametrize("way", WAYS)
@pytest_twisted.ensureDeferred
async def test_an_orderly_end_that_a_reset_follows_is_none(upstream, way):
    """The kernel shows an orderly end of the bytes although the connection was reset."""
    _, far, reader = await upstream.send(way, b"x" * 2_000)
    await upstream.arrived(far)
    # All of it happens before the reactor reads.
    far.sendall(HEAD + b"part")
    half_close_and_close(far)
    assert await upstream.end_of(reader) is not None


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("end", [half_close, close])
@pytest.mark.parametrize("size", [0, 2_000, 1_000_000])
@pytest.mark.parametrize("head", HEADS, ids=["1.1", "1.0", "100 first", "103 first"])
@pytest_twisted.ensureDeferred
async def test_an_answer_without_length_to_a_request_that_was_read_is_complete(
    upstream, way, end, size, head
):
    _, far, reader = await upstream.send(way, b"x" * size)
    far.setblocking(False)
    unread = size
    while unread > 0 or not size:
        await upstream.wait(0)
        try:
            data = far.recv(65_536)
        except BlockingIOError:
            continue
        unread -= len(data.partition(b"\r\n\r\n")[2]) if b"\r\n\r\n" in data else len(data)
        if not size:
            break
    far.sendall(head + b"whole")
    end(far)
    assert await upstream.end_of(reader) is None
    assert reader.body == b"whole"


@pytest.mark.parametrize("way", WAYS)
@pytest_twisted.ensureDeferred
async def test_an_answer_with_a_length_may_come_before_the_upload_was_read(upstream, way):
    near, far, reader = await upstream.send(way, UPLOAD)
    await upstream.arrived(far)
    far.sendall(b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
    assert await upstream.end_of(reader) is None
    assert (reader.statuses, reader.body) == ([413], b"no")
    # The rest of the upload would come before the next request.
    assert not near.usable
    assert upstream.pools[way].acquire() is None


@pytest.mark.parametrize("sent_before", [0, 1])
@pytest_twisted.ensureDeferred
async def test_an_answer_before_any_byte_of_the_request_is_none(upstream, sent_before):
    """Bytes that were there before the request was written were read as its answer."""
    near = await upstream.pools["direct"].connect()
    far = upstream.accept()
    complete = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    if sent_before:
        reader = upstream.send_on(near, b"x")
        await upstream.arrived(far)
        far.recv(65_536)
        far.sendall(complete)
        assert await upstream.end_of(reader) is None
    far.sendall(complete)
    # The bytes are read in the turn in which the request is to be written.
    reader = upstream.send_on(near, b"x")
    assert await upstream.end_of(reader) is not None
    assert reader.statuses == []


@pytest.mark.parametrize("way", WAYS)
@pytest_twisted.ensureDeferred
async def test_a_reused_connection_that_is_reset_with_the_bytes_gives_no_answer(upstream, way):
    near, far, reader = await upstream.send(way, b"x")
    await upstream.arrived(far)
    far.recv(65_536)
    far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert await upstream.end_of(reader) is None
    reader = upstream.send_on(upstream.pools[way].acquire(), UPLOAD)
    await upstream.arrived(far)
    far.sendall(HEAD + b"part")
    reset(far)
    assert await upstream.end_of(reader) is not None
