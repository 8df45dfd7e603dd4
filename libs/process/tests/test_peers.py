"""Guards messages between daemons against blocking, stale senders and invalid bytes."""

import pytest_twisted
import zmq

from skylarkmoor_core.ids import HostId, Incarnation
from skylarkmoor_core.messages import Heartbeat, HostState
from skylarkmoor_core.settings import Address

_LOCAL = Address("127.0.0.1", 0)


def _peers(host, incarnation, received):
    from skylarkmoor_process.peers import Peers

    def take(sender, incarnation, message):
        received.append((sender, incarnation, message.seq))

    return Peers(HostId(host), Incarnation(incarnation), take)


def _beat(seq):
    return Heartbeat(HostState.ALIVE, seq)


@pytest_twisted.ensureDeferred
async def test_message_of_an_earlier_incarnation_is_dropped(until):
    received = []
    target = _peers("b", 1, received)
    address = target.listen(_LOCAL)
    new, old = _peers("a", 2, []), _peers("a", 1, [])
    for sender in (new, old):
        sender.set_peers({HostId("b"): address})
    await until(lambda: new.send(HostId("b"), _beat(1)))
    await until(lambda: received)
    await until(lambda: old.send(HostId("b"), _beat(2)))
    await until(lambda: target.stale == 1)
    assert received == [("a", 2, 1)]
    for each in (target, new, old):
        each.close()


@pytest_twisted.ensureDeferred
async def test_sending_to_a_peer_that_is_away_drops_and_does_not_block(until):
    sender = _peers("a", 1, [])
    sender.set_peers({HostId("b"): Address("127.0.0.1", 9)})
    assert [sender.send(HostId("b"), _beat(i)) for i in range(3)] == [False] * 3
    assert sender.send(HostId("unlisted"), _beat(4)) is False
    assert sender.dropped == 4
    sender.close()


@pytest_twisted.ensureDeferred
async def test_invalid_bytes_do_not_stop_the_receiver(until):
    received = []
    target = _peers("b", 1, received)
    address = target.listen(_LOCAL)
    sender = _peers("a", 1, [])
    sender.set_peers({HostId("b"): address})
    raw = zmq.Context.instance().socket(zmq.DEALER)
    raw.connect(f"tcp://{address}")
    raw.send(b"\xc1 not a message")
    await until(lambda: target.dropped == 1)
    await until(lambda: sender.send(HostId("b"), _beat(1)))
    await until(lambda: received == [("a", 1, 1)])
    raw.close(linger=0)
    for each in (target, sender):
        each.close()
