"""Version moves: request counts, steps recorded in the log and orders to engines."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from skylarkmoor_clients.logservice import LogEntry
from skylarkmoor_core.errors import MessageError, PlatformError, UpstreamError
from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.ids import (
    HostId,
    MoveId,
    RequestId,
    ServiceName,
    UpstreamId,
    VersionId,
)
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_core.records import AuditEntry, MoveEnded, MoveResult, MoveStep
from skylarkmoor_daemon.claiming import ClaimLog
from skylarkmoor_daemon.context import DaemonContext
from skylarkmoor_daemon.documents import DocumentInForce
from skylarkmoor_daemon.service import UpstreamState
from skylarkmoor_daemon.shared import SharedState
from skylarkmoor_daemon.upstreams import OrderAnswer, OrderKind, UpstreamClient
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request
from skylarkmoor_policy.rollout import (
    AdvanceStep,
    CompleteMove,
    EndAccepted,
    Evidence,
    EvidenceHistory,
    KeepWaiting,
    MoveFollower,
    MoveProgress,
    ReportedVersions,
    RollBack,
    StepAccepted,
    StopVersion,
    VersionOrder,
    VersionOrderAction,
    decide_next_action,
    reconcile,
    share_of_step,
    stopped_fact,
)
from skylarkmoor_process.tasks import Tasks

__all__ = ["Rollout", "RolloutContext"]

_MOVES_STREAM = "moves"
_PAGE_SIZE = 100
_LONG_POLL_MS = 1_000
_READ_PAUSE_MS = 20
_DECISION_INTERVAL_MS = 500
_RECONCILE_INTERVAL_MS = 1_000
# Each daemon in rendezvous order waits this much longer than the one before it, so that it
# appends a record only if those have failed to.
_FAILOVER_DELAY_MS = 3_000
# A record that was appended but not read back is appended again after this time.
_APPEND_RETRY_MS = 2_000
# The end of a move is appended again before the log's retention, at least an hour, drops it.
_REAPPEND_END_AFTER_MS = 1_800_000
# A load is ordered again if the engine does not report the version within this time.
_LOAD_TIMEOUT_MS = 120_000

_log = part_logger("rollout")


class RolloutContext(DaemonContext, Protocol):
    """Interface of the daemon that `Rollout` uses."""

    def owner_of(self, key: str) -> HostId | None:
        """Return the rendezvous owner of `key` among the eligible daemons."""

    def live_hosts(self) -> Iterable[HostId]:
        """Return the daemons that may own state, including this one if it is eligible."""

    def engines_of(self, service: ServiceName) -> Mapping[UpstreamId, UpstreamState] | None:
        """Return the engines of a service that accept version orders, None for a plain service."""

    def upstreams_of(self, service: ServiceName) -> Sequence[UpstreamState]:
        """Return the upstreams of a service that are not leaving and respond to report polls."""


@dataclass(slots=True)
class _MoveState:
    """Request counts and append timing of one move on this daemon."""

    evidence: Evidence
    fleet_history: EvidenceHistory
    local_history: EvidenceHistory
    # The record that the last decision requires, and since when without change.
    pending_record: MoveStep | MoveEnded | None = None
    pending_since_ms: int = 0
    appended_record: MoveStep | MoveEnded | None = None
    appended_ms: int = 0
    why: str = ""


@dataclass(slots=True)
class _RecordedEnd:
    """The recorded end of a move; `at_ms` is the log's timestamp of its latest record."""

    record: MoveEnded
    at_ms: int


@dataclass(slots=True)
class _EngineOrders:
    """Version orders sent to an engine.

    `load_ordered_ms` holds when each load was ordered, until it is reported or times out.
    """

    load_ordered_ms: dict[VersionId, int] = field(default_factory=dict)
    order_in_flight: bool = False


@dataclass(frozen=True, slots=True)
class _DispatchedRequest:
    """Move and step at which a running request was dispatched, and whether to the new version."""

    move: MoveId
    step: int
    new: bool


