"""Measures the framing and TCP overhead of messages between peers.

The sockets of two daemons are connected over loopback through a relay that counts bytes. The
kernel counts the TCP segments of each connection, including pure acknowledgements.
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

MESSAGE_COUNTS = (20, 60, 120)
# Long enough that no two messages share a segment.
SEND_INTERVAL_S = 0.02
IDLE_PERIOD_S = 20.0
DIGEST_HASH_COUNTS = (4, 20, 40, 64)
# Start time of a process in 2026, in milliseconds, as in the slope measurements.
INCARNATION = Incarnation(1_790_000_000_000)
# Offsets of tcpi_segs_out and tcpi_segs_in in Linux's struct tcp_info, and the bytes to read.
_SEGMENTS_OUT_OFFSET = 136
_SEGMENTS_IN_OFFSET = 140
_TCP_INFO_BYTES = 192


@dataclass
class Relay:
    """TCP proxy that counts the bytes of both directions."""

    target: Address
    forward_bytes: int = 0
    return_bytes: int = 0
    sockets: list[socket.socket] = field(default_factory=list)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Proxy an accepted connection to the target until both directions end."""
        target_reader, target_writer = await asyncio.open_connection(
            self.target.host, self.target.port
        )
        for each in (writer, target_writer):
            connected_socket: Any = each.get_extra_info("socket")
            connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.append(writer.get_extra_info("socket"))
        await asyncio.gather(
            self._copy_stream(reader, target_writer, forward=True),
            self._copy_stream(target_reader, writer, forward=False),
        )

    async def _copy_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forward: bool
    ) -> None:
        while data := await reader.read(65_536):
            if forward:
                self.forward_bytes += len(data)
            else:
                self.return_bytes += len(data)
            writer.write(data)
        writer.close()

    def segments(self) -> tuple[int, int]:
        """Return the segments received from the sender and those sent back to it."""
        received_segments = sent_segments = 0
        for each in self.sockets:
            info = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
            sent_segments += struct.unpack_from("I", info, _SEGMENTS_OUT_OFFSET)[0]
            received_segments += struct.unpack_from("I", info, _SEGMENTS_IN_OFFSET)[0]
        return received_segments, sent_segments


@dataclass
class Count:
    """Bytes and TCP segments from the sender and back to it."""

    forward_bytes: int
    return_bytes: int
    forward_segments: int
    return_segments: int

    def __sub__(self, other: "Count") -> "Count":
        return Count(
            self.forward_bytes - other.forward_bytes,
            self.return_bytes - other.return_bytes,
            self.forward_segments - other.forward_segments,
            self.return_segments - other.return_segments,
        )


def count(relay: Relay) -> Count:
    """Return the bytes and segments that the relay has carried so far."""
    return Count(relay.forward_bytes, relay.return_bytes, *relay.segments())


def encoded_bytes(message: Message) -> int:
    """Return the encoded size of a message with its envelope."""
    return len(encode_envelope(Envelope(HostId("entry-0000"), INCARNATION, message)))


async def main() -> None:
    """Measure the overhead of messages of several sizes and of an idle connection."""
    received: list[Message] = []
    sending_peers = Peers(HostId("entry-0000"), INCARNATION, lambda *_: None)
    receiving_peers = Peers(
        HostId("entry-0001"), INCARNATION, lambda *arguments: received.append(arguments[2])
    )
    receiver_address = receiving_peers.listen(Address("127.0.0.1", 0))
    relay = Relay(receiver_address)
    server = await asyncio.start_server(relay.accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    sending_peers.set_peers({HostId("entry-0001"): Address("127.0.0.1", port)})
    await wait_connected(sending_peers, received)
    connect_traffic = count(relay)
    print(
        f"connecting: {connect_traffic.forward_bytes} bytes there and "
        f"{connect_traffic.return_bytes} back"
    )
    print("messages, each alone in its segment:")
    for hash_count in DIGEST_HASH_COUNTS:
        message = Digest((2**63 + 1,) * hash_count)
        await measure_message_size(sending_peers, received, relay, message)
    before = count(relay)
    await asyncio.sleep(IDLE_PERIOD_S)
    idle = count(relay) - before
    print_idle_traffic(idle)
    sending_peers.close()
    receiving_peers.close()
    server.close()
    # Gives the relay time to handle the end of its connections.
    await asyncio.sleep(5 * SEND_INTERVAL_S)


async def wait_connected(sending_peers: Peers, received: Sequence[Message]) -> None:
    """Send messages until the first one arrives."""
    for _ in range(500):
        sending_peers.send(HostId("entry-0001"), Digest(()))
        await asyncio.sleep(SEND_INTERVAL_S)
        if received:
            return
    raise RuntimeError("the peers did not connect")


async def measure_message_size(
    sending_peers: Peers, received: Sequence[Message], relay: Relay, message: Message
) -> None:
    """Print the overhead per message of one size, as the slope over the message count."""
    forward_byte_counts, return_byte_counts, forward_segments, return_segments = [], [], [], []
    for number in MESSAGE_COUNTS:
        before = count(relay)
        expected_total = len(received) + number
        for _ in range(number):
            sending_peers.send(HostId("entry-0001"), message)
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.sleep(5 * SEND_INTERVAL_S)
        if len(received) != expected_total:
            raise RuntimeError(
                f"{expected_total - len(received)} of {number} messages did not arrive"
            )
        traffic = count(relay) - before
        forward_byte_counts.append(traffic.forward_bytes)
        return_byte_counts.append(traffic.return_bytes)
        forward_segments.append(traffic.forward_segments)
        return_segments.append(traffic.return_segments)
    size = encoded_bytes(message)
    line = fit_line(MESSAGE_COUNTS, forward_byte_counts)
    print(
        f"  {size} bytes encoded: {line.slope:.1f} bytes each (residual "
        f"{line.residual_percent:.1f}%), so a frame of {line.slope - size:.1f}; "
        f"{fit_line(MESSAGE_COUNTS, forward_segments).slope:.2f} segments there and "
        f"{fit_line(MESSAGE_COUNTS, return_segments).slope:.2f} back for each"
    )


def print_idle_traffic(idle: Count) -> None:
    """Print the traffic of a connection that carries no messages."""
    print(
        f"a connection without messages, from the side that connected, in {IDLE_PERIOD_S:.0f} s: "
        f"{idle.forward_bytes} bytes in {idle.forward_segments} segments there and "
        f"{idle.return_bytes} bytes in {idle.return_segments} segments back"
    )
    segments = idle.forward_segments + idle.return_segments
    total = idle.forward_bytes + idle.return_bytes + 52 * segments
    print(f"  with 52 bytes of TCP and IP a segment: {total / IDLE_PERIOD_S:.1f} bytes/s both ways")


if __name__ == "__main__":
    asyncio.run(main())
