"""Messages between daemons over ZeroMQ."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import zmq
import zmq.asyncio

from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.ids import HostId, Incarnation
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import Envelope, Message, decode_envelope, encode_envelope
from skylarkmoor_core.settings import Address

__all__ = ["Peers"]

# Messages held for one peer; all of them are absolute values or are asked again, so the
# excess is dropped.
_SEND_HIGH_WATER = 512
_RECEIVE_HIGH_WATER = 4096
# Bounds the memory that one message can take.
_MAX_MESSAGE_BYTES = 4_000_000
# Messages handled before other work of the loop gets a turn.
_BATCH = 64
_TRANSPORT_HEARTBEAT_MS = 2_000
_RECONNECT_MS = 50
_RECONNECT_MAX_MS = 1_000

_log = part_logger("peers")


class Peers:
    """The sockets to and from the other daemons.

    Parameters
    ----------
    host : str
        This daemon's host.
    incarnation : int
        This daemon's incarnation.
    on_message : callable
        Gets the sender, its incarnation and the message. It must not block.

    Notes
    -----
    Sending never blocks: a message to a peer that is not connected, or whose queue is full,
    is dropped. Everything sent is repeated by its sender until it is answered or out of date.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        on_message: Callable[[HostId, Incarnation, Message], None],
    ) -> None:
        self.dropped = 0
        self.stale = 0
        self._host = host
        self._incarnation = incarnation
        self._on_message = on_message
        self._context = zmq.asyncio.Context()
        self._router: Any = None
        self._task: asyncio.Task[None] | None = None
        self._addresses: dict[HostId, str] = {}
        self._dealers: dict[HostId, zmq.Socket[bytes]] = {}
        self._incarnations: dict[HostId, Incarnation] = {}

    def listen(self, address: Address) -> Address:
        """Bind the socket that receives and return the address it got.

        Raises
        ------
        zmq.ZMQError
            If the address cannot be bound.
        """
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.RCVHWM, _RECEIVE_HIGH_WATER)
        router.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        router.setsockopt(zmq.IPV6, int(":" in address.host))
        name = f"[{address.host}]" if ":" in address.host else address.host
        router.bind(f"tcp://{name}:{address.port or '*'}")
        bound = router.getsockopt_string(zmq.LAST_ENDPOINT).rpartition(":")[2]
        self._router = router
        self._task = asyncio.get_event_loop().create_task(self._receive())
        return Address(address.host, int(bound))

    def set_peers(self, addresses: Mapping[HostId, Address]) -> None:
        """Connect to new peers and to those that moved, and drop those that are gone."""
        wanted = {host: f"tcp://{a}" for host, a in addresses.items() if host != self._host}
        for host in [h for h, a in self._addresses.items() if wanted.get(h) != a]:
            self._addresses.pop(host)
            self._dealers.pop(host).close(linger=0)
        for host, address in wanted.items():
            if host not in self._dealers:
                self._addresses[host] = address
                self._dealers[host] = self._connect(address)

    def send(self, to: HostId, message: Message) -> bool:
        """Send a message without waiting and return whether it was queued."""
        dealer = self._dealers.get(to)
        if dealer is None:
            self.dropped += 1
            return False
        return self._queue(dealer, self._encode(message))

    def broadcast(self, message: Message) -> None:
        """Send a message to every peer."""
        data = self._encode(message)
        for dealer in self._dealers.values():
            self._queue(dealer, data)

    def hosts(self) -> list[HostId]:
        """Return the peers that messages can be sent to."""
        return list(self._dealers)

    def close(self) -> None:
        """Close all sockets; messages still queued are dropped."""
        if self._task is not None:
            self._task.cancel()
        for dealer in self._dealers.values():
            dealer.close(linger=0)
        self._dealers.clear()
        if self._router is not None:
            self._router.close(linger=0)
        self._context.destroy(linger=0)

    def _encode(self, message: Message) -> bytes:
        return encode_envelope(Envelope(self._host, self._incarnation, message))

    def _queue(self, dealer: "zmq.Socket[bytes]", data: bytes) -> bool:
        try:
            dealer.send(data, flags=zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += 1
            return False
        return True

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        # Sending without waiting needs no awaitable socket.
        make: Any = self._context.socket
        dealer: zmq.Socket[bytes] = make(zmq.DEALER, socket_class=zmq.Socket)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.SNDHWM, _SEND_HIGH_WATER)
        # Without a connection nothing is queued, so a returning peer gets no old messages.
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.HEARTBEAT_IVL, _TRANSPORT_HEARTBEAT_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        dealer.setsockopt(zmq.IPV6, int("[" in address))
        dealer.connect(address)
        return dealer

    async def _receive(self) -> None:
        handled = 0
        while True:
            frames = await self._router.recv_multipart()
            self._handle(frames[-1])
            handled += 1
            if handled % _BATCH == 0:
                await asyncio.sleep(0)

    def _handle(self, data: bytes) -> None:
        try:
            envelope = decode_envelope(data)
        except MessageError as error:
            self.dropped += 1
            _log.warning("dropped invalid bytes", extra={"error": str(error)})
            return
        known = self._incarnations.get(envelope.sender)
        if known is not None and envelope.incarnation < known:
            self.stale += 1
            return
        self._incarnations[envelope.sender] = envelope.incarnation
        try:
            self._on_message(envelope.sender, envelope.incarnation, envelope.message)
        except Exception:
            _log.exception("handling a message failed", extra={"sender": envelope.sender})
