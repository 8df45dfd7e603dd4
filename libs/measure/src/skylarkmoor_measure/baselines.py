"""Policies to compare with: three baselines and an upper bound."""

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
# Part of a step's prefill chunk that is in use on average in the workload of this package.
_MEAN_CHUNK = 0.15
# A waiting request with less time than this until its last start preempts lower tiers.
_LAST_START_MS = 3_000


class Decider(Protocol):
    """What the run drives: the product's scheduler or a policy to compare with."""

    def submit(self, request: Request, now_ms: int) -> list[Action]:
        """Take a request."""

    def cancel(self, request: RequestId, now_ms: int) -> list[Action]:
        """Give a request up because its caller is gone."""

    def record_attempt_progress(
        self, attempt: AttemptId, position_tokens: int, now_ms: int
    ) -> None:
        """Note how far an attempt has come."""

    def record_attempt_end(self, end: AttemptEnd, now_ms: int) -> list[Action]:
        """Take the end of an attempt."""

    def receive(self, sender: HostId, message: Demand | Grant, now_ms: int) -> list[Action]:
        """Take a message from a peer."""

    def set_upstreams(self, infos: Sequence[UpstreamInfo]) -> None:
        """Take the host list."""

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Take the live daemons."""

    def record_load_report(self, report: LoadReport) -> None:
        """Take a load report."""

    def record_cache_event(
        self, upstream: UpstreamId, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Take a change of an upstream's prefix cache."""

    def tick(self, now_ms: int) -> list[Action]:
        """Let time pass."""


