"""Reference scheduling policies: three baselines and an upper bound."""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from skylarkmoor_core.ids import AttemptId, FailureDomain, HostId, RequestId, UpstreamId, VersionId
from skylarkmoor_core.messages import Demand, Grant
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_measure.engines import FakeEngine
from skylarkmoor_policy.actions import Action, Dispatch, Preempt, Refuse
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, LoadReport, Request, UpstreamInfo

__all__ = ["Decider", "LeastReported", "RandomTwo", "RoundRobin", "TrueLengthQueue"]

_MAX_ATTEMPTS = 3
# Mean fraction of a step's prefill chunk that the workload of this package uses.
_MEAN_CHUNK_UTILIZATION = 0.15
# A waiting request preempts lower tiers when its slack before the latest start is below this.
_PREEMPTION_SLACK_MS = 3_000


class Decider(Protocol):
    """Scheduling interface that a session drives: the real scheduler or a reference policy."""

    def submit(self, request: Request, now_ms: int) -> list[Action]:
        """Submit a request for scheduling."""

    def cancel(self, request: RequestId, now_ms: int) -> list[Action]:
        """Cancel a request whose caller has disconnected."""

    def record_attempt_progress(
        self, attempt: AttemptId, position_tokens: int, now_ms: int
    ) -> None:
        """Record the output position of a running attempt."""

    def record_attempt_end(self, end: AttemptEnd, now_ms: int) -> list[Action]:
        """Record the end of an attempt and return the resulting actions."""

    def receive(self, sender: HostId, message: Demand | Grant, now_ms: int) -> list[Action]:
        """Handle a message from a peer daemon."""

    def set_upstreams(self, infos: Sequence[UpstreamInfo]) -> None:
        """Replace the upstreams from the host list."""

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Replace the set of live daemons and their failure domains."""

    def record_load_report(self, report: LoadReport) -> None:
        """Record an upstream's load report."""

    def record_cache_event(
        self, upstream: UpstreamId, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Record blocks added to and removed from an upstream's prefix cache."""

    def tick(self, now_ms: int) -> list[Action]:
        """Advance time and return the actions that are due."""


class _ImmediateDispatch:
    """Base of the baselines: immediate dispatch, immediate retries, no tiers or queue."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._upstreams: list[UpstreamId] = []
        self._reports: dict[UpstreamId, LoadReport] = {}
        self._requests: dict[RequestId, Request] = {}
        self._attempts: dict[RequestId, int] = {}
        self._active_dispatches: dict[RequestId, Dispatch] = {}

    def submit(self, request: Request, now_ms: int) -> list[Action]:
        """Dispatch the request at once."""
        self._requests[request.request] = request
        self._attempts[request.request] = 0
        return self._dispatch(request.request)

    def cancel(self, request: RequestId, now_ms: int) -> list[Action]:
        """Cancel the running attempt."""
        self._requests.pop(request, None)
        active_dispatch = self._active_dispatches.pop(request, None)
        return (
            [Preempt(active_dispatch.attempt, active_dispatch.upstream)] if active_dispatch else []
        )

    def record_attempt_progress(
        self, attempt: AttemptId, position_tokens: int, now_ms: int
    ) -> None:
        """Ignore progress."""

    def record_attempt_end(self, end: AttemptEnd, now_ms: int) -> list[Action]:
        """Retry a failed attempt on a newly chosen upstream, up to `_MAX_ATTEMPTS`."""
        self._active_dispatches.pop(end.request, None)
        if end.result is AttemptResult.COMPLETED or end.request not in self._requests:
            self._requests.pop(end.request, None)
            return []
        if self._attempts[end.request] >= _MAX_ATTEMPTS:
            del self._requests[end.request]
            return [Refuse(end.request, ErrorCode.UPSTREAM_FAILED, "retries exhausted")]
        return self._dispatch(end.request)

    def receive(self, sender: HostId, message: Demand | Grant, now_ms: int) -> list[Action]:
        """Ignore messages from peers."""
        return []

    def set_upstreams(self, infos: Sequence[UpstreamInfo]) -> None:
        """Replace the upstreams, without those that are leaving."""
        self._upstreams = [info.upstream for info in infos if not info.leaving]

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Ignore membership changes."""

    def record_load_report(self, report: LoadReport) -> None:
        """Keep the upstream's latest load report."""
        self._reports[report.upstream] = report

    def record_cache_event(
        self, upstream: UpstreamId, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Ignore cache events."""

    def tick(self, now_ms: int) -> list[Action]:
        """Return no actions: nothing is queued."""
        return []

    def _dispatch(self, request: RequestId) -> list[Action]:
        self._attempts[request] += 1
        attempt = AttemptId(f"{request}.{self._attempts[request]}")
        dispatch = Dispatch(request, attempt, self._choose_upstream(), VersionId("v1"))
        self._active_dispatches[request] = dispatch
        return [dispatch]

    def _reported_load(self, upstream: UpstreamId) -> int:
        report = self._reports.get(upstream)
        return report.running + report.waiting if report else 0

    def _choose_upstream(self) -> UpstreamId:
        raise NotImplementedError


class RoundRobin(_ImmediateDispatch):
    """Round robin over the upstreams."""

    _next = 0

    def _choose_upstream(self) -> UpstreamId:
        self._next += 1
        return self._upstreams[self._next % len(self._upstreams)]


class LeastReported(_ImmediateDispatch):
    """Choose the upstream with the least reported load."""

    def _choose_upstream(self) -> UpstreamId:
        return min(self._upstreams, key=self._reported_load)


class RandomTwo(_ImmediateDispatch):
    """Choose the less loaded of two random upstreams (power of two choices)."""

    def _choose_upstream(self) -> UpstreamId:
        return min(self._rng.sample(self._upstreams, 2), key=self._reported_load)


class TrueLengthQueue:
    """Central queue with exact knowledge of output lengths and engine states.

    Parameters
    ----------
    engines : sequence of FakeEngine
        The engines, whose state is read without delay.
    output_tokens : callable
        Returns the true output length of a request.
    between_tokens_ms : float
        Upper limit of an engine's step time.
    fifo : bool
        Start requests in arrival order, so that a capacity run completes the mix of the arrivals.

    Notes
    -----
    Requests start in order of tier and then of latest start time, only while the engine's step
    stays within `between_tokens_ms` and only if they can complete by their deadline. A request
    for which no engine has capacity preempts a lower-tier attempt shortly before its latest
    start. The policy has perfect information, but is not proven to be optimal.
    """

    def __init__(
        self,
        engines: Sequence[FakeEngine],
        output_tokens: Callable[[RequestId], int],
        between_tokens_ms: float = 65.0,
        fifo: bool = False,
    ) -> None:
        self._engines = engines
        self._fifo = fifo
        self._output_tokens = output_tokens
        self._between_tokens_ms = between_tokens_ms
        self._waiting: list[Request] = []
        self._active_dispatches: dict[RequestId, tuple[Request, Dispatch]] = {}
        self._attempts: dict[RequestId, int] = {}
        self._preempting: set[RequestId] = set()

    def submit(self, request: Request, now_ms: int) -> list[Action]:
        """Queue the request and start the waiting requests that fit."""
        self._waiting.append(request)
        return self._start_waiting(now_ms)

    def cancel(self, request: RequestId, now_ms: int) -> list[Action]:
        """Remove a request from the queue, or cancel its attempt."""
        self._waiting = [r for r in self._waiting if r.request != request]
        active_dispatch = self._active_dispatches.pop(request, None)
        return (
            [Preempt(active_dispatch[1].attempt, active_dispatch[1].upstream)]
            if active_dispatch
            else []
        )

    def record_attempt_progress(
        self, attempt: AttemptId, position_tokens: int, now_ms: int
    ) -> None:
        """Ignore progress."""

    def record_attempt_end(self, end: AttemptEnd, now_ms: int) -> list[Action]:
        """Requeue a request whose attempt did not complete, and start those that fit."""
        active_dispatch = self._active_dispatches.pop(end.request, None)
        self._preempting.discard(end.request)
        if active_dispatch and end.result is not AttemptResult.COMPLETED:
            self._waiting.append(active_dispatch[0])
        return self._start_waiting(now_ms)

    def receive(self, sender: HostId, message: Demand | Grant, now_ms: int) -> list[Action]:
        """Ignore messages from peers."""
        return []

    def set_upstreams(self, infos: Sequence[UpstreamInfo]) -> None:
        """Ignore the host list: the engines are given."""

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Ignore membership changes."""

    def record_load_report(self, report: LoadReport) -> None:
        """Ignore load reports: engine states are read directly."""

    def record_cache_event(
        self, upstream: UpstreamId, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Ignore cache events."""

    def tick(self, now_ms: int) -> list[Action]:
        """Start the waiting requests that fit."""
        return self._start_waiting(now_ms)

    def _start_waiting(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        still_waiting: list[Request] = []
        loads = {
            e.upstream: [len(e.running) + len(e.waiting), e.kv_used_tokens] for e in self._engines
        }
        self._waiting.sort(key=self._priority_key)
        for i, request in enumerate(self._waiting):
            engine = self._find_engine(loads, request)
            if engine is None:
                still_waiting.extend(self._waiting[i:])
                actions += self._preempt(still_waiting, now_ms)
                break
            if now_ms + self._estimate_run_ms(engine, request) > request.deadline_ms:
                actions.append(
                    Refuse(
                        request.request,
                        ErrorCode.DEADLINE_PASSED,
                        "cannot complete by its deadline",
                    )
                )
                continue
            self._attempts[request.request] = self._attempts.get(request.request, 0) + 1
            attempt = AttemptId(f"{request.request}.{self._attempts[request.request]}")
            dispatch = Dispatch(request.request, attempt, engine.upstream, VersionId("v1"))
            self._active_dispatches[request.request] = (request, dispatch)
            loads[engine.upstream][0] += 1
            loads[engine.upstream][1] += request.prompt_tokens + self._output_tokens(
                request.request
            )
            actions.append(dispatch)
        self._waiting = still_waiting
        return actions

    def _preempt(self, waiting: Sequence[Request], now_ms: int) -> list[Action]:
        """Preempt a lower-tier attempt for each request that would miss its deadline."""
        urgent = [r for r in waiting if self._priority_key(r)[1] < now_ms + _PREEMPTION_SLACK_MS]
        running = [
            active_dispatch
            for name, active_dispatch in self._active_dispatches.items()
            if name not in self._preempting
        ]
        victims = sorted(enumerate(running), key=lambda row: (-row[1][0].tier, -row[0]))
        actions: list[Action] = []
        for request, (_, (victim, dispatch)) in zip(
            urgent[len(self._preempting) :], victims, strict=False
        ):
            if victim.tier <= request.tier:
                break
            self._preempting.add(victim.request)
            actions.append(Preempt(dispatch.attempt, dispatch.upstream))
        return actions

    def _priority_key(self, request: Request) -> tuple[int, float]:
        if self._fifo:
            return (0, request.arrived_ms)
        run_ms = self._output_tokens(request.request) * self._between_tokens_ms
        return (request.tier, request.deadline_ms - run_ms)

    def _find_engine(
        self, loads: dict[UpstreamId, list[int]], request: Request
    ) -> FakeEngine | None:
        """Return the engine with the shortest step among those with capacity, or None."""
        required_tokens = request.prompt_tokens + self._output_tokens(request.request)
        candidates = []
        for engine in self._engines:
            batch, kv_tokens = loads[engine.upstream]
            step_ms = engine.speed.base_ms + _MEAN_CHUNK_UTILIZATION * engine.speed.max_chunk_ms
            step_ms += engine.speed.per_sequence_ms * (batch + 1)
            fits = (
                kv_tokens + required_tokens <= engine.speed.kv_capacity_tokens and not engine.down
            )
            if fits and step_ms <= self._between_tokens_ms:
                candidates.append((step_ms, engine.upstream, engine))
        return min(candidates)[2] if candidates else None

    def _estimate_run_ms(self, engine: FakeEngine, request: Request) -> float:
        prefill_ms = 1_000 * request.prompt_tokens / engine.speed.prefill_tokens_per_s
        return prefill_ms + self._between_tokens_ms * self._output_tokens(request.request)
