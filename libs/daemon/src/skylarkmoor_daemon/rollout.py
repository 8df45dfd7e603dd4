"""Moves to new versions: evidence, steps in the log and orders to engines."""

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
from skylarkmoor_daemon.documents import InForce
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

__all__ = ["Rollout", "RolloutHost"]

_STREAM = "moves"
_PAGE = 100
_WAIT_MS = 1_000
_PAUSE_MS = 20
_JUDGE_MS = 500
_ORDERS_MS = 1_000
# The next daemon in rendezvous order steps in if the ones before it do not act for this long.
_RANK_DELAY_MS = 3_000
# An append whose record has not been read yet is not repeated before this time.
_APPEND_PAUSE_MS = 2_000
# A move's end is repeated well before retention ends.
_REPEAT_END_MS = 1_800_000
# A load that is not reported as done by then is ordered again.
_LOAD_LIMIT_MS = 120_000

_log = part_logger("rollout")


class RolloutHost(DaemonContext, Protocol):
    """What rollout needs of the daemon."""

    def owner_of(self, key: str) -> HostId | None:
        """Return the rendezvous owner of `key` among the live daemons."""

    def live_hosts(self) -> Iterable[HostId]:
        """Return the live daemons, this one among them."""

    def engines_of(self, service: ServiceName) -> Mapping[UpstreamId, UpstreamState] | None:
        """Return the engines of a service that take orders, None for a plain service."""

    def upstreams_of(self, service: ServiceName) -> Sequence[UpstreamState]:
        """Return the upstreams of a service that are not leaving and answer reports."""


@dataclass(slots=True)
class _Move:
    """Evidence and timing of one move at this daemon."""

    evidence: Evidence
    fleet: EvidenceHistory
    own: EvidenceHistory
    # The record that the last decision asked for, and since when.
    due: MoveStep | MoveEnded | None = None
    due_ms: int = 0
    appended: MoveStep | MoveEnded | None = None
    appended_ms: int = 0
    why: str = ""


@dataclass(slots=True)
class _Ended:
    """The recorded end of a move; `at_ms` is the log's time of its last record."""

    record: MoveEnded
    at_ms: int


@dataclass(slots=True)
class _Orders:
    """Loads ordered from an engine, by version, with the time of the order."""

    loads_ms: dict[VersionId, int] = field(default_factory=dict)
    busy: bool = False


@dataclass(frozen=True, slots=True)
class _Dispatched:
    """Move and step at which a running request was dispatched, and whether to the new version."""

    move: MoveId
    step: int
    new: bool


