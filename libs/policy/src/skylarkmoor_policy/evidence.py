"""Counters that compare the new version of a move with the old one, and their history."""

import math
import statistics
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId, Incarnation, MoveId, RouteName
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_policy.facts import merge_values

__all__ = ["ALL_ROUTES", "Evidence", "EvidenceHistory", "RequestCounts", "Window"]

# Name of the sum over all routes. It is not a valid route name.
ALL_ROUTES = RouteName("*")

# Short windows detect a version that becomes bad late, long ones a version that is slightly worse.
_WINDOW_SPANS_MS = (500, 1_000, 3_000, 10_000, 30_000)
_SNAPSHOT_INTERVAL_MS = 500
_LATENCY_SAMPLES = 64
_MIN_LATENCY_SAMPLES = 8
# With a shorter history, the mean rate is not a reliable baseline for the load.
_MIN_HISTORY_MS = 5_000
# Over shorter spans, random variation of the arrivals would distort the rate.
_RATE_SPANS_MS = (5_000, 10_000, 30_000)
# Load counts as a burst if, over any of these spans, the requests exceed the mean times this factor
# by more than this number of standard deviations of random (Poisson) arrivals.
_BURST_SPANS_MS = (500, 1_000, 3_000, 10_000)
_BURST_FACTOR = 1.2
_BURST_DEVIATIONS = 2

_StepRoute = tuple[int, RouteName]


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Number of completed requests of one version, and of the failed and slow ones among them."""

    requests: int = 0
    errors: int = 0
    slow: int = 0

    def __add__(self, other: "RequestCounts") -> "RequestCounts":
        return RequestCounts(
            self.requests + other.requests, self.errors + other.errors, self.slow + other.slow
        )

    def __sub__(self, other: "RequestCounts") -> "RequestCounts":
        return RequestCounts(
            self.requests - other.requests, self.errors - other.errors, self.slow - other.slow
        )


@dataclass(frozen=True, slots=True)
class _VersionCounts:
    """Counts of both versions over the same period."""

    old: RequestCounts = RequestCounts()
    new: RequestCounts = RequestCounts()

    def __add__(self, other: "_VersionCounts") -> "_VersionCounts":
        return _VersionCounts(self.old + other.old, self.new + other.new)

    def __sub__(self, other: "_VersionCounts") -> "_VersionCounts":
        return _VersionCounts(self.old - other.old, self.new - other.new)


@dataclass(frozen=True, slots=True)
class Window:
    """Counts of both versions on one route over one time window.

    Attributes
    ----------
    step : int
        Only requests dispatched at this step are counted. Within a step both versions have
        constant shares, so temporary disturbances affect both in proportion.
    route : str
        `ALL_ROUTES` for the sum over all routes.
    span_ms : int, optional
        Length of the window; None for the whole step.
    """

    step: int
    route: RouteName
    span_ms: int | None
    old: RequestCounts
    new: RequestCounts


class Evidence:
    """Request counters of one move on this daemon.

    Parameters
    ----------
    max_slowdown_percent : int
        A request is slow if its latency exceeds the median of the old version's recent requests
        on its route by more than this. Both versions are compared with the same median, so a
        burst or a slow host raises the counts of both.
    """

    def __init__(
        self, move: MoveId, host: HostId, incarnation: Incarnation, max_slowdown_percent: int
    ) -> None:
        self._move = move
        self._source = f"{host}|{incarnation}"
        self._slow_factor = 1 + max_slowdown_percent / 100
        self._counts: dict[_StepRoute, _VersionCounts] = {}
        self._old_latencies_ms: dict[RouteName, deque[float]] = {}
        self._changed: set[_StepRoute] = set()

    def record(
        self, step: int, route: RouteName, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Count a completed request.

        Parameters
        ----------
        step : int
            Step of the move when the request was dispatched, 0 before the first.
        new : bool
            Whether it was served by the new version.
        failed : bool
            Whether it failed at the upstream. Refusals by the scheduler are not counted.
        latency_ms : float
            A latency that is independent of the request's length, such as the time between
            tokens; for plain services the duration.
        """
        slow = not failed and self._is_slow(route, latency_ms)
        if not new and not failed:
            latencies_ms = self._old_latencies_ms.setdefault(route, deque(maxlen=_LATENCY_SAMPLES))
            latencies_ms.append(latency_ms)
        increment = RequestCounts(1, int(failed), int(slow))
        key = (step, route)
        counts = _VersionCounts(new=increment) if new else _VersionCounts(old=increment)
        self._counts[key] = self._counts.get(key, _VersionCounts()) + counts
        self._changed.add(key)

    def facts(self, now_wall_ms: int) -> list[Fact]:
        """Return facts with the counters that changed since the last call."""
        changed, self._changed = sorted(self._changed), set()
        return [
            Fact(
                FactKind.EVIDENCE,
                f"{self._move}|{step}|{self._source}|{route}",
                (*_to_value(self._counts[step, route]), now_wall_ms),
            )
            for step, route in changed
        ]

    def _is_slow(self, route: RouteName, latency_ms: float) -> bool:
        latencies_ms = self._old_latencies_ms.get(route, ())
        if len(latencies_ms) < _MIN_LATENCY_SAMPLES:
            return False
        return latency_ms > self._slow_factor * statistics.median(latencies_ms)


