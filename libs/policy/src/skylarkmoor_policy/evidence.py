"""How a move's new version does against the old one: counters and their history."""

import math
import statistics
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId, Incarnation, MoveId, RouteName
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_policy.facts import merge_values

__all__ = ["TOTAL", "Counts", "Evidence", "EvidenceHistory", "Window"]

# Name of the sum over all routes; it is no valid route name.
TOTAL = RouteName("*")

# Short windows show a version that turns bad late, long ones one that is only a little worse.
_WINDOWS_MS = (500, 1_000, 3_000, 10_000, 30_000)
_SNAPSHOT_MS = 500
_PACE_SAMPLES = 64
_MIN_PACE_SAMPLES = 8
# A rate over less time is no measure of the usual load.
_MIN_RATE_MS = 5_000
# Shorter spans would take the scatter of arrivals for a rate.
_RATE_SPANS_MS = (5_000, 10_000, 30_000)
# The load is unusual if over any of these spans it is above its mean by this factor and by
# more than a random arrival of requests explains.
_BURST_SPANS_MS = (500, 1_000, 3_000, 10_000)
_BURST_FACTOR = 1.2
_BURST_DEVIATIONS = 2

_StepRoute = tuple[int, RouteName]


@dataclass(frozen=True, slots=True)
class Counts:
    """Requests of one version that ended, and how many of them failed or were slow."""

    requests: int = 0
    errors: int = 0
    slow: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(
            self.requests + other.requests, self.errors + other.errors, self.slow + other.slow
        )

    def __sub__(self, other: "Counts") -> "Counts":
        return Counts(
            self.requests - other.requests, self.errors - other.errors, self.slow - other.slow
        )


@dataclass(frozen=True, slots=True)
class _Pair:
    """Counts of both versions over the same time."""

    old: Counts = Counts()
    new: Counts = Counts()

    def __add__(self, other: "_Pair") -> "_Pair":
        return _Pair(self.old + other.old, self.new + other.new)

    def __sub__(self, other: "_Pair") -> "_Pair":
        return _Pair(self.old - other.old, self.new - other.new)


@dataclass(frozen=True, slots=True)
class Window:
    """Counts of both versions on a route over one span of time.

    Attributes
    ----------
    step : int
        Requests dispatched at another step are not counted. Within a step both versions have
        constant shares, so what comes and goes affects both in proportion.
    route : str
        `TOTAL` for the sum over all routes.
    span_ms : int, optional
        Length of the window; None for the whole step.
    """

    step: int
    route: RouteName
    span_ms: int | None
    old: Counts
    new: Counts


