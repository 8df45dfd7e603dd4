"""Whole moves to versions of several kinds, by the decision code and by plain baselines."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from skylarkmoor_core.document import ServiceDocument, VersionMove
from skylarkmoor_core.hashing import bucket
from skylarkmoor_core.ids import (
    AttemptId,
    HostId,
    Incarnation,
    Offset,
    RequestId,
    RouteName,
    ServiceName,
    TierRank,
    UpstreamId,
    VersionId,
)
from skylarkmoor_core.messages import Fact, Gossip
from skylarkmoor_core.records import MoveEnded, MoveResult, MoveStep
from skylarkmoor_measure.engines import EngineSpeed, FakeEngine
from skylarkmoor_measure.session import (
    NETWORK_MS,
    START_MS,
    Fault,
    FaultKind,
    Running,
    Session,
    upstream_name,
)
from skylarkmoor_measure.workload import Burst, RouteShape, generate_arrivals, make_document
from skylarkmoor_policy.actions import Dispatch, Send
from skylarkmoor_policy.configuration import move_id
from skylarkmoor_policy.facts import FactStore
from skylarkmoor_policy.requests import AttemptResult, Request
from skylarkmoor_policy.rollout import (
    AdvanceStep,
    CompleteMove,
    DesiredVersions,
    Evidence,
    EvidenceHistory,
    MoveFollower,
    ReportedVersions,
    RollBack,
    StopVersion,
    VersionOrderAction,
    decide_next_action,
    reconcile,
    share_of_step,
    stopped_fact,
)
from skylarkmoor_policy.scheduler import Scheduler

__all__ = ["KINDS", "MOVE_POLICIES", "RATES", "MoveKind", "MoveSession", "run_move"]

DAEMONS = 4
ENGINES = 6
SPEED = EngineSpeed(60_000, 15, 0.5, 20, 64, 120_000)
SERVICE = ServiceName("assistant")
OLD, NEW = VersionId("v1"), VersionId("v2")
HOSTS = tuple(HostId(f"host-{i}") for i in range(DAEMONS))
PUBLISHED = Offset(1)
MOVE = move_id(SERVICE, PUBLISHED)

# Time to end by at each rate: a lower rate takes longer for the requests that a step needs.
RATES_BY_MS = {15: 400_000, 40: 240_000, 100: 200_000}
RATES = tuple(RATES_BY_MS)
ROUND_MS = 500
# Longer than in the other runs: here the scheduler needs no fine clock.
MOVE_TICK_MS = 100
LOG_MS = 100
# The weight store sends one version at a time.
LOAD_MS = 2_500
# A failing version answers with an error after this time.
ERROR_MS = 200
# Requests that both versions fail at any time.
BASE_ERROR_PERCENT = 1.0
# The load goes on for this time after a move has ended.
AFTER_MS = 10_000
PROMOTE_MS = 60_000
# Steps for a token of a request that is going to fail, so that it does not complete before.
_NEVER = 1e9

MOVE_POLICIES = ("skylarkmoor", "all at once", "fixed 10%")

RARE = RouteName("recall")
ROUTES = (
    RouteShape(RouteName("question"), TierRank(0), 0.59, 120, 16, 0.4, 40_000, 50, 3),
    RouteShape(RouteName("summary"), TierRank(1), 0.30, 300, 24, 0.4, 40_000, 50, 4),
    RouteShape(RouteName("sorting"), TierRank(2), 0.10, 200, 12, 0.4, 60_000, 50, 2),
    RouteShape(RARE, TierRank(3), 0.01, 200, 16, 0.4, 60_000, 50, 2),
)
BURST_TIMES_MS = tuple((at_ms, at_ms + 15_000) for at_ms in range(45_000, 400_000, 60_000))


@dataclass(frozen=True, slots=True)
class MoveKind:
    """A version's behaviour, with the load and the faults during its move.

    Attributes
    ----------
    error_percent, slowdown : float
        What the new version does to its requests.
    after_requests : int
        Requests of the new version before it turns bad.
    in_burst : bool
        Whether the new version is bad in bursts only.
    routes : tuple of str
        Routes on which the new version is bad.
    burst_factor : float
        Load in bursts against the load outside.
    burst_error_percent : float
        Requests of both versions that fail in bursts.
    """

    name: str
    bad: bool = True
    error_percent: float = 0.0
    slowdown: float = 1.0
    after_requests: int = 0
    in_burst: bool = False
    routes: tuple[RouteName, ...] = tuple(shape.name for shape in ROUTES)
    burst_factor: float = 1.0
    burst_error_percent: float = 0.0
    faults: tuple[Fault, ...] = ()


KINDS = (
    MoveKind("good", bad=False),
    MoveKind("good, bursts", bad=False, burst_factor=2.5),
    MoveKind(
        "good, slow engine", bad=False, faults=(Fault(FaultKind.SLOW, 1, 30_000, 120_000, 3.0),)
    ),
    MoveKind(
        "good, killed engines",
        bad=False,
        faults=(
            Fault(FaultKind.KILL, 0, 30_000, 40_000),
            Fault(FaultKind.KILL, 3, 70_000, 80_000),
            Fault(FaultKind.KILL, 2, 150_000, 160_000),
        ),
    ),
    MoveKind("good, errors of both", bad=False, burst_factor=1.3, burst_error_percent=13.0),
    MoveKind("errors at once", error_percent=60.0),
    MoveKind("errors later", error_percent=60.0, after_requests=400),
    MoveKind("all fail later", error_percent=100.0, after_requests=800),
    MoveKind("slow at once", slowdown=2.5),
    MoveKind("slow later", slowdown=2.5, after_requests=400),
    MoveKind("slow under load", slowdown=2.5, in_burst=True, burst_factor=2.0),
    MoveKind("bad route", error_percent=90.0, routes=(RouteName("sorting"),)),
    MoveKind("bad rare route", error_percent=90.0, routes=(RARE,)),
)


class Mover(Protocol):
    """What a daemon, or a baseline, does about a move."""

    def version_for(self, request: Request) -> VersionId:
        """Return the version that a request takes."""
        ...

    def stopped(self) -> bool:
        """Return whether no request may take the new version any more."""
        ...

    def wanted(self) -> DesiredVersions:
        """Return the versions to be loaded."""
        ...

    def step(self) -> int:
        """Return the move's step."""
        ...

    def record(
        self, step: int, route: RouteName, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Count a request that ended."""
        ...

    def round(self, now_ms: int, ready: bool) -> list[MoveStep | MoveEnded]:
        """Judge the move and return the records to append."""
        ...


class RolloutMover:
    """One daemon's part in a move, by the rollout's decision code."""

    def __init__(self, host: HostId, document: ServiceDocument, seed: int) -> None:
        assert document.move is not None
        self._host = host
        self._rng = random.Random(f"{seed} gossip {host}")
        self.follower = MoveFollower()
        self.follower.set_document(SERVICE, PUBLISHED, document)
        self._evidence = Evidence(MOVE, host, Incarnation(1), document.move.max_slowdown_percent)
        self._fleet, self._own = EvidenceHistory(MOVE), EvidenceHistory(MOVE)
        self._store = FactStore()
        self.new_in_flight = 0

    def version_for(self, request: Request) -> VersionId:
        """Return the version that a request takes."""
        return self.follower.choose_version(SERVICE, request.request, self.new_in_flight, DAEMONS)

    def stopped(self) -> bool:
        """Return whether this daemon gives the new version no more requests."""
        progress = self.follower.progress(SERVICE)
        assert progress is not None
        return progress.stopped or progress.result is MoveResult.UNDONE

    def wanted(self) -> DesiredVersions:
        """Return the versions to be loaded."""
        return self.follower.desired_versions(SERVICE)

    def step(self) -> int:
        """Return the move's step, 0 before the first."""
        progress = self.follower.progress(SERVICE)
        assert progress is not None
        return progress.step or 0

    def record(
        self, step: int, route: RouteName, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Count a request that ended."""
        self._evidence.record(step, route, new=new, failed=failed, latency_ms=latency_ms)

    def take(self, facts: Sequence[Fact]) -> None:
        """Merge facts from a peer."""
        new = self._store.merge(facts)
        self._fleet.apply_facts(new)
        self.follower.apply_facts(new)

    def round(self, now_ms: int, ready: bool) -> list[MoveStep | MoveEnded]:
        """Judge the move and return the records to append."""
        self._count(now_ms)
        return self._judge(now_ms, ready)

    def gossip(self, now_ms: int) -> list[Send]:
        """Return one round's messages."""
        peers = [host for host in HOSTS if host != self._host]
        return self._store.gossip_round(self._rng, now_ms, peers)

    def _count(self, now_ms: int) -> None:
        facts = self._evidence.facts(now_ms)
        self._own.apply_facts(facts)
        self.take(facts)
        self._fleet.snapshot(now_ms)
        self._own.snapshot(now_ms)

    def _judge(self, now_ms: int, ready: bool) -> list[MoveStep | MoveEnded]:
        progress = self.follower.progress(SERVICE)
        assert progress is not None
        record: MoveStep | MoveEnded | None = None
        match decide_next_action(progress, [self._fleet, self._own], now_ms, now_ms, ready):
            case AdvanceStep():
                requests_per_s = self._fleet.requests_per_s(now_ms)
                record = self.follower.next_step_record(SERVICE, self._host, requests_per_s)
            case CompleteMove():
                record = self.follower.end_record(SERVICE, MoveResult.DONE, "", self._host)
            case RollBack(why=why):
                record = self.follower.end_record(SERVICE, MoveResult.UNDONE, why, self._host)
            case StopVersion():
                self.take([stopped_fact(MOVE, now_ms)])
        return [] if record is None else [record]


class PlainMover:
    """A baseline: a fixed share that is promoted after a fixed time whatever happens."""

    def __init__(self, share_percent: int) -> None:
        self.share_percent = share_percent
        self.result: MoveResult | None = None
        self._begun_ms: int | None = None

    def version_for(self, request: Request) -> VersionId:
        """Return the version that a request takes."""
        share_percent = 0 if self._begun_ms is None else self.share_percent
        return NEW if bucket(100, request.request, MOVE) < share_percent else OLD

    def stopped(self) -> bool:
        """Return False: nothing stops the version."""
        return False

    def wanted(self) -> DesiredVersions:
        """Return both versions."""
        return DesiredVersions((OLD, NEW), (), Offset(1))

    def step(self) -> int:
        """Return whether the move has begun, as a step."""
        return int(self._begun_ms is not None)

    def record(
        self, step: int, route: RouteName, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Look at nothing."""

    def round(self, now_ms: int, ready: bool) -> list[MoveStep | MoveEnded]:
        """Begin when the version is loaded, and promote it when the time has come."""
        if self._begun_ms is None:
            self._begun_ms = now_ms if ready else None
        elif now_ms - self._begun_ms >= PROMOTE_MS and self.result is None:
            self.share_percent = 100
            self.result = MoveResult.DONE
        return []


@dataclass(slots=True)
class MoveLog:
    """What became of a move.

    Attributes
    ----------
    hurt : set of str
        Requests that the new version failed or slowed down.
    hurt_before : int
        Those of them that had ended when the stop was first known.
    shares : dict
        By published share in percent, the requests of the new version and all requests.
    late : int
        Requests sent to the version after its stop was known anywhere plus a gossip round.
    """

    result: MoveResult | None = None
    ended_ms: float | None = None
    in_time: bool = False
    hurt: set[RequestId] = field(default_factory=set)
    hurt_before: int = 0
    first_hurt_ms: float | None = None
    stopped_ms: dict[HostId, float] = field(default_factory=dict)
    shares: dict[int, list[int]] = field(default_factory=dict)
    late: int = 0


class MoveSession(Session):
    """A session in which the service moves to a new version."""

    def __init__(
        self, seed: int, kind: MoveKind, policy: str, requests_per_s: int, plan: VersionMove
    ) -> None:
        document = make_document(ROUTES, plan)
        self.log = MoveLog()
        self.kind = kind
        self._plan = plan
        self._movers = _movers(policy, document, seed)
        self._steps: dict[AttemptId, int] = {}
        self._served = 0
        self._records = 0
        self._pending: set[HostId] = set()
        self._reference = MoveFollower()
        self._reference.set_document(SERVICE, PUBLISHED, document)
        self._loading: dict[UpstreamId, VersionId] = {}
        self._fencing: dict[UpstreamId, int] = {}
        self._store_free_ms = 0.0
        engines = [FakeEngine(upstream_name(i), SPEED) for i in range(ENGINES)]
        for engine in engines:
            engine.versions = {OLD}
        deciders = [
            Scheduler(
                host,
                document,
                random.Random(f"{seed} {host}"),
                choose_version=self._movers[host].version_for,
            )
            for host in HOSTS
        ]
        rng = random.Random(f"{seed} {kind.name} {requests_per_s}")
        bursts = tuple(
            Burst(start_ms, end_ms, shape.tier, kind.burst_factor)
            for start_ms, end_ms in BURST_TIMES_MS
            for shape in ROUTES
            if kind.burst_factor > 1
        )
        duration_ms = plan.by_ms - START_MS + AFTER_MS
        arrivals = list(generate_arrivals(rng, requests_per_s, duration_ms, bursts, ROUTES))
        super().__init__(seed, engines, deciders, arrivals, kind.faults, duration_ms)
        for i, host in enumerate(HOSTS):
            self._events.push(START_MS + 100 * i, partial(self._round, host))
        self._events.push(START_MS, self._order)

    def _tick(self, host: HostId) -> None:
        self._perform(host, self._deciders[host].tick(int(self._now_ms)))
        self._events.push(self._now_ms + MOVE_TICK_MS, partial(self._tick, host))

    def _round(self, host: HostId) -> None:
        """Let a daemon judge and gossip."""
        mover = self._movers[host]
        now_ms = int(self._now_ms)
        self._append(host, mover.round(now_ms, self._ready()))
        if isinstance(mover, RolloutMover):
            for send in mover.gossip(now_ms):
                self._later(partial(self._take, send))
        elif isinstance(mover, PlainMover) and mover.result is not None:
            self._end(mover.result)
        self._note_stop(host)
        self._events.push(self._now_ms + ROUND_MS, partial(self._round, host))

    def _ready(self) -> bool:
        return all(NEW in engine.versions for engine in self._engines.values() if not engine.down)

    def _take(self, send: Send) -> None:
        assert isinstance(send.message, Gossip)
        mover = self._movers[send.to]
        if isinstance(mover, RolloutMover):
            mover.take(send.message.facts)
            self._note_stop(send.to)

    def _note_stop(self, host: HostId) -> None:
        if not self._movers[host].stopped() or host in self.log.stopped_ms:
            return
        if not self.log.stopped_ms:
            self.log.hurt_before = len(self.log.hurt)
        self.log.stopped_ms[host] = self._now_ms

    def _append(self, host: HostId, records: Sequence[MoveStep | MoveEnded]) -> None:
        """Append to the log; a daemon waits for its last record before the next."""
        if not records or host in self._pending:
            return
        self._pending.add(host)
        self._events.push(self._now_ms + LOG_MS, partial(self._logged, host, records[0]))

    def _logged(self, author: HostId, record: MoveStep | MoveEnded) -> None:
        offset, at_ms = Offset(self._records), int(self._now_ms)
        self._records += 1
        self._reference.apply_record(offset, at_ms, record)
        progress = self._reference.progress(SERVICE)
        assert progress is not None
        if progress.result is not None:
            self._end(progress.result)
        for i, host in enumerate(HOSTS):
            self._events.push(
                at_ms + LOG_MS * (i + 1), partial(self._replay, host, offset, at_ms, record)
            )
        self._events.push(at_ms + LOG_MS * (DAEMONS + 1), partial(self._pending.discard, author))

    def _replay(
        self, host: HostId, offset: Offset, at_ms: int, record: MoveStep | MoveEnded
    ) -> None:
        mover = self._movers[host]
        if isinstance(mover, RolloutMover):
            mover.follower.apply_record(offset, at_ms, record)
            self._note_stop(host)

    def _end(self, result: MoveResult) -> None:
        if self.log.result is None:
            self.log.result = result
            self.log.ended_ms = self._now_ms
            self.log.in_time = self._now_ms <= self._plan.by_ms
            self._end_ms = min(self._end_ms, int(self._now_ms) + AFTER_MS)

    def _order(self) -> None:
        """Give the orders of the first daemon to the engines."""
        self._events.push(self._now_ms + ROUND_MS, self._order)
        reported = {
            name: ReportedVersions(
                frozenset(engine.versions),
                frozenset({self._loading[name]} if name in self._loading else ()),
            )
            for name, engine in self._engines.items()
            if not engine.down
        }
        for order in reconcile(reported, self._movers[HOSTS[0]].wanted()):
            if order.fencing < self._fencing.get(order.upstream, 0):
                continue
            self._fencing[order.upstream] = order.fencing
            engine = self._engines[order.upstream]
            if order.action is VersionOrderAction.UNLOAD:
                engine.versions.discard(order.version)
                continue
            self._loading[order.upstream] = order.version
            self._store_free_ms = max(self._now_ms, self._store_free_ms) + LOAD_MS
            loaded = partial(self._loaded, engine, engine.epoch, order.version)
            self._events.push(self._store_free_ms, loaded)

    def _loaded(self, engine: FakeEngine, epoch: int, version: VersionId) -> None:
        if engine.epoch == epoch:
            engine.versions.add(version)
            del self._loading[engine.upstream]

    def _begin_fault(self, fault: Fault) -> None:
        super()._begin_fault(fault)
        engine = list(self._engines.values())[fault.engine]
        if engine.down:
            engine.versions = {OLD}
            self._loading.pop(engine.upstream, None)

    def _dispatch(self, host: HostId, dispatch: Dispatch) -> None:
        new = dispatch.version == NEW
        self._steps[dispatch.attempt] = self._movers[host].step()
        if self.logs[dispatch.request].attempts == 0 and self.log.result is None:
            counts = self.log.shares.setdefault(self._published_percent(), [0, 0])
            counts[0] += new
            counts[1] += 1
        if new and self.log.stopped_ms:
            first_ms = min(self.log.stopped_ms.values())
            self.log.late += self._now_ms > first_ms + ROUND_MS + NETWORK_MS
        self._count_in_flight(host, dispatch, 1)
        super()._dispatch(host, dispatch)

    def _count_in_flight(self, host: HostId, dispatch: Dispatch, change: int) -> None:
        mover = self._movers[host]
        if isinstance(mover, RolloutMover) and dispatch.version == NEW:
            mover.new_in_flight += change

    def _published_percent(self) -> int:
        mover = self._movers[HOSTS[0]]
        if isinstance(mover, PlainMover):
            return mover.share_percent if mover.step() else 0
        progress = self._reference.progress(SERVICE)
        assert progress is not None
        return share_of_step(self._plan, progress.step or 0) or 0

    def _admit(self, running: Running) -> None:
        dispatch = running.dispatch
        if dispatch.attempt in self._attempts and dispatch.version not in running.engine.versions:
            self._finish(running, AttemptResult.NOT_STARTED)
            return
        super()._admit(running)
        if running.sequence is None:
            return
        kind, new = self.kind, dispatch.version == NEW
        self._served += new
        route = self.logs[dispatch.request].arrival.route.name
        is_bad = new and route in kind.routes and self._served > kind.after_requests
        if kind.in_burst:
            is_bad = is_bad and self._in_burst()
        if is_bad:
            running.sequence.slowdown = kind.slowdown
        percent = BASE_ERROR_PERCENT
        if self._in_burst():
            percent = max(percent, kind.burst_error_percent)
        by_version = is_bad and self._rng.random() * 100 < kind.error_percent
        if by_version or self._rng.random() * 100 < percent:
            running.sequence.slowdown = _NEVER
            fail = partial(self._fail, running, by_version)
            self._events.push(self._now_ms + ERROR_MS, fail)

    def _in_burst(self) -> bool:
        at_ms = self._now_ms - START_MS
        return any(start_ms <= at_ms < end_ms for start_ms, end_ms in BURST_TIMES_MS)

    def _fail(self, running: Running, by_version: bool) -> None:
        if running.dispatch.attempt not in self._attempts:
            return
        running.engine.cancel(running.dispatch.attempt)
        if by_version:
            self._note_hurt(running)
        self._finish(running, AttemptResult.FAILED)

    def _note_hurt(self, running: Running) -> None:
        if self.log.first_hurt_ms is None:
            self.log.first_hurt_ms = self._now_ms
        self.log.hurt.add(running.dispatch.request)

    def _finish(self, running: Running, result: AttemptResult) -> None:
        dispatch, sequence = running.dispatch, running.sequence
        step = self._steps.pop(dispatch.attempt)
        if result is AttemptResult.COMPLETED and sequence is not None and sequence.slowdown > 1:
            self._note_hurt(running)
        end = self._attempt_end(running, result)
        self._count_in_flight(running.host, dispatch, -1)
        super()._finish(running, result)
        failed = result in (AttemptResult.FAILED, AttemptResult.CRASHED)
        if failed or (result is AttemptResult.COMPLETED and end.between_tokens_ms is not None):
            self._movers[running.host].record(
                step,
                self.logs[dispatch.request].arrival.route.name,
                new=dispatch.version == NEW,
                failed=failed,
                latency_ms=end.between_tokens_ms or 0,
            )


def _movers(policy: str, document: ServiceDocument, seed: int) -> dict[HostId, Mover]:
    match policy:
        case "skylarkmoor":
            return {host: RolloutMover(host, document, seed) for host in HOSTS}
        case "all at once":
            return dict.fromkeys(HOSTS, PlainMover(100))
        case "fixed 10%":
            return dict.fromkeys(HOSTS, PlainMover(10))
        case _:
            raise ValueError(f"no policy is called {policy!r}")


def run_move(seed: int, kind: MoveKind, policy: str, requests_per_s: int) -> MoveLog:
    """Run one move and return what became of it."""
    plan = VersionMove(version=NEW, by_ms=START_MS + RATES_BY_MS[requests_per_s])
    session = MoveSession(seed, kind, policy, requests_per_s, plan)
    session.run()
    return session.log
