"""Converts times of the monotonic clocks of peers, which have no common origin."""

from skylarkmoor_core.ids import HostId, Incarnation

__all__ = ["PeerClocks"]


class PeerClocks:
    """Offsets between the clock of this daemon and those of its peers.

    Notes
    -----
    The offset of a peer is the least difference between the time at which a message was received
    and the time at which it was sent. It includes the shortest delay, so that a message that was
    held up does not make what it tells look newer than the ones before it. Nothing bounds the
    delay of the first message; where a time must not look newer than it is, the bound of a round
    trip applies: an answer was sent after the question.
    """

    def __init__(self) -> None:
        self._offsets_ms: dict[HostId, tuple[Incarnation, int]] = {}
        # Offsets of peers that have answered a question, less the delay of the question.
        self._least_offsets_ms: dict[HostId, tuple[Incarnation, int]] = {}

    def observe(self, peer: HostId, incarnation: Incarnation, sent_ms: int, now_ms: int) -> None:
        """Take the times of a message into account; a new incarnation may have a new clock."""
        known = self._offsets_ms.get(peer)
        offset_ms = now_ms - sent_ms
        if known is not None and known[0] == incarnation:
            offset_ms = min(offset_ms, known[1])
        self._offsets_ms[peer] = (incarnation, offset_ms)

    def observe_answer(
        self, peer: HostId, incarnation: Incarnation, asked_ms: int, answered_ms: int
    ) -> None:
        """Take an answer into account.

        Parameters
        ----------
        asked_ms : int
            When the question was sent, on the clock of this daemon.
        answered_ms : int
            When the answer was sent, on the clock of the peer.
        """
        known = self._least_offsets_ms.get(peer)
        offset_ms = asked_ms - answered_ms
        if known is not None and known[0] == incarnation:
            offset_ms = max(offset_ms, known[1])
        self._least_offsets_ms[peer] = (incarnation, offset_ms)

    def earliest_local_ms(
        self, peer: HostId, incarnation: Incarnation, peer_ms: int, now_ms: int
    ) -> int | None:
        """Return the earliest time here that a time of a peer can be; None before an answer."""
        known = self._least_offsets_ms.get(peer)
        if known is None or known[0] != incarnation:
            return None
        return min(now_ms, peer_ms + known[1])

    def local_ms(self, peer: HostId, peer_ms: int, now_ms: int) -> int:
        """Return a time of a peer's clock on the clock of this daemon, from 0 to `now_ms`."""
        known = self._offsets_ms.get(peer)
        return now_ms if known is None else max(0, min(now_ms, peer_ms + known[1]))

    def forget(self, peer: HostId) -> None:
        """Forget the clock of a peer."""
        self._offsets_ms.pop(peer, None)
        self._least_offsets_ms.pop(peer, None)
