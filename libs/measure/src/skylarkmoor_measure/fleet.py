"""Simulated fleet of daemon schedulers under synthetic load, with message accounting."""

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial

from skylarkmoor_core.document import Customer, Route, ServiceDocument, ServiceKind, Tier
from skylarkmoor_core.ids import (
    CustomerId,
    FailureDomain,
    Fingerprint,
    HostId,
    Incarnation,
    RequestId,
    RouteName,
    ServiceName,
    TierRank,
    UpstreamId,
    VersionId,
)
from skylarkmoor_core.messages import Demand, Envelope, Grant, encode_envelope
from skylarkmoor_measure.timing import Stopwatch
from skylarkmoor_policy.actions import Action, Dispatch, Refuse, Send
from skylarkmoor_policy.requests import (
    AttemptEnd,
    AttemptResult,
    LoadReport,
    Request,
    UpstreamInfo,
)
from skylarkmoor_policy.scheduler import Scheduler

__all__ = [
    "INCARNATION",
    "FleetLoad",
    "FleetRun",
    "host_name",
    "make_request",
    "make_scheduler",
    "make_service_document",
    "make_report",
    "run_fleet",
    "upstream_id",
]

# A realistic start time in ms, because its encoded size depends on its value.
INCARNATION = Incarnation(1_790_000_000_000)
START_MS = 1_000_000
TICK_MS = 20
_TIERS = 4
_MAX_BATCH = 256
_KV_CAPACITY_TOKENS = 1_000_000
_PROMPT_TOKENS = 400
_OUTPUT_TOKENS = 240


def host_name(number: int) -> HostId:
    """Return the id of an entry host; all ids up to 9999 have the same encoded size."""
    return HostId(f"entry-{number:04d}")


def upstream_id(number: int) -> UpstreamId:
    """Return the id of an upstream; all ids up to 9999 have the same encoded size."""
    return UpstreamId(f"worker-{number:04d}")


def make_service_document(customers: int, routes: int = 8) -> ServiceDocument:
    """Return a document with `customers` customers and `routes` routes in four tiers."""
    return ServiceDocument(
        service=ServiceName("assistant"),
        kind=ServiceKind.ENGINE,
        tiers=tuple(Tier(name=f"tier-{i}", rank=TierRank(i)) for i in range(_TIERS)),
        routes=tuple(
            Route(name=RouteName(f"route-{i:04d}"), tier=f"tier-{i % _TIERS}")
            for i in range(routes)
        ),
        customers=tuple(
            Customer(
                name=CustomerId(f"customer-{i:04d}"),
                share=1 + i % 8,
                requests_per_s=1_000 + i,
                max_waiting=1_000 + i,
            )
            for i in range(customers)
        ),
        version=VersionId("v1"),
    )


def make_report(upstream: UpstreamId, at_ms: int) -> LoadReport:
    """Return the load report of an idle upstream."""
    return LoadReport(
        upstream=upstream,
        incarnation=INCARNATION,
        as_of_ms=at_ms,
        running=0,
        waiting=0,
        kv_used_tokens=0,
        kv_capacity_tokens=_KV_CAPACITY_TOKENS,
        max_batch=_MAX_BATCH,
        versions=(VersionId("v1"),),
    )


def make_request(number: int, now_ms: int, customers: int = 1) -> Request:
    """Return request `number`; tiers and customers are assigned round robin."""
    return Request(
        request=RequestId(f"{host_name(0)}-{INCARNATION}-{number:08d}"),
        customer=CustomerId(f"customer-{number % customers:04d}"),
        route=RouteName(f"route-{number % _TIERS:04d}"),
        tier=TierRank(number % _TIERS),
        fingerprint=Fingerprint(number),
        arrived_ms=now_ms,
        deadline_ms=now_ms + 60_000,
        prompt_tokens=_PROMPT_TOKENS,
        max_output_tokens=2 * _OUTPUT_TOKENS,
        prefix_hashes=tuple(number % 64 * 1_000 + i for i in range(8)),
    )


