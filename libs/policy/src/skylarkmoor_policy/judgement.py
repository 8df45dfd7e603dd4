"""Whether a move goes on, ends or is stopped."""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from skylarkmoor_core.document import VersionMove
from skylarkmoor_core.ids import RouteName
from skylarkmoor_policy.evidence import Counts, EvidenceHistory, Window
from skylarkmoor_policy.movefollower import Progress

__all__ = ["Continue", "Finish", "Judgement", "Raise", "Stop", "TakeBack", "judge"]

# Natural logarithm of 1000: a version that is within its bounds is stopped by chance in fewer
# than one in a thousand comparisons, and three failures in a row suffice for a stop.
_CERTAIN = 6.9
# A move does not go on while a bad version is this much more likely than chance (1 in 7).
_DOUBTFUL = 2.0
# Failures beyond the old version's rate that stop a version which exceeds its bound, whatever
# the certainty. A bad version has to be stopped before 50 requests have failed.
_MAX_EXCESS = 30
# Slow requests are counted against the old version's median, which its own requests exceed as
# well. A version that is slower than the limit has at least half of its requests slow.
_SLOW_MARGIN = 0.25
# Fewer requests of the old version in the same window are no comparison.
_MIN_OLD = 10
# Requests that the old version's time before a window counts for, if the window has too few.
_EARLIER_WEIGHT = 10
# Factor of the margin for slowness where the old version did not run beside the new one.
_APART_FACTOR = 1.5
# Without any request of the old version, this share of failures is taken for normal.
_UNKNOWN_RATE = 0.2
# Time before the move has to be over at which its last step ends, for appends that take long.
_FINISH_RESERVE_MS = 30_000
# Width of the confidence interval of the old version's rate, in standard deviations.
_CONFIDENCE = 2.0


@dataclass(frozen=True, slots=True)
class Continue:
    """Leave the move as it is."""


@dataclass(frozen=True, slots=True)
class Raise:
    """Append the next step."""


