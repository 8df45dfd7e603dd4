"""Simulated version moves, controlled by the rollout code and by fixed-share baselines."""

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
ENGINE_SPEED = EngineSpeed(60_000, 15, 0.5, 20, 64, 120_000)
SERVICE = ServiceName("assistant")
OLD_VERSION, NEW_VERSION = VersionId("v1"), VersionId("v2")
HOSTS = tuple(HostId(f"host-{i}") for i in range(DAEMONS))
PUBLISHED_OFFSET = Offset(1)
MOVE_ID = move_id(SERVICE, PUBLISHED_OFFSET)

# Deadline of a move in ms by requests/s: at a lower rate, a step takes longer to collect the
# requests that it needs.
DEADLINE_MS_BY_RATE = {15: 400_000, 40: 240_000, 100: 200_000}
RATES = tuple(DEADLINE_MS_BY_RATE)
GOSSIP_ROUND_MS = 500
# Longer than `TICK_MS` of a session: moves do not depend on fine scheduling ticks.
MOVE_TICK_MS = 100
LOG_LATENCY_MS = 100
# The weight store serves one load at a time.
WEIGHT_LOAD_MS = 2_500
# Time after which a failing attempt returns its error.
ERROR_LATENCY_MS = 200
# Background error rate of both versions.
BASE_ERROR_PERCENT = 1.0
# The simulation continues for this time after the end of a move.
RUN_AFTER_END_MS = 10_000
PROMOTE_AFTER_MS = 60_000
# Slowdown of an attempt that is about to fail, so that it cannot complete first.
_NEVER_COMPLETES_SLOWDOWN = 1e9

MOVE_POLICIES = ("skylarkmoor", "all at once", "fixed 10%")

RARE_ROUTE = RouteName("recall")
ROUTES = (
    RouteShape(RouteName("question"), TierRank(0), 0.59, 120, 16, 0.4, 40_000, 50, 3),
    RouteShape(RouteName("summary"), TierRank(1), 0.30, 300, 24, 0.4, 40_000, 50, 4),
    RouteShape(RouteName("sorting"), TierRank(2), 0.10, 200, 12, 0.4, 60_000, 50, 2),
    RouteShape(RARE_ROUTE, TierRank(3), 0.01, 200, 16, 0.4, 60_000, 50, 2),
)
BURST_TIMES_MS = tuple((at_ms, at_ms + 15_000) for at_ms in range(45_000, 400_000, 60_000))


