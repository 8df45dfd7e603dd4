"""Guards against tunnels that lose bytes, hide a reset or connect to what is no upstream."""

import socket
import struct

import pytest
import pytest_twisted
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectionDone
from twisted.internet.protocol import Factory, Protocol, connectionDone

from skylarkmoor_core.settings import Address

WAIT_S = 10
BIG = b"x" * 2_000_000
# What accepts a tunnel whose bytes are passed on as they are.
RAW_HEAD = b"HTTP/1.1 200 \r\n\r\n"


class Recorder(Protocol):
    """Records what arrives, and fires when the connection has ended."""

    def __init__(self):
        self.received = bytearray()
        self.expected = 0
        self.arrived = Deferred()
        self.ended = Deferred()

    def dataReceived(self, data):  # noqa: N802
        self.received += data
        if self.expected and len(self.received) >= self.expected and not self.arrived.called:
            self.arrived.callback(None)

    def connectionLost(self, reason):  # noqa: N802
        self.ended.callback(reason.value)

    def expect(self, count):
        """Return a deferred that fires when `count` bytes have arrived."""
        from twisted.internet import reactor

        self.expected = count
        if len(self.received) >= count and not self.arrived.called:
            self.arrived.callback(None)
        return self.arrived.addTimeout(WAIT_S, reactor)


class RecorderFactory(Factory):
    noisy = False

    def __init__(self):
        self.made = []
        self.next_one = Deferred()

    def buildProtocol(self, addr):  # noqa: N802
        protocol = Recorder()
        self.made.append(protocol)
        if not self.next_one.called:
            self.next_one.callback(protocol)
        return protocol


class Relay:
    """An upstream, and a peer that passes connections on to it."""

    def __init__(self):
        from twisted.internet import reactor

        from skylarkmoor_gateway.tunnels import TunnelServerFactory

        self.reactor = reactor
        self.upstream = RecorderFactory()
        self.refusal = None
        self.connected, self.failed = [], []
        self.server = TunnelServerFactory(
            reactor,
            lambda upstream, address: self.refusal,
            self.connected.append,
            lambda upstream, reason: self.failed.append(upstream),
        )
        self.upstream_port = reactor.listenTCP(0, self.upstream, interface="127.0.0.1")
        self.relay_port = reactor.listenTCP(0, self.server, interface="127.0.0.1")

    def connect(self, port=None):
        from skylarkmoor_gateway.tunnels import TunnelEndpoint

        target = ("127.0.0.1", port or self.upstream_port.getHost().port)
        peer = Address("127.0.0.1", self.relay_port.getHost().port)
        endpoint = TunnelEndpoint(self.reactor, peer, "u1", target)
        return endpoint.connect(RecorderFactory()).addTimeout(WAIT_S, self.reactor)

    async def connect_both(self):
        near = await self.connect()
        far = await self.upstream.next_one
        return near, far


@pytest.fixture
def relay():
    made = Relay()
    yield made
    made.server.close()
    for port in (made.relay_port, made.upstream_port):
        pytest_twisted.blockon(port.stopListening())


@pytest_twisted.ensureDeferred
async def test_bytes_pass_in_both_directions(relay):
    near, far = await relay.connect_both()
    near.transport.write(BIG)
    await far.expect(len(BIG))
    far.transport.write(BIG[::-1])
    await near.expect(len(BIG))
    assert far.received == near.received == BIG
    assert relay.connected == ["u1"]
    near.transport.loseConnection()
    await far.ended.addTimeout(WAIT_S, relay.reactor)


@pytest_twisted.ensureDeferred
async def test_an_orderly_close_of_the_upstream_stays_one_and_loses_nothing(relay):
    near, far = await relay.connect_both()
    far.transport.write(BIG)
    far.transport.loseConnection()
    reason = await near.ended.addTimeout(WAIT_S, relay.reactor)
    assert isinstance(reason, ConnectionDone)
    assert near.received == BIG


@pytest_twisted.ensureDeferred
async def test_a_reset_of_the_upstream_stays_a_reset(relay):
    """An answer without a length would look complete."""
    near, far = await relay.connect_both()
    far.transport.write(b"half of an answer")
    await near.expect(17)
    far.transport.abortConnection()
    reason = await near.ended.addTimeout(WAIT_S, relay.reactor)
    assert not isinstance(reason, ConnectionDone)


@pytest_twisted.ensureDeferred
async def test_a_reset_of_the_gateway_reaches_the_upstream(relay):
    """The upstream would work on for a caller that has left."""
    near, far = await relay.connect_both()
    near.transport.abortConnection()
    reason = await far.ended.addTimeout(WAIT_S, relay.reactor)
    assert not isinstance(reason, ConnectionDone)


