"""Learnt capacity and speed of an upstream, and the latency evidence behind them."""

from dataclasses import dataclass

from skylarkmoor_core.document import Tier
from skylarkmoor_policy.requests import LoadReport

__all__ = [
    "ENGINE_START_PERCENT",
    "Bounds",
    "CapacityModel",
    "PressureWindow",
    "SpeedModel",
    "bounds_of",
]

# Bounds of an upstream that has not reported yet.
_DEFAULT_BATCH = 16
_DEFAULT_KV_TOKENS = 65_536

# Learning starts below an engine's limit, because an overfilled engine delays every stream
# in it until its work has drained.
ENGINE_START_PERCENT = 75
_FLOOR_PERCENT = 10
_INCREASE_PERCENT = 3
_INCREASE_EVERY_MS = 250
_DECREASE_PERCENT = 80
_DECREASE_EVERY_MS = 1_000
# Running cost up to this part of the capacity is at the capacity. Higher tiers may overfill
# an engine a little.
_SETTLED_PERCENT = 115
# Each daemon measures a few streams only, so one measurement is noisy.
_PRESSURE_WEIGHT = 0.2
# The bounds hold for 95 in 100 requests, so the mean has to stay below them: at 100% every
# hundredth top-tier answer was too slow. Between the two the capacity stays as it is.
_HIGH_PERCENT = 93
_EASY_PERCENT = 83
# Evidence counts for an increase only if this part of the capacity was in use.
_FULL_PERCENT = 85

_WEIGHT = 0.2
_DEFAULT_DECODE_MS = 30.0
_DEFAULT_PREFILL_MS = 0.1
# Shorter prefills measure the engine's step time and not its prefill speed.
_MIN_PREFILL_TOKENS = 64


@dataclass(frozen=True, slots=True)
class Bounds:
    """What an upstream says of itself.

    Attributes
    ----------
    limit : int
        Cost that fills the upstream.
    unit : int
        Least cost of a request.
    """

    limit: int
    unit: int


