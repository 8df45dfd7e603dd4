"""Passes on what one gateway has read from the log to the others of its failure domain.

Each call to the platform's log is billed. If every gateway of a large fleet reads for itself, the
calls grow with the fleet although all of them return the same records.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.ids import HostId, Incarnation
from skylarkmoor_core.messages import ClockQuestion, Message, TopicRead, TopicRecord
from skylarkmoor_policy.peerclocks import PeerClocks

__all__ = ["SharedRead", "SharedReads"]

# Larger pages are not passed on: at 10 Mbit/s, a configuration of 20 kB takes most of a second to
# reach 45 hosts. Their receivers read them from the log.
_MAX_SHARED_BYTES = 8_192


@dataclass(frozen=True, slots=True)
class SharedRead:
    """A read of a topic, by this gateway or by a peer.

    Attributes
    ----------
    era : int
        Era of the offsets.
    from_offset, next_offset : int
        Offsets of the first record that was asked for, and after the last one of the topic.
    records : tuple of TopicRecord
        The records in between.
    is_complete : bool
        Whether these are all records in between; otherwise there are none.
    began_ms : int or None
        When the read began, or the earliest time at which it can have begun at a peer; None if
        that is not known.
    regained_ms : int or None
        When the reader reached the log again after an outage, if it has had one.
    """

    era: int
    from_offset: int
    next_offset: int
    records: tuple[TopicRecord, ...]
    is_complete: bool
    began_ms: int | None
    regained_ms: int | None = None


class SharedReads:
    """The group of gateways that share their reads, and the reads that peers have passed on.

    Parameters
    ----------
    host : HostId
        Host ID of this gateway.
    clock : Clock
        Time source.
    clocks : PeerClocks
        Bounds on the clocks of peers.
    group : callable
        Returns the live gateways that share reads, this one included; empty if reads are not
        shared.
    multicast : callable
        Sends a message to some peers.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        clocks: PeerClocks,
        group: Callable[[], list[HostId]],
        multicast: Callable[[Iterable[HostId], Message], None],
    ) -> None:
        # Called with the reads of peers, by topic.
        self.on_read: dict[str, Callable[[SharedRead], None]] = {}
        self._host = host
        self._clock = clock
        self._clocks = clocks
        self._group = group
        self._multicast = multicast
        # Cache: the order of a topic, valid for the hosts that it was computed for.
        self._orders: dict[str, tuple[list[HostId], Sequence[str]]] = {}

    def rank(self, topic: str) -> int:
        """Return how many gateways of the group read a topic before this one does.

        Notes
        -----
        A gateway that shares no reads, or that is alone, has rank 0.
        """
        hosts = self._group()
        cached = self._orders.get(topic)
        if cached is None or cached[0] != hosts:
            cached = self._orders[topic] = (hosts, rendezvous_order(f"read/{topic}", hosts))
        order = cached[1]
        return order.index(self._host) if self._host in order else len(order)

    def publish(self, topic: str, read: SharedRead) -> None:
        """Pass a read of this gateway on to its group."""
        peers = [host for host in self._group() if host != self._host]
        if not peers or read.began_ms is None:
            return
        size = sum(len(each.key) + len(each.value or b"") for each in read.records)
        is_complete = read.is_complete and size <= _MAX_SHARED_BYTES
        now_ms = self._clock.now_ms()
        self._multicast(
            peers,
            TopicRead(
                topic,
                read.era,
                read.from_offset,
                read.next_offset,
                read.records if is_complete else (),
                is_complete,
                read.began_ms,
                now_ms,
                -1 if read.regained_ms is None else now_ms - read.regained_ms,
            ),
        )

    def handle(self, sender: HostId, incarnation: Incarnation, message: TopicRead) -> None:
        """Process the read of a peer.

        Notes
        -----
        The message may have been held up. Without a bound on the peer's clock its records can be
        used, but not the time of the read; the peer is asked for its clock.
        """
        on_read = self.on_read.get(message.topic)
        if on_read is None:
            return
        now_ms = self._clock.now_ms()
        began_ms = self._clocks.earliest_local_ms(sender, incarnation, message.began_ms, now_ms)
        if began_ms is None:
            self._multicast([sender], ClockQuestion(now_ms))
        regained_ms = None if message.regained_age_ms < 0 else now_ms - message.regained_age_ms
        on_read(
            SharedRead(
                message.era,
                message.from_offset,
                message.next_offset,
                message.records,
                message.is_complete,
                began_ms,
                regained_ms,
            )
        )