@dataclass(frozen=True, slots=True)
class Stop:
    """Set the fact `VERSION_STOPPED` at once; the move is taken back in the log later."""

    why: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Append that the move is done."""


@dataclass(frozen=True, slots=True)
class TakeBack:
    """Append that the move is undone."""

    why: str


Judgement = Continue | Raise | Stop | Finish | TakeBack


@dataclass(frozen=True, slots=True)
class _Measure:
    """One kind of bad requests of the new version against what is allowed.

    `old_rate` is the upper end of the confidence interval of the old version's rate. `step` and
    `span_ms` are None for the whole move and the whole step.
    """

    name: str
    route: RouteName
    step: int | None
    span_ms: int | None
    bad: int
    requests: int
    old_rate: float
    margin: float

    @property
    def certainty(self) -> float:
        """Logarithm of how unlikely the bad requests are for a version at its bound."""
        bound = self.old_rate + self.margin
        if not self.requests or self.bad / self.requests <= bound:
            return 0.0
        return self.requests * _divergence(self.bad / self.requests, bound)

    @property
    def is_bad(self) -> bool:
        """Whether the version has to be stopped."""
        if self.certainty >= _CERTAIN:
            return True
        return self.certainty > 0 and self.bad - self.old_rate * self.requests >= _MAX_EXCESS

    def __str__(self) -> str:
        step = "" if self.step is None else f" at step {self.step}"
        span = "" if self.span_ms is None else f" within {self.span_ms} ms"
        allowed_percent = round(100 * (self.old_rate + self.margin))
        return (
            f"route {self.route}: {self.bad} of {self.requests} requests {self.name}{step}{span}, "
            f"where {allowed_percent}% are allowed"
        )


def judge(
    progress: Progress,
    histories: Sequence[EvidenceHistory],
    now_ms: int,
    now_wall_ms: int,
    ready: bool,
) -> Judgement:
    """Return what is to be done about a move.

    Parameters
    ----------
    histories : sequence of EvidenceHistory
        The fleet's and this daemon's own; each suffices to stop the version, and the first
        one counts the requests that a step needs.
    now_ms : int
        Monotonic clock, as in the histories.
    now_wall_ms : int
        Compared with the log's time of the last step and with the time to end by.
    ready : bool
        Whether upstreams with the new version loaded are there for the next step.

    Notes
    -----
    The new version is compared with the old one of the same step, per route and in total, over
    the whole step and windows of several lengths. Comparing across steps would hold a burst at
    a late step against the new version, which has most of its requests there. Where the old
    version has too few requests, as at a share of 100%, its requests up to then are the
    comparison, but not after a burst, which cannot be told from a bad version there.

    Any daemon may carry a judgement out: facts are idempotent, and of racing records the log's
    readers discard all but one.

    References
    ----------
    .. [1] H. Chernoff, "A measure of asymptotic efficiency for tests of a hypothesis based on
       the sum of observations", Annals of Mathematical Statistics 23(4), 1952.
    """
    plan = progress.plan
    if progress.result is not None:
        return Continue()
    measures = [measure for history in histories for measure in _measures(plan, history, now_ms)]
    if progress.stopped:
        return TakeBack(_stop_reason(measures))
    for measure in measures:
        if measure.is_bad:
            return Stop(str(measure))
    if now_wall_ms + _needed_ms(progress, now_wall_ms) > plan.by_ms:
        step = "no step" if progress.step is None else f"step {progress.step}"
        return TakeBack(f"{step} at {now_wall_ms} is too late for {plan.by_ms}")
    doubtful = any(
        measure.certainty >= _DOUBTFUL
        for measure in measures
        if measure.step == progress.step and measure.span_ms is None
    )
    if doubtful or not _step_is_over(progress, histories[0], now_wall_ms):
        return Continue()
    if progress.step == len(plan.steps_percent):
        return Finish() if _is_watched(progress, now_wall_ms) else Continue()
    return Raise() if ready or progress.step is None else Continue()


def _stop_reason(measures: Sequence[_Measure]) -> str:
    """Return why a version was stopped that another daemon may have judged."""
    worst = max(measures, key=lambda measure: measure.certainty, default=None)
    reason = "the new version was stopped"
    return reason if worst is None or worst.certainty <= 0 else f"{reason}: {worst}"


def _step_is_over(progress: Progress, history: EvidenceHistory, now_wall_ms: int) -> bool:
    # Step 0 has no traffic to wait for.
    if not progress.step:
        return True
    if now_wall_ms - progress.stepped_wall_ms < progress.plan.step_ms:
        return False
    return history.requests(progress.step) >= progress.plan.min_requests


def _is_watched(progress: Progress, now_wall_ms: int) -> bool:
    plan = progress.plan
    watched_ms = progress.stepped_wall_ms + plan.max_watch_ms
    return now_wall_ms >= min(watched_ms, plan.by_ms - _FINISH_RESERVE_MS)


def _needed_ms(progress: Progress, now_wall_ms: int) -> int:
    plan = progress.plan
    steps = len(plan.steps_percent) - (progress.step or 0)
    if not progress.step:
        return steps * plan.step_ms
    rest_ms = plan.step_ms - (now_wall_ms - progress.stepped_wall_ms)
    return steps * plan.step_ms + max(0, rest_ms)


def _measures(plan: VersionMove, history: EvidenceHistory, now_ms: int) -> list[_Measure]:
    measures = [
        measure
        for window in history.windows(now_ms)
        if window.new.requests
        for measure in _of_window(plan, history, window, now_ms)
    ]
    return [*measures, *_of_move(measures)]


def _of_window(
    plan: VersionMove, history: EvidenceHistory, window: Window, now_ms: int
) -> list[_Measure]:
    if window.old.requests >= _MIN_OLD:
        return [
            _failed(plan, window, _upper(window.old.errors, window.old.requests)),
            _slow(window, _upper(window.old.slow, window.old.requests), 1.0),
        ]
    earlier = history.old_until(window)
    failed = _failed(plan, window, _blended(window.old.errors, earlier.errors, window, earlier))
    match history.had_burst(window, now_ms):
        case True:
            return []
        case None:
            # Slowness proves nothing, but failures in a whole step do.
            return [failed] if window.span_ms is None else []
    if earlier.requests < _MIN_OLD:
        return [failed]
    slow_rate = _blended(window.old.slow, earlier.slow, window, earlier)
    return [failed, _slow(window, slow_rate, _APART_FACTOR)]


def _blended(bad: int, earlier_bad: int, window: Window, earlier: Counts) -> float:
    """Return the upper end of the old version's rate from the window and the time before.

    The time before counts like a few requests only. With its full weight, a fault that hurts
    both versions would be held against the new one as long as few old requests show it.
    """
    weight = min(1.0, _EARLIER_WEIGHT / max(1, earlier.requests))
    return _upper(bad + weight * earlier_bad, window.old.requests + weight * earlier.requests)


def _of_move(measures: Sequence[_Measure]) -> Iterator[_Measure]:
    """Yield the sums over the steps, each step's bound weighted with its requests.

    By Hoeffding, the sum of variables with different rates exceeds its mean no more easily than
    that of variables with the mean rate.
    """
    groups: dict[tuple[str, RouteName], list[_Measure]] = {}
    for measure in measures:
        if measure.span_ms is None:
            groups.setdefault((measure.name, measure.route), []).append(measure)
    for (name, route), group in groups.items():
        requests = sum(each.requests for each in group)
        yield _Measure(
            name=name,
            route=route,
            step=None,
            span_ms=None,
            bad=sum(each.bad for each in group),
            requests=requests,
            old_rate=sum(each.old_rate * each.requests for each in group) / requests,
            margin=sum(each.margin * each.requests for each in group) / requests,
        )


def _failed(plan: VersionMove, window: Window, old_rate: float) -> _Measure:
    return _Measure(
        name="failed",
        route=window.route,
        step=window.step,
        span_ms=window.span_ms,
        bad=window.new.errors,
        requests=window.new.requests,
        old_rate=old_rate,
        margin=plan.max_error_percent / 100,
    )


def _slow(window: Window, old_rate: float, factor: float) -> _Measure:
    return _Measure(
        name="slow",
        route=window.route,
        step=window.step,
        span_ms=window.span_ms,
        bad=window.new.slow,
        requests=window.new.requests,
        old_rate=old_rate,
        margin=factor * _SLOW_MARGIN,
    )


def _upper(bad: float, requests: float) -> float:
    """Return the upper end of Wilson's interval."""
    if not requests:
        return _UNKNOWN_RATE
    z2 = _CONFIDENCE**2
    rate = bad / requests
    spread = math.sqrt(rate * (1 - rate) / requests + z2 / (4 * requests**2))
    return (rate + z2 / (2 * requests) + _CONFIDENCE * spread) / (1 + z2 / requests)


def _divergence(rate: float, bound: float) -> float:
    """Return the Kullback-Leibler divergence that bounds the tail of a binomial variable."""
    if bound >= 1:
        return 0.0
    divergence = rate * math.log(rate / bound)
    if rate < 1:
        divergence += (1 - rate) * math.log((1 - rate) / (1 - bound))
    return divergence
