"""Discrete-event simulation of daemons and engines under a workload with faults."""

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from skylarkmoor_core.ids import (
    AttemptId,
    FailureDomain,
    Fingerprint,
    HostId,
    RequestId,
    ServiceName,
    UpstreamId,
)
from skylarkmoor_core.messages import Demand, Grant
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_measure.baselines import Decider
from skylarkmoor_measure.engines import FakeEngine
from skylarkmoor_measure.engines import Sequence as EngineSequence
from skylarkmoor_measure.workload import Arrival
from skylarkmoor_policy.actions import Action, Dispatch, Preempt, Refuse, Send
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request, UpstreamInfo

__all__ = [
    "NETWORK_MS",
    "START_MS",
    "Fault",
    "FaultKind",
    "RequestLog",
    "Running",
    "Session",
    "upstream_name",
]

NETWORK_MS = 1.0
TICK_MS = 20
REPORT_PERIOD_MS = 500
REPORT_LAG_MS = 1_000
CACHE_EVENT_LAG_MS = 800
CACHE_EVENT_LOSS_RATE = 0.2
HOST_LIST_LAG_MS = 3_000
# The simulated monotonic clock starts above 0, so that no module can rely on a start at 0.
START_MS = 100_000


class FaultKind(Enum):
    """Types of engine faults."""

    KILL = "kill"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of engine number `engine` between two times since the start of the run."""

    kind: FaultKind
    engine: int
    start_ms: int
    end_ms: int
    factor: float = 1.0


@dataclass(slots=True)
class RequestLog:
    """Timeline, token counts and outcome of one request."""

    arrival: Arrival
    first_token_ms: float | None = None
    dispatched_ms: float | None = None
    completed_ms: float | None = None
    max_gap_ms: float = 0.0
    mean_gap_ms: float = 0.0
    refusal: ErrorCode | None = None
    attempts: int = 0
    preemptions: int = 0
    prefilled_tokens: int = 0
    # Uncached prompt tokens of the first attempt that reached an engine.
    needed_prefill_tokens: int | None = None

    @property
    def wasted_prefill_tokens(self) -> int:
        """Return the tokens prefilled repeatedly, or for an answer that did not complete."""
        if self.completed_ms is None:
            return self.prefilled_tokens
        return max(0, self.prefilled_tokens - (self.needed_prefill_tokens or 0))


@dataclass(slots=True)
class Running:
    """A dispatched attempt; `sequence` is None until it arrives at the engine."""

    host: HostId
    dispatch: Dispatch
    engine: FakeEngine
    sequence: EngineSequence | None = None


@dataclass(slots=True)
class _EventQueue:
    """Event queue ordered by time, then by insertion."""

    heap: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    count: int = 0

    def push(self, at_ms: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at_ms, self.count, call))


class Session:
    """Simulates deciders under a workload with faults and logs the outcome of each request.

    Parameters
    ----------
    seed : int
        Seed for load balancing over daemons and for the loss of cache events.
    engines : sequence of FakeEngine
        The upstreams.
    deciders : sequence of Decider
        One for each daemon, or a single one for a central queue.
    arrivals : sequence of Arrival
        The workload.
    faults : sequence of Fault
        Faults of engines.
    duration_ms : int
        Length of the run; requests still open at its end count as not completed.
    """

    def __init__(
        self,
        seed: int,
        engines: Sequence[FakeEngine],
        deciders: Sequence[Decider],
        arrivals: Sequence[Arrival],
        faults: Sequence[Fault],
        duration_ms: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._engines = {engine.upstream: engine for engine in engines}
        self._domains = {
            e.upstream: FailureDomain(f"domain-{i % 3}") for i, e in enumerate(engines)
        }
        self._deciders = {HostId(f"host-{i}"): decider for i, decider in enumerate(deciders)}
        self._events = _EventQueue()
        self._now_ms = float(START_MS)
        self._end_ms = START_MS + duration_ms
        self._attempts: dict[AttemptId, Running] = {}
        self._host_by_request: dict[RequestId, HostId] = {}
        self.logs: dict[RequestId, RequestLog] = {}
        self.messages = 0
        self._last_arrival_ms = START_MS + max((a.at_ms for a in arrivals), default=0)
        self._schedule_initial_events(arrivals, faults)

    def run(self) -> None:
        """Process all events before the end of the run."""
        events = self._events
        while events.heap and events.heap[0][0] < self._end_ms:
            self._now_ms, _, call = heapq.heappop(events.heap)
            call()

    def output_tokens(self, request: RequestId) -> int:
        """Return the true output length of a request."""
        return self.logs[request].arrival.output_tokens

    def messages_per_s(self) -> float:
        """Return the rate of messages between daemons up to the last arrival."""
        return 1_000 * self.messages / max(1.0, self._last_arrival_ms - START_MS)

    def _schedule_initial_events(
        self, arrivals: Sequence[Arrival], faults: Sequence[Fault]
    ) -> None:
        hosts = {host: FailureDomain(f"domain-{i % 3}") for i, host in enumerate(self._deciders)}
        for decider in self._deciders.values():
            decider.set_members(hosts)
            decider.set_upstreams(self._host_list())
        for arrival in arrivals:
            self._events.push(START_MS + arrival.at_ms, partial(self._submit_arrival, arrival))
        for fault in faults:
            self._events.push(START_MS + fault.start_ms, partial(self._begin_fault, fault))
            self._events.push(START_MS + fault.end_ms, partial(self._end_fault, fault))
        for i, host in enumerate(self._deciders):
            self._events.push(START_MS + i, partial(self._tick, host))
        for i, engine in enumerate(self._engines.values()):
            self._events.push(START_MS + 10 * i, partial(self._publish_report, engine))

    def _host_list(self) -> list[UpstreamInfo]:
        return [
            UpstreamInfo(engine.upstream, ServiceName("assistant"), self._domains[engine.upstream])
            for engine in self._engines.values()
        ]

    def _submit_arrival(self, arrival: Arrival) -> None:
        request = Request(
            request=RequestId(f"r{arrival.number}"),
            customer=arrival.customer,
            route=arrival.route.name,
            tier=arrival.route.tier,
            fingerprint=Fingerprint(arrival.number),
            arrived_ms=int(self._now_ms),
            deadline_ms=int(self._now_ms) + arrival.route.deadline_ms,
            prompt_tokens=arrival.prompt_tokens,
            max_output_tokens=800,
            prefix_hashes=arrival.prefix_hashes,
        )
        host = self._rng.choice(list(self._deciders))
        self.logs[request.request] = RequestLog(arrival)
        self._host_by_request[request.request] = host
        self._events.push(request.deadline_ms, partial(self._cancel_expired, request.request))
        self._execute_actions(host, self._deciders[host].submit(request, int(self._now_ms)))

    def _cancel_expired(self, request: RequestId) -> None:
        """Cancel a request that is still open at its deadline."""
        log = self.logs[request]
        if log.completed_ms is None and log.refusal is None:
            host = self._host_by_request[request]
            self._execute_actions(host, self._deciders[host].cancel(request, int(self._now_ms)))

    def _tick(self, host: HostId) -> None:
        self._execute_actions(host, self._deciders[host].tick(int(self._now_ms)))
        self._events.push(self._now_ms + TICK_MS, partial(self._tick, host))

    def _execute_actions(self, host: HostId, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    self._dispatch(host, action)
                case Preempt(attempt=attempt):
                    self._schedule_after_network_delay(partial(self._preempt, attempt))
                case Refuse(request=request, code=code):
                    self.logs[request].refusal = code
                case Send(to=to, message=message):
                    self.messages += self._now_ms < self._last_arrival_ms
                    self._schedule_after_network_delay(
                        partial(self._deliver_message, host, to, message)
                    )

    def _schedule_after_network_delay(self, call: Callable[[], None]) -> None:
        self._events.push(self._now_ms + NETWORK_MS, call)

    def _deliver_message(self, sender: HostId, to: HostId, message: object) -> None:
        assert isinstance(message, Demand | Grant)
        decider = self._deciders.get(to)
        if decider is not None:
            self._execute_actions(to, decider.receive(sender, message, int(self._now_ms)))

    def _dispatch(self, host: HostId, dispatch: Dispatch) -> None:
        log = self.logs[dispatch.request]
        log.attempts += 1
        if log.dispatched_ms is None:
            log.dispatched_ms = self._now_ms
        running = Running(host, dispatch, self._engines[dispatch.upstream])
        self._attempts[dispatch.attempt] = running
        self._schedule_after_network_delay(partial(self._start_attempt, running))

    def _start_attempt(self, running: Running) -> None:
        if running.dispatch.attempt not in self._attempts:
            return
        if running.engine.down:
            self._finish_attempt(running, AttemptResult.NOT_STARTED)
            return
        dispatch = running.dispatch
        arrival = self.logs[dispatch.request].arrival
        running.sequence = EngineSequence(
            attempt=dispatch.attempt,
            version=dispatch.version,
            prompt_tokens=arrival.prompt_tokens + dispatch.start_position,
            output_tokens=max(1, arrival.output_tokens - dispatch.start_position),
            prefix_hashes=arrival.prefix_hashes,
            arrived_ms=self._now_ms,
        )
        running.engine.admit(running.sequence)
        self._begin_step(running.engine)

    def _begin_step(self, engine: FakeEngine) -> None:
        """Begin an engine step unless one is in progress."""
        if engine.stepping or engine.down:
            return
        step_ms = engine.begin_step()
        if step_ms is None:
            return
        engine.stepping = True
        epoch = engine.epoch
        self._events.push(self._now_ms + step_ms, partial(self._finish_step, engine, epoch))

    def _finish_step(self, engine: FakeEngine, epoch: int) -> None:
        if engine.epoch != epoch:
            return
        engine.stepping = False
        result = engine.end_step(self._now_ms)
        for sequence in result.progressed:
            self._record_progress(sequence)
        for sequence in result.completed:
            running = self._attempts.get(sequence.attempt)
            if running is not None:
                self._record_progress(sequence)
                self._finish_attempt(running, AttemptResult.COMPLETED)
        self._begin_step(engine)

    def _record_progress(self, sequence: EngineSequence) -> None:
        running = self._attempts.get(sequence.attempt)
        if running is None:
            return
        log = self.logs[running.dispatch.request]
        if log.first_token_ms is None:
            log.first_token_ms = self._now_ms
        log.max_gap_ms = max(log.max_gap_ms, sequence.max_gap_ms)
        position = running.dispatch.start_position + sequence.generated_tokens
        decider = self._deciders[running.host]
        decider.record_attempt_progress(sequence.attempt, position, int(self._now_ms))

    def _preempt(self, attempt: AttemptId) -> None:
        running = self._attempts.get(attempt)
        if running is None:
            return
        running.engine.cancel(attempt)
        self.logs[running.dispatch.request].preemptions += 1
        self._finish_attempt(running, AttemptResult.PREEMPTED)

    def _finish_attempt(self, running: Running, result: AttemptResult) -> None:
        """Log the end of an attempt and report it to its daemon."""
        dispatch, sequence = running.dispatch, running.sequence
        del self._attempts[dispatch.attempt]
        log = self.logs[dispatch.request]
        prefilled = sequence.prefilled_tokens if sequence else 0
        log.prefilled_tokens += prefilled
        if sequence is not None and log.needed_prefill_tokens is None:
            log.needed_prefill_tokens = sequence.prompt_tokens - sequence.cached_tokens
        if result is AttemptResult.COMPLETED:
            log.completed_ms = self._now_ms
        end = self._attempt_end(running, result)
        if result is AttemptResult.COMPLETED and end.between_tokens_ms is not None:
            log.mean_gap_ms = end.between_tokens_ms
        actions = self._deciders[running.host].record_attempt_end(end, int(self._now_ms))
        self._execute_actions(running.host, actions)

    def _attempt_end(self, running: Running, result: AttemptResult) -> AttemptEnd:
        dispatch, sequence = running.dispatch, running.sequence
        first_ms = between_ms = None
        if sequence is not None and sequence.first_token_ms is not None:
            first_ms = int(sequence.first_token_ms - sequence.arrived_ms)
            if sequence.generated_tokens > 1:
                span_ms = sequence.last_token_ms - sequence.first_token_ms
                between_ms = int(span_ms / (sequence.generated_tokens - 1))
        return AttemptEnd(
            request=dispatch.request,
            attempt=dispatch.attempt,
            upstream=dispatch.upstream,
            version=dispatch.version,
            result=result,
            position_tokens=dispatch.start_position
            + (sequence.generated_tokens if sequence else 0),
            prefill_tokens=sequence.prefilled_tokens if sequence else 0,
            cached_tokens=sequence.cached_tokens if sequence else 0,
            first_token_ms=first_ms,
            between_tokens_ms=between_ms,
        )

    def _publish_report(self, engine: FakeEngine) -> None:
        """Publish a load report and cache events, delayed and with random loss of the events."""
        self._events.push(self._now_ms + REPORT_PERIOD_MS, partial(self._publish_report, engine))
        if engine.down:
            return
        report = engine.report(int(self._now_ms))
        added, removed = engine.drain_cache_events()
        lost = self._rng.random() < CACHE_EVENT_LOSS_RATE
        for decider in self._deciders.values():
            self._events.push(
                self._now_ms + REPORT_LAG_MS, partial(decider.record_load_report, report)
            )
            if not lost and (added or removed):
                self._events.push(
                    self._now_ms + CACHE_EVENT_LAG_MS,
                    partial(decider.record_cache_event, engine.upstream, added, removed),
                )

    def _begin_fault(self, fault: Fault) -> None:
        engine = list(self._engines.values())[fault.engine]
        if fault.kind is FaultKind.SLOW:
            engine.step_time_factor = fault.factor
            return
        for sequence in engine.kill():
            running = self._attempts.get(sequence.attempt)
            if running is not None:
                self._finish_attempt(running, AttemptResult.CRASHED)

    def _end_fault(self, fault: Fault) -> None:
        engine = list(self._engines.values())[fault.engine]
        if fault.kind is FaultKind.SLOW:
            engine.step_time_factor = 1.0
        else:
            engine.restart()


def upstream_name(number: int) -> UpstreamId:
    """Return the id of the engine with the given number."""
    return UpstreamId(f"engine-{number}")