class Evidence:
    """Counters of one move at this daemon.

    Parameters
    ----------
    max_slowdown_percent : int
        A request is slow if it took longer by this than the median of the old version's last
        requests on its route. Both versions are measured against the same median, so a burst
        or a slow host raises the counts of both.
    """

    def __init__(
        self, move: MoveId, host: HostId, incarnation: Incarnation, max_slowdown_percent: int
    ) -> None:
        self._move = move
        self._source = f"{host}|{incarnation}"
        self._factor = 1 + max_slowdown_percent / 100
        self._pairs: dict[_StepRoute, _Pair] = {}
        self._pace: dict[RouteName, deque[float]] = {}
        self._changed: set[_StepRoute] = set()

    def record(
        self, step: int, route: RouteName, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Count a request that ended.

        Parameters
        ----------
        step : int
            Step of the move when the request was dispatched, 0 before the first.
        new : bool
            Whether it took the new version.
        failed : bool
            Whether the upstream failed it. Refusals by the scheduler are not counted.
        latency_ms : float
            A time that does not depend on the request's length, such as the time between
            tokens; for plain services the duration.
        """
        slow = not failed and self._is_slow(route, latency_ms)
        if not new and not failed:
            pace = self._pace.setdefault(route, deque(maxlen=_PACE_SAMPLES))
            pace.append(latency_ms)
        one = Counts(1, int(failed), int(slow))
        key = (step, route)
        pair = _Pair(new=one) if new else _Pair(old=one)
        self._pairs[key] = self._pairs.get(key, _Pair()) + pair
        self._changed.add(key)

    def facts(self, now_wall_ms: int) -> list[Fact]:
        """Return the counters that changed since the last call, as facts."""
        changed, self._changed = sorted(self._changed), set()
        return [
            Fact(
                FactKind.EVIDENCE,
                f"{self._move}|{step}|{self._source}|{route}",
                (*_values(self._pairs[step, route]), now_wall_ms),
            )
            for step, route in changed
        ]

    def _is_slow(self, route: RouteName, latency_ms: float) -> bool:
        pace = self._pace.get(route, ())
        if len(pace) < _MIN_PACE_SAMPLES:
            return False
        return latency_ms > self._factor * statistics.median(pace)


class EvidenceHistory:
    """The evidence of one move as it grew.

    Notes
    -----
    A daemon keeps one history fed with all facts and one fed with its own alone, so that a
    part that is cut off still judges. Counts of both versions come in the same fact and so
    enter the same window.
    """

    def __init__(self, move: MoveId) -> None:
        self._prefix = f"{move}|"
        self._values: dict[str, tuple[int, ...]] = {}
        self._pairs: dict[_StepRoute, _Pair] = {}
        self._snapshots: deque[tuple[int, dict[_StepRoute, _Pair]]] = deque()
        # When each step was first seen, and the first snapshot with its requests.
        self._begun_ms: dict[int, int] = {}
        self._first: tuple[int, int] | None = None
        self._burst_ms: int | None = None

    def apply(self, facts: Iterable[Fact]) -> None:
        """Take facts that are new in the store; other kinds and moves are passed over."""
        for fact in facts:
            if fact.kind is FactKind.EVIDENCE and fact.subject.startswith(self._prefix):
                self._add(fact)

    def snapshot(self, now_ms: int) -> None:
        """Remember the counts as of now; call it before each judgement."""
        if self._snapshots and now_ms - self._snapshots[-1][0] < _SNAPSHOT_MS:
            return
        if self._first is None:
            self._first = (now_ms, _requests(self._pairs))
        for step, _ in self._pairs:
            self._begun_ms.setdefault(step, now_ms)
        if self._is_burst(now_ms):
            self._burst_ms = now_ms
        self._snapshots.append((now_ms, dict(self._pairs)))
        while now_ms - self._snapshots[0][0] > _WINDOWS_MS[-1] + _SNAPSHOT_MS:
            self._snapshots.popleft()

    def requests(self, step: int) -> int:
        """Return the requests of the new version that were dispatched at a step."""
        return sum(pair.new.requests for (at, _), pair in self._pairs.items() if at == step)

    def requests_per_s(self, now_ms: int) -> float:
        """Return the rate at which requests of both versions ended, 0 if it is not known.

        Notes
        -----
        The highest rate of several spans, so that a burst that has just begun or ended counts.
        """
        now = _requests(self._pairs)
        rates = [0.0]
        for span_ms in _RATE_SPANS_MS:
            before = self._before(now_ms - span_ms)
            if before is not None:
                rates.append(1_000 * (now - _requests(before)) / span_ms)
        return max(rates)

    def windows(self, now_ms: int) -> Iterator[Window]:
        """Yield the windows of each step and route, and of all routes together."""
        yield from _compare(self._pairs, {}, None)
        for span_ms in _WINDOWS_MS:
            before = self._before(now_ms - span_ms)
            if before is not None:
                yield from _compare(self._pairs, before, span_ms)

    def old_until(self, window: Window) -> Counts:
        """Return the counts of the old version up to and at the window's step."""
        old = Counts()
        for (step, route), pair in self._pairs.items():
            if step <= window.step and window.route in (route, TOTAL):
                old += pair.old
        return old

    def had_burst(self, window: Window, now_ms: int) -> bool | None:
        """Return whether the load was unusually high in a window; None if that is not known."""
        if self._first is None or now_ms - self._first[0] < _MIN_RATE_MS:
            return None
        start_ms = self._begun_ms.get(window.step, now_ms)
        if window.span_ms is not None:
            start_ms = now_ms - window.span_ms
        elif start_ms == self._first[0]:
            return None
        return self._burst_ms is not None and self._burst_ms >= start_ms

    def _is_burst(self, now_ms: int) -> bool:
        if self._first is None or now_ms - self._first[0] < _MIN_RATE_MS:
            return False
        first_ms, first = self._first
        requests = _requests(self._pairs)
        for span_ms in _BURST_SPANS_MS:
            before = self._before(now_ms - span_ms)
            if before is None or now_ms - span_ms <= first_ms:
                continue
            counted = _requests(before)
            usual = (counted - first) * span_ms / (now_ms - span_ms - first_ms)
            limit = _BURST_FACTOR * usual + _BURST_DEVIATIONS * math.sqrt(usual)
            if requests - counted > limit:
                return True
        return False

    def _before(self, at_ms: int) -> dict[_StepRoute, _Pair] | None:
        found = None
        for taken_ms, pairs in self._snapshots:
            if taken_ms > at_ms:
                break
            found = pairs
        return found

    def _add(self, fact: Fact) -> None:
        try:
            step, _, _, route = fact.subject.removeprefix(self._prefix).split("|")
            key = (int(step), RouteName(route))
        except ValueError:
            return
        old = self._values.get(fact.subject, ())
        value = merge_values(old, fact.value)
        self._values[fact.subject] = value
        self._pairs[key] = self._pairs.get(key, _Pair()) + (_pair(value) - _pair(old))


def _compare(
    now: dict[_StepRoute, _Pair], before: dict[_StepRoute, _Pair], span_ms: int | None
) -> Iterator[Window]:
    totals: dict[int, _Pair] = {}
    for step, route in sorted(now):
        pair = now[step, route] - before.get((step, route), _Pair())
        totals[step] = totals.get(step, _Pair()) + pair
        yield Window(step, route, span_ms, pair.old, pair.new)
    for step, pair in totals.items():
        yield Window(step, TOTAL, span_ms, pair.old, pair.new)


def _requests(pairs: dict[_StepRoute, _Pair]) -> int:
    return sum(pair.old.requests + pair.new.requests for pair in pairs.values())


def _values(pair: _Pair) -> tuple[int, ...]:
    old, new = pair.old, pair.new
    return (old.requests, old.errors, old.slow, new.requests, new.errors, new.slow)


def _pair(value: tuple[int, ...]) -> _Pair:
    if len(value) < 6:
        return _Pair()
    return _Pair(Counts(*value[0:3]), Counts(*value[3:6]))
