"""Guards against blocking sends, messages of earlier incarnations and undecodable messages."""

import pytest_twisted
import zmq

from skylarkmoor_core.ids import HostId, Incarnation
from skylarkmoor_core.messages import Envelope, Heartbeat, HostState, encode_envelope
from skylarkmoor_core.settings import Address

_LOOPBACK = Address("127.0.0.1", 0)


def _make_peers(host, incarnation, received):
    from skylarkmoor_process.peers import Peers

    def on_message(sender, incarnation, message):
        received.append((sender, incarnation, message.seq))

    return Peers(HostId(host), Incarnation(incarnation), on_message)


def _heartbeat(seq):
    return Heartbeat(HostState.ALIVE, seq)


@pytest_twisted.ensureDeferred
async def test_message_of_earlier_incarnation_is_dropped(wait_until):
    received = []
    receiver = _make_peers("b", 1, received)
    address = receiver.listen(_LOOPBACK)
    new_sender, old_sender = _make_peers("a", 2, []), _make_peers("a", 1, [])
    for sender in (new_sender, old_sender):
        sender.set_peers({HostId("b"): address})
    await wait_until(lambda: new_sender.send(HostId("b"), _heartbeat(1)))
    await wait_until(lambda: received)
    await wait_until(lambda: old_sender.send(HostId("b"), _heartbeat(2)))
    await wait_until(lambda: receiver.stale == 1)
    assert received == [("a", 2, 1)]
    for peer in (receiver, new_sender, old_sender):
        peer.close()


@pytest_twisted.ensureDeferred
async def test_all_messages_of_a_burst_are_received(wait_until):
    """The descriptor reports new messages only; those left after one turn would wait for more."""
    received = []
    receiver = _make_peers("b", 1, received)
    address = receiver.listen(_LOOPBACK)
    sender = _make_peers("a", 1, [])
    sender.set_peers({HostId("b"): address})
    await wait_until(lambda: sender.send(HostId("b"), _heartbeat(0)))
    assert all(sender.send(HostId("b"), _heartbeat(i)) for i in range(1, 400))
    await wait_until(lambda: len(received) == 400)
    assert [seq for _, _, seq in received] == list(range(400))
    assert sender.sent_bytes == sum(
        len(encode_envelope(Envelope(HostId("a"), Incarnation(1), _heartbeat(i))))
        for i in range(400)
    )
    for peer in (receiver, sender):
        peer.close()


@pytest_twisted.ensureDeferred
async def test_message_to_disconnected_peer_is_dropped_without_blocking(wait_until):
    sender = _make_peers("a", 1, [])
    sender.set_peers({HostId("b"): Address("127.0.0.1", 9)})
    assert [sender.send(HostId("b"), _heartbeat(i)) for i in range(3)] == [False] * 3
    assert sender.send(HostId("unlisted"), _heartbeat(4)) is False
    assert (sender.dropped, sender.sent_bytes) == (4, 0)
    sender.close()


@pytest_twisted.ensureDeferred
async def test_undecodable_message_does_not_stop_the_receiver(wait_until):
    received = []
    receiver = _make_peers("b", 1, received)
    address = receiver.listen(_LOOPBACK)
    sender = _make_peers("a", 1, [])
    sender.set_peers({HostId("b"): address})
    raw_socket = zmq.Context.instance().socket(zmq.DEALER)
    raw_socket.connect(f"tcp://{address}")
    raw_socket.send(b"\xc1 not a message")
    await wait_until(lambda: receiver.dropped == 1)
    await wait_until(lambda: sender.send(HostId("b"), _heartbeat(1)))
    await wait_until(lambda: received == [("a", 1, 1)])
    raw_socket.close(linger=0)
    for peer in (receiver, sender):
        peer.close()