class Rollout:
    """Carries out the decisions about moves on this daemon.

    Parameters
    ----------
    daemon : RolloutHost
        The daemon.
    log : ClaimLog
        Client of the log.
    shared : SharedState
        Spreads evidence and stops.
    tasks : Tasks
        Runs reads, appends and orders.
    """

    def __init__(
        self, daemon: RolloutHost, log: ClaimLog, shared: SharedState, tasks: Tasks
    ) -> None:
        self._daemon = daemon
        self._log = log
        self._shared = shared
        self._tasks = tasks
        self._follower = MoveFollower()
        self._caught_up = False
        self._services: dict[ServiceName, VersionId] = {}
        self._moves: dict[MoveId, _Move] = {}
        self._ended: dict[ServiceName, _Ended] = {}
        self._dispatched: dict[RequestId, _Dispatched] = {}
        # Requests that run on the new version of a move by way of this daemon.
        self._new_in_flight: Counter[MoveId] = Counter()
        self._orders: dict[UpstreamId, _Orders] = {}

    def start(self) -> None:
        """Begin to follow the log and to judge."""
        self._tasks.repeat(_PAUSE_MS, self._read)
        self._tasks.every(_JUDGE_MS, self._judge_all)
        self._tasks.every(_ORDERS_MS, self._order_all)

    def follow(self, entry: InForce) -> None:
        """Take a document that came into force."""
        document = entry.document
        self._services[document.service] = document.version
        self._follower.set_document(document.service, entry.published, document)
        current = [self._follower.progress(service) for service in self._services]
        wanted = {progress.move for progress in current if progress is not None}
        self._moves = {move: kept for move, kept in self._moves.items() if move in wanted}

    def version_for(self, service: ServiceName, request: RequestId) -> VersionId:
        """Return the version that a request takes."""
        progress = self._follower.progress(service)
        in_flight = 0 if progress is None else self._new_in_flight[progress.move]
        daemons = len(list(self._daemon.live_hosts()))
        return self._follower.choose_version(service, request, in_flight, max(1, daemons))

    def is_stopped(self, service: ServiceName, version: VersionId) -> bool:
        """Return whether `version` is a new version that was stopped."""
        progress = self._follower.progress(service)
        return progress is not None and progress.stopped and progress.move_plan.version == version

    def started(self, service: ServiceName, request: RequestId, version: VersionId) -> None:
        """Note the step at which a request is dispatched."""
        progress = self._follower.progress(service)
        if progress is None or progress.result is not None:
            return
        new = version == progress.move_plan.version
        self._dispatched[request] = _Dispatched(progress.move, progress.step or 0, new)
        self._new_in_flight[progress.move] += new

    def ended(self, service: ServiceName, request: Request, end: AttemptEnd) -> None:
        """Count an attempt's end as evidence."""
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
            self._move(progress).evidence.record(
                dispatched.step,
                request.route,
                new=end.version == progress.move_plan.version,
                failed=failed,
                latency_ms=latency_ms or 0,
            )

    def apply(self, facts: Sequence[Fact]) -> None:
        """Take facts that are new on this daemon."""
        self._follower.apply_facts(facts)
        evidence = [fact for fact in facts if fact.kind is FactKind.EVIDENCE]
        if evidence:
            for service in self._services:
                progress = self._follower.progress(service)
                if progress is not None:
                    self._move(progress).fleet.apply_facts(evidence)

    def status(self) -> list[Mapping[str, object]]:
        """Return the moves that the documents in force ask for."""
        found: list[Mapping[str, object]] = []
        for service in sorted(self._services):
            progress = self._follower.progress(service)
            if progress is not None:
                found.append(self._move_status(progress))
        return found

    def _has_failed(self, request: Request, end: AttemptEnd) -> bool:
        if end.result in (AttemptResult.FAILED, AttemptResult.CRASHED):
            return True
        # A version that hangs ends no attempt by itself.
        late = self._daemon.clock.now_ms() >= request.deadline_ms
        return end.result is AttemptResult.ABANDONED and late

    def _move(self, progress: MoveProgress) -> _Move:
        move = self._moves.get(progress.move)
        if move is None:
            daemon = self._daemon
            move = self._moves[progress.move] = _Move(
                Evidence(
                    progress.move,
                    daemon.host,
                    daemon.incarnation,
                    progress.move_plan.max_slowdown_percent,
                ),
                EvidenceHistory(progress.move),
                EvidenceHistory(progress.move),
            )
            move.fleet.apply_facts(self._shared.facts.of_kind(FactKind.EVIDENCE))
        return move

    def _move_status(self, progress: MoveProgress) -> Mapping[str, object]:
        ended = self._ended.get(progress.service)
        why = self._move(progress).why
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

    async def _read(self) -> None:
        wait_ms = _WAIT_MS if self._caught_up else 0
        page = await self._log.read(_STREAM, self._follower.next_offset, _PAGE, wait_ms)
        self._follower.skip_to(page.first)
        for entry in page.records:
            self._apply(entry)
        self._caught_up = self._caught_up or not page.records

    def _apply(self, entry: LogEntry) -> None:
        record = entry.record or MessageError(entry.error)
        if isinstance(record, MoveEnded):
            self._ended[record.service] = _Ended(record, entry.at_ms)
        match self._follower.apply_record(entry.offset, entry.at_ms, record):
            case StepAccepted(move=move, share_percent=share_percent):
                extra = {"move": move, "share_percent": share_percent}
                _log.info("a move took a step", extra=extra)
            case EndAccepted(move=move, result=result, why=why):
                _log.info("a move ended", extra={"move": move, "result": result, "why": why})

    def _judge_all(self) -> None:
        for service in self._services:
            progress = self._follower.progress(service)
            if progress is not None:
                self._judge(progress)
                self._daemon.metrics.share(service, progress.share_percent)

    def _judge(self, progress: MoveProgress) -> None:
        clock = self._daemon.clock
        now_ms, wall_ms = clock.now_ms(), clock.wall_ms()
        move = self._move(progress)
        facts = move.evidence.facts(wall_ms)
        move.own.apply_facts(facts)
        self._shared.put_all(facts)
        move.fleet.snapshot(now_ms)
        move.own.snapshot(now_ms)
        self._repeat_end(progress, move, now_ms, wall_ms)
        histories = (move.fleet, move.own)
        match decide_next_action(progress, histories, now_ms, wall_ms, self._is_prepared(progress)):
            case KeepWaiting():
                move.due = None
            case StopVersion(why=why):
                _log.warning("stopped a version", extra={"move": progress.move, "why": why})
                move.why = why
                # The daemon that writes the end has to know the evidence by then.
                stop = stopped_fact(progress.move, wall_ms)
                self._shared.put_all([*facts, stop], at_once=True)
            case AdvanceStep():
                rate = move.fleet.requests_per_s(now_ms)
                step = self._follower.next_step_record(progress.service, self._daemon.host, rate)
                self._when_due(progress, move, step, now_ms)
            case CompleteMove():
                self._when_due(progress, move, self._end(progress, MoveResult.DONE, ""), now_ms)
            case RollBack(why=why):
                # The first reason stays, because a record that changes is put off anew.
                move.why = move.why or why
                record = self._end(progress, MoveResult.UNDONE, move.why)
                self._when_due(progress, move, record, now_ms)

    def _end(self, progress: MoveProgress, result: MoveResult, why: str) -> MoveEnded | None:
        return self._follower.end_record(progress.service, result, why, self._daemon.host)

    def _when_due(
        self, progress: MoveProgress, move: _Move, record: MoveStep | MoveEnded | None, now_ms: int
    ) -> None:
        """Append `record` if it is this daemon's turn."""
        if record is None or not self._caught_up:
            return
        if record != move.due:
            move.due, move.due_ms = record, now_ms
        order = rendezvous_order(f"move/{progress.move}", self._daemon.live_hosts())
        if now_ms - move.due_ms < order.index(self._daemon.host) * _RANK_DELAY_MS:
            return
        if record == move.appended and now_ms - move.appended_ms < _APPEND_PAUSE_MS:
            return
        move.appended, move.appended_ms = record, now_ms
        self._tasks.spawn(self._append(progress, record))

    async def _append(self, progress: MoveProgress, record: MoveStep | MoveEnded) -> None:
        # A repeated or racing record is discarded by every reader, so a lost answer needs no
        # more than a later decision.
        try:
            offset = await self._log.append(_STREAM, record)
            audit = AuditEntry(
                who=self._daemon.host,
                what=f"move {progress.move} to {progress.move_plan.version}",
                before=f"{progress.share_percent}%",
                after=_after(record),
                at_ms=self._daemon.clock.wall_ms(),
                stream=_STREAM,
                offset=offset,
            )
            await self._log.append("audit", audit)
        except PlatformError as error:
            _log.warning("an append failed", extra={"error": str(error)})

    def _repeat_end(self, progress: MoveProgress, move: _Move, now_ms: int, wall_ms: int) -> None:
        ended = self._ended.get(progress.service)
        if progress.result is None or ended is None or ended.record.move != progress.move:
            return
        if wall_ms - ended.at_ms >= _REPEAT_END_MS:
            record = self._end(progress, progress.result, ended.record.why)
            self._when_due(progress, move, record, now_ms)

    def _is_prepared(self, progress: MoveProgress) -> bool:
        """Return whether enough upstreams have the new version for the next step's share."""
        states = self._daemon.upstreams_of(progress.service)
        loaded = sum(
            state.load is not None and progress.move_plan.version in state.load.versions
            for state in states
        )
        if not loaded or self._daemon.engines_of(progress.service) is None:
            # Plain services run each version on upstreams of its own.
            return bool(loaded)
        step = 0 if progress.step is None else progress.step + 1
        share_percent = share_of_step(progress.move_plan, step) or 0
        return loaded * 100 >= len(states) * share_percent

    def _order_all(self) -> None:
        for service in self._services:
            owner = self._daemon.owner_of(f"orders/{service}")
            engines = self._daemon.engines_of(service)
            if owner == self._daemon.host and engines and self._caught_up:
                self._order(service, engines)

    def _order(self, service: ServiceName, engines: Mapping[UpstreamId, UpstreamState]) -> None:
        wanted = self._follower.desired_versions(service)
        progress = self._follower.progress(service)
        begun = progress is not None and progress.step is not None
        if not wanted.fencing and not begun:
            # No step in the log authorises an order yet.
            return
        reported = {
            upstream: self._reported(upstream, state)
            for upstream, state in engines.items()
            if state.load is not None and not state.silent
        }
        for order in reconcile(reported, wanted):
            self._tasks.spawn(self._send(engines[order.upstream].client, order))

    def _reported(self, upstream: UpstreamId, state: UpstreamState) -> ReportedVersions:
        now_ms = self._daemon.clock.now_ms()
        loaded = frozenset(() if state.load is None else state.load.versions)
        orders = self._orders.setdefault(upstream, _Orders())
        orders.loads_ms = {
            version: at_ms
            for version, at_ms in orders.loads_ms.items()
            if version not in loaded and now_ms - at_ms < _LOAD_LIMIT_MS
        }
        return ReportedVersions(loaded, frozenset(orders.loads_ms))

    async def _send(self, client: UpstreamClient, order: VersionOrder) -> None:
        """Give an order; its effect is read back with the next report."""
        orders = self._orders.setdefault(order.upstream, _Orders())
        if orders.busy:
            return
        orders.busy = True
        extra: dict[str, object] = {
            "upstream": order.upstream,
            "version": order.version,
            "fencing": order.fencing,
        }
        kind = OrderKind.LOAD if order.action is VersionOrderAction.LOAD else OrderKind.UNLOAD
        try:
            answer = await client.order(kind, order.version, order.fencing)
        except UpstreamError as error:
            _log.warning("an order failed", extra={**extra, "error": str(error)})
            return
        finally:
            orders.busy = False
        if answer is OrderAnswer.OLD_TOKEN:
            _log.warning("an order carried an old token", extra=extra)
        elif order.action is VersionOrderAction.LOAD:
            orders.loads_ms[order.version] = self._daemon.clock.now_ms()
        _log.info("gave an order", extra={**extra, "order": kind.value})


def _after(record: MoveStep | MoveEnded) -> str:
    match record:
        case MoveStep(share_percent=share_percent):
            return f"{share_percent}%"
        case MoveEnded(result=result, why=why):
            return f"{result.value}: {why}" if why else result.value
