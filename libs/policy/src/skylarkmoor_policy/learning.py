"""What a daemon learns from the attempts that it runs: speeds, latencies, answer lengths."""

from skylarkmoor_core.document import Tier
from skylarkmoor_core.ids import RouteName
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request
from skylarkmoor_policy.upstreams import Attempt, Upstream

__all__ = ["Learner"]

_OUTPUT_WEIGHT = 0.1
# Shorter spans measure the network's batching and not the engine.
_MIN_SPAN_MS = 200
_NEVER_RAN = (AttemptResult.NOT_STARTED, AttemptResult.LEAVING)


class Learner:
    """Learns from progress and ends of attempts, and counts their prefill.

    Parameters
    ----------
    engine : bool
        Whether the upstreams are model engines.
    tiers : int
        Number of tiers.

    Attributes
    ----------
    prefill_tokens, wasted_prefill_tokens : list of int
        Prompt tokens computed by tier, and those of attempts that did not complete.
    """

    def __init__(self, engine: bool, tiers: int) -> None:
        self._engine = engine
        self._outputs: dict[RouteName, float] = {}
        self.prefill_tokens = [0] * tiers
        self.wasted_prefill_tokens = [0] * tiers

    def add_tiers(self, more: int) -> None:
        """Add tiers below the present ones."""
        self.prefill_tokens += [0] * more
        self.wasted_prefill_tokens += [0] * more

    def knows_output(self, route: RouteName) -> bool:
        """Return whether the length of a route's answers has been learnt."""
        return not self._engine or route in self._outputs

    def expected_output(self, request: Request) -> int:
        """Return the expected tokens of an answer, half of its bound before any was seen."""
        if not self._engine:
            return 1
        expected = self._outputs.get(request.route, request.max_output_tokens / 2)
        return max(1, min(request.max_output_tokens, round(expected)))

    def progress(
        self, attempt: Attempt, upstream: Upstream, position: int, tier: Tier, now_ms: int
    ) -> bool:
        """Learn from the position of an attempt and return whether it is its first token."""
        first = attempt.measured_ms < 0
        if first:
            prefill_ms = attempt.prefill_tokens * upstream.speed.prefill_ms
            upstream.pressure.observe_first(now_ms - attempt.started_ms, prefill_ms, tier)
        else:
            span_ms = now_ms - attempt.measured_ms
            if span_ms < _MIN_SPAN_MS:
                return False
            between_ms = span_ms / (position - attempt.measured_position)
            upstream.pressure.observe_between(between_ms, tier)
            upstream.speed.observe_between(between_ms)
        attempt.measured_ms = now_ms
        attempt.measured_position = position
        return first

    def ended(
        self, end: AttemptEnd, attempt: Attempt, upstream: Upstream, tier: Tier, now_ms: int
    ) -> None:
        """Learn from the end of an attempt."""
        prefill_tokens = self._computed_prefill(end, attempt, upstream, now_ms)
        self.prefill_tokens[attempt.request.tier] += prefill_tokens
        if end.result is not AttemptResult.COMPLETED:
            self.wasted_prefill_tokens[attempt.request.tier] += prefill_tokens
            return
        if not self._engine:
            upstream.speed.observe_between(now_ms - attempt.started_ms)
            return
        position = max(end.position_tokens, attempt.position)
        mean = self._outputs.get(attempt.request.route, position)
        self._outputs[attempt.request.route] = mean + _OUTPUT_WEIGHT * (position - mean)
        if end.first_token_ms is not None:
            upstream.speed.observe_prefill(end.prefill_tokens, end.first_token_ms)
        if attempt.measured_ms < 0:
            self._measure_whole(end, upstream, tier)

    def _computed_prefill(
        self, end: AttemptEnd, attempt: Attempt, upstream: Upstream, now_ms: int
    ) -> int:
        """Return the prefill of an attempt, estimated if the engine did not report it."""
        reported = end.result is AttemptResult.COMPLETED or end.prefill_tokens > 0
        if not self._engine or reported:
            return end.prefill_tokens
        if end.result in _NEVER_RAN:
            return 0
        return min(attempt.prefill_tokens, attempt.computed(upstream.speed.prefill_ms, now_ms))

    def _measure_whole(self, end: AttemptEnd, upstream: Upstream, tier: Tier) -> None:
        """Learn from an answer that came without progress reports."""
        if end.first_token_ms is not None:
            prefill_ms = end.prefill_tokens * upstream.speed.prefill_ms
            upstream.pressure.observe_first(end.first_token_ms, prefill_ms, tier)
        if end.between_tokens_ms is not None:
            upstream.pressure.observe_between(end.between_tokens_ms, tier)
            upstream.speed.observe_between(end.between_tokens_ms)
