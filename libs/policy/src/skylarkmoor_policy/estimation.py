"""Estimates of speeds, latencies and output lengths from the attempts that a daemon runs."""

from skylarkmoor_core.document import Tier
from skylarkmoor_core.ids import RouteName
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request
from skylarkmoor_policy.upstreams import Attempt, Upstream

__all__ = ["PerformanceEstimator"]

# Weight of a new sample in the moving average of output lengths.
_OUTPUT_SMOOTHING = 0.1
# Shorter intervals reflect how the network batches tokens, not the engine's speed.
_MIN_INTERVAL_MS = 200
_NOT_RUN_RESULTS = (AttemptResult.NOT_STARTED, AttemptResult.LEAVING)


class PerformanceEstimator:
    """Updates the estimates from the progress and end of attempts, and counts prefill tokens.

    Parameters
    ----------
    engine : bool
        Whether the upstreams are model engines.
    tiers : int
        Number of tiers.

    Attributes
    ----------
    prefill_tokens, wasted_prefill_tokens : list of int
        Prompt tokens computed, by tier, in all attempts and in those that did not complete.
    """

    def __init__(self, engine: bool, tiers: int) -> None:
        self._engine = engine
        self._mean_output_tokens: dict[RouteName, float] = {}
        self.prefill_tokens = [0] * tiers
        self.wasted_prefill_tokens = [0] * tiers

    def add_tiers(self, count: int) -> None:
        """Add `count` tiers below the existing ones."""
        self.prefill_tokens += [0] * count
        self.wasted_prefill_tokens += [0] * count

    def knows_output_length(self, route: RouteName) -> bool:
        """Return whether there is an estimate of the output length on a route."""
        return not self._engine or route in self._mean_output_tokens

    def expected_output_tokens(self, request: Request) -> int:
        """Return the expected output tokens; without an estimate, half of the request's maximum."""
        if not self._engine:
            return 1
        expected = self._mean_output_tokens.get(request.route, request.max_output_tokens / 2)
        return max(1, min(request.max_output_tokens, round(expected)))

    def record_progress(
        self, attempt: Attempt, upstream: Upstream, position: int, tier: Tier, now_ms: int
    ) -> bool:
        """Record an attempt's output position and return whether this is its first token."""
        is_first_token = attempt.measured_ms < 0
        if is_first_token:
            prefill_ms = attempt.prefill_tokens * upstream.speed.prefill_ms
            upstream.pressure.observe_first_token(now_ms - attempt.started_ms, prefill_ms, tier)
        else:
            interval_ms = now_ms - attempt.measured_ms
            if interval_ms < _MIN_INTERVAL_MS:
                return False
            between_ms = interval_ms / (position - attempt.measured_position)
            upstream.pressure.observe_token_interval(between_ms, tier)
            upstream.speed.observe_token_interval(between_ms)
        attempt.measured_ms = now_ms
        attempt.measured_position = position
        return is_first_token

    def record_end(
        self, end: AttemptEnd, attempt: Attempt, upstream: Upstream, tier: Tier, now_ms: int
    ) -> None:
        """Record the end of an attempt."""
        prefill_tokens = self._computed_prefill_tokens(end, attempt, upstream, now_ms)
        self.prefill_tokens[attempt.request.tier] += prefill_tokens
        if end.result is not AttemptResult.COMPLETED:
            self.wasted_prefill_tokens[attempt.request.tier] += prefill_tokens
            return
        if not self._engine:
            upstream.speed.observe_token_interval(now_ms - attempt.started_ms)
            return
        position = max(end.position_tokens, attempt.position)
        mean_tokens = self._mean_output_tokens.get(attempt.request.route, position)
        self._mean_output_tokens[attempt.request.route] = mean_tokens + _OUTPUT_SMOOTHING * (
            position - mean_tokens
        )
        if end.first_token_ms is not None:
            upstream.speed.observe_prefill(end.prefill_tokens, end.first_token_ms)
        if attempt.measured_ms < 0:
            self._observe_without_progress(end, upstream, tier)

    def _computed_prefill_tokens(
        self, end: AttemptEnd, attempt: Attempt, upstream: Upstream, now_ms: int
    ) -> int:
        """Return the computed prompt tokens, estimated if the engine did not report them."""
        is_reported = end.result is AttemptResult.COMPLETED or end.prefill_tokens > 0
        if not self._engine or is_reported:
            return end.prefill_tokens
        if end.result in _NOT_RUN_RESULTS:
            return 0
        return min(
            attempt.prefill_tokens, attempt.computed_tokens(upstream.speed.prefill_ms, now_ms)
        )

    def _observe_without_progress(self, end: AttemptEnd, upstream: Upstream, tier: Tier) -> None:
        """Record the latencies of a completed attempt that had no progress reports."""
        if end.first_token_ms is not None:
            prefill_ms = end.prefill_tokens * upstream.speed.prefill_ms
            upstream.pressure.observe_first_token(end.first_token_ms, prefill_ms, tier)
        if end.between_tokens_ms is not None:
            upstream.pressure.observe_token_interval(end.between_tokens_ms, tier)
            upstream.speed.observe_token_interval(end.between_tokens_ms)
