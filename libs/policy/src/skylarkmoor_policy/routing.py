"""Where a request would finish first."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from skylarkmoor_core.ids import UpstreamId
from skylarkmoor_policy.requests import LoadReport

__all__ = ["Candidate", "LoadEstimate", "choose", "predict_ms"]

# Prefix affinity applies only up to this load, relative to the candidates' mean. Beyond it a
# popular prefix would gather its requests on one upstream while others are idle. Below half
# of the capacity there is no such harm.
_AFFINITY_LOAD_PERCENT = 125
_AFFINITY_FREE_LOAD = 0.5

# Entries this old are taken for settled if the upstream sends no reports.
_MAX_AGE_MS = 10_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may run a request.

    Attributes
    ----------
    used, capacity : int
        Cost that runs or waits there, and cost that it can run.
    cached_tokens : int
        Tokens of the prompt that are probably cached there.
    prefill_ms, decode_ms : float
        Learnt time for a prompt token and for an output token.
    """

    upstream: UpstreamId
    used: int
    capacity: int
    cached_tokens: int
    prefill_ms: float
    decode_ms: float


def predict_ms(candidate: Candidate, prompt_tokens: int, output_tokens: int, cost: int) -> float:
    """Return the time a request would take on an upstream.

    Notes
    -----
    Cost beyond the capacity waits ahead of the request; it drains at the rate of one
    capacity in the time of the request's output. Streams that share an engine slow each
    other down, which the load factor stands for.
    """
    load = (candidate.used + cost) / max(1, candidate.capacity)
    output_ms = output_tokens * candidate.decode_ms
    queued_ms = max(0.0, load - 1) * output_ms
    prefill_ms = max(0, prompt_tokens - candidate.cached_tokens) * candidate.prefill_ms
    return queued_ms + prefill_ms + output_ms * (1 + load / 2)


def choose(
    candidates: Sequence[Candidate], prompt_tokens: int, output_tokens: int, cost: int
) -> tuple[Candidate, float]:
    """Return the candidate with the least predicted time, and that time.

    Parameters
    ----------
    candidates : sequence of Candidate
        The first of equals is chosen, so a caller that shuffles them spreads ties.
    prompt_tokens, output_tokens, cost : int
        Of the request; the output is the expected one.

    Returns
    -------
    tuple of Candidate and float
        The candidate and the time in milliseconds.

    Raises
    ------
    ValueError
        If there are no candidates.
    """
    if not candidates:
        raise ValueError("there are no candidates")
    loads = [each.used / max(1, each.capacity) for each in candidates]
    mean = sum(loads) / len(loads)
    bound = max(_AFFINITY_FREE_LOAD, mean * _AFFINITY_LOAD_PERCENT / 100)
    times = []
    for candidate, load in zip(candidates, loads, strict=True):
        lost = candidate.cached_tokens if load > bound else 0
        times.append(predict_ms(candidate, prompt_tokens + lost, output_tokens, cost))
    best = min(range(len(times)), key=times.__getitem__)
    return candidates[best], times[best]


class LoadEstimate:
    """An upstream's reported load, corrected for what happened since the report.

    Notes
    -----
    Cost that this daemon has sent since the time that the report describes is added, and
    cost of its attempts that have ended since is taken off.
    """

    def __init__(self) -> None:
        self._as_of_ms = -1
        self._base = 0
        self._changes: deque[tuple[int, int]] = deque()

    def report(self, report: LoadReport, used: int) -> None:
        """Take a report in which `used` is the cost in use; an older one is ignored."""
        if report.as_of_ms <= self._as_of_ms:
            return
        self._as_of_ms = report.as_of_ms
        self._base = used
        while self._changes and self._changes[0][0] <= self._as_of_ms:
            self._changes.popleft()

    def change(self, cost: int, now_ms: int) -> None:
        """Note an attempt that was sent, or with a negative cost one that ended."""
        self._changes.append((now_ms, cost))
        while self._changes[0][0] < now_ms - _MAX_AGE_MS:
            self._base += self._changes.popleft()[1]

    def used(self) -> int:
        """Return the cost that is probably in use now."""
        return max(0, self._base + sum(cost for _, cost in self._changes))