def bounds_of(report: LoadReport | None, engine: bool) -> Bounds:
    """Return the bounds that follow from an upstream's newest report.

    Notes
    -----
    Cost is measured in KV tokens for engines. The unit is such that a full batch of small
    requests also exhausts the tokens.
    """
    batch = report.max_batch if report is not None and report.max_batch > 0 else _DEFAULT_BATCH
    if not engine:
        return Bounds(batch, 1)
    tokens = report.kv_capacity_tokens if report is not None else 0
    if tokens <= 0:
        tokens = _DEFAULT_KV_TOKENS
    return Bounds(tokens, -(-tokens // batch))


class CapacityModel:
    """Capacity learnt by additive increase and multiplicative decrease.

    Parameters
    ----------
    bounds : Bounds
        Bounds of the upstream.
    start_percent : int
        Part of the limit to start from.
    """

    def __init__(self, bounds: Bounds, start_percent: int = 100) -> None:
        self._bounds = bounds
        self._value = self._clamp(bounds.limit * start_percent // 100)
        self._pressure = float(_EASY_PERCENT)
        self._increased_ms = 0
        self._decreased_ms = 0

    @property
    def value(self) -> int:
        """Cost that the upstream can run within the latency targets."""
        return self._value

    def set_bounds(self, bounds: Bounds) -> None:
        """Take new bounds and keep the learnt part of the limit."""
        if bounds != self._bounds:
            self._value = self._value * bounds.limit // self._bounds.limit
            self._bounds = bounds
            self._value = self._clamp(self._value)

    def adopt(self, value: int) -> None:
        """Start from the capacity that an earlier owner has learnt."""
        self._value = self._clamp(value)

    def observe(self, pressure_percent: int, running: int, now_ms: int) -> bool:
        """Learn from a measurement and return whether the capacity changed.

        Parameters
        ----------
        pressure_percent : int
            Measured latency as a percentage of its bound; 0 if nothing was measured.
        running : int
            Cost running on the upstream when it was measured.
        now_ms : int
            Monotonic time.
        """
        if pressure_percent <= 0:
            return False
        before = self._value
        self._pressure += _PRESSURE_WEIGHT * (pressure_percent - self._pressure)
        if self._pressure > _HIGH_PERCENT:
            self._decrease(running, now_ms)
        elif self._pressure <= _EASY_PERCENT and running * 100 >= self._value * _FULL_PERCENT:
            self._increase(now_ms)
        return self._value != before

    def _decrease(self, running: int, now_ms: int) -> None:
        # While more runs than an earlier decrease allows, its effect cannot be seen yet.
        settled = running * 100 <= self._value * _SETTLED_PERCENT
        if settled and now_ms - self._decreased_ms >= _DECREASE_EVERY_MS:
            self._value = self._clamp(self._value * _DECREASE_PERCENT // 100)
            self._decreased_ms = now_ms
            self._pressure = _EASY_PERCENT

    def _increase(self, now_ms: int) -> None:
        recent = max(self._increased_ms, self._decreased_ms)
        if now_ms - recent >= _INCREASE_EVERY_MS:
            step = max(1, self._bounds.limit * _INCREASE_PERCENT // 100)
            self._value = self._clamp(self._value + step)
            self._increased_ms = now_ms

    def _clamp(self, value: int) -> int:
        floor = max(self._bounds.unit, self._bounds.limit * _FLOOR_PERCENT // 100)
        return max(min(floor, self._bounds.limit), min(value, self._bounds.limit))


class SpeedModel:
    """Speed of an upstream, learnt from its answers.

    Attributes
    ----------
    decode_ms : float
        Time between two tokens, or the time of one call to a plain service.
    prefill_ms : float
        Time to compute one prompt token.
    """

    def __init__(self) -> None:
        self.decode_ms = _DEFAULT_DECODE_MS
        self.prefill_ms = _DEFAULT_PREFILL_MS
        self._decode_known = False
        self._prefill_known = False

    def observe_between(self, between_ms: float) -> None:
        """Learn from a measured time between tokens."""
        if self._decode_known:
            between_ms = _WEIGHT * between_ms + (1 - _WEIGHT) * self.decode_ms
        self.decode_ms = between_ms
        self._decode_known = True

    def observe_prefill(self, prefill_tokens: int, first_token_ms: float) -> None:
        """Learn from a measured time to first token.

        Notes
        -----
        The time includes waiting in the engine, which is not a matter of its speed. So a
        fast prefill counts for more than a slow one.
        """
        if prefill_tokens < _MIN_PREFILL_TOKENS:
            return
        sample = first_token_ms / prefill_tokens
        if self._prefill_known:
            weight = _WEIGHT if sample < self.prefill_ms else _WEIGHT / 10
            sample = weight * sample + (1 - weight) * self.prefill_ms
        self.prefill_ms = sample
        self._prefill_known = True


class PressureWindow:
    """Latency of one upstream since the last demand, against the bounds of the tiers.

    Notes
    -----
    Means over the window are kept and not single worst values: one long prefill beside a
    stream would otherwise lower the capacity for everybody.
    """

    def __init__(self) -> None:
        self._first = _Mean()
        self._between = _Mean()

    def observe_first(self, first_token_ms: float, prefill_ms: float, tier: Tier) -> None:
        """Note a time to first token, of which `prefill_ms` is due to the prompt's length."""
        waited = max(0.0, first_token_ms - prefill_ms)
        self._first.add(100 * waited / tier.first_token_ms)

    def observe_between(self, between_ms: float, tier: Tier) -> None:
        """Note a time between tokens."""
        self._between.add(100 * between_ms / tier.between_tokens_ms)

    def percent(self) -> int:
        """Return the worse of the two latencies as a percentage of its bound, 0 for none."""
        return round(max(self._first.value, self._between.value))

    def clear(self) -> None:
        """Start a new window."""
        self._first = _Mean()
        self._between = _Mean()


class _Mean:
    def __init__(self) -> None:
        self.value = 0.0
        self._count = 0

    def add(self, sample: float) -> None:
        self._count += 1
        self.value += (sample - self.value) / self._count