def make_scheduler(
    host: HostId,
    rng: random.Random,
    daemons: int,
    upstreams: int,
    *,
    domains: int = 1,
    customers: int = 16,
) -> Scheduler:
    """Return the scheduler of one daemon in a fleet with idle upstreams.

    Parameters
    ----------
    domains : int
        Failure domains among which the upstreams are spread; all daemons are in the first.
    """
    scheduler = Scheduler(host, make_service_document(customers), rng)
    scheduler.set_members({host_name(i): FailureDomain("domain-00") for i in range(daemons)})
    scheduler.set_upstreams(
        [
            UpstreamInfo(
                upstream_id(i), ServiceName("assistant"), FailureDomain(f"domain-{i % domains:02d}")
            )
            for i in range(upstreams)
        ]
    )
    for i in range(upstreams):
        scheduler.record_load_report(make_report(upstream_id(i), START_MS))
    return scheduler


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Size and load of a simulated fleet.

    Attributes
    ----------
    requests_per_s : float
        Arrival rate at each daemon.
    service_ms : int
        Service time of each request.
    domains : int
        Failure domains among which the upstreams are spread; all daemons are in the first.
    """

    daemons: int
    upstreams: int
    requests_per_s: float
    service_ms: int = 4_000
    domains: int = 1
    warm_up_ms: int = 6_000
    measured_ms: int = 4_000


@dataclass(slots=True)
class FleetRun:
    """Counts and processor times in the measured interval of a run.

    Attributes
    ----------
    messages, message_bytes : Counter
        Totals over all daemons by message type, without framing.
    submits, ends, ticks, receives : Stopwatch
        Processor time of submitting a request, handling the end of an attempt, a tick, and
        handling a received message.
    """

    load: FleetLoad
    messages: Counter[str] = field(default_factory=Counter)
    message_bytes: Counter[str] = field(default_factory=Counter)
    dispatched: int = 0
    refused: int = 0
    submits: Stopwatch = field(default_factory=Stopwatch)
    ends: Stopwatch = field(default_factory=Stopwatch)
    ticks: Stopwatch = field(default_factory=Stopwatch)
    receives: Stopwatch = field(default_factory=Stopwatch)

    def messages_per_s(self) -> float:
        """Return the mean number of messages that a daemon sends per second."""
        return self.messages.total() / self._daemon_seconds()

    def bytes_per_s(self) -> float:
        """Return the mean bytes that a daemon sends per second, without framing."""
        return self.message_bytes.total() / self._daemon_seconds()

    def _daemon_seconds(self) -> float:
        return self.load.daemons * self.load.measured_ms / 1_000


class _Fleet:
    def __init__(self, load: FleetLoad, seed: int) -> None:
        self.run = FleetRun(load)
        self._schedulers = {
            host_name(i): make_scheduler(
                host_name(i),
                random.Random(seed + i),
                load.daemons,
                load.upstreams,
                domains=load.domains,
            )
            for i in range(load.daemons)
        }
        self._completions: list[tuple[int, int, HostId, Dispatch]] = []
        self._outbox: deque[tuple[HostId, Send]] = deque()
        self._measuring = False
        self._event_count = 0

    def step(self, now_ms: int, arrivals: dict[HostId, int]) -> None:
        """Run one tick of every daemon, with the given number of arrivals at each."""
        self._measuring = now_ms - START_MS >= self.run.load.warm_up_ms
        while self._completions and self._completions[0][0] <= now_ms:
            _, _, host, dispatch = heapq.heappop(self._completions)
            self._complete_attempt(host, dispatch, now_ms)
        for host, scheduler in self._schedulers.items():
            for _ in range(arrivals[host]):
                self._event_count += 1
                request = make_request(self._event_count, now_ms)
                stopwatch = self._stopwatch_if_measuring(self.run.submits)
                actions = stopwatch.time(partial(scheduler.submit, request, now_ms))
                self._execute_actions(host, actions, now_ms)
            stopwatch = self._stopwatch_if_measuring(self.run.ticks)
            self._execute_actions(host, stopwatch.time(partial(scheduler.tick, now_ms)), now_ms)
        self._deliver_messages(now_ms)

    def _stopwatch_if_measuring(self, stopwatch: Stopwatch) -> Stopwatch:
        return stopwatch if self._measuring else Stopwatch()

    def _complete_attempt(self, host: HostId, dispatch: Dispatch, now_ms: int) -> None:
        end = AttemptEnd(
            request=dispatch.request,
            attempt=dispatch.attempt,
            upstream=dispatch.upstream,
            version=dispatch.version,
            result=AttemptResult.COMPLETED,
            position_tokens=_OUTPUT_TOKENS,
            prefill_tokens=_PROMPT_TOKENS,
            first_token_ms=200,
            between_tokens_ms=40,
        )
        scheduler = self._schedulers[host]
        stopwatch = self._stopwatch_if_measuring(self.run.ends)
        self._execute_actions(
            host, stopwatch.time(partial(scheduler.record_attempt_end, end, now_ms)), now_ms
        )

    def _execute_actions(self, host: HostId, actions: list[Action], now_ms: int) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    self._event_count += 1
                    self.run.dispatched += self._measuring
                    ends_ms = now_ms + self.run.load.service_ms
                    heapq.heappush(self._completions, (ends_ms, self._event_count, host, action))
                case Send():
                    self._outbox.append((host, action))
                case Refuse():
                    self.run.refused += self._measuring

    def _deliver_messages(self, now_ms: int) -> None:
        while self._outbox:
            sender, send = self._outbox.popleft()
            message = send.message
            if self._measuring:
                kind = type(message).__name__
                self.run.messages[kind] += 1
                encoded = encode_envelope(Envelope(sender, INCARNATION, message))
                self.run.message_bytes[kind] += len(encoded)
            receiver = self._schedulers.get(send.to)
            if receiver is not None and isinstance(message, Demand | Grant):
                stopwatch = self._stopwatch_if_measuring(self.run.receives)
                actions = stopwatch.time(partial(receiver.receive, sender, message, now_ms))
                self._execute_actions(send.to, actions, now_ms)


def run_fleet(load: FleetLoad, seed: int) -> FleetRun:
    """Simulate a fleet and return the counts of its measured interval.

    Notes
    -----
    Messages arrive at the end of the tick in which they are sent. Arrivals are evenly spaced
    with a random phase for each daemon, and every request has the same service time.
    """
    rng = random.Random(seed)
    fleet = _Fleet(load, seed)
    pending_arrivals = {host_name(i): rng.random() for i in range(load.daemons)}
    for now_ms in range(START_MS, START_MS + load.warm_up_ms + load.measured_ms, TICK_MS):
        arrivals = {}
        for host in pending_arrivals:
            pending_arrivals[host] += load.requests_per_s * TICK_MS / 1_000
            arrivals[host] = int(pending_arrivals[host])
            pending_arrivals[host] -= arrivals[host]
        fleet.step(now_ms, arrivals)
    return fleet.run
