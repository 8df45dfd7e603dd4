"""Schedulers of several daemons under a synthetic load, with their messages counted."""

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

# A start time as it is in use, because its encoded size depends on its value.
INCARNATION = Incarnation(1_790_000_000_000)
START_MS = 1_000_000
TICK_MS = 20
_TIERS = 4
_MAX_BATCH = 256
_KV_TOKENS = 1_000_000
_PROMPT_TOKENS = 400
_OUTPUT_TOKENS = 240


def host_name(number: int) -> HostId:
    """Return the id of an entry host; all have the same length."""
    return HostId(f"entry-{number:04d}")


def upstream_id(number: int) -> UpstreamId:
    """Return the id of an upstream; all have the same length."""
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
    """Return an idle upstream's report."""
    return LoadReport(
        upstream=upstream,
        incarnation=INCARNATION,
        as_of_ms=at_ms,
        running=0,
        waiting=0,
        kv_used_tokens=0,
        kv_capacity_tokens=_KV_TOKENS,
        max_batch=_MAX_BATCH,
        versions=(VersionId("v1"),),
    )


def make_request(number: int, now_ms: int, customers: int = 1) -> Request:
    """Return the request with a number; the numbers go round the tiers and customers."""
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
    """Return the scheduler of one daemon of a fleet.

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
    """A fleet and its load.

    Attributes
    ----------
    requests_per_s : float
        For each daemon.
    service_ms : int
        Time that each request runs.
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
    """What was counted in the measured time of a run.

    Attributes
    ----------
    messages, message_bytes : Counter
        By kind of message, for all daemons together, without framing.
    """

    load: FleetLoad
    messages: Counter[str] = field(default_factory=Counter)
    message_bytes: Counter[str] = field(default_factory=Counter)
    dispatched: int = 0
    refused: int = 0
    submits: Stopwatch = field(default_factory=Stopwatch)
    ends: Stopwatch = field(default_factory=Stopwatch)
    ticks: Stopwatch = field(default_factory=Stopwatch)
    receipts: Stopwatch = field(default_factory=Stopwatch)

    def messages_per_s(self) -> float:
        """Return the messages that a daemon sends in a second."""
        return self.messages.total() / self._daemon_seconds()

    def bytes_per_s(self) -> float:
        """Return the bytes that a daemon sends in a second, without framing."""
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
        self._ends: list[tuple[int, int, HostId, Dispatch]] = []
        self._mail: deque[tuple[HostId, Send]] = deque()
        self._measuring = False
        self._count = 0

    def step(self, now_ms: int, arrivals: dict[HostId, int]) -> None:
        """Run one tick of all daemons with the requests that arrive in it."""
        self._measuring = now_ms - START_MS >= self.run.load.warm_up_ms
        while self._ends and self._ends[0][0] <= now_ms:
            _, _, host, dispatch = heapq.heappop(self._ends)
            self._end(host, dispatch, now_ms)
        for host, scheduler in self._schedulers.items():
            for _ in range(arrivals[host]):
                self._count += 1
                request = make_request(self._count, now_ms)
                watch = self._watch(self.run.submits)
                actions = watch.time(partial(scheduler.submit, request, now_ms))
                self._carry_out(host, actions, now_ms)
            watch = self._watch(self.run.ticks)
            self._carry_out(host, watch.time(partial(scheduler.tick, now_ms)), now_ms)
        self._deliver(now_ms)

    def _watch(self, watch: Stopwatch) -> Stopwatch:
        return watch if self._measuring else Stopwatch()

    def _end(self, host: HostId, dispatch: Dispatch, now_ms: int) -> None:
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
        watch = self._watch(self.run.ends)
        self._carry_out(
            host, watch.time(partial(scheduler.record_attempt_end, end, now_ms)), now_ms
        )

    def _carry_out(self, host: HostId, actions: list[Action], now_ms: int) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    self._count += 1
                    self.run.dispatched += self._measuring
                    ends_ms = now_ms + self.run.load.service_ms
                    heapq.heappush(self._ends, (ends_ms, self._count, host, action))
                case Send():
                    self._mail.append((host, action))
                case Refuse():
                    self.run.refused += self._measuring

    def _deliver(self, now_ms: int) -> None:
        while self._mail:
            sender, send = self._mail.popleft()
            message = send.message
            if self._measuring:
                kind = type(message).__name__
                self.run.messages[kind] += 1
                data = encode_envelope(Envelope(sender, INCARNATION, message))
                self.run.message_bytes[kind] += len(data)
            receiver = self._schedulers.get(send.to)
            if receiver is not None and isinstance(message, Demand | Grant):
                watch = self._watch(self.run.receipts)
                actions = watch.time(partial(receiver.receive, sender, message, now_ms))
                self._carry_out(send.to, actions, now_ms)


def run_fleet(load: FleetLoad, seed: int) -> FleetRun:
    """Drive a fleet and return what was counted.

    Notes
    -----
    Messages arrive at the end of the tick in which they are sent. Arrivals are spread evenly
    with a random start for each daemon, and every request runs for the same time.
    """
    rng = random.Random(seed)
    fleet = _Fleet(load, seed)
    due = {host_name(i): rng.random() for i in range(load.daemons)}
    for now_ms in range(START_MS, START_MS + load.warm_up_ms + load.measured_ms, TICK_MS):
        arrivals = {}
        for host in due:
            due[host] += load.requests_per_s * TICK_MS / 1_000
            arrivals[host] = int(due[host])
            due[host] -= arrivals[host]
        fleet.step(now_ms, arrivals)
    return fleet.run
