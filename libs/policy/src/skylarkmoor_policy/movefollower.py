"""Tracks each service's move to a new version from the stream `moves` and from facts."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from skylarkmoor_core.document import ServiceDocument, VersionMove
from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.hashing import bucket
from skylarkmoor_core.ids import HostId, MoveId, Offset, RequestId, ServiceName, VersionId
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_core.records import MoveEnded, MoveResult, MoveStep, Record
from skylarkmoor_policy.configuration import move_id

__all__ = [
    "DesiredVersions",
    "EndAccepted",
    "MoveFollower",
    "MoveProgress",
    "RecordDiscarded",
    "StepAccepted",
    "limited_share",
    "share_of_step",
    "stopped_fact",
]

_SHARE_BUCKETS = 10_000
_BUCKETS_PER_PERCENT = _SHARE_BUCKETS // 100
# Limits on the buffered records of moves whose document this daemon has not read yet.
_MAX_PENDING_MOVES = 64
_MAX_PENDING_RECORDS = 64


def share_of_step(move: VersionMove, step: int) -> int | None:
    """Return a step's share in percent, or None if the move has no such step.

    Notes
    -----
    Step 0 has no traffic. It authorises upstreams to load the new version, so that every order
    to an upstream has a fencing token from the stream `moves`.

    Examples
    --------
    >>> move = VersionMove(version=VersionId("v2"), by_ms=1, steps_percent=(5, 100))
    >>> [share_of_step(move, step) for step in range(4)]
    [0, 5, 100, None]
    """
    shares = (0, *move.steps_percent)
    return shares[step] if 0 <= step < len(shares) else None


def limited_share(move: VersionMove, step: int, requests_per_s: float) -> int | None:
    """Return the limited share in percent of a step, or None if the move has no such step.

    Parameters
    ----------
    requests_per_s : float
        Current request rate of the service; 0 if it is not known.

    Notes
    -----
    The last step leaves a part of the traffic on the old version for comparison; it switches when
    the move is done. Without it a burst or a fault that affects both versions could not be
    distinguished from a bad version, nor a version that becomes bad late from a burst. At a high
    request rate the share is limited further, because the number of requests sent before a sudden
    failure is detected grows with the rate.

    Examples
    --------
    >>> move = VersionMove(version=VersionId("v2"), by_ms=1, steps_percent=(5, 100))
    >>> [limited_share(move, step, 10) for step in range(4)]
    [0, 5, 75, None]
    >>> limited_share(move, 2, requests_per_s=100)
    20
    """
    share_percent = share_of_step(move, step)
    if not share_percent:
        return share_percent
    limits = [share_percent, 100 - move.comparison_percent]
    if requests_per_s > 0:
        limits.append(max(1, math.floor(100 * move.max_new_requests_per_s / requests_per_s)))
    return min(limits)


def stopped_fact(move: MoveId, now_wall_ms: int) -> Fact:
    """Return the fact that no further request may be sent to a move's new version."""
    return Fact(FactKind.VERSION_STOPPED, move, (1, now_wall_ms))


@dataclass(frozen=True, slots=True)
class StepAccepted:
    """The record was accepted as the move's next step."""

    move: MoveId
    step: int
    share_percent: int


@dataclass(frozen=True, slots=True)
class EndAccepted:
    """The record was accepted as the end of the move."""

    move: MoveId
    result: MoveResult
    why: str


