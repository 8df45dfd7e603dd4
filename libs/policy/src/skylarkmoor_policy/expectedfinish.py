"""Costs of running a request at an upstream, by its expected finish there."""

from collections.abc import Sequence
from dataclasses import dataclass

from skylarkmoor_policy.trackedupstream import TrackedUpstream

__all__ = ["RequestShape", "costs_ms", "worth_queueing"]

# Penalty for a fault rate of 1; lower rates are charged in proportion.
_FAULT_PENALTY_MS = 3_000
# Engines interleave chunked prefill with decode steps. At most this many prompt tokens are
# processed between two events of a stream, so a longer backlog adds no further delay per event.
_MAX_INTERLEAVED_PREFILL_TOKENS = 12_288
# Penalty for stalling the streams that run beside a long prompt, as a delay of that prompt.
_STALL_PENALTY_MS = 400.0
# Fraction of the maximum gap that prefill may use; the decode steps in between take the rest.
_MAX_GAP_FRACTION_FOR_PREFILL = 0.8
# Missing the deadline of the answer costs more than any wait.
_DEADLINE_MISS_PENALTY_MS = 5_000.0
# A late first event has a tenth of the value, so the goal outweighs what else speaks for an
# upstream, but not its faults.
_LATE_PENALTY_MS = 400.0
# Prompt speed that the latest start of a request assumes.
_USUAL_TOKENS_PER_MS = 40
# Fraction of the holding time by which a full upstream slows down one more request.
_LOAD_WEIGHT = 0.2
# Exponent with which the last slots of a fast upstream become dear: nothing is charged for the
# first half of them, and two fifths for the last but one of nine.
_SCARCITY_EXPONENT = 4
# Predictions that differ by no more than this are treated as equal, because loads are estimates.
_PREDICTION_TIE_MS = 5.0


@dataclass(frozen=True, slots=True)
class RequestShape:
    """What a request demands of an upstream.

    Attributes
    ----------
    events : float
        Expected number of stream events; 0 if it is not known.
    max_event_gap_ms : int
        Maximum gap between events that streams of the route tolerate; 0 for no limit.
    remaining_ms : int or None
        Time until the deadline of the answer; None if it has none.
    slack_ms : int or None
        Time until it has to start at an upstream of the usual speed to meet its goal.
    """

    prompt_tokens: int
    events: float = 0.0
    max_event_gap_ms: int = 0
    remaining_ms: int | None = None
    slack_ms: int | None = None


def costs_ms(candidates: Sequence[TrackedUpstream], shape: RequestShape) -> list[float]:
    """Return the cost of a request at each upstream.

    Notes
    -----
    The duration of the stream counts by the deadline and in what the last slots are worth. Added to
    the cost of each request, it sent requests to slow engines whose few short streams had hidden
    their speed: of 300 requests a second, 2.0% were late instead of 0.5%.

    The last free slots of a fast upstream cost what a typical request loses if it has to go to
    another one. A small request, which loses less, then leaves them to a large one.

    An idle upstream that has not been measured costs no more than the best of the others, so that
    it is tried: the prior might keep it from ever being used beside faster ones. It is measured
    after one request, and is tried again when that request has lost its weight.
    """
    typical_ms = sum(each.typical_cost_ms for each in candidates) / max(1, len(candidates))
    costs = [_cost_ms(each, shape, typical_ms) for each in candidates]
    if all(each.is_measured for each in candidates):
        return costs
    untried = {i for i, each in enumerate(candidates) if _is_untried(each)}
    if untried and len(untried) < len(costs):
        best_ms = min(cost for i, cost in enumerate(costs) if i not in untried)
        for i in untried:
            costs[i] = min(costs[i], best_ms + candidates[i].fault_rate * _FAULT_PENALTY_MS)
    return costs


def worth_queueing(
    able: Sequence[TrackedUpstream],
    others: Sequence[TrackedUpstream],
    prompt_tokens: int,
    waiting_ahead: int = 0,
) -> list[TrackedUpstream]:
    """Return the upstreams that are worth a place in their own queue, if all slots are taken.

    Parameters
    ----------
    able : sequence of TrackedUpstream
        Upstreams that can take the request, in a free slot or in their queue.
    others : sequence of TrackedUpstream
        Upstreams that can't take it now, but soon.
    waiting_ahead : int
        Requests that wait for one of the others, ahead of this one.

    Notes
    -----
    A request in the queue of a slow engine cannot move when a slot of a fast one becomes free,
    which is often sooner.
    """
    queueing = [each for each in able if each.running() >= each.slots]
    if not queueing:
        return list(able)
    predicted_ms = [each.predicted_first_token_ms(prompt_tokens) for each in queueing]
    best_ms = min(predicted_ms)
    if others:
        soonest_ms = min(
            each.predicted_first_token_ms(prompt_tokens, waiting_ahead) for each in others
        )
        best_ms = min(best_ms, soonest_ms)
    slow = {
        each.upstream
        for each, start_ms in zip(queueing, predicted_ms, strict=True)
        if start_ms > best_ms + _PREDICTION_TIE_MS
    }
    return [each for each in able if each.upstream not in slow]


def _cost_ms(upstream: TrackedUpstream, shape: RequestShape, typical_ms: float) -> float:
    start_ms = upstream.predicted_first_token_ms(shape.prompt_tokens)
    stream_ms = shape.events * upstream.ms_per_event
    cost_ms = start_ms + upstream.fault_rate * _FAULT_PENALTY_MS
    if shape.max_event_gap_ms and _exceeds_gap(upstream, shape):
        cost_ms += _STALL_PENALTY_MS
    if (
        shape.remaining_ms is not None
        and shape.events
        and start_ms + stream_ms > (shape.remaining_ms)
    ):
        cost_ms += _DEADLINE_MISS_PENALTY_MS
    if shape.slack_ms is not None:
        usual_ms = shape.prompt_tokens / _USUAL_TOKENS_PER_MS
        if start_ms - usual_ms > shape.slack_ms:
            cost_ms += _LATE_PENALTY_MS
    running = upstream.running()
    if not running:
        return cost_ms
    # Concurrent requests slow down decoding, and more so on a slow engine.
    used = running / max(1, upstream.usable_slots)
    cost_ms += upstream.slot_hold_ms * _LOAD_WEIGHT * used
    saved_ms = typical_ms - upstream.typical_cost_ms
    if saved_ms > 0:
        cost_ms += saved_ms * min(1.0, used) ** _SCARCITY_EXPONENT
    return cost_ms


def _exceeds_gap(upstream: TrackedUpstream, shape: RequestShape) -> bool:
    """Return whether events of the request, or of those beside it, are likely to pause too long."""
    max_gap_ms = shape.max_event_gap_ms * _MAX_GAP_FRACTION_FOR_PREFILL
    if upstream.ms_per_event > max_gap_ms:
        return True
    pending_tokens = min(
        _MAX_INTERLEAVED_PREFILL_TOKENS, upstream.prefill_tokens() + shape.prompt_tokens
    )
    return upstream.running() > 0 and pending_tokens / upstream.tokens_per_ms > max_gap_ms


def _is_untried(upstream: TrackedUpstream) -> bool:
    return not (upstream.is_measured or upstream.running() or upstream.prefill_tokens())
