"""Decides whether a move advances, completes, is stopped or is taken back."""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from skylarkmoor_core.document import VersionMove
from skylarkmoor_core.ids import RouteName
from skylarkmoor_policy.evidence import EvidenceHistory, RequestCounts, Window
from skylarkmoor_policy.movefollower import MoveProgress

__all__ = [
    "AdvanceStep",
    "CompleteMove",
    "KeepWaiting",
    "MoveAction",
    "RollBack",
    "StopVersion",
    "decide_next_action",
]

# Chernoff exponent from which a version is stopped, the natural logarithm of 1000. A version within
# its bound is stopped by chance in fewer than one in a thousand comparisons, and three failures in
# a row suffice for a stop.
_STOP_EXPONENT = 6.9
# Chernoff exponent from which the next step is delayed. A version within its bound reaches it by
# chance in at most one in seven comparisons.
_HOLD_EXPONENT = 2.0
# With at least this many new requests, the next step is also delayed if they are worse than the
# old version's observed rate instead of its upper bound, which few old requests leave wide open.
_MIN_REQUESTS_TO_HOLD = 10
# Bad requests in excess of the old version's rate that stop a version above its bound, regardless
# of the exponent. A bad version has to be stopped before 50 requests have failed.
_MAX_EXCESS_REQUESTS = 30
# Allowed share of slow requests above the old version's. Some of the old version's own requests are
# slow against its median; of a version slower than the limit, at least half are.
_SLOW_MARGIN = 0.25
# With fewer old requests in a window, earlier requests of the old version are included.
_MIN_OLD_REQUESTS = 10
# Weight, in requests, of the old version's earlier requests in a window with too few of its own.
_EARLIER_SAMPLE_SIZE = 10
# Factor of the slowness margin if the old version's requests are not from the same window.
_EARLIER_MARGIN_FACTOR = 1.5
# Rate of bad requests assumed for the old version if it had no requests.
_DEFAULT_OLD_RATE = 0.2
# The last step ends this long before the move's deadline, which allows for slow appends to the log.
_FINISH_RESERVE_MS = 30_000
# Half-width of the confidence interval of the old version's rate, in standard deviations.
_CONFIDENCE_Z = 2.0


@dataclass(frozen=True, slots=True)
class KeepWaiting:
    """Change nothing for now."""


@dataclass(frozen=True, slots=True)
class AdvanceStep:
    """Append the record of the move's next step."""


@dataclass(frozen=True, slots=True)
class StopVersion:
    """Publish the fact `VERSION_STOPPED` at once; the move is taken back in the log later."""

    why: str


@dataclass(frozen=True, slots=True)
class CompleteMove:
    """Append the record that ends the move as done."""


@dataclass(frozen=True, slots=True)
class RollBack:
    """Append the record that ends the move as undone."""

    why: str


MoveAction = KeepWaiting | AdvanceStep | StopVersion | CompleteMove | RollBack


@dataclass(frozen=True, slots=True)
class _Comparison:
    """Compares the new version's rate of failed or slow requests with its bound.

    Attributes
    ----------
    step : int, optional
        None for the whole move.
    span_ms : int, optional
        None for the whole step.
    bad : int
        Number of failed or slow requests.
    old_rate : float
        Upper end of the confidence interval of the old version's rate.
    observed_old_rate : float
        The old version's rate without the uncertainty of a small sample.
    margin : float
        Amount by which the new version's rate may exceed `old_rate`.
    """

    name: str
    route: RouteName
    step: int | None
    span_ms: int | None
    bad: int
    requests: int
    old_rate: float
    observed_old_rate: float
    margin: float

    @property
    def chernoff_exponent(self) -> float:
        """Negative logarithm of the Chernoff bound on the chance of this many bad requests.

        It is 0 for a rate within the bound, and otherwise assumes a version exactly at the bound.
        """
        return self._exponent(self.old_rate + self.margin)

    @property
    def must_hold(self) -> bool:
        """Whether the rate is suspicious, so that the version must not get more traffic yet."""
        exponent = self.chernoff_exponent
        if self.requests >= _MIN_REQUESTS_TO_HOLD:
            exponent = max(exponent, self._exponent(self.observed_old_rate + self.margin))
        return exponent >= _HOLD_EXPONENT

    @property
    def must_stop(self) -> bool:
        """Whether the rate exceeds the bound so clearly that the version has to be stopped."""
        if self.chernoff_exponent >= _STOP_EXPONENT:
            return True
        return (
            self.chernoff_exponent > 0
            and self.bad - self.old_rate * self.requests >= _MAX_EXCESS_REQUESTS
        )

    def _exponent(self, bound: float) -> float:
        if not self.requests or self.bad / self.requests <= bound:
            return 0.0
        return self.requests * _kl_divergence(self.bad / self.requests, bound)

    def __str__(self) -> str:
        step = "" if self.step is None else f" at step {self.step}"
        span = "" if self.span_ms is None else f" within {self.span_ms} ms"
        allowed_percent = round(100 * (self.old_rate + self.margin))
        return (
            f"route {self.route}: {self.bad} of {self.requests} requests {self.name}{step}{span}, "
            f"where {allowed_percent}% are allowed"
        )