class EvidenceHistory:
    """The counters of one move over time, summed over daemons.

    Notes
    -----
    A daemon keeps one history of all facts and one of its own facts only, so that daemons that are
    partitioned from the rest can still assess the version. The counts of both versions are in the
    same fact and so enter the same window.
    """

    def __init__(self, move: MoveId) -> None:
        self._prefix = f"{move}|"
        self._fact_values: dict[str, tuple[int, ...]] = {}
        self._counts: dict[_StepRoute, _VersionCounts] = {}
        self._snapshots: deque[tuple[int, dict[_StepRoute, _VersionCounts]]] = deque()
        # Time at which each step was first seen, and the time and request count of the first
        # snapshot.
        self._step_start_ms: dict[int, int] = {}
        self._first_snapshot: tuple[int, int] | None = None
        self._last_burst_ms: int | None = None

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Add facts that are new in the store; other kinds and moves are ignored."""
        for fact in facts:
            if fact.kind is FactKind.EVIDENCE and fact.subject.startswith(self._prefix):
                self._add_fact(fact)

    def snapshot(self, now_ms: int) -> None:
        """Record a snapshot of the counts; call this before each decision.

        Calls within `_SNAPSHOT_INTERVAL_MS` after the last snapshot have no effect.
        """
        if self._snapshots and now_ms - self._snapshots[-1][0] < _SNAPSHOT_INTERVAL_MS:
            return
        if self._first_snapshot is None:
            self._first_snapshot = (now_ms, _total_requests(self._counts))
        for step, _ in self._counts:
            self._step_start_ms.setdefault(step, now_ms)
        if self._is_burst(now_ms):
            self._last_burst_ms = now_ms
        self._snapshots.append((now_ms, dict(self._counts)))
        while now_ms - self._snapshots[0][0] > _WINDOW_SPANS_MS[-1] + _SNAPSHOT_INTERVAL_MS:
            self._snapshots.popleft()

    def requests(self, step: int) -> int:
        """Return the number of completed new-version requests that were dispatched at a step."""
        return sum(counts.new.requests for (at, _), counts in self._counts.items() if at == step)

    def old_requests(self, step: int) -> int:
        """Return the number of completed old-version requests that were dispatched at a step."""
        return sum(counts.old.requests for (at, _), counts in self._counts.items() if at == step)

    def requests_per_s(self, now_ms: int) -> float:
        """Return the completion rate of requests of both versions, 0 if it is not known.

        Notes
        -----
        This is the highest rate over several spans, so that a burst that has just begun or ended
        is included.
        """
        now = _total_requests(self._counts)
        rates = [0.0]
        for span_ms in _RATE_SPANS_MS:
            before = self._counts_at(now_ms - span_ms)
            if before is not None:
                rates.append(1_000 * (now - _total_requests(before)) / span_ms)
        return max(rates)

    def windows(self, now_ms: int) -> Iterator[Window]:
        """Yield the windows of each step, per route and for all routes together."""
        yield from _windows_between(self._counts, {}, None)
        for span_ms in _WINDOW_SPANS_MS:
            before = self._counts_at(now_ms - span_ms)
            if before is not None:
                yield from _windows_between(self._counts, before, span_ms)

    def old_counts_through(self, window: Window) -> RequestCounts:
        """Return the old version's counts on the window's route, up to and including its step."""
        old = RequestCounts()
        for (step, route), counts in self._counts.items():
            if step <= window.step and window.route in (route, ALL_ROUTES):
                old += counts.old
        return old

    def had_burst(self, window: Window, now_ms: int) -> bool | None:
        """Return whether a load burst occurred in the window, or None if that is not known."""
        if self._first_snapshot is None or now_ms - self._first_snapshot[0] < _MIN_HISTORY_MS:
            return None
        start_ms = self._step_start_ms.get(window.step, now_ms)
        if window.span_ms is not None:
            start_ms = now_ms - window.span_ms
        elif start_ms == self._first_snapshot[0]:
            return None
        return self._last_burst_ms is not None and self._last_burst_ms >= start_ms

    def _is_burst(self, now_ms: int) -> bool:
        if self._first_snapshot is None or now_ms - self._first_snapshot[0] < _MIN_HISTORY_MS:
            return False
        first_ms, first = self._first_snapshot
        requests = _total_requests(self._counts)
        for span_ms in _BURST_SPANS_MS:
            before = self._counts_at(now_ms - span_ms)
            if before is None or now_ms - span_ms <= first_ms:
                continue
            requests_before = _total_requests(before)
            expected = (requests_before - first) * span_ms / (now_ms - span_ms - first_ms)
            limit = _BURST_FACTOR * expected + _BURST_DEVIATIONS * math.sqrt(expected)
            if requests - requests_before > limit:
                return True
        return False

    def _counts_at(self, at_ms: int) -> dict[_StepRoute, _VersionCounts] | None:
        found = None
        for snapshot_ms, snapshot_counts in self._snapshots:
            if snapshot_ms > at_ms:
                break
            found = snapshot_counts
        return found

    def _add_fact(self, fact: Fact) -> None:
        try:
            step, _, _, route = fact.subject.removeprefix(self._prefix).split("|")
            key = (int(step), RouteName(route))
        except ValueError:
            return
        old = self._fact_values.get(fact.subject, ())
        value = merge_values(old, fact.value)
        self._fact_values[fact.subject] = value
        self._counts[key] = self._counts.get(key, _VersionCounts()) + (
            _parse_counts(value) - _parse_counts(old)
        )


def _windows_between(
    now: dict[_StepRoute, _VersionCounts],
    before: dict[_StepRoute, _VersionCounts],
    span_ms: int | None,
) -> Iterator[Window]:
    totals: dict[int, _VersionCounts] = {}
    for step, route in sorted(now):
        counts = now[step, route] - before.get((step, route), _VersionCounts())
        totals[step] = totals.get(step, _VersionCounts()) + counts
        yield Window(step, route, span_ms, counts.old, counts.new)
    for step, counts in totals.items():
        yield Window(step, ALL_ROUTES, span_ms, counts.old, counts.new)


def _total_requests(snapshot_counts: dict[_StepRoute, _VersionCounts]) -> int:
    return sum(counts.old.requests + counts.new.requests for counts in snapshot_counts.values())


def _to_value(counts: _VersionCounts) -> tuple[int, ...]:
    old, new = counts.old, counts.new
    return (old.requests, old.errors, old.slow, new.requests, new.errors, new.slow)


def _parse_counts(value: tuple[int, ...]) -> _VersionCounts:
    if len(value) < 6:
        return _VersionCounts()
    return _VersionCounts(RequestCounts(*value[0:3]), RequestCounts(*value[3:6]))