class Rollout:
    """Drives the version moves on this daemon.

    It counts the results of requests, appends due steps and ends to the log, and orders engines
    to load and unload versions.

    Parameters
    ----------
    daemon : RolloutContext
        The daemon that it belongs to.
    log : ClaimLog
        Client of the log service.
    shared : SharedState
        Distributes request counts and stops of versions among the daemons.
    tasks : Tasks
        Runs periodic work, appends and orders.
    """

    def __init__(
        self, daemon: RolloutContext, log: ClaimLog, shared: SharedState, tasks: Tasks
    ) -> None:
        self._daemon = daemon
        self._log_client = log
        self._shared = shared
        self._tasks = tasks
        self._follower = MoveFollower()
        self._caught_up = False
        self._services: dict[ServiceName, VersionId] = {}
        self._moves: dict[MoveId, _MoveState] = {}
        self._recorded_ends: dict[ServiceName, _RecordedEnd] = {}
        self._dispatched: dict[RequestId, _DispatchedRequest] = {}
        # Requests of this daemon that run on the new version of a move.
        self._new_in_flight: Counter[MoveId] = Counter()
        self._orders: dict[UpstreamId, _EngineOrders] = {}

    def start(self) -> None:
        """Start reading the log, deciding on moves and sending orders to engines."""
        self._tasks.repeat(_READ_PAUSE_MS, self._read_stream)
        self._tasks.every(_DECISION_INTERVAL_MS, self._decide_all)
        self._tasks.every(_RECONCILE_INTERVAL_MS, self._reconcile_all)

    def follow_document(self, entry: DocumentInForce) -> None:
        """Apply a document that came into force and drop the state of obsolete moves."""
        document = entry.document
        self._services[document.service] = document.version
        self._follower.set_document(document.service, entry.published, document)
        current = [self._follower.progress(service) for service in self._services]
        requested = {progress.move for progress in current if progress is not None}
        self._moves = {
            move: move_state for move, move_state in self._moves.items() if move in requested
        }

    def version_for(self, service: ServiceName, request: RequestId) -> VersionId:
        """Return the version that serves a request."""
        progress = self._follower.progress(service)
        in_flight = 0 if progress is None else self._new_in_flight[progress.move]
        daemons = len(list(self._daemon.live_hosts()))
        return self._follower.choose_version(service, request, in_flight, max(1, daemons))

    def is_stopped(self, service: ServiceName, version: VersionId) -> bool:
        """Return whether `version` is the new version of a move and was stopped."""
        progress = self._follower.progress(service)
        return progress is not None and progress.stopped and progress.move_plan.version == version

    def attempt_started(self, service: ServiceName, request: RequestId, version: VersionId) -> None:
        """Record the move's step at which a request is dispatched."""
        progress = self._follower.progress(service)
        if progress is None or progress.result is not None:
            return
        new = version == progress.move_plan.version
        self._dispatched[request] = _DispatchedRequest(progress.move, progress.step or 0, new)
        self._new_in_flight[progress.move] += new

    def attempt_ended(self, service: ServiceName, request: Request, end: AttemptEnd) -> None:
        """Count the result of an attempt for the move that it was dispatched under."""
        dispatched = self._dispatched.pop(request.request, None)
        if dispatched is None:
            return
        self._new_in_flight[dispatched.move] -= dispatched.new
        progress = self._follower.progress(service)
        if progress is None or progress.move != dispatched.move or progress.result is not None:
            return
        if end.version not in (progress.old_version, progress.move_plan.version):
            return
        failed = self._has_failed(request, end)
        latency_ms = end.between_tokens_ms
        if latency_ms is None:
            latency_ms = end.first_token_ms
        completed = end.result is AttemptResult.COMPLETED and latency_ms is not None
        if failed or completed:
            self._move_state(progress).evidence.record(
                dispatched.step,
                request.route,
                new=end.version == progress.move_plan.version,
                failed=failed,
                latency_ms=latency_ms or 0,
            )

    def apply_facts(self, facts: Sequence[Fact]) -> None:
        """Apply facts that are new on this daemon."""
        self._follower.apply_facts(facts)
        evidence = [fact for fact in facts if fact.kind is FactKind.EVIDENCE]
        if evidence:
            for service in self._services:
                progress = self._follower.progress(service)
                if progress is not None:
                    self._move_state(progress).fleet_history.apply_facts(evidence)

    def status(self) -> list[Mapping[str, object]]:
        """Return the progress of the moves requested by the documents in force."""
        statuses: list[Mapping[str, object]] = []
        for service in sorted(self._services):
            progress = self._follower.progress(service)
            if progress is not None:
                statuses.append(self._move_status(progress))
        return statuses

    def _has_failed(self, request: Request, end: AttemptEnd) -> bool:
        if end.result in (AttemptResult.FAILED, AttemptResult.CRASHED):
            return True
        # A version that hangs never ends an attempt, so one abandoned at its deadline is a failure.
        late = self._daemon.clock.now_ms() >= request.deadline_ms
        return end.result is AttemptResult.ABANDONED and late

    def _move_state(self, progress: MoveProgress) -> _MoveState:
        move = self._moves.get(progress.move)
        if move is None:
            daemon = self._daemon
            move = self._moves[progress.move] = _MoveState(
                Evidence(
                    progress.move,
                    daemon.host,
                    daemon.incarnation,
                    progress.move_plan.max_slowdown_percent,
                ),
                EvidenceHistory(progress.move),
                EvidenceHistory(progress.move),
            )
            move.fleet_history.apply_facts(self._shared.facts.of_kind(FactKind.EVIDENCE))
        return move

    def _move_status(self, progress: MoveProgress) -> Mapping[str, object]:
        ended = self._recorded_ends.get(progress.service)
        why = self._move_state(progress).why
        if ended is not None and ended.record.move == progress.move:
            why = ended.record.why
        return {
            "service": progress.service,
            "move": progress.move,
            "old": progress.old_version,
            "new": progress.move_plan.version,
            "by_ms": progress.move_plan.by_ms,
            "step": progress.step,
            "share_percent": progress.share_percent,
            "stopped": progress.stopped,
            "result": None if progress.result is None else progress.result.value,
            "why": why,
        }

    async def _read_stream(self) -> None:
        wait_ms = _LONG_POLL_MS if self._caught_up else 0
        page = await self._log_client.read(
            _MOVES_STREAM, self._follower.next_offset, _PAGE_SIZE, wait_ms
        )
        self._follower.skip_to(page.first)
        for entry in page.records:
            self._apply_entry(entry)
        self._caught_up = self._caught_up or not page.records

    def _apply_entry(self, entry: LogEntry) -> None:
        record = entry.record or MessageError(entry.error)
        if isinstance(record, MoveEnded):
            self._recorded_ends[record.service] = _RecordedEnd(record, entry.at_ms)
        match self._follower.apply_record(entry.offset, entry.at_ms, record):
            case StepAccepted(move=move, share_percent=share_percent):
                extra = {"move": move, "share_percent": share_percent}
                _log.info("move advanced to its next step", extra=extra)
            case EndAccepted(move=move, result=result, why=why):
                _log.info("move ended", extra={"move": move, "result": result, "why": why})

    def _decide_all(self) -> None:
        for service in self._services:
            progress = self._follower.progress(service)
            if progress is not None:
                self._decide(progress)
                self._daemon.metrics.share(service, progress.share_percent)

    def _decide(self, progress: MoveProgress) -> None:
        clock = self._daemon.clock
        now_ms, wall_ms = clock.now_ms(), clock.wall_ms()
        move = self._move_state(progress)
        facts = move.evidence.facts(wall_ms)
        move.local_history.apply_facts(facts)
        self._shared.publish_facts(facts)
        move.fleet_history.snapshot(now_ms)
        move.local_history.snapshot(now_ms)
        self._reappend_end_if_due(progress, move, now_ms, wall_ms)
        histories = (move.fleet_history, move.local_history)
        match decide_next_action(
            progress, histories, now_ms, wall_ms, self._is_next_step_loaded(progress)
        ):
            case KeepWaiting():
                move.pending_record = None
            case StopVersion(why=why):
                _log.warning(
                    "stopped the new version of a move", extra={"move": progress.move, "why": why}
                )
                move.why = why
                # The counts go along, as the daemon that appends the end needs them by then.
                stop = stopped_fact(progress.move, wall_ms)
                self._shared.publish_facts([*facts, stop], at_once=True)
            case AdvanceStep():
                rate = move.fleet_history.requests_per_s(now_ms)
                step = self._follower.next_step_record(progress.service, self._daemon.host, rate)
                self._append_if_due(progress, move, step, now_ms)
            case CompleteMove():
                self._append_if_due(
                    progress, move, self._end_record(progress, MoveResult.DONE, ""), now_ms
                )
            case RollBack(why=why):
                # Keep the first reason: a changed record would restart the failover delay.
                move.why = move.why or why
                record = self._end_record(progress, MoveResult.UNDONE, move.why)
                self._append_if_due(progress, move, record, now_ms)

    def _end_record(self, progress: MoveProgress, result: MoveResult, why: str) -> MoveEnded | None:
        return self._follower.end_record(progress.service, result, why, self._daemon.host)

    def _append_if_due(
        self,
        progress: MoveProgress,
        move: _MoveState,
        record: MoveStep | MoveEnded | None,
        now_ms: int,
    ) -> None:
        """Append `record` once this daemon's failover delay for it has passed."""
        if record is None or not self._caught_up:
            return
        if record != move.pending_record:
            move.pending_record, move.pending_since_ms = record, now_ms
        order = rendezvous_order(f"move/{progress.move}", self._daemon.live_hosts())
        if now_ms - move.pending_since_ms < order.index(self._daemon.host) * _FAILOVER_DELAY_MS:
            return
        if record == move.appended_record and now_ms - move.appended_ms < _APPEND_RETRY_MS:
            return
        move.appended_record, move.appended_ms = record, now_ms
        self._tasks.spawn(self._append(progress, record))

    async def _append(self, progress: MoveProgress, record: MoveStep | MoveEnded) -> None:
        # Readers discard duplicate and racing records, so after a lost response it is enough that
        # a later decision appends the record again.
        try:
            offset = await self._log_client.append(_MOVES_STREAM, record)
            audit = AuditEntry(
                who=self._daemon.host,
                what=f"move {progress.move} to {progress.move_plan.version}",
                before=f"{progress.share_percent}%",
                after=_audit_after(record),
                at_ms=self._daemon.clock.wall_ms(),
                stream=_MOVES_STREAM,
                offset=offset,
            )
            await self._log_client.append("audit", audit)
        except PlatformError as error:
            _log.warning("could not append a move record to the log", extra={"error": str(error)})

    def _reappend_end_if_due(
        self, progress: MoveProgress, move: _MoveState, now_ms: int, wall_ms: int
    ) -> None:
        ended = self._recorded_ends.get(progress.service)
        if progress.result is None or ended is None or ended.record.move != progress.move:
            return
        if wall_ms - ended.at_ms >= _REAPPEND_END_AFTER_MS:
            record = self._end_record(progress, progress.result, ended.record.why)
            self._append_if_due(progress, move, record, now_ms)

    def _is_next_step_loaded(self, progress: MoveProgress) -> bool:
        """Return whether enough upstreams have loaded the new version for the next step's share."""
        states = self._daemon.upstreams_of(progress.service)
        loaded = sum(
            state.load is not None and progress.move_plan.version in state.load.versions
            for state in states
        )
        if not loaded or self._daemon.engines_of(progress.service) is None:
            # Plain services run each version on separate upstreams.
            return bool(loaded)
        step = 0 if progress.step is None else progress.step + 1
        share_percent = share_of_step(progress.move_plan, step) or 0
        return loaded * 100 >= len(states) * share_percent

    def _reconcile_all(self) -> None:
        for service in self._services:
            owner = self._daemon.owner_of(f"orders/{service}")
            engines = self._daemon.engines_of(service)
            if owner == self._daemon.host and engines and self._caught_up:
                self._reconcile_service(service, engines)

    def _reconcile_service(
        self, service: ServiceName, engines: Mapping[UpstreamId, UpstreamState]
    ) -> None:
        desired = self._follower.desired_versions(service)
        progress = self._follower.progress(service)
        has_first_step = progress is not None and progress.step is not None
        if not desired.fencing and not has_first_step:
            # No step in the log authorises orders yet.
            return
        reported = {
            upstream: self._reported_versions(upstream, state)
            for upstream, state in engines.items()
            if state.load is not None and not state.silent
        }
        for order in reconcile(reported, desired):
            self._tasks.spawn(self._send_order(engines[order.upstream].client, order))

    def _reported_versions(self, upstream: UpstreamId, state: UpstreamState) -> ReportedVersions:
        now_ms = self._daemon.clock.now_ms()
        loaded = frozenset(() if state.load is None else state.load.versions)
        orders = self._orders.setdefault(upstream, _EngineOrders())
        orders.load_ordered_ms = {
            version: at_ms
            for version, at_ms in orders.load_ordered_ms.items()
            if version not in loaded and now_ms - at_ms < _LOAD_TIMEOUT_MS
        }
        return ReportedVersions(loaded, frozenset(orders.load_ordered_ms))

    async def _send_order(self, client: UpstreamClient, order: VersionOrder) -> None:
        """Send an order to an engine; the engine's next report shows the effect."""
        orders = self._orders.setdefault(order.upstream, _EngineOrders())
        if orders.order_in_flight:
            return
        orders.order_in_flight = True
        extra: dict[str, object] = {
            "upstream": order.upstream,
            "version": order.version,
            "fencing": order.fencing,
        }
        kind = OrderKind.LOAD if order.action is VersionOrderAction.LOAD else OrderKind.UNLOAD
        try:
            answer = await client.order(kind, order.version, order.fencing)
        except UpstreamError as error:
            _log.warning(
                "could not send a version order to an engine", extra={**extra, "error": str(error)}
            )
            return
        finally:
            orders.order_in_flight = False
        if answer is OrderAnswer.STALE_TOKEN:
            _log.warning(
                "an engine rejected a version order with an outdated fencing token", extra=extra
            )
        elif order.action is VersionOrderAction.LOAD:
            orders.load_ordered_ms[order.version] = self._daemon.clock.now_ms()
        _log.info("sent a version order to an engine", extra={**extra, "order": kind.value})


def _audit_after(record: MoveStep | MoveEnded) -> str:
    match record:
        case MoveStep(share_percent=share_percent):
            return f"{share_percent}%"
        case MoveEnded(result=result, why=why):
            return f"{result.value}: {why}" if why else result.value
