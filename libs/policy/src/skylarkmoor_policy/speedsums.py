"""Joins what all daemons measure at an upstream to sums that decay with age.

A daemon reports its totals since the start of the instance, and only those that have changed since
its last report. The receiver adds what they have grown by. A report that is lost is therefore made
up for by the next one, and what a daemon that is cut off knows decays to the priors.
"""

from collections.abc import Sequence

from skylarkmoor_core.ids import HostId
from skylarkmoor_policy.firsttokenmodel import FirstTokenSums

__all__ = ["SpeedSums"]

# Time after which a measurement has half its weight: longer than the noise of a machine (600 ms),
# short enough to avoid an upstream within the four seconds for which it may be slow.
_HALF_LIFE_MS = 3_000.0
# Prompt tokens are counted in this unit, which keeps the integers of messages short.
_TOKENS_PER_UNIT = 64
# Entries of the sums.
_REQUESTS, _UNITS, _ELAPSED_MS, _SQUARED_UNITS, _UNITS_MS = range(5)
_HELD_REQUESTS, _HELD_MS, _EVENTS, _STREAMING_MS = range(5, 9)
_LENGTH = 9
# Below this weight, a sum counts as nothing.
_MIN_WEIGHT = 0.01
# The start time of the instance is reported modulo this, which takes at most three bytes.
_MARK_MODULUS = 65_536


class SpeedSums:
    """Sums of the times to first token, of slot holding times and of streams of one instance.

    Parameters
    ----------
    started_wall_ms : int
        Start time of the instance. Reports about an earlier instance are ignored.

    Attributes
    ----------
    has_news : bool
        Whether this daemon has measured something since its last report.
    """

    def __init__(self, started_wall_ms: int) -> None:
        self.has_news = False
        self._mark = started_wall_ms % _MARK_MODULUS
        self._own_totals = [0] * _LENGTH
        self._peer_totals: dict[HostId, tuple[int, ...]] = {}
        # Over all daemons, and when they were decayed last.
        self._sums = [0.0] * _LENGTH
        self._decayed_ms: int | None = None

    def add_first_token(self, tokens: int, elapsed_ms: float) -> None:
        """Add a time to first token that this daemon has measured.

        Parameters
        ----------
        tokens : int
            Prompt tokens of the request and of those ahead of it.
        """
        units, elapsed = round(tokens / _TOKENS_PER_UNIT), max(0, round(elapsed_ms))
        self._add((1, units, elapsed, units * units, units * elapsed))

    def add_held(self, held_ms: int) -> None:
        """Add the time for which a request of this daemon has held a slot."""
        self._add((1, max(0, held_ms)), _HELD_REQUESTS)

    def add_stream(self, events: int, streaming_ms: int) -> None:
        """Add the intervals between the events of a stream, and how long they took together."""
        self._add((max(0, events), max(0, streaming_ms)), _EVENTS)

    def add_report(self, peer: HostId, report: Sequence[int]) -> None:
        """Add what the totals of a peer have grown by.

        Notes
        -----
        The first report of a peer may contain its measurements of hours. It counts as one request
        with their mean. The entries of a newer build that are not known here are ignored.
        """
        if len(report) <= _LENGTH or report[0] != self._mark:
            return
        totals = tuple(report[1 : _LENGTH + 1])
        known = self._peer_totals.get(peer)
        self._peer_totals[peer] = totals
        if known is None:
            self._add_mean(totals[:_HELD_REQUESTS])
            self._add_mean(totals[_HELD_REQUESTS:_EVENTS], _HELD_REQUESTS)
            self._add_mean(totals[_EVENTS:], _EVENTS)
            return
        grown = [new - old for new, old in zip(totals, known, strict=True)]
        if min(grown) >= 0:
            self._add_sums(grown)

    def forget_peer(self, peer: HostId) -> None:
        """Forget the totals of a peer; what they have added remains and decays."""
        self._peer_totals.pop(peer, None)

    def report(self) -> tuple[int, ...]:
        """Return the totals of this daemon for its peers."""
        return (self._mark, *self._own_totals)

    def decay(self, now_ms: int) -> None:
        """Reduce the weight of all measurements by their age."""
        elapsed_ms = 0 if self._decayed_ms is None else now_ms - self._decayed_ms
        self._decayed_ms = now_ms
        if elapsed_ms <= 0 or not any(self._sums):
            return
        keep = 0.5 ** (elapsed_ms / _HALF_LIFE_MS)
        self._sums = [each * keep for each in self._sums]
        if self.weight() < _MIN_WEIGHT:
            self._sums = [0.0] * _LENGTH

    def weight(self) -> float:
        """Return the number of measured requests, each weighted by its age."""
        return max(self._sums[_REQUESTS], self._sums[_HELD_REQUESTS])

    def first_token_sums(self) -> FirstTokenSums:
        """Return the sums of the times to first token."""
        return FirstTokenSums(
            self._sums[_REQUESTS],
            self._sums[_UNITS] * _TOKENS_PER_UNIT,
            self._sums[_ELAPSED_MS],
            self._sums[_SQUARED_UNITS] * _TOKENS_PER_UNIT**2,
            self._sums[_UNITS_MS] * _TOKENS_PER_UNIT,
        )

    def held_sums(self) -> tuple[float, float]:
        """Return the number of requests that have held a slot, and for how long together."""
        return self._sums[_HELD_REQUESTS], self._sums[_HELD_MS]

    def stream_sums(self) -> tuple[float, float]:
        """Return the intervals between events of streams, and how long they took together."""
        return self._sums[_EVENTS], self._sums[_STREAMING_MS]

    def _add(self, values: Sequence[int], first: int = 0) -> None:
        for i, value in enumerate(values, first):
            self._own_totals[i] += value
        self.has_news = True
        self._add_sums(values, first)

    def _add_mean(self, totals: Sequence[int], first: int = 0) -> None:
        if totals[0] > 0 and min(totals) >= 0:
            self._add_sums([each / totals[0] for each in totals], first)

    def _add_sums(self, values: Sequence[float], first: int = 0) -> None:
        for i, value in enumerate(values, first):
            self._sums[i] += value