@dataclass(frozen=True, slots=True)
class MoveKind:
    """Behaviour of the new version, and the load and faults during its move.

    Attributes
    ----------
    error_percent, slowdown : float
        Percentage of requests that a bad version fails, and the factor on its step count.
    after_requests : int
        Number of requests that the new version serves before it turns bad.
    in_burst : bool
        Whether the new version is bad only during bursts.
    routes : tuple of str
        Routes on which the new version is bad.
    burst_factor : float
        Ratio of the load during bursts to the load outside.
    burst_error_percent : float
        Error rate of both versions during bursts.
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
    MoveKind("bad rare route", error_percent=90.0, routes=(RARE_ROUTE,)),
)


class RolloutPolicy(Protocol):
    """Control of a move, by a daemon's rollout code or by a baseline."""

    def version_for(self, request: Request) -> VersionId:
        """Return the version that serves a request."""
        ...

    def stopped(self) -> bool:
        """Return whether the new version is stopped and gets no more requests."""
        ...

    def versions_to_load(self) -> DesiredVersions:
        """Return the versions that the engines should have loaded."""
        ...

    def step(self) -> int:
        """Return the current step of the move, 0 before the first."""
        ...

    def record(
        self, step: int, route: RouteName, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Record the outcome and latency of a request."""
        ...

    def run_round(self, now_ms: int, ready: bool) -> list[MoveStep | MoveEnded]:
        """Decide on the move and return the records to append to the log."""
        ...


class EvidenceRollout:
    """One daemon's control of a move, based on gossiped evidence."""

    def __init__(self, host: HostId, document: ServiceDocument, seed: int) -> None:
        assert document.move is not None
        self._host = host
        self._rng = random.Random(f"{seed} gossip {host}")
        self.follower = MoveFollower()
        self.follower.set_document(SERVICE, PUBLISHED_OFFSET, document)
        self._evidence = Evidence(MOVE_ID, host, Incarnation(1), document.move.max_slowdown_percent)
        self._fleet_history, self._own_history = EvidenceHistory(MOVE_ID), EvidenceHistory(MOVE_ID)
        self._fact_store = FactStore()
        self.new_in_flight = 0

    def version_for(self, request: Request) -> VersionId:
        """Return the version that serves a request."""
        return self.follower.choose_version(SERVICE, request.request, self.new_in_flight, DAEMONS)

    def stopped(self) -> bool:
        """Return whether this daemon has stopped sending requests to the new version."""
        progress = self.follower.progress(SERVICE)
        assert progress is not None
        return progress.stopped or progress.result is MoveResult.UNDONE

    def versions_to_load(self) -> DesiredVersions:
        """Return the versions that the engines should have loaded."""
        return self.follower.desired_versions(SERVICE)

    def step(self) -> int:
        """Return the current step of the move, 0 before the first."""
        progress = self.follower.progress(SERVICE)
        assert progress is not None
        return progress.step or 0

    def record(
        self, step: int, route: RouteName, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Add the outcome and latency of a request to the evidence."""
        self._evidence.record(step, route, new=new, failed=failed, latency_ms=latency_ms)

    def take(self, facts: Sequence[Fact]) -> None:
        """Merge facts and apply the new ones to the evidence and the move's progress."""
        new = self._fact_store.merge(facts)
        self._fleet_history.apply_facts(new)
        self.follower.apply_facts(new)

    def run_round(self, now_ms: int, ready: bool) -> list[MoveStep | MoveEnded]:
        """Update the evidence, decide on the move and return the records to append."""
        self._update_evidence(now_ms)
        return self._decide(now_ms, ready)

    def gossip_messages(self, now_ms: int) -> list[Send]:
        """Return the messages of one gossip round."""
        peers = [host for host in HOSTS if host != self._host]
        return self._fact_store.gossip_round(self._rng, now_ms, peers)

    def _update_evidence(self, now_ms: int) -> None:
        facts = self._evidence.facts(now_ms)
        self._own_history.apply_facts(facts)
        self.take(facts)
        self._fleet_history.snapshot(now_ms)
        self._own_history.snapshot(now_ms)

    def _decide(self, now_ms: int, ready: bool) -> list[MoveStep | MoveEnded]:
        progress = self.follower.progress(SERVICE)
        assert progress is not None
        record: MoveStep | MoveEnded | None = None
        match decide_next_action(
            progress, [self._fleet_history, self._own_history], now_ms, now_ms, ready
        ):
            case AdvanceStep():
                requests_per_s = self._fleet_history.requests_per_s(now_ms)
                record = self.follower.next_step_record(SERVICE, self._host, requests_per_s)
            case CompleteMove():
                record = self.follower.end_record(SERVICE, MoveResult.DONE, "", self._host)
            case RollBack(why=why):
                record = self.follower.end_record(SERVICE, MoveResult.UNDONE, why, self._host)
            case StopVersion():
                self.take([stopped_fact(MOVE_ID, now_ms)])
        return [] if record is None else [record]


class FixedShareRollout:
    """Baseline with a fixed share, promoted to 100% after a fixed time without any checks."""

    def __init__(self, share_percent: int) -> None:
        self.share_percent = share_percent
        self.result: MoveResult | None = None
        self._started_ms: int | None = None

    def version_for(self, request: Request) -> VersionId:
        """Return the version that serves a request."""
        share_percent = 0 if self._started_ms is None else self.share_percent
        return NEW_VERSION if bucket(100, request.request, MOVE_ID) < share_percent else OLD_VERSION

    def stopped(self) -> bool:
        """Return False: the baseline never stops a version."""
        return False

    def versions_to_load(self) -> DesiredVersions:
        """Return both versions for the whole run."""
        return DesiredVersions((OLD_VERSION, NEW_VERSION), (), Offset(1))

    def step(self) -> int:
        """Return 1 once the move has started, 0 before."""
        return int(self._started_ms is not None)

    def record(
        self, step: int, route: RouteName, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Ignore the outcomes of requests."""

    def run_round(self, now_ms: int, ready: bool) -> list[MoveStep | MoveEnded]:
        """Start once the new version is loaded, and promote it after `PROMOTE_AFTER_MS`."""
        if self._started_ms is None:
            self._started_ms = now_ms if ready else None
        elif now_ms - self._started_ms >= PROMOTE_AFTER_MS and self.result is None:
            self.share_percent = 100
            self.result = MoveResult.DONE
        return []


@dataclass(slots=True)
class MoveLog:
    """Outcome of a simulated move.

    Attributes
    ----------
    affected : set of str
        Requests that the new version failed or slowed down.
    affected_before_stop : int
        Number of those that had ended when the first daemon learned of the stop.
    first_affected_ms : float, optional
        End of the first of them.
    stopped_ms : dict
        Time at which each daemon learned of the stop.
    requests_by_share : dict
        For each published share in percent, the requests sent to the new version and the total.
    dispatched_after_stop : int
        Attempts dispatched to the new version more than a gossip round and a network delay after
        the first daemon learned of its stop.
    met_deadline : bool
        Whether the move ended by its deadline.
    """

    result: MoveResult | None = None
    ended_ms: float | None = None
    met_deadline: bool = False
    affected: set[RequestId] = field(default_factory=set)
    affected_before_stop: int = 0
    first_affected_ms: float | None = None
    stopped_ms: dict[HostId, float] = field(default_factory=dict)
    requests_by_share: dict[int, list[int]] = field(default_factory=dict)
    dispatched_after_stop: int = 0


class MoveSession(Session):
    """A session during which the service moves to a new version."""

    def __init__(
        self, seed: int, kind: MoveKind, policy: str, requests_per_s: int, plan: VersionMove
    ) -> None:
        document = make_document(ROUTES, plan)
        self.log = MoveLog()
        self.kind = kind
        self._plan = plan
        self._rollouts = _make_rollouts(policy, document, seed)
        self._step_by_attempt: dict[AttemptId, int] = {}
        self._new_version_requests = 0
        self._record_count = 0
        self._appending_hosts: set[HostId] = set()
        self._log_follower = MoveFollower()
        self._log_follower.set_document(SERVICE, PUBLISHED_OFFSET, document)
        self._loading: dict[UpstreamId, VersionId] = {}
        self._fencing: dict[UpstreamId, int] = {}
        self._weight_store_free_ms = 0.0
        engines = [FakeEngine(upstream_name(i), ENGINE_SPEED) for i in range(ENGINES)]
        for engine in engines:
            engine.versions = {OLD_VERSION}
        deciders = [
            Scheduler(
                host,
                document,
                random.Random(f"{seed} {host}"),
                choose_version=self._rollouts[host].version_for,
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
        duration_ms = plan.by_ms - START_MS + RUN_AFTER_END_MS
        arrivals = list(generate_arrivals(rng, requests_per_s, duration_ms, bursts, ROUTES))
        super().__init__(seed, engines, deciders, arrivals, kind.faults, duration_ms)
        for i, host in enumerate(HOSTS):
            self._events.push(START_MS + 100 * i, partial(self._run_rollout_round, host))
        self._events.push(START_MS, self._reconcile_engines)

    def _tick(self, host: HostId) -> None:
        self._execute_actions(host, self._deciders[host].tick(int(self._now_ms)))
        self._events.push(self._now_ms + MOVE_TICK_MS, partial(self._tick, host))

    def _run_rollout_round(self, host: HostId) -> None:
        """Run one decision and gossip round of a daemon."""
        rollout = self._rollouts[host]
        now_ms = int(self._now_ms)
        self._append_record(host, rollout.run_round(now_ms, self._new_version_ready()))
        if isinstance(rollout, EvidenceRollout):
            for send in rollout.gossip_messages(now_ms):
                self._schedule_after_network_delay(partial(self._receive_gossip, send))
        elif isinstance(rollout, FixedShareRollout) and rollout.result is not None:
            self._end_move(rollout.result)
        self._record_stop(host)
        self._events.push(self._now_ms + GOSSIP_ROUND_MS, partial(self._run_rollout_round, host))

    def _new_version_ready(self) -> bool:
        return all(
            NEW_VERSION in engine.versions for engine in self._engines.values() if not engine.down
        )

    def _receive_gossip(self, send: Send) -> None:
        assert isinstance(send.message, Gossip)
        rollout = self._rollouts[send.to]
        if isinstance(rollout, EvidenceRollout):
            rollout.take(send.message.facts)
            self._record_stop(send.to)

    def _record_stop(self, host: HostId) -> None:
        if not self._rollouts[host].stopped() or host in self.log.stopped_ms:
            return
        if not self.log.stopped_ms:
            self.log.affected_before_stop = len(self.log.affected)
        self.log.stopped_ms[host] = self._now_ms

    def _append_record(self, host: HostId, records: Sequence[MoveStep | MoveEnded]) -> None:
        """Append to the log, with at most one append in flight per daemon."""
        if not records or host in self._appending_hosts:
            return
        self._appending_hosts.add(host)
        self._events.push(
            self._now_ms + LOG_LATENCY_MS, partial(self._on_record_appended, host, records[0])
        )

    def _on_record_appended(self, author: HostId, record: MoveStep | MoveEnded) -> None:
        offset, at_ms = Offset(self._record_count), int(self._now_ms)
        self._record_count += 1
        self._log_follower.apply_record(offset, at_ms, record)
        progress = self._log_follower.progress(SERVICE)
        assert progress is not None
        if progress.result is not None:
            self._end_move(progress.result)
        for i, host in enumerate(HOSTS):
            self._events.push(
                at_ms + LOG_LATENCY_MS * (i + 1),
                partial(self._deliver_record, host, offset, at_ms, record),
            )
        self._events.push(
            at_ms + LOG_LATENCY_MS * (DAEMONS + 1), partial(self._appending_hosts.discard, author)
        )

    def _deliver_record(
        self, host: HostId, offset: Offset, at_ms: int, record: MoveStep | MoveEnded
    ) -> None:
        rollout = self._rollouts[host]
        if isinstance(rollout, EvidenceRollout):
            rollout.follower.apply_record(offset, at_ms, record)
            self._record_stop(host)

    def _end_move(self, result: MoveResult) -> None:
        if self.log.result is None:
            self.log.result = result
            self.log.ended_ms = self._now_ms
            self.log.met_deadline = self._now_ms <= self._plan.by_ms
            self._end_ms = min(self._end_ms, int(self._now_ms) + RUN_AFTER_END_MS)

    def _reconcile_engines(self) -> None:
        """Apply the load and unload orders of the first daemon to the engines."""
        self._events.push(self._now_ms + GOSSIP_ROUND_MS, self._reconcile_engines)
        reported = {
            name: ReportedVersions(
                frozenset(engine.versions),
                frozenset({self._loading[name]} if name in self._loading else ()),
            )
            for name, engine in self._engines.items()
            if not engine.down
        }
        for order in reconcile(reported, self._rollouts[HOSTS[0]].versions_to_load()):
            if order.fencing < self._fencing.get(order.upstream, 0):
                continue
            self._fencing[order.upstream] = order.fencing
            engine = self._engines[order.upstream]
            if order.action is VersionOrderAction.UNLOAD:
                engine.versions.discard(order.version)
                continue
            self._loading[order.upstream] = order.version
            self._weight_store_free_ms = (
                max(self._now_ms, self._weight_store_free_ms) + WEIGHT_LOAD_MS
            )
            load_finished = partial(self._finish_load, engine, engine.epoch, order.version)
            self._events.push(self._weight_store_free_ms, load_finished)

    def _finish_load(self, engine: FakeEngine, epoch: int, version: VersionId) -> None:
        if engine.epoch == epoch:
            engine.versions.add(version)
            del self._loading[engine.upstream]

    def _begin_fault(self, fault: Fault) -> None:
        super()._begin_fault(fault)
        engine = list(self._engines.values())[fault.engine]
        if engine.down:
            engine.versions = {OLD_VERSION}
            self._loading.pop(engine.upstream, None)

    def _dispatch(self, host: HostId, dispatch: Dispatch) -> None:
        new = dispatch.version == NEW_VERSION
        self._step_by_attempt[dispatch.attempt] = self._rollouts[host].step()
        if self.logs[dispatch.request].attempts == 0 and self.log.result is None:
            share_counts = self.log.requests_by_share.setdefault(self._published_percent(), [0, 0])
            share_counts[0] += new
            share_counts[1] += 1
        if new and self.log.stopped_ms:
            first_stop_ms = min(self.log.stopped_ms.values())
            self.log.dispatched_after_stop += (
                self._now_ms > first_stop_ms + GOSSIP_ROUND_MS + NETWORK_MS
            )
        self._adjust_in_flight(host, dispatch, 1)
        super()._dispatch(host, dispatch)

    def _adjust_in_flight(self, host: HostId, dispatch: Dispatch, change: int) -> None:
        rollout = self._rollouts[host]
        if isinstance(rollout, EvidenceRollout) and dispatch.version == NEW_VERSION:
            rollout.new_in_flight += change

    def _published_percent(self) -> int:
        rollout = self._rollouts[HOSTS[0]]
        if isinstance(rollout, FixedShareRollout):
            return rollout.share_percent if rollout.step() else 0
        progress = self._log_follower.progress(SERVICE)
        assert progress is not None
        return share_of_step(self._plan, progress.step or 0) or 0

    def _start_attempt(self, running: Running) -> None:
        dispatch = running.dispatch
        if dispatch.attempt in self._attempts and dispatch.version not in running.engine.versions:
            self._finish_attempt(running, AttemptResult.NOT_STARTED)
            return
        super()._start_attempt(running)
        if running.sequence is None:
            return
        kind, new = self.kind, dispatch.version == NEW_VERSION
        self._new_version_requests += new
        route = self.logs[dispatch.request].arrival.route.name
        is_misbehaving = (
            new and route in kind.routes and self._new_version_requests > kind.after_requests
        )
        if kind.in_burst:
            is_misbehaving = is_misbehaving and self._in_burst()
        if is_misbehaving:
            running.sequence.slowdown = kind.slowdown
        percent = BASE_ERROR_PERCENT
        if self._in_burst():
            percent = max(percent, kind.burst_error_percent)
        caused_by_version = is_misbehaving and self._rng.random() * 100 < kind.error_percent
        if caused_by_version or self._rng.random() * 100 < percent:
            running.sequence.slowdown = _NEVER_COMPLETES_SLOWDOWN
            fail_later = partial(self._fail_attempt, running, caused_by_version)
            self._events.push(self._now_ms + ERROR_LATENCY_MS, fail_later)

    def _in_burst(self) -> bool:
        at_ms = self._now_ms - START_MS
        return any(start_ms <= at_ms < end_ms for start_ms, end_ms in BURST_TIMES_MS)

    def _fail_attempt(self, running: Running, caused_by_version: bool) -> None:
        if running.dispatch.attempt not in self._attempts:
            return
        running.engine.cancel(running.dispatch.attempt)
        if caused_by_version:
            self._record_affected(running)
        self._finish_attempt(running, AttemptResult.FAILED)

    def _record_affected(self, running: Running) -> None:
        if self.log.first_affected_ms is None:
            self.log.first_affected_ms = self._now_ms
        self.log.affected.add(running.dispatch.request)

    def _finish_attempt(self, running: Running, result: AttemptResult) -> None:
        dispatch, sequence = running.dispatch, running.sequence
        step = self._step_by_attempt.pop(dispatch.attempt)
        if result is AttemptResult.COMPLETED and sequence is not None and sequence.slowdown > 1:
            self._record_affected(running)
        end = self._attempt_end(running, result)
        self._adjust_in_flight(running.host, dispatch, -1)
        super()._finish_attempt(running, result)
        failed = result in (AttemptResult.FAILED, AttemptResult.CRASHED)
        if failed or (result is AttemptResult.COMPLETED and end.between_tokens_ms is not None):
            self._rollouts[running.host].record(
                step,
                self.logs[dispatch.request].arrival.route.name,
                new=dispatch.version == NEW_VERSION,
                failed=failed,
                latency_ms=end.between_tokens_ms or 0,
            )


def _make_rollouts(
    policy: str, document: ServiceDocument, seed: int
) -> dict[HostId, RolloutPolicy]:
    match policy:
        case "skylarkmoor":
            return {host: EvidenceRollout(host, document, seed) for host in HOSTS}
        case "all at once":
            return dict.fromkeys(HOSTS, FixedShareRollout(100))
        case "fixed 10%":
            return dict.fromkeys(HOSTS, FixedShareRollout(10))
        case _:
            raise ValueError(f"unknown rollout policy {policy!r}")


def run_move(seed: int, kind: MoveKind, policy: str, requests_per_s: int) -> MoveLog:
    """Simulate one move and return its outcome."""
    plan = VersionMove(version=NEW_VERSION, by_ms=START_MS + DEADLINE_MS_BY_RATE[requests_per_s])
    session = MoveSession(seed, kind, policy, requests_per_s, plan)
    session.run()
    return session.log