@dataclass(frozen=True, slots=True)
class RecordDiscarded:
    """The record has no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class MoveProgress:
    """Current state of a move.

    Attributes
    ----------
    step : int, optional
        Last accepted step; None before the first one.
    logged_percent : int
        Share of the last step, as recorded in the log.
    stepped_wall_ms : int
        Log time of the last step.
    last_offset : int, optional
        Offset of the last step.
    stopped : bool
        Whether the fact `VERSION_STOPPED` is known.
    result : MoveResult, optional
        Set when the move has ended in the log.
    """

    move: MoveId
    service: ServiceName
    old_version: VersionId
    move_plan: VersionMove
    step: int | None = None
    logged_percent: int = 0
    stepped_wall_ms: int = 0
    last_offset: Offset | None = None
    stopped: bool = False
    result: MoveResult | None = None

    @property
    def share_percent(self) -> int:
        """Share of the requests, in percent, that are routed to the new version."""
        if self.stopped or self.result is MoveResult.UNDONE:
            return 0
        if self.result is MoveResult.DONE:
            return 100
        return self.logged_percent


@dataclass(frozen=True, slots=True)
class DesiredVersions:
    """Versions that a service's upstreams should have loaded.

    Attributes
    ----------
    tolerated : tuple of str
        Versions to be neither loaded nor unloaded. A stopped version stays loaded until a record
        in the log authorises the order to unload it.
    fencing : int
        Fencing token of the orders: the offset of the record that authorises them, 0 if this
        daemon knows none.
    """

    versions: tuple[VersionId, ...]
    tolerated: tuple[VersionId, ...]
    fencing: Offset


@dataclass(slots=True)
class _Move:
    service: ServiceName
    move: MoveId
    old: VersionId
    plan: VersionMove
    step: int | None = None
    logged_percent: int = 0
    stepped_wall_ms: int = 0
    last_offset: Offset | None = None
    result: MoveResult | None = None


@dataclass(frozen=True, slots=True)
class _PendingRecord:
    offset: Offset
    at_ms: int
    record: MoveStep | MoveEnded


class MoveFollower:
    """Replays the stream `moves` for all services.

    Notes
    -----
    A step is accepted iff it is the next step of the move that the document in force requests and
    names the offset of the previous step. All daemons therefore discard the same steps of racing
    or repeating authors. Of several end records the first is accepted; `DONE` is accepted only
    after the last step.

    The streams `config` and `moves` are read independently. Records of a move whose document is
    not known yet are buffered and replayed when it is.
    """

    def __init__(self) -> None:
        self._next_offset = 0
        self._gaps: list[range] = []
        self._documents: dict[ServiceName, ServiceDocument] = {}
        self._moves: dict[ServiceName, _Move] = {}
        self._pending: dict[MoveId, list[_PendingRecord]] = {}
        self._fencing_offsets: dict[ServiceName, Offset] = {}
        self._stopped_moves: set[MoveId] = set()

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to read."""
        return Offset(self._next_offset)

    def skip_to(self, first: Offset) -> None:
        """Skip to `first`, the lowest offset that the log still retains."""
        if first > self._next_offset:
            self._gaps.append(range(self._next_offset, first))
            self._next_offset = first

    def set_document(
        self, service: ServiceName, published: Offset, document: ServiceDocument
    ) -> None:
        """Set the document in force of a service.

        Parameters
        ----------
        published : int
            Offset of the original publication; a carried document keeps it and so its move.
        """
        self._documents[service] = document
        move = move_id(service, published)
        current = self._moves.get(service)
        if current is not None and current.move == move:
            return
        self._moves.pop(service, None)
        if document.move is None:
            return
        self._moves[service] = _Move(service, move, document.version, document.move)
        for pending in self._pending.pop(move, []):
            self._apply_to_move(self._moves[service], pending.offset, pending.at_ms, pending.record)

    def apply_record(
        self, offset: Offset, at_ms: int, record: Record | MessageError
    ) -> StepAccepted | EndAccepted | RecordDiscarded:
        """Replay the record at `offset`.

        Parameters
        ----------
        at_ms : int
            Log time of the record.
        """
        if offset < self._next_offset:
            return RecordDiscarded(f"the record at offset {offset} was already read")
        self.skip_to(offset)
        self._next_offset = offset + 1
        if not isinstance(record, MoveStep | MoveEnded):
            return RecordDiscarded(
                f"a {type(record).__name__} record does not belong in the stream moves"
            )
        move = self._moves.get(record.service)
        if move is None or move.move != record.move:
            self._add_pending(offset, at_ms, record)
            return RecordDiscarded(f"move {record.move!r} is not the service's current move")
        return self._apply_to_move(move, offset, at_ms, record)

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Apply stop facts that are new in the store; other kinds are ignored."""
        for fact in facts:
            if fact.kind is FactKind.VERSION_STOPPED:
                self._stopped_moves.add(MoveId(fact.subject))

    def progress(self, service: ServiceName) -> MoveProgress | None:
        """Return the state of the service's move, or None if its document requests no move."""
        move = self._moves.get(service)
        if move is None:
            return None
        return MoveProgress(
            move=move.move,
            service=service,
            old_version=move.old,
            move_plan=move.plan,
            step=move.step,
            logged_percent=move.logged_percent,
            stepped_wall_ms=move.stepped_wall_ms,
            last_offset=move.last_offset,
            stopped=move.move in self._stopped_moves,
            result=move.result,
        )

    def choose_version(
        self, service: ServiceName, request: RequestId, new_in_flight: int = 0, daemons: int = 1
    ) -> VersionId:
        """Return the version to which a request is routed.

        Parameters
        ----------
        new_in_flight : int
            Number of this daemon's requests in flight on the new version.
        daemons : int
            Number of live daemons, including this one, among which the limit on such requests is
            divided.

        Raises
        ------
        KeyError
            If no document of the service is in force.
        """
        progress = self.progress(service)
        if progress is None:
            return self._documents[service].version
        if progress.result is None and new_in_flight >= max(
            1, progress.move_plan.max_new_in_flight // daemons
        ):
            return progress.old_version
        share_bucket = bucket(_SHARE_BUCKETS, request, progress.move)
        if share_bucket < progress.share_percent * _BUCKETS_PER_PERCENT:
            return progress.move_plan.version
        return progress.old_version

    def desired_versions(self, service: ServiceName) -> DesiredVersions:
        """Return the versions that the service's upstreams should have loaded.

        Raises
        ------
        KeyError
            If no document of the service is in force.
        """
        fencing = self._fencing_offsets.get(service, Offset(0))
        progress = self.progress(service)
        if progress is None:
            return DesiredVersions((self._documents[service].version,), (), fencing)
        old, new = progress.old_version, progress.move_plan.version
        if progress.stopped and progress.result is not MoveResult.UNDONE:
            return DesiredVersions((old,), (new,), fencing)
        if progress.result is MoveResult.DONE:
            return DesiredVersions((new,), (), fencing)
        if progress.result is MoveResult.UNDONE or progress.step is None:
            return DesiredVersions((old,), (), fencing)
        return DesiredVersions((old, new), (), fencing)

    def next_step_record(
        self, service: ServiceName, author: HostId, requests_per_s: float = 0.0
    ) -> MoveStep | None:
        """Return the record of the move's next step, or None if there is none.

        Parameters
        ----------
        requests_per_s : float
            Current request rate of the service, which limits the step's share; 0 if it is not
            known.
        """
        move = self._moves.get(service)
        if move is None or move.result is not None or move.move in self._stopped_moves:
            return None
        step = 0 if move.step is None else move.step + 1
        share_percent = limited_share(move.plan, step, requests_per_s)
        if share_percent is None:
            return None
        return MoveStep(
            service=service,
            move=move.move,
            version=move.plan.version,
            step=step,
            share_percent=share_percent,
            predecessor=move.last_offset,
            author=author,
        )

    def end_record(
        self, service: ServiceName, result: MoveResult, why: str, author: HostId
    ) -> MoveEnded | None:
        """Return the record that ends the move, or None if the service has no move.

        Notes
        -----
        While its document is in force, a recorded end has to be appended again before it falls
        out of retention. Otherwise a new daemon would assume that the move has not begun. The
        repeated record keeps the recorded result.
        """
        move = self._moves.get(service)
        if move is None:
            return None
        return MoveEnded(
            service=service,
            move=move.move,
            version=move.plan.version,
            result=result if move.result is None else move.result,
            why=why,
            author=author,
        )

    def _apply_to_move(
        self, move: _Move, offset: Offset, at_ms: int, record: MoveStep | MoveEnded
    ) -> StepAccepted | EndAccepted | RecordDiscarded:
        reason = self._rejection_reason(move, record)
        if reason is not None:
            return RecordDiscarded(reason)
        self._fencing_offsets[move.service] = offset
        match record:
            case MoveStep(step=step, share_percent=share_percent):
                move.step = step
                move.logged_percent = share_percent
                move.stepped_wall_ms = at_ms
                move.last_offset = offset
                return StepAccepted(move.move, step, share_percent)
            case MoveEnded(result=result, why=why):
                move.result = result
                return EndAccepted(move.move, result, why)

    def _rejection_reason(self, move: _Move, record: MoveStep | MoveEnded) -> str | None:
        if move.result is not None:
            return f"move {move.move!r} has ended"
        if record.version != move.plan.version:
            return f"version {record.version!r} is not the move's new version"
        match record:
            case MoveStep():
                return self._step_rejection_reason(move, record)
            case MoveEnded(result=MoveResult.DONE):
                return self._done_rejection_reason(move)
            case MoveEnded():
                return None

    def _step_rejection_reason(self, move: _Move, record: MoveStep) -> str | None:
        planned_percent = share_of_step(move.plan, record.step)
        if planned_percent is None or not _is_allowed_share(record.share_percent, planned_percent):
            return f"step {record.step} must not have a share of {record.share_percent}%"
        expected = 0 if move.step is None else move.step + 1
        if record.predecessor == move.last_offset and record.step == expected:
            return None
        # The previous steps were missed. Authors only name predecessors that were accepted.
        if self._is_unseen(record.predecessor) and record.step > expected:
            return None
        return (
            f"step {record.step} follows offset {record.predecessor}, "
            f"but the last step is at offset {move.last_offset}"
        )

    def _done_rejection_reason(self, move: _Move) -> str | None:
        if move.step == len(move.plan.steps_percent) or (move.step is None and self._gaps):
            return None
        return f"step {move.step} is not the move's last step"

    def _is_unseen(self, offset: Offset | None) -> bool:
        return offset is not None and any(offset in gap for gap in self._gaps)

    def _add_pending(self, offset: Offset, at_ms: int, record: MoveStep | MoveEnded) -> None:
        pending = self._pending.setdefault(record.move, [])
        if len(pending) < _MAX_PENDING_RECORDS:
            pending.append(_PendingRecord(offset, at_ms, record))
        if len(self._pending) > _MAX_PENDING_MOVES:
            del self._pending[next(iter(self._pending))]


def _is_allowed_share(share_percent: int, planned_percent: int) -> bool:
    return min(1, planned_percent) <= share_percent <= planned_percent
