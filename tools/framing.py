"""Bytes and TCP segments that the transport of the peer messages adds to them.

Two daemons' sockets are joined over loopback by a relay that counts what passes. TCP segments
are counted by the kernel for each connection, acknowledgements among them.
"""

import asyncio
import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

# Makes the sources of this working copy importable.
import sources  # noqa: F401

from skylarkmoor_core.ids import HostId, Incarnation
from skylarkmoor_core.messages import Digest, Envelope, Message, encode_envelope
from skylarkmoor_core.settings import Address
from skylarkmoor_measure.fitting import fit_line
from skylarkmoor_process.peers import Peers

MESSAGES = (20, 60, 120)
# Wide enough apart for no two messages to share a segment.
GAP_S = 0.02
IDLE_S = 20.0
HASHES = (4, 20, 40, 64)
# A process that started in 2026, as in the slopes.
INCARNATION = Incarnation(1_790_000_000_000)
# Places of the counts of segments in Linux's struct tcp_info.
_SEGMENTS_OUT = 136
_SEGMENTS_IN = 140
_INFO_BYTES = 192


@dataclass
class Relay:
    """Passes bytes between two sockets and counts them."""

    target: Address
    there_bytes: int = 0
    back_bytes: int = 0
    sockets: list[socket.socket] = field(default_factory=list)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Join a connection to the target."""
        there_reader, there_writer = await asyncio.open_connection(
            self.target.host, self.target.port
        )
        for each in (writer, there_writer):
            made: Any = each.get_extra_info("socket")
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.append(writer.get_extra_info("socket"))
        await asyncio.gather(
            self._pass(reader, there_writer, forward=True),
            self._pass(there_reader, writer, forward=False),
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forward: bool
    ) -> None:
        while data := await reader.read(65_536):
            if forward:
                self.there_bytes += len(data)
            else:
                self.back_bytes += len(data)
            writer.write(data)
        writer.close()

    def segments(self) -> tuple[int, int]:
        """Return the segments that came from the sender, and those sent back to it."""
        came = back = 0
        for each in self.sockets:
            info = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
            back += struct.unpack_from("I", info, _SEGMENTS_OUT)[0]
            came += struct.unpack_from("I", info, _SEGMENTS_IN)[0]
        return came, back


@dataclass
class Count:
    """Bytes and segments from the sender and back to it."""

    there_bytes: int
    back_bytes: int
    there_segments: int
    back_segments: int

    def __sub__(self, other: "Count") -> "Count":
        return Count(
            self.there_bytes - other.there_bytes,
            self.back_bytes - other.back_bytes,
            self.there_segments - other.there_segments,
            self.back_segments - other.back_segments,
        )


def count(relay: Relay) -> Count:
    """Return what has passed so far."""
    return Count(relay.there_bytes, relay.back_bytes, *relay.segments())


def encoded_bytes(message: Message) -> int:
    """Return the size of a message in its envelope."""
    return len(encode_envelope(Envelope(HostId("entry-0000"), INCARNATION, message)))


async def main() -> None:
    """Measure messages of several sizes and a connection without messages."""
    received: list[Message] = []
    one = Peers(HostId("entry-0000"), INCARNATION, lambda *_: None)
    other = Peers(HostId("entry-0001"), INCARNATION, lambda *got: received.append(got[2]))
    other_address = other.listen(Address("127.0.0.1", 0))
    relay = Relay(other_address)
    server = await asyncio.start_server(relay.accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    one.set_peers({HostId("entry-0001"): Address("127.0.0.1", port)})
    await wait_connected(one, received)
    opened = count(relay)
    print(f"connecting: {opened.there_bytes} bytes there and {opened.back_bytes} back")
    print("messages, each alone in its segment:")
    for hashes in HASHES:
        message = Digest((2**63 + 1,) * hashes)
        await show_size(one, received, relay, message)
    before = count(relay)
    await asyncio.sleep(IDLE_S)
    idle = count(relay) - before
    show_idle(idle)
    one.close()
    other.close()
    server.close()
    # Lets the relay see the ends of its connections.
    await asyncio.sleep(5 * GAP_S)


async def wait_connected(one: Peers, received: Sequence[Message]) -> None:
    """Wait until a first message arrives."""
    for _ in range(500):
        one.send(HostId("entry-0001"), Digest(()))
        await asyncio.sleep(GAP_S)
        if received:
            return
    raise RuntimeError("the peers did not connect")


async def show_size(
    one: Peers, received: Sequence[Message], relay: Relay, message: Message
) -> None:
    """Print what messages of one size add, from the slope over their number."""
    there, back, there_segments, back_segments = [], [], [], []
    for number in MESSAGES:
        before = count(relay)
        goal = len(received) + number
        for _ in range(number):
            one.send(HostId("entry-0001"), message)
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(5 * GAP_S)
        if len(received) != goal:
            raise RuntimeError(f"{goal - len(received)} of {number} messages did not arrive")
        passed = count(relay) - before
        there.append(passed.there_bytes)
        back.append(passed.back_bytes)
        there_segments.append(passed.there_segments)
        back_segments.append(passed.back_segments)
    size = encoded_bytes(message)
    line = fit_line(MESSAGES, there)
    print(
        f"  {size} bytes encoded: {line.slope:.1f} bytes each (residual "
        f"{line.residual_percent:.1f}%), so a frame of {line.slope - size:.1f}; "
        f"{fit_line(MESSAGES, there_segments).slope:.2f} segments there and "
        f"{fit_line(MESSAGES, back_segments).slope:.2f} back for each"
    )


def show_idle(idle: Count) -> None:
    """Print what a connection costs that carries no messages."""
    print(
        f"a connection without messages, from the side that connected, in {IDLE_S:.0f} s: "
        f"{idle.there_bytes} bytes in {idle.there_segments} segments there and "
        f"{idle.back_bytes} bytes in {idle.back_segments} segments back"
    )
    segments = idle.there_segments + idle.back_segments
    total = idle.there_bytes + idle.back_bytes + 52 * segments
    print(f"  with 52 bytes of TCP and IP a segment: {total / IDLE_S:.1f} bytes/s both ways")


if __name__ == "__main__":
    asyncio.run(main())
