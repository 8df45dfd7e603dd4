"""How far each service's move to a new version has come, by the log and the facts."""

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
    "Discarded",
    "Ended",
    "MoveFollower",
    "Progress",
    "Stepped",
    "Wanted",
    "limited_share",
    "share_of_step",
    "stopped_fact",
]

_SHARE_BUCKETS = 10_000
_BUCKETS_PER_PERCENT = _SHARE_BUCKETS // 100
# Records of moves whose document this daemon has not read yet.
_MAX_KEPT_MOVES = 64
_MAX_KEPT_RECORDS = 64


def share_of_step(move: VersionMove, step: int) -> int | None:
    """Return a step's share in percent, or None if the move has no such step.

    Notes
    -----
    Step 0 has no traffic. It authorises the loading of the new version, so that every order to
    an upstream has a fencing token from the stream `moves`.

    Examples
    --------
    >>> move = VersionMove(version=VersionId("v2"), by_ms=1, steps_percent=(5, 100))
    >>> [share_of_step(move, step) for step in range(4)]
    [0, 5, 100, None]
    """
    shares = (0, *move.steps_percent)
    return shares[step] if 0 <= step < len(shares) else None


def limited_share(move: VersionMove, step: int, requests_per_s: float) -> int | None:
    """Return the share in percent that a step gives, or None if the move has no such step.

    Parameters
    ----------
    requests_per_s : float
        The service's present rate; 0 if it is not known.

    Notes
    -----
    The last step leaves a part of the traffic to the old version, which moves when the move is
    done. Without it a burst or a fault that hurts both versions could not be told from a bad
    version, nor a version that turns bad late from a burst. At a high rate the share is smaller
    still, because what is sent until a sudden failure is noticed grows with the rate.

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
    """Return the fact that no request may take a move's new version any more."""
    return Fact(FactKind.VERSION_STOPPED, move, (1, now_wall_ms))


@dataclass(frozen=True, slots=True)
class Stepped:
    """A move took a step."""

    move: MoveId
    step: int
    share_percent: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A move ended."""

    move: MoveId
    result: MoveResult
    why: str


@dataclass(frozen=True, slots=True)
class Discarded:
    """The record changes nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a move has come.

    Attributes
    ----------
    step : int, optional
        None before the first step.
    logged_percent : int
        Share that the last step gives.
    stepped_wall_ms : int
        The log's time of the last step.
    stopped : bool
        Whether the fact `VERSION_STOPPED` is set.
    result : MoveResult, optional
        Set when the move has ended in the log.
    """

    move: MoveId
    service: ServiceName
    old: VersionId
    plan: VersionMove
    step: int | None = None
    logged_percent: int = 0
    stepped_wall_ms: int = 0
    last_offset: Offset | None = None
    stopped: bool = False
    result: MoveResult | None = None

    @property
    def share_percent(self) -> int:
        """Share of the requests that take the new version."""
        if self.stopped or self.result is MoveResult.UNDONE:
            return 0
        if self.result is MoveResult.DONE:
            return 100
        return self.logged_percent


@dataclass(frozen=True, slots=True)
class Wanted:
    """Versions that a service's upstreams should have loaded.

    Attributes
    ----------
    tolerated : tuple of str
        Neither loaded nor unloaded: a stopped version stays until the log authorises the order.
    fencing : int
        Offset of the step that authorises the orders; 0 if this daemon knows none.
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
class _Kept:
    offset: Offset
    at_ms: int
    record: MoveStep | MoveEnded


