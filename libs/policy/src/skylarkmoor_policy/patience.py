"""How long a request may wait, and when its caller should come back."""

from skylarkmoor_policy.routetable import Repeat, Route

__all__ = [
    "give_up_ms",
    "on_time_until_ms",
    "patience_ms",
    "retry_after_ms",
    "stall_ms",
]

# A caller stops waiting for the next event of a stream after the longest of these.
_PATIENCE_MS = 2_000
_PATIENCE_GOALS = 4
_PATIENCE_GAPS = 8
# Part of the patience that a request may wait for a slot. The rest is for its prompt, and a
# caller that is refused early has time to come back.
_WAIT_PART = 0.35
# Part of the time left that a request may wait for a slot; what has little left is told at once.
_DEADLINE_PART = 0.4
# Part of the goal by which a request has to start to be on time; the rest is for the prompts
# that the engine reads first.
_START_PART = 0.6
# Prompt tokens that an engine of middling speed reads in a millisecond.
_READ_TOKENS_PER_MS = 40
# A repeatable request goes to another upstream after this part of the patience without a sign
# of the first one, and not before a multiple of the predicted time.
_STALL_PART = 0.5
_STALL_FACTOR = 3
# Keeps callers from coming back within a round trip.
_MIN_RETRY_AFTER_MS = 100
# Callers honour a pause of up to a third of the time they have left.
_RETRY_AFTER_PART = 0.3


def patience_ms(route: Route) -> int:
    """Return how long a caller waits for the answer or for the next event of a stream."""
    if route.repeat is not Repeat.STREAM:
        return route.timeout_ms
    goals_ms = _PATIENCE_GOALS * route.goal_ms
    return max(_PATIENCE_MS, goals_ms, _PATIENCE_GAPS * route.max_gap_ms)


def on_time_until_ms(route: Route, arrived_ms: int, prompt_tokens: int) -> int:
    """Return when a request has to start at the latest to be on time.

    Notes
    -----
    Under overload, requests ordered by a later time than this start when the prompts ahead of
    them make them late.
    """
    read_ms = prompt_tokens / _READ_TOKENS_PER_MS
    return int(arrived_ms + route.goal_ms * _START_PART - read_ms)


def give_up_ms(
    route: Route, arrived_ms: int, now_ms: int, deadline_ms: int, *, has_run: bool
) -> int:
    """Return when a request that waits for a slot is given up.

    Parameters
    ----------
    has_run : bool
        Whether it has run before. It waits anew then, as its caller has seen progress.

    Notes
    -----
    Under overload a request that is held until its caller leaves is lost and has taken the
    caller's time to come back.
    """
    from_ms = now_ms if has_run else arrived_ms
    return min(
        from_ms + int(patience_ms(route) * _WAIT_PART),
        now_ms + int((deadline_ms - now_ms) * _DEADLINE_PART),
    )


def stall_ms(route: Route, predicted_ms: float) -> float:
    """Return how long an upstream may be silent before the request goes elsewhere."""
    return max(patience_ms(route) * _STALL_PART, _STALL_FACTOR * predicted_ms)


def retry_after_ms(wanted_ms: int | None, remaining_ms: int) -> int:
    """Return when a refused caller should come back.

    Parameters
    ----------
    wanted_ms : int or None
        When there may be a place; None for as late as the caller honours.
    remaining_ms : int
        Time that the caller has left.
    """
    longest_ms = int(max(0, remaining_ms) * _RETRY_AFTER_PART)
    if wanted_ms is None:
        return longest_ms
    return min(max(_MIN_RETRY_AFTER_MS, wanted_ms), longest_ms)
