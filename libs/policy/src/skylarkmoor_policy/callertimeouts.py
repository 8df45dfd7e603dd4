"""Timeouts derived from the patience of callers: queueing, stall detection and Retry-After."""

from skylarkmoor_policy.routetable import RetrySafety, Route

__all__ = [
    "latest_start_ms",
    "patience_ms",
    "pause_retry_after_ms",
    "queue_deadline_ms",
    "retry_after_ms",
    "return_after_ms",
    "stall_timeout_ms",
]

# A caller abandons a stream without a new event after the longest of this time and these
# multiples of the route's goal and maximum gap.
_MIN_PATIENCE_MS = 2_000
_PATIENCE_GOAL_FACTOR = 4
_PATIENCE_GAP_FACTOR = 8
# Fraction of the patience that a request may wait for a slot. The rest is left for its prefill,
# and a caller that is refused early has time to retry.
_WAIT_PATIENCE_FRACTION = 0.35
# Fraction of the remaining time that a request may wait for a slot, so that a request close to
# its deadline is refused early.
_DEADLINE_WAIT_FRACTION = 0.4
# Fraction of the goal within which a request has to start to be on time; the rest is for the
# prompts that the engine processes first.
_START_GOAL_FRACTION = 0.6
# Prefill speed of an engine of average speed.
_PREFILL_TOKENS_PER_MS = 40
# An idempotent request is retried at another upstream if the first one is silent for this
# fraction of the patience, but not before this multiple of the predicted time.
_STALL_PATIENCE_FRACTION = 0.5
_STALL_PREDICTION_FACTOR = 3
# Keeps callers from retrying within a round trip.
_MIN_RETRY_AFTER_MS = 100
# Callers honour a Retry-After of up to a third of their remaining time.
_RETRY_AFTER_FRACTION = 0.3
# Part of a Retry-After over which the callers that are refused together are spread.
_RETURN_SPREAD_FRACTION = 0.2
# Callers of a lower tier return this much later for each tier, so that those of a higher one find
# the first free slots.
_TIER_RETURN_STEP_MS = 50


def patience_ms(route: Route) -> int:
    """Return how long a caller waits for the answer, or for the next event of a stream."""
    if route.retry_safety is not RetrySafety.STREAM:
        return route.timeout_ms
    goals_ms = _PATIENCE_GOAL_FACTOR * route.goal_ms
    return max(_MIN_PATIENCE_MS, goals_ms, _PATIENCE_GAP_FACTOR * route.max_event_gap_ms)


def latest_start_ms(route: Route, arrived_ms: int, prompt_tokens: int) -> int:
    """Return the latest start at which a request is expected to meet the goal of its route.

    Notes
    -----
    The time is used to order requests under overload. With a later time, requests would start
    when the prompts ahead of them already make them late.
    """
    prefill_ms = prompt_tokens / _PREFILL_TOKENS_PER_MS
    return int(arrived_ms + route.goal_ms * _START_GOAL_FRACTION - prefill_ms)


def queue_deadline_ms(
    route: Route, arrived_ms: int, now_ms: int, deadline_ms: int, *, has_run: bool
) -> int:
    """Return when a request that waits for a slot is refused.

    Parameters
    ----------
    has_run : bool
        Whether it has run before. Its wait then restarts, because its caller has seen progress.

    Notes
    -----
    Under overload, a request that is held until its caller disconnects is lost, and its caller
    has no time left to retry.
    """
    wait_start_ms = now_ms if has_run else arrived_ms
    return min(
        wait_start_ms + int(patience_ms(route) * _WAIT_PATIENCE_FRACTION),
        now_ms + int((deadline_ms - now_ms) * _DEADLINE_WAIT_FRACTION),
    )


def stall_timeout_ms(route: Route, predicted_ms: float) -> float:
    """Return how long an upstream may be silent before the request is retried elsewhere."""
    return max(
        patience_ms(route) * _STALL_PATIENCE_FRACTION, _STALL_PREDICTION_FACTOR * predicted_ms
    )


def pause_retry_after_ms(ends_in_ms: int, remaining_ms: int, tier: int) -> int:
    """Return the Retry-After of a request that no upstream of its service wants yet.

    Parameters
    ----------
    ends_in_ms : int
        Time until the first upstream wants requests again.
    remaining_ms : int
        Remaining time of the caller, which bounds the result.
    tier : int
        Priority tier; callers of a higher tier (0 is the highest) return first.
    """
    returns_in_ms = max(_MIN_RETRY_AFTER_MS, ends_in_ms) + tier * _TIER_RETURN_STEP_MS
    return min(returns_in_ms, max(0, remaining_ms))


def retry_after_ms(available_in_ms: int | None, remaining_ms: int) -> int:
    """Return the Retry-After of a refused request in milliseconds.

    Parameters
    ----------
    available_in_ms : int or None
        Time until capacity may be available; None for the longest that the caller honours.
    remaining_ms : int
        Remaining time of the caller.
    """
    max_ms = int(max(0, remaining_ms) * _RETRY_AFTER_FRACTION)
    if available_in_ms is None:
        return max_ms
    return min(max(_MIN_RETRY_AFTER_MS, available_in_ms), max_ms)


def return_after_ms(available_in_ms: int, remaining_ms: int, spread: float) -> int:
    """Return the Retry-After of a request that was refused because of the requests ahead of it.

    Parameters
    ----------
    available_in_ms : int
        Time until a slot is expected to become free for the request.
    remaining_ms : int
        Remaining time of the caller, which bounds the result.
    spread : float
        Place of the caller among those that are refused together, from 0 to 1; the first returns
        when a slot is expected to be free for it.
    """
    first_fraction = 1 - _RETURN_SPREAD_FRACTION
    latest_ms = retry_after_ms(int(available_in_ms / first_fraction), remaining_ms)
    return int(latest_ms * (first_fraction + _RETURN_SPREAD_FRACTION * spread))