def decide_next_action(
    progress: MoveProgress,
    histories: Sequence[EvidenceHistory],
    now_ms: int,
    now_wall_ms: int,
    ready: bool,
) -> MoveAction:
    """Return the next action for a move.

    Parameters
    ----------
    histories : sequence of EvidenceHistory
        The history of the fleet, then that of this daemon alone. Each one suffices to stop the
        version; the first one counts the requests that a step needs.
    now_ms : int
        Monotonic clock, as in the histories.
    now_wall_ms : int
        Wall clock, for comparison with the log time of the last step and the move's deadline.
    ready : bool
        Whether enough upstreams have loaded the new version for the next step.

    Notes
    -----
    The new version is compared with the old one within the same step, per route and in total,
    over the whole step and over windows of several lengths. A comparison across steps would
    attribute a burst at a late step to the new version, which has most of its requests there.
    Where the old version has too few requests, as at a share of 100%, its requests up to then are
    used instead. After a burst they are not, because a burst cannot be distinguished from a bad
    version that way.

    Any daemon may carry out the action: facts are idempotent, and readers of the log discard all
    but one of several racing records.

    References
    ----------
    .. [1] H. Chernoff, "A measure of asymptotic efficiency for tests of a hypothesis based on
       the sum of observations", Annals of Mathematical Statistics 23(4), 1952.
    """
    plan = progress.move_plan
    if progress.result is not None:
        return KeepWaiting()
    comparisons = [
        comparison for history in histories for comparison in _comparisons(plan, history, now_ms)
    ]
    if progress.stopped:
        return RollBack(_stop_reason(comparisons))
    for comparison in comparisons:
        if comparison.must_stop:
            return StopVersion(str(comparison))
    if now_wall_ms + _remaining_ms(progress, now_wall_ms) > plan.by_ms:
        step = "no step" if progress.step is None else f"step {progress.step}"
        return RollBack(f"{step} at {now_wall_ms} is too late for {plan.by_ms}")
    is_doubtful = any(
        comparison.must_hold
        for comparison in comparisons
        if comparison.step == progress.step and comparison.span_ms is None
    )
    if is_doubtful or not _is_step_over(progress, histories[0], now_wall_ms):
        return KeepWaiting()
    if progress.step == len(plan.steps_percent):
        return CompleteMove() if _is_watch_over(progress, now_wall_ms) else KeepWaiting()
    return AdvanceStep() if ready or progress.step is None else KeepWaiting()


def _stop_reason(comparisons: Sequence[_Comparison]) -> str:
    """Return the reason for a stop, which another daemon may have decided."""
    worst = max(comparisons, key=lambda comparison: comparison.chernoff_exponent, default=None)
    reason = "the new version was stopped"
    return reason if worst is None or worst.chernoff_exponent <= 0 else f"{reason}: {worst}"


def _is_step_over(progress: MoveProgress, history: EvidenceHistory, now_wall_ms: int) -> bool:
    # Step 0 has no traffic, so it needs neither time nor requests.
    if not progress.step:
        return True
    if now_wall_ms - progress.stepped_wall_ms < progress.move_plan.step_ms:
        return False
    if history.requests(progress.step) < progress.move_plan.min_requests:
        return False
    # With fewer old requests, a burst leaves no comparison at all for the step.
    return history.old_requests(progress.step) >= _MIN_OLD_REQUESTS


def _is_watch_over(progress: MoveProgress, now_wall_ms: int) -> bool:
    plan = progress.move_plan
    watch_end_ms = progress.stepped_wall_ms + plan.max_watch_ms
    return now_wall_ms >= min(watch_end_ms, plan.by_ms - _FINISH_RESERVE_MS)


def _remaining_ms(progress: MoveProgress, now_wall_ms: int) -> int:
    plan = progress.move_plan
    steps = len(plan.steps_percent) - (progress.step or 0)
    if not progress.step:
        return steps * plan.step_ms
    step_remaining_ms = plan.step_ms - (now_wall_ms - progress.stepped_wall_ms)
    return steps * plan.step_ms + max(0, step_remaining_ms)


def _comparisons(plan: VersionMove, history: EvidenceHistory, now_ms: int) -> list[_Comparison]:
    comparisons = [
        comparison
        for window in history.windows(now_ms)
        if window.new.requests
        for comparison in _compare_window(plan, history, window, now_ms)
    ]
    return [*comparisons, *_sum_over_steps(comparisons)]


