"""Choice of the upstream on which a request is predicted to finish first."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from skylarkmoor_core.ids import UpstreamId
from skylarkmoor_policy.requests import LoadReport

__all__ = ["Candidate", "LoadEstimate", "choose_candidate", "predict_ms"]

# Cached prefixes count only on upstreams with at most this load, relative to the candidates'
# mean. Otherwise all requests with a popular prefix would go to one upstream while others are
# idle. At loads up to half of the capacity this does no harm, so prefixes always count there.
_MAX_AFFINITY_LOAD_PERCENT = 125
_MIN_AFFINITY_LOAD_BOUND = 0.5

# If an upstream sends no reports, changes older than this are merged into the base cost.
_MAX_CHANGE_AGE_MS = 10_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that is eligible to run a request.

    Attributes
    ----------
    used_cost, capacity : int
        Cost that runs or waits on the upstream, and cost that it can run at a time.
    cached_tokens : int
        Estimated number of the prompt's tokens that are cached on the upstream.
    prefill_ms, decode_ms : float
        Estimated time for a prompt token and for an output token.
    """

    upstream: UpstreamId
    used_cost: int
    capacity: int
    cached_tokens: int
    prefill_ms: float
    decode_ms: float


def predict_ms(candidate: Candidate, prompt_tokens: int, output_tokens: int, cost: int) -> float:
    """Return the predicted time in milliseconds that a request takes on an upstream.

    Notes
    -----
    Cost beyond the capacity queues ahead of the request and drains at a rate of one capacity
    per output time of the request. The output time grows with the load, because concurrent
    streams slow each other down.
    """
    load = (candidate.used_cost + cost) / max(1, candidate.capacity)
    output_ms = output_tokens * candidate.decode_ms
    queued_ms = max(0.0, load - 1) * output_ms
    prefill_ms = max(0, prompt_tokens - candidate.cached_tokens) * candidate.prefill_ms
    return queued_ms + prefill_ms + output_ms * (1 + load / 2)


def choose_candidate(
    candidates: Sequence[Candidate], prompt_tokens: int, output_tokens: int, cost: int
) -> tuple[Candidate, float]:
    """Return the candidate with the shortest predicted time, and that time.

    Parameters
    ----------
    candidates : sequence of Candidate
        Ties go to the first candidate, so callers shuffle them to spread ties.
    prompt_tokens, output_tokens, cost : int
        Prompt length, expected output length and cost of the request.

    Returns
    -------
    tuple of Candidate and float
        The candidate and the predicted time in milliseconds.

    Raises
    ------
    ValueError
        If there are no candidates.
    """
    if not candidates:
        raise ValueError("no candidate upstreams to choose from")
    loads = [each.used_cost / max(1, each.capacity) for each in candidates]
    mean = sum(loads) / len(loads)
    affinity_load_bound = max(_MIN_AFFINITY_LOAD_BOUND, mean * _MAX_AFFINITY_LOAD_PERCENT / 100)
    times = []
    for candidate, load in zip(candidates, loads, strict=True):
        ignored_tokens = candidate.cached_tokens if load > affinity_load_bound else 0
        times.append(predict_ms(candidate, prompt_tokens + ignored_tokens, output_tokens, cost))
    best_index = min(range(len(times)), key=times.__getitem__)
    return candidates[best_index], times[best_index]


class LoadEstimate:
    """An upstream's reported load, corrected for this daemon's attempts since the report.

    Notes
    -----
    The cost of attempts that this daemon has started since the report's time is added, and
    the cost of attempts that have ended since then is subtracted.
    """

    def __init__(self) -> None:
        self._as_of_ms = -1
        self._base_cost = 0
        self._changes: deque[tuple[int, int]] = deque()

    def set_report(self, report: LoadReport, used: int) -> None:
        """Set the reported cost in use; reports that are not newer than the last are ignored."""
        if report.as_of_ms <= self._as_of_ms:
            return
        self._as_of_ms = report.as_of_ms
        self._base_cost = used
        while self._changes and self._changes[0][0] <= self._as_of_ms:
            self._changes.popleft()

    def add_change(self, cost: int, now_ms: int) -> None:
        """Add the cost of an attempt that started, or the negated cost of one that ended."""
        self._changes.append((now_ms, cost))
        while self._changes[0][0] < now_ms - _MAX_CHANGE_AGE_MS:
            self._base_cost += self._changes.popleft()[1]

    def used_cost(self) -> int:
        """Return the estimated cost in use now."""
        return max(0, self._base_cost + sum(cost for _, cost in self._changes))
