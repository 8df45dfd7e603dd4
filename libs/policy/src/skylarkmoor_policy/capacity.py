"""Adaptive estimates of an upstream's capacity and speed, from measured latencies."""

from dataclasses import dataclass

from skylarkmoor_core.document import Tier
from skylarkmoor_policy.requests import LoadReport

__all__ = [
    "INITIAL_ENGINE_CAPACITY_PERCENT",
    "CapacityModel",
    "CostBounds",
    "PressureWindow",
    "SpeedModel",
    "bounds_from_report",
]

# Assumed for an upstream that has not sent a load report.
_DEFAULT_MAX_BATCH = 16
_DEFAULT_KV_CAPACITY_TOKENS = 65_536

# The estimate starts below an engine's limit, because an overloaded engine delays all of its
# streams until the backlog has drained.
INITIAL_ENGINE_CAPACITY_PERCENT = 75
_MIN_CAPACITY_PERCENT = 10
_INCREASE_STEP_PERCENT = 2
_MIN_INCREASE_INTERVAL_MS = 250
_DECREASE_FACTOR_PERCENT = 90
_MIN_DECREASE_INTERVAL_MS = 1_000
# A running cost up to this percentage of the capacity counts as settled after a decrease,
# because higher tiers may overfill an engine slightly.
_MAX_SETTLED_USE_PERCENT = 110
# Weight of a new sample in the moving average. Each daemon measures only a few streams, so
# single samples are noisy.
_PRESSURE_SMOOTHING = 0.2
# The latency targets apply to 95% of the requests, so the mean has to stay below them: at
# 100%, 1% of the top tier's answers were too slow. The capacity decreases above the first
# percentage, may increase up to the second one and stays unchanged between the two.
_DECREASE_PRESSURE_PERCENT = 93
_INCREASE_PRESSURE_PERCENT = 86
# The capacity increases only while at least this percentage of it is in use.
_MIN_USE_FOR_INCREASE_PERCENT = 85

# Weight of a new sample in the moving averages of the speeds.
_SPEED_SMOOTHING = 0.2
_DEFAULT_DECODE_MS = 30.0
_DEFAULT_PREFILL_MS = 0.1
# The duration of a shorter prefill reflects the engine's step time, not its prefill speed.
_MIN_PREFILL_TOKENS = 64


@dataclass(frozen=True, slots=True)
class CostBounds:
    """Capacity limits of an upstream, in units of cost.

    Attributes
    ----------
    limit : int
        Cost at which the upstream is full.
    min_request_cost : int
        Minimum cost of a request.
    """

    limit: int
    min_request_cost: int