def _compare_window(
    plan: VersionMove, history: EvidenceHistory, window: Window, now_ms: int
) -> list[_Comparison]:
    if window.old.requests >= _MIN_OLD_REQUESTS:
        return [
            _compare_errors(plan, window, _OldRate(window.old.errors, window.old.requests)),
            _compare_slowness(window, _OldRate(window.old.slow, window.old.requests), 1.0),
        ]
    earlier = history.old_counts_through(window)
    failed = _compare_errors(
        plan, window, _blended_old_rate(window.old.errors, earlier.errors, window, earlier)
    )
    match history.had_burst(window, now_ms):
        case True:
            return []
        case None:
            # Without knowing whether there was a burst, slowness proves nothing; failures over a
            # whole step do.
            return [failed] if window.span_ms is None else []
    if earlier.requests < _MIN_OLD_REQUESTS:
        return [failed]
    slow_rate = _blended_old_rate(window.old.slow, earlier.slow, window, earlier)
    return [failed, _compare_slowness(window, slow_rate, _EARLIER_MARGIN_FACTOR)]


@dataclass(frozen=True, slots=True)
class _OldRate:
    """Bad requests among the old version's requests; earlier ones count as fractions."""

    bad: float
    requests: float

    @property
    def observed(self) -> float:
        return self.bad / self.requests if self.requests else _DEFAULT_OLD_RATE

    @property
    def upper_bound(self) -> float:
        return _wilson_upper_bound(self.bad, self.requests)


def _blended_old_rate(
    bad: int, earlier_bad: int, window: Window, earlier: RequestCounts
) -> _OldRate:
    """Return the old version's rate from the window and the time before it.

    The earlier requests are weighted like a few requests only. With full weight, a fault that
    affects both versions would be attributed to the new one while few old requests show it.
    """
    weight = min(1.0, _EARLIER_SAMPLE_SIZE / max(1, earlier.requests))
    return _OldRate(bad + weight * earlier_bad, window.old.requests + weight * earlier.requests)


def _sum_over_steps(comparisons: Sequence[_Comparison]) -> Iterator[_Comparison]:
    """Yield comparisons over all steps, with each step's bound weighted by its requests.

    By Hoeffding's theorem, a sum of Bernoulli variables with different rates is no more likely to
    exceed its mean by much than a sum of variables that all have the mean rate.
    """
    groups: dict[tuple[str, RouteName], list[_Comparison]] = {}
    for comparison in comparisons:
        if comparison.span_ms is None:
            groups.setdefault((comparison.name, comparison.route), []).append(comparison)
    for (name, route), group in groups.items():
        requests = sum(part.requests for part in group)
        yield _Comparison(
            name=name,
            route=route,
            step=None,
            span_ms=None,
            bad=sum(part.bad for part in group),
            requests=requests,
            old_rate=sum(part.old_rate * part.requests for part in group) / requests,
            observed_old_rate=sum(part.observed_old_rate * part.requests for part in group)
            / requests,
            margin=sum(part.margin * part.requests for part in group) / requests,
        )


def _compare_errors(plan: VersionMove, window: Window, old: _OldRate) -> _Comparison:
    return _Comparison(
        name="failed",
        route=window.route,
        step=window.step,
        span_ms=window.span_ms,
        bad=window.new.errors,
        requests=window.new.requests,
        old_rate=old.upper_bound,
        observed_old_rate=old.observed,
        margin=plan.max_error_percent / 100,
    )


def _compare_slowness(window: Window, old: _OldRate, factor: float) -> _Comparison:
    return _Comparison(
        name="slow",
        route=window.route,
        step=window.step,
        span_ms=window.span_ms,
        bad=window.new.slow,
        requests=window.new.requests,
        old_rate=old.upper_bound,
        observed_old_rate=old.observed,
        margin=factor * _SLOW_MARGIN,
    )


def _wilson_upper_bound(bad: float, requests: float) -> float:
    """Return the upper end of the Wilson score interval, or a default rate without requests."""
    if not requests:
        return _DEFAULT_OLD_RATE
    z2 = _CONFIDENCE_Z**2
    rate = bad / requests
    half_width = math.sqrt(rate * (1 - rate) / requests + z2 / (4 * requests**2))
    return (rate + z2 / (2 * requests) + _CONFIDENCE_Z * half_width) / (1 + z2 / requests)


def _kl_divergence(rate: float, bound: float) -> float:
    """Return the Kullback-Leibler divergence between Bernoulli rates, as in the Chernoff bound."""
    if bound >= 1:
        return 0.0
    divergence = rate * math.log(rate / bound)
    if rate < 1:
        divergence += (1 - rate) * math.log((1 - rate) / (1 - bound))
    return divergence
