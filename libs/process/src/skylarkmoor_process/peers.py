"""Message transport between peers over ZeroMQ."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

import zmq

from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.ids import HostId, Incarnation
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import Envelope, Message, decode_envelope, encode_envelope
from skylarkmoor_core.settings import Address

__all__ = ["Peers"]

# Messages queued for each peer. The excess is dropped, since all messages carry absolute values
# or are requested again.
_SEND_HIGH_WATER_MARK = 512
_RECEIVE_HIGH_WATER_MARK = 4096
# Limits the memory that one message can use.
_MAX_MESSAGE_BYTES = 4_000_000
# Messages handled before yielding to other callbacks of the event loop.
_MAX_MESSAGES_PER_TURN = 64
# Finds peers whose process no longer runs; each connection costs a message and an answer.
_ZMQ_HEARTBEAT_INTERVAL_MS = 6_000
# The kernel finds connections that have gone silent, at no cost for the process: after 2 + 2 * 1
# seconds without traffic, or when sent data is not acknowledged for the same time.
_TCP_OPTIONS = (
    (zmq.TCP_KEEPALIVE, 1),
    (zmq.TCP_KEEPALIVE_IDLE, 2),
    (zmq.TCP_KEEPALIVE_INTVL, 1),
    (zmq.TCP_KEEPALIVE_CNT, 2),
    (zmq.TCP_MAXRT, 4_000),
)
_RECONNECT_INTERVAL_MS = 50
_MAX_RECONNECT_INTERVAL_MS = 1_000

_log = part_logger("peers")


class Peers:
    """Sockets for sending messages to peers and receiving theirs.

    Parameters
    ----------
    host : str
        Host of this process.
    incarnation : int
        Incarnation of this process.
    on_message : callable
        Called with the sender, its incarnation and the message. It must not block.

    Notes
    -----
    Sending never blocks: a message to a peer that is not connected, or whose queue is full,
    is dropped. Senders repeat their messages until these are answered or out of date.

    Messages are received in callbacks of the event loop on the socket's file descriptor. The
    sockets of `zmq.asyncio` cost a future and several queries of the socket for each message.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        on_message: Callable[[HostId, Incarnation, Message], None],
    ) -> None:
        # Bytes of the messages that were queued, once for each receiver.
        self.sent_bytes = 0
        self.dropped = 0
        self.stale = 0
        self._host = host
        self._incarnation = incarnation
        self._on_message = on_message
        self._context = zmq.Context()
        self._router: zmq.Socket[bytes] | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._addresses: dict[HostId, str] = {}
        self._dealers: dict[HostId, zmq.Socket[bytes]] = {}
        self._incarnations: dict[HostId, Incarnation] = {}

    def listen(self, address: Address) -> Address:
        """Bind the receiving socket and return its address.

        Raises
        ------
        zmq.ZMQError
            If the address cannot be bound.
        """
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.RCVHWM, _RECEIVE_HIGH_WATER_MARK)
        router.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        router.setsockopt(zmq.IPV6, int(":" in address.host))
        _set_tcp_options(router)
        endpoint_host = f"[{address.host}]" if ":" in address.host else address.host
        router.bind(f"tcp://{endpoint_host}:{address.port or '*'}")
        bound_port = router.getsockopt_string(zmq.LAST_ENDPOINT).rpartition(":")[2]
        self._router = router
        self._loop = asyncio.get_event_loop()
        self._loop.add_reader(_descriptor(router), self._receive)
        # The descriptor reports new messages only, so those that are already there are read here.
        self._loop.call_soon(self._receive)
        return Address(address.host, int(bound_port))

    def set_peers(self, addresses: Mapping[HostId, Address]) -> None:
        """Connect to peers that are new or changed their address; disconnect from removed ones."""
        wanted = {host: f"tcp://{a}" for host, a in addresses.items() if host != self._host}
        for host in [h for h, a in self._addresses.items() if wanted.get(h) != a]:
            self._addresses.pop(host)
            self._dealers.pop(host).close(linger=0)
        for host, address in wanted.items():
            if host not in self._dealers:
                self._addresses[host] = address
                self._dealers[host] = self._connect(address)

    def send(self, to: HostId, message: Message) -> bool:
        """Send a message without blocking and return whether it was queued."""
        dealer = self._dealers.get(to)
        if dealer is None:
            self.dropped += 1
            return False
        return self._try_send(dealer, self._encode(message))

    def broadcast(self, message: Message) -> None:
        """Send a message to every peer."""
        data = self._encode(message)
        for dealer in self._dealers.values():
            self._try_send(dealer, data)

    def multicast(self, hosts: Iterable[HostId], message: Message) -> None:
        """Send a message to some of the peers."""
        data = self._encode(message)
        for host in hosts:
            dealer = self._dealers.get(host)
            if dealer is None:
                self.dropped += 1
            else:
                self._try_send(dealer, data)

    def hosts(self) -> list[HostId]:
        """Return the peers last given to `set_peers`, connected or not."""
        return list(self._dealers)

    def close(self) -> None:
        """Close all sockets; messages still queued are dropped."""
        for dealer in self._dealers.values():
            dealer.close(linger=0)
        self._dealers.clear()
        router, self._router = self._router, None
        if router is not None:
            assert self._loop is not None
            self._loop.remove_reader(_descriptor(router))
            router.close(linger=0)
        self._context.destroy(linger=0)

    def _encode(self, message: Message) -> bytes:
        return encode_envelope(Envelope(self._host, self._incarnation, message))

    def _try_send(self, dealer: "zmq.Socket[bytes]", data: bytes) -> bool:
        try:
            dealer.send(data, flags=zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += 1
            return False
        self.sent_bytes += len(data)
        return True

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        dealer = self._context.socket(zmq.DEALER)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.SNDHWM, _SEND_HIGH_WATER_MARK)
        # Nothing is queued without a connection, so a reconnecting peer gets no outdated messages.
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.HEARTBEAT_IVL, _ZMQ_HEARTBEAT_INTERVAL_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)
        dealer.setsockopt(zmq.IPV6, int("[" in address))
        _set_tcp_options(dealer)
        dealer.connect(address)
        return dealer

    def _receive(self) -> None:
        """Handle the messages that have arrived, and continue in a later turn if there are many."""
        for _ in range(_MAX_MESSAGES_PER_TURN):
            if self._router is None:
                return
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle_envelope(frames[-1])
        # The descriptor does not report messages again that were there before.
        if self._loop is not None:
            self._loop.call_soon(self._receive)

    def _handle_envelope(self, data: bytes) -> None:
        try:
            envelope = decode_envelope(data)
        except MessageError as error:
            self.dropped += 1
            _log.warning("dropped an undecodable peer message", extra={"error": str(error)})
            return
        newest_incarnation = self._incarnations.get(envelope.sender)
        if newest_incarnation is not None and envelope.incarnation < newest_incarnation:
            self.stale += 1
            return
        self._incarnations[envelope.sender] = envelope.incarnation
        try:
            self._on_message(envelope.sender, envelope.incarnation, envelope.message)
        except Exception:
            _log.exception("peer message handler failed", extra={"sender": envelope.sender})


def _set_tcp_options(socket: "zmq.Socket[bytes]") -> None:
    for option, value in _TCP_OPTIONS:
        socket.setsockopt(option, value)


def _descriptor(socket: "zmq.Socket[bytes]") -> int:
    """Return the file descriptor that becomes readable when the socket has new messages."""
    return int(socket.getsockopt(zmq.FD))