def bounds_from_report(report: LoadReport | None, engine: bool) -> CostBounds:
    """Return the bounds implied by an upstream's newest load report.

    Notes
    -----
    Cost is counted in KV-cache tokens for engines and in calls for plain services. An
    engine's unit is its KV capacity divided by its maximum batch size, so that a full batch
    of small requests also uses up the limit.
    """
    batch = report.max_batch if report is not None and report.max_batch > 0 else _DEFAULT_MAX_BATCH
    if not engine:
        return CostBounds(batch, 1)
    tokens = report.kv_capacity_tokens if report is not None else 0
    if tokens <= 0:
        tokens = _DEFAULT_KV_CAPACITY_TOKENS
    return CostBounds(tokens, -(-tokens // batch))


class CapacityModel:
    """Capacity estimate that follows additive increase, multiplicative decrease (AIMD).

    Parameters
    ----------
    bounds : CostBounds
        Bounds of the upstream.
    start_percent : int
        Initial capacity as a percentage of the limit.
    """

    def __init__(self, bounds: CostBounds, start_percent: int = 100) -> None:
        self._bounds = bounds
        self._value = self._clamp(bounds.limit * start_percent // 100)
        self._smoothed_pressure_percent = float(_INCREASE_PRESSURE_PERCENT)
        self._last_increase_ms = 0
        self._last_decrease_ms = 0

    @property
    def value(self) -> int:
        """Cost that the upstream is estimated to run within the latency targets."""
        return self._value

    def set_bounds(self, bounds: CostBounds) -> None:
        """Set new bounds and scale the capacity with the limit."""
        if bounds != self._bounds:
            self._value = self._value * bounds.limit // self._bounds.limit
            self._bounds = bounds
            self._value = self._clamp(self._value)

    def adopt(self, value: int) -> None:
        """Set the capacity to the estimate of a previous owner."""
        self._value = self._clamp(value)

    def observe(self, pressure_percent: int, running: int, now_ms: int) -> bool:
        """Update the estimate from a measurement and return whether the capacity changed.

        Parameters
        ----------
        pressure_percent : int
            Measured latency as a percentage of its target; 0 if nothing was measured.
        running : int
            Cost that ran on the upstream during the measurement.
        now_ms : int
            Monotonic time.
        """
        if pressure_percent <= 0:
            return False
        before = self._value
        self._smoothed_pressure_percent += _PRESSURE_SMOOTHING * (
            pressure_percent - self._smoothed_pressure_percent
        )
        if self._smoothed_pressure_percent > _DECREASE_PRESSURE_PERCENT:
            self._decrease(running, now_ms)
        elif (
            self._smoothed_pressure_percent <= _INCREASE_PRESSURE_PERCENT
            and running * 100 >= self._value * _MIN_USE_FOR_INCREASE_PERCENT
        ):
            self._increase(now_ms)
        return self._value != before

    def _decrease(self, running: int, now_ms: int) -> None:
        # While the running cost still exceeds the capacity, the latencies do not yet show the
        # effect of the previous decrease.
        settled = running * 100 <= self._value * _MAX_SETTLED_USE_PERCENT
        if settled and now_ms - self._last_decrease_ms >= _MIN_DECREASE_INTERVAL_MS:
            self._value = self._clamp(self._value * _DECREASE_FACTOR_PERCENT // 100)
            self._last_decrease_ms = now_ms
            self._smoothed_pressure_percent = _INCREASE_PRESSURE_PERCENT

    def _increase(self, now_ms: int) -> None:
        last_change_ms = max(self._last_increase_ms, self._last_decrease_ms)
        if now_ms - last_change_ms >= _MIN_INCREASE_INTERVAL_MS:
            step = max(1, self._bounds.limit * _INCREASE_STEP_PERCENT // 100)
            self._value = self._clamp(self._value + step)
            self._last_increase_ms = now_ms

    def _clamp(self, value: int) -> int:
        floor = max(
            self._bounds.min_request_cost, self._bounds.limit * _MIN_CAPACITY_PERCENT // 100
        )
        return max(min(floor, self._bounds.limit), min(value, self._bounds.limit))


class SpeedModel:
    """Moving averages of an upstream's speed.

    Attributes
    ----------
    decode_ms : float
        Time between two output tokens, or the duration of a call to a plain service.
    prefill_ms : float
        Time to prefill one prompt token.
    """

    def __init__(self) -> None:
        self.decode_ms = _DEFAULT_DECODE_MS
        self.prefill_ms = _DEFAULT_PREFILL_MS
        self._decode_known = False
        self._prefill_known = False

    def observe_token_interval(self, between_ms: float) -> None:
        """Update `decode_ms` from a measured time between tokens."""
        if self._decode_known:
            between_ms = _SPEED_SMOOTHING * between_ms + (1 - _SPEED_SMOOTHING) * self.decode_ms
        self.decode_ms = between_ms
        self._decode_known = True

    def observe_prefill(self, prefill_tokens: int, first_token_ms: float) -> None:
        """Update `prefill_ms` from a measured time to first token.

        Notes
        -----
        The time includes queueing in the engine, which says nothing about its prefill speed.
        Samples above the average therefore get a tenth of the weight of samples below it.
        """
        if prefill_tokens < _MIN_PREFILL_TOKENS:
            return
        sample = first_token_ms / prefill_tokens
        if self._prefill_known:
            weight = _SPEED_SMOOTHING if sample < self.prefill_ms else _SPEED_SMOOTHING / 10
            sample = weight * sample + (1 - weight) * self.prefill_ms
        self.prefill_ms = sample
        self._prefill_known = True


class PressureWindow:
    """Latencies of one upstream since the last demand, relative to the targets of the tiers.

    Notes
    -----
    The larger mean latency, as a percentage of its target, is the pressure on the upstream.
    The window keeps means instead of maxima: a single long prefill that delays a stream
    would otherwise lower the capacity for all daemons.
    """

    def __init__(self) -> None:
        self._first_token = _RunningMean()
        self._token_interval = _RunningMean()

    def observe_first_token(self, first_token_ms: float, prefill_ms: float, tier: Tier) -> None:
        """Add a time to first token, without the `prefill_ms` that the prompt's length explains."""
        waited_ms = max(0.0, first_token_ms - prefill_ms)
        self._first_token.add(100 * waited_ms / tier.first_token_ms)

    def observe_token_interval(self, between_ms: float, tier: Tier) -> None:
        """Add a time between tokens."""
        self._token_interval.add(100 * between_ms / tier.between_tokens_ms)

    def percent(self) -> int:
        """Return the worse of the two mean latencies as a percentage of its target; 0 if none."""
        return round(max(self._first_token.value, self._token_interval.value))

    def clear(self) -> None:
        """Start a new window."""
        self._first_token = _RunningMean()
        self._token_interval = _RunningMean()


class _RunningMean:
    def __init__(self) -> None:
        self.value = 0.0
        self._count = 0

    def add(self, sample: float) -> None:
        self._count += 1
        self.value += (sample - self.value) / self._count