@pytest_twisted.ensureDeferred
async def test_a_refusal_by_the_upstream_is_told_from_one_by_the_peer(relay):
    from skylarkmoor_gateway.tunnels import TunnelRefused

    unused = relay.reactor.listenTCP(0, RecorderFactory(), interface="127.0.0.1")
    port = unused.getHost().port
    await unused.stopListening()
    with pytest.raises(TunnelRefused) as refused:
        await relay.connect(port)
    assert refused.value.by_upstream
    assert relay.failed == ["u1"]
    relay.refusal = "it is leaving"
    with pytest.raises(TunnelRefused) as refused:
        await relay.connect()
    assert not refused.value.by_upstream
    assert relay.upstream.made == []


@pytest_twisted.ensureDeferred
async def test_a_peer_that_is_gone_is_told_from_a_refusal(relay):
    from skylarkmoor_gateway.tunnels import TunnelEndpoint, TunnelRefused

    unused = relay.reactor.listenTCP(0, RecorderFactory(), interface="127.0.0.1")
    peer = Address("127.0.0.1", unused.getHost().port)
    await unused.stopListening()
    endpoint = TunnelEndpoint(relay.reactor, peer, "u1", ("127.0.0.1", 1))
    with pytest.raises(ConnectError) as failure:
        await endpoint.connect(RecorderFactory())
    assert not isinstance(failure.value, TunnelRefused)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"CONNECT nowhere HTTP/1.1\r\nHost: a\r\nSkylarkmoor-Upstream: u1\r\n\r\n",
        b"CONNECT 127.0.0.1:80 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\x00\xff\r\n\r\n",
    ],
)
@pytest_twisted.ensureDeferred
async def test_what_is_no_request_for_a_tunnel_is_refused(relay, data):
    from twisted.internet.endpoints import TCP4ClientEndpoint

    endpoint = TCP4ClientEndpoint(relay.reactor, "127.0.0.1", relay.relay_port.getHost().port)
    client = await endpoint.connect(RecorderFactory())
    client.transport.write(data)
    await client.ended.addTimeout(WAIT_S, relay.reactor)
    assert not client.received or client.received.startswith(b"HTTP/1.1 400 ")
    assert relay.upstream.made == []
    assert not relay.server.open_tunnels


@pytest_twisted.ensureDeferred
async def test_an_upstream_that_sends_without_end_to_a_slow_gateway_is_paused(relay):
    """The peer would buffer the whole answer."""
    near, far = await relay.connect_both()
    near.transport.pauseProducing()
    sent = 0

    class Producer:
        paused = Deferred()

        def resumeProducing(self):  # noqa: N802
            nonlocal sent
            if sent < 400 * len(BIG):
                sent += len(BIG)
                far.transport.write(BIG)

        def stopProducing(self):  # noqa: N802
            pass

    far.transport.registerProducer(Producer(), False)
    from twisted.internet.task import deferLater

    await deferLater(relay.reactor, 1.0, lambda: None)
    assert sent < 100 * len(BIG)
    near.transport.abortConnection()
    await far.ended.addTimeout(WAIT_S, relay.reactor)


async def older_gateway(relay):
    """Return both ends of a tunnel that a gateway of an older build has asked for."""
    from twisted.internet.endpoints import TCP4ClientEndpoint

    endpoint = TCP4ClientEndpoint(relay.reactor, "127.0.0.1", relay.relay_port.getHost().port)
    near = await endpoint.connect(RecorderFactory())
    near.transport.write(
        b"CONNECT 127.0.0.1:%d HTTP/1.1\r\nHost: a\r\nSkylarkmoor-Upstream: u1\r\n\r\n"
        % relay.upstream_port.getHost().port
    )
    far = await relay.upstream.next_one
    await near.expect(len(RAW_HEAD))
    return near, far


async def ask_other_relay(relay):
    """Return a request for a tunnel, and the relay's end, which answers what a test writes."""
    from skylarkmoor_gateway.tunnels import TunnelEndpoint

    other = RecorderFactory()
    port = relay.reactor.listenTCP(0, other, interface="127.0.0.1")
    peer = Address("127.0.0.1", port.getHost().port)
    endpoint = TunnelEndpoint(relay.reactor, peer, "u1", ("127.0.0.1", 1))
    connecting = endpoint.connect(RecorderFactory())
    server = await other.next_one
    await server.expect(1)
    await port.stopListening()
    return connecting, server


@pytest_twisted.ensureDeferred
async def test_the_death_of_a_relay_is_no_end_of_an_answer(relay):
    """The kernel closes the sockets of a killed process as if the upstream had finished."""
    near, far = await relay.connect_both()
    far.transport.write(b"half of an answer")
    await near.expect(17)
    (tunnel,) = relay.server.open_tunnels
    tunnel.transport.loseConnection()
    reason = await near.ended.addTimeout(WAIT_S, relay.reactor)
    assert not isinstance(reason, ConnectionDone)
    assert near.received == b"half of an answer"