class MoveFollower:
    """Follows the stream `moves` for all services.

    Notes
    -----
    A step counts iff it is the next one of the move that the accepted document asks for and
    names the offset of the step before. All daemons therefore discard the same steps of racing
    or repeating authors. Of several ends the first counts; `DONE` counts only after the last
    step.

    The streams `config` and `moves` are read independently. Records of a move whose document
    is not known yet are kept and replayed when it is.
    """

    def __init__(self) -> None:
        self._next = 0
        self._gaps: list[range] = []
        self._documents: dict[ServiceName, ServiceDocument] = {}
        self._moves: dict[ServiceName, _Move] = {}
        self._kept: dict[MoveId, list[_Kept]] = {}
        self._authority: dict[ServiceName, Offset] = {}
        self._stopped: set[MoveId] = set()

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to read."""
        return Offset(self._next)

    def skip_to(self, first: Offset) -> None:
        """Continue at `first`, the lowest offset that the log still keeps."""
        if first > self._next:
            self._gaps.append(range(self._next, first))
            self._next = first

    def follow(self, service: ServiceName, published: Offset, document: ServiceDocument) -> None:
        """Take the document in force.

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
        for kept in self._kept.pop(move, []):
            self._decide(self._moves[service], kept.offset, kept.at_ms, kept.record)

    def apply(
        self, offset: Offset, at_ms: int, record: Record | MessageError
    ) -> Stepped | Ended | Discarded:
        """Replay the record at `offset`.

        Parameters
        ----------
        at_ms : int
            The log's time of the record.
        """
        if offset < self._next:
            return Discarded(f"offset {offset} was read before")
        self.skip_to(offset)
        self._next = offset + 1
        if not isinstance(record, MoveStep | MoveEnded):
            return Discarded(f"{type(record).__name__} does not belong to this stream")
        move = self._moves.get(record.service)
        if move is None or move.move != record.move:
            self._keep(offset, at_ms, record)
            return Discarded(f"move {record.move!r} is not the one in force")
        return self._decide(move, offset, at_ms, record)

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Take facts that are new in the store; other kinds are passed over."""
        for fact in facts:
            if fact.kind is FactKind.VERSION_STOPPED:
                self._stopped.add(MoveId(fact.subject))

    def progress(self, service: ServiceName) -> Progress | None:
        """Return how far the service's move has come, if its document asks for one."""
        move = self._moves.get(service)
        if move is None:
            return None
        return Progress(
            move=move.move,
            service=service,
            old=move.old,
            plan=move.plan,
            step=move.step,
            logged_percent=move.logged_percent,
            stepped_wall_ms=move.stepped_wall_ms,
            last_offset=move.last_offset,
            stopped=move.move in self._stopped,
            result=move.result,
        )

    def version_for(
        self, service: ServiceName, request: RequestId, new_in_flight: int = 0, daemons: int = 1
    ) -> VersionId:
        """Return the version that a request takes.

        Parameters
        ----------
        new_in_flight : int
            Requests that run on the new version for this daemon.
        daemons : int
            Live daemons, this one included, which share the bound on such requests.

        Raises
        ------
        KeyError
            If no document of the service is in force.
        """
        progress = self.progress(service)
        if progress is None:
            return self._documents[service].version
        if progress.result is None and new_in_flight >= max(
            1, progress.plan.max_new_in_flight // daemons
        ):
            return progress.old
        place = bucket(_SHARE_BUCKETS, request, progress.move)
        if place < progress.share_percent * _BUCKETS_PER_PERCENT:
            return progress.plan.version
        return progress.old

    def wanted(self, service: ServiceName) -> Wanted:
        """Return the versions that the service's upstreams should have loaded.

        Raises
        ------
        KeyError
            If no document of the service is in force.
        """
        fencing = self._authority.get(service, Offset(0))
        progress = self.progress(service)
        if progress is None:
            return Wanted((self._documents[service].version,), (), fencing)
        old, new = progress.old, progress.plan.version
        if progress.stopped and progress.result is not MoveResult.UNDONE:
            return Wanted((old,), (new,), fencing)
        if progress.result is MoveResult.DONE:
            return Wanted((new,), (), fencing)
        if progress.result is MoveResult.UNDONE or progress.step is None:
            return Wanted((old,), (), fencing)
        return Wanted((old, new), (), fencing)

    def next_step(
        self, service: ServiceName, author: HostId, requests_per_s: float = 0.0
    ) -> MoveStep | None:
        """Return the record of the move's next step, if there is one.

        Parameters
        ----------
        requests_per_s : float
            The service's present rate, which limits the step's share; 0 if it is not known.
        """
        move = self._moves.get(service)
        if move is None or move.result is not None or move.move in self._stopped:
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

    def end(
        self, service: ServiceName, result: MoveResult, why: str, author: HostId
    ) -> MoveEnded | None:
        """Return the record of the move's end, if the service has a move.

        Notes
        -----
        An end that was recorded is to be appended again before it falls out of retention while
        its document is in force. Otherwise a new daemon would take the move for one that has
        not begun.
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

    def _decide(
        self, move: _Move, offset: Offset, at_ms: int, record: MoveStep | MoveEnded
    ) -> Stepped | Ended | Discarded:
        reason = self._fault(move, record)
        if reason is not None:
            return Discarded(reason)
        self._authority[move.service] = offset
        match record:
            case MoveStep(step=step, share_percent=share_percent):
                move.step = step
                move.logged_percent = share_percent
                move.stepped_wall_ms = at_ms
                move.last_offset = offset
                return Stepped(move.move, step, share_percent)
            case MoveEnded(result=result, why=why):
                move.result = result
                return Ended(move.move, result, why)

    def _fault(self, move: _Move, record: MoveStep | MoveEnded) -> str | None:
        if move.result is not None:
            return f"move {move.move!r} has ended"
        if record.version != move.plan.version:
            return f"version {record.version!r} is not the one wanted"
        match record:
            case MoveStep():
                return self._step_fault(move, record)
            case MoveEnded(result=MoveResult.DONE):
                return self._done_fault(move)
            case MoveEnded():
                return None

    def _step_fault(self, move: _Move, record: MoveStep) -> str | None:
        planned_percent = share_of_step(move.plan, record.step)
        if planned_percent is None or not _is_within(record.share_percent, planned_percent):
            return f"step {record.step} has not a share of {record.share_percent}%"
        expected = 0 if move.step is None else move.step + 1
        if record.predecessor == move.last_offset and record.step == expected:
            return None
        # The steps before were not seen; authors name only predecessors that counted.
        if self._unseen(record.predecessor) and record.step > expected:
            return None
        return f"step {record.step} after {record.predecessor}, but {move.last_offset} is the last"

    def _done_fault(self, move: _Move) -> str | None:
        if move.step == len(move.plan.steps_percent) or (move.step is None and self._gaps):
            return None
        return f"step {move.step} is not the last"

    def _unseen(self, offset: Offset | None) -> bool:
        return offset is not None and any(offset in gap for gap in self._gaps)

    def _keep(self, offset: Offset, at_ms: int, record: MoveStep | MoveEnded) -> None:
        kept = self._kept.setdefault(record.move, [])
        if len(kept) < _MAX_KEPT_RECORDS:
            kept.append(_Kept(offset, at_ms, record))
        if len(self._kept) > _MAX_KEPT_MOVES:
            del self._kept[next(iter(self._kept))]


def _is_within(share_percent: int, planned_percent: int) -> bool:
    return min(1, planned_percent) <= share_percent <= planned_percent