class _Immediate:
    """Base of the baselines: dispatch at once, retry plainly, know no tiers."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._upstreams: list[UpstreamId] = []
        self._reports: dict[UpstreamId, LoadReport] = {}
        self._requests: dict[RequestId, Request] = {}
        self._attempts: dict[RequestId, int] = {}
        self._placed: dict[RequestId, Dispatch] = {}

    def submit(self, request: Request, now_ms: int) -> list[Action]:
        """Dispatch the request at once."""
        self._requests[request.request] = request
        self._attempts[request.request] = 0
        return self._dispatch(request.request)

    def cancel(self, request: RequestId, now_ms: int) -> list[Action]:
        """Cancel the running attempt."""
        self._requests.pop(request, None)
        placed = self._placed.pop(request, None)
        return [Preempt(placed.attempt, placed.upstream)] if placed else []

    def record_attempt_progress(
        self, attempt: AttemptId, position_tokens: int, now_ms: int
    ) -> None:
        """Ignore progress."""

    def record_attempt_end(self, end: AttemptEnd, now_ms: int) -> list[Action]:
        """Retry a failed attempt on the next choice."""
        self._placed.pop(end.request, None)
        if end.result is AttemptResult.COMPLETED or end.request not in self._requests:
            self._requests.pop(end.request, None)
            return []
        if self._attempts[end.request] >= _MAX_ATTEMPTS:
            del self._requests[end.request]
            return [Refuse(end.request, ErrorCode.UPSTREAM_FAILED, "retries are used up")]
        return self._dispatch(end.request)

    def receive(self, sender: HostId, message: Demand | Grant, now_ms: int) -> list[Action]:
        """Ignore messages."""
        return []

    def set_upstreams(self, infos: Sequence[UpstreamInfo]) -> None:
        """Take the host list."""
        self._upstreams = [info.upstream for info in infos if not info.leaving]

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Ignore the other daemons."""

    def record_load_report(self, report: LoadReport) -> None:
        """Keep the newest load report."""
        self._reports[report.upstream] = report

    def record_cache_event(
        self, upstream: UpstreamId, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Ignore prefix caches."""

    def tick(self, now_ms: int) -> list[Action]:
        """Do nothing."""
        return []

    def _dispatch(self, request: RequestId) -> list[Action]:
        self._attempts[request] += 1
        attempt = AttemptId(f"{request}.{self._attempts[request]}")
        dispatch = Dispatch(request, attempt, self._choose(), VersionId("v1"))
        self._placed[request] = dispatch
        return [dispatch]

    def _load(self, upstream: UpstreamId) -> int:
        report = self._reports.get(upstream)
        return report.running + report.waiting if report else 0

    def _choose(self) -> UpstreamId:
        raise NotImplementedError


class RoundRobin(_Immediate):
    """Round robin with plain retries and no tiers."""

    _next = 0

    def _choose(self) -> UpstreamId:
        self._next += 1
        return self._upstreams[self._next % len(self._upstreams)]


class LeastReported(_Immediate):
    """The upstream with the least reported load."""

    def _choose(self) -> UpstreamId:
        return min(self._upstreams, key=self._load)


class RandomTwo(_Immediate):
    """The less loaded of two upstreams drawn at random."""

    def _choose(self) -> UpstreamId:
        return min(self._rng.sample(self._upstreams, 2), key=self._load)


class TrueLengthQueue:
    """One queue for the whole fleet that knows true lengths and true engine states.

    Parameters
    ----------
    engines : sequence of FakeEngine
        The engines themselves, seen without lag.
    output_tokens : callable
        Gives the true output length of a request.
    between_tokens_ms : float
        Longest step that an engine may take.
    first_come : bool
        Start requests in order of arrival, to measure capacity with an unchanged mix.

    Notes
    -----
    Requests start in order of tier and then of remaining slack, only while the engine's step
    stays within `between_tokens_ms` and only if they can end by their deadline. A request without
    room preempts lower-tier attempts shortly before it could no longer end in time. This is an
    upper bound in knowledge and not a proof of the optimum.
    """

    def __init__(
        self,
        engines: Sequence[FakeEngine],
        output_tokens: Callable[[RequestId], int],
        between_tokens_ms: float = 65.0,
        first_come: bool = False,
    ) -> None:
        self._engines = engines
        self._first_come = first_come
        self._output_tokens = output_tokens
        self._between_tokens_ms = between_tokens_ms
        self._waiting: list[Request] = []
        self._placed: dict[RequestId, tuple[Request, Dispatch]] = {}
        self._attempts: dict[RequestId, int] = {}
        self._stopping: set[RequestId] = set()

    def submit(self, request: Request, now_ms: int) -> list[Action]:
        """Queue the request and start what fits."""
        self._waiting.append(request)
        return self._start(now_ms)

    def cancel(self, request: RequestId, now_ms: int) -> list[Action]:
        """Forget a request, or cancel its attempt."""
        self._waiting = [r for r in self._waiting if r.request != request]
        placed = self._placed.pop(request, None)
        return [Preempt(placed[1].attempt, placed[1].upstream)] if placed else []

    def record_attempt_progress(
        self, attempt: AttemptId, position_tokens: int, now_ms: int
    ) -> None:
        """Ignore progress."""

    def record_attempt_end(self, end: AttemptEnd, now_ms: int) -> list[Action]:
        """Queue a lost attempt again and start what fits."""
        placed = self._placed.pop(end.request, None)
        self._stopping.discard(end.request)
        if placed and end.result is not AttemptResult.COMPLETED:
            self._waiting.append(placed[0])
        return self._start(now_ms)

    def receive(self, sender: HostId, message: Demand | Grant, now_ms: int) -> list[Action]:
        """Ignore messages."""
        return []

    def set_upstreams(self, infos: Sequence[UpstreamInfo]) -> None:
        """Ignore the host list; the engines are known."""

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Ignore the daemons."""

    def record_load_report(self, report: LoadReport) -> None:
        """Ignore reports."""

    def record_cache_event(
        self, upstream: UpstreamId, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Ignore cache events."""

    def tick(self, now_ms: int) -> list[Action]:
        """Start what fits."""
        return self._start(now_ms)

    def _start(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        left: list[Request] = []
        loads = {
            e.upstream: [len(e.running) + len(e.waiting), e.kv_used_tokens] for e in self._engines
        }
        self._waiting.sort(key=self._rank)
        for i, request in enumerate(self._waiting):
            engine = self._best(loads, request)
            if engine is None:
                left.extend(self._waiting[i:])
                actions += self._preempt(left, now_ms)
                break
            if now_ms + self._run_ms(engine, request) > request.deadline_ms:
                actions.append(
                    Refuse(request.request, ErrorCode.DEADLINE_PASSED, "cannot end in time")
                )
                continue
            self._attempts[request.request] = self._attempts.get(request.request, 0) + 1
            attempt = AttemptId(f"{request.request}.{self._attempts[request.request]}")
            dispatch = Dispatch(request.request, attempt, engine.upstream, VersionId("v1"))
            self._placed[request.request] = (request, dispatch)
            loads[engine.upstream][0] += 1
            loads[engine.upstream][1] += request.prompt_tokens + self._output_tokens(
                request.request
            )
            actions.append(dispatch)
        self._waiting = left
        return actions

    def _preempt(self, waiting: Sequence[Request], now_ms: int) -> list[Action]:
        """Cancel a lower-tier attempt for each request that would miss its deadline."""
        urgent = [r for r in waiting if self._rank(r)[1] < now_ms + _LAST_START_MS]
        running = [placed for name, placed in self._placed.items() if name not in self._stopping]
        victims = sorted(enumerate(running), key=lambda row: (-row[1][0].tier, -row[0]))
        actions: list[Action] = []
        for request, (_, (victim, dispatch)) in zip(
            urgent[len(self._stopping) :], victims, strict=False
        ):
            if victim.tier <= request.tier:
                break
            self._stopping.add(victim.request)
            actions.append(Preempt(dispatch.attempt, dispatch.upstream))
        return actions

    def _rank(self, request: Request) -> tuple[int, float]:
        if self._first_come:
            return (0, request.arrived_ms)
        run_ms = self._output_tokens(request.request) * self._between_tokens_ms
        return (request.tier, request.deadline_ms - run_ms)

    def _best(self, loads: dict[UpstreamId, list[int]], request: Request) -> FakeEngine | None:
        """Return the engine with the shortest step that still has room."""
        need = request.prompt_tokens + self._output_tokens(request.request)
        options = []
        for engine in self._engines:
            batch, kv_tokens = loads[engine.upstream]
            step_ms = engine.speed.base_ms + _MEAN_CHUNK * engine.speed.chunk_ms
            step_ms += engine.speed.per_sequence_ms * (batch + 1)
            fits = kv_tokens + need <= engine.speed.kv_capacity_tokens and not engine.down
            if fits and step_ms <= self._between_tokens_ms:
                options.append((step_ms, engine.upstream, engine))
        return min(options)[2] if options else None

    def _run_ms(self, engine: FakeEngine, request: Request) -> float:
        prefill_ms = 1_000 * request.prompt_tokens / engine.speed.prefill_tokens_per_s
        return prefill_ms + self._between_tokens_ms * self._output_tokens(request.request)