@pytest_twisted.ensureDeferred
async def test_an_upstream_that_closes_at_once_ends_its_answer(relay):
    near, far = await relay.connect_both()
    far.transport.loseConnection()
    reason = await near.ended.addTimeout(WAIT_S, relay.reactor)
    assert isinstance(reason, ConnectionDone)


@pytest_twisted.ensureDeferred
async def test_the_death_of_a_gateway_cancels_its_request_at_the_upstream(relay):
    """Its tunnel is closed by the kernel; a request that was cut must not look complete."""
    near, far = await relay.connect_both()
    near.transport.write(b"half of a request")
    await far.expect(17)
    near.transport.loseConnection()
    reason = await far.ended.addTimeout(WAIT_S, relay.reactor)
    assert not isinstance(reason, ConnectionDone)


@pytest_twisted.ensureDeferred
async def test_a_relay_of_an_older_build_cannot_end_an_answer(relay):
    """Its tunnels end in the same way whether the upstream or the relay has ended."""
    connecting, server = await ask_other_relay(relay)
    server.transport.write(RAW_HEAD + b"early ")
    near = await connecting
    server.transport.write(b"bytes")
    server.transport.loseConnection()
    reason = await near.ended.addTimeout(WAIT_S, relay.reactor)
    assert near.received == b"early bytes"
    assert not isinstance(reason, ConnectionDone)


@pytest_twisted.ensureDeferred
async def test_a_gateway_of_an_older_build_gets_the_bytes_as_they_are(relay):
    near, far = await older_gateway(relay)
    far.transport.write(BIG)
    far.transport.loseConnection()
    reason = await near.ended.addTimeout(WAIT_S, relay.reactor)
    assert near.received == RAW_HEAD + BIG
    assert isinstance(reason, ConnectionDone)


@pytest_twisted.ensureDeferred
async def test_the_death_of_a_relay_resets_the_tunnels_of_older_gateways(relay):
    """They take an orderly close for the end of an answer."""
    near, far = await older_gateway(relay)
    far.transport.write(b"half of an answer")
    near.arrived = Deferred()
    await near.expect(len(RAW_HEAD) + 17)
    (tunnel,) = relay.server.open_tunnels
    # Closes the socket as the kernel does when the process is killed, without a shutdown.
    tunnel.transport._shouldShutdown = False
    tunnel.transport.loseConnection()
    reason = await near.ended.addTimeout(WAIT_S, relay.reactor)
    assert not isinstance(reason, ConnectionDone)


@pytest_twisted.ensureDeferred
async def test_the_death_of_a_relay_resets_an_end_that_an_older_gateway_has_not_read(relay):
    """The rest of an answer is still in the relay when the upstream has closed."""
    from twisted.internet.task import deferLater

    near, _ = await older_gateway(relay)
    near.transport.pauseProducing()
    (tunnel,) = relay.server.open_tunnels
    # More than the kernel holds on both sides.
    tunnel.write(BIG * 20)
    tunnel.far_end_lost(connectionDone)
    await deferLater(relay.reactor, 0.2, lambda: None)
    linger = tunnel.transport.getHandle().getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
    assert struct.unpack("ii", linger) == (1, 0)
    near.transport.resumeProducing()
    reason = await near.ended.addTimeout(WAIT_S, relay.reactor)
    assert len(near.received) == len(RAW_HEAD) + len(BIG) * 20
    assert isinstance(reason, ConnectionDone)


@pytest_twisted.ensureDeferred
async def test_heads_before_the_answer_to_a_request_for_a_tunnel_are_refused(relay):
    """They were kept until the request timed out."""
    connecting, server = await ask_other_relay(relay)
    server.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000)
    with pytest.raises(ConnectError, match="the peer answered 400"):
        await connecting
    await server.ended.addTimeout(WAIT_S, relay.reactor)


@pytest_twisted.ensureDeferred
async def test_an_evacuation_ends_a_tunnel_at_its_next_request_and_not_before(relay):
    """The gateway that asked for it may not have heard of the order."""
    near, far = await relay.connect_both()
    near.transport.write(b"request")
    await far.expect(7)
    relay.server.is_closed = lambda upstream: upstream == "u1"
    near.transport.write(b" body")
    far.arrived = Deferred()
    await far.expect(12)
    far.transport.write(b"answer")
    await near.expect(6)
    near.transport.write(b"second request")
    reason = await near.ended.addTimeout(WAIT_S, relay.reactor)
    assert not isinstance(reason, ConnectionDone)
    await far.ended.addTimeout(WAIT_S, relay.reactor)
    assert far.received == b"request body"
