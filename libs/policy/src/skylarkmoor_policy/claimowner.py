"""The owner of a claim partition: brings claims into the log and answers from it."""

from collections.abc import Sequence
from dataclasses import dataclass

from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.ids import ClaimId, HostId, Incarnation, Offset
from skylarkmoor_core.messages import ClaimRequest, ClaimResult, ClaimStatus, ReleaseRequest
from skylarkmoor_core.records import Claim, ClaimBatch, Record, Release
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.claimindex import ClaimIndex, Held, Verdict, Void, Won

__all__ = ["Append", "ClaimOwner", "LogRecord", "OwnerDecision", "Read"]

# The whole fleet may append several hundred times a second; a partition takes twenty of them.
_APPEND_INTERVAL_MS = 50
_BACKOFF_MS = 200
_POLL_MS = 1_000
# A claim without a verdict for this long is answered with LOG_DOWN.
_LOG_WAIT_MS = 2_000
# A single failed read is not yet an outage.
_FAILED_READS = 2
_MAX_BATCH = 256
_MAX_QUEUE = 4_096
_MAX_RELEASES = 16_384


@dataclass(frozen=True, slots=True)
class Append:
    """Append `batch` to the partition's stream and report how that went."""

    batch: ClaimBatch


@dataclass(frozen=True, slots=True)
class Read:
    """Read the partition's stream from `start` and report the result."""

    start: Offset


OwnerDecision = Append | Read | Send


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A record as the log returns it."""

    offset: Offset
    at_ms: int
    record: Record | MessageError


@dataclass(slots=True)
class _Asked:
    sender: HostId
    claim: Claim
    asked_ms: int


class ClaimOwner:
    """Brings the claims of one partition into the log and answers from it.

    Parameters
    ----------
    host : str
        This daemon.
    window_ms : int
        As for `ClaimIndex`.

    Notes
    -----
    A verdict comes only from replaying the stream, from the start of the window through the
    record of the claim itself. Several owners at once, of which some believe wrongly to be the
    owner, therefore give the same verdicts. An append whose answer was lost is never repeated
    for claims: either the stream shows the claim, or the answer is `LOG_DOWN`, upon which the
    holder never dispatches, also if the append takes effect later. Releases may be repeated.

    The caller carries out the decisions of `poll`, which never asks for a second append or read
    before the first was reported.
    """

    def __init__(self, host: HostId, window_ms: int) -> None:
        self._host = host
        self._index = ClaimIndex(window_ms)
        self._caught_up = False
        self._queue: dict[ClaimId, _Asked] = {}
        self._releases: dict[ClaimId, Release] = {}
        # Releases appended, to be seen by reading.
        self._appended_releases: set[ClaimId] = set()
        # Claims in the log, or perhaps in the log, whose verdict is not known yet.
        self._pending: dict[ClaimId, _Asked] = {}
        self._in_flight: ClaimBatch | None = None
        self._lost = False
        self._reading = False
        self._read_too_early = False
        self._failed_reads = 0
        self._retry_at_ms = 0
        self._append_at_ms = 0
        self._read_at_ms = 0
        self._target = 0

    @property
    def index(self) -> ClaimIndex:
        """The claims read so far."""
        return self._index

    @property
    def ready(self) -> bool:
        """Whether the whole window was read."""
        return self._caught_up

    @property
    def idle(self) -> bool:
        """Whether nothing is left to append or to answer."""
        return not (self._queue or self._pending or self._releases or self._in_flight)

    def request(
        self,
        sender: HostId,
        request: ClaimRequest,
        incarnation: Incarnation,
        now_ms: int,
        owner: HostId | None,
    ) -> list[Send]:
        """Take a claim request.

        Parameters
        ----------
        incarnation : int
            The sender's, from the envelope.
        owner : str, optional
            The partition's owner by the membership as of now.
        """
        if owner != self._host:
            return [_refusal(sender, request.claim, ClaimStatus.NOT_OWNER)]
        for group in (self._queue, self._pending):
            if request.claim in group:
                group[request.claim].sender = sender
                return []
        held = self._index.holder(request.key_hash)
        if held is not None and held.claim == request.claim:
            return [_answer(sender, Won(held))]
        released = request.claim in self._releases or self._index.is_released(request.claim)
        if released or len(self._queue) >= _MAX_QUEUE:
            return [_refusal(sender, request.claim, ClaimStatus.LOG_DOWN)]
        claim = Claim(
            claim=request.claim,
            key_hash=request.key_hash,
            body_hash=request.body_hash,
            host=sender,
            incarnation=incarnation,
            issued_wall_ms=request.issued_wall_ms,
        )
        self._queue[request.claim] = _Asked(sender, claim, now_ms)
        return []

    def release(self, request: ReleaseRequest) -> None:
        """Take a release request, which is repeated until the log shows it.

        Notes
        -----
        It is taken by owners and others alike, because a release is right whoever appends it.
        """
        self._queue.pop(request.claim, None)
        if self._index.is_released(request.claim) or len(self._releases) >= _MAX_RELEASES:
            return
        self._releases[request.claim] = Release(claim=request.claim, key_hash=request.key_hash)

    def poll(self, now_ms: int) -> list[OwnerDecision]:
        """Return what is to be done now; call it after every report and at least each 50 ms."""
        decisions: list[OwnerDecision] = [*self._time_out(now_ms)]
        if self._must_read(now_ms):
            self._reading = True
            self._read_too_early = False
            self._read_at_ms = now_ms + _POLL_MS
            decisions.append(Read(self._index.next_offset))
        if self._may_append(now_ms):
            decisions.append(self._append(now_ms))
        return decisions

    def appended(self, offset: Offset) -> None:
        """Take note that the append in flight took effect at `offset`."""
        self._in_flight = None
        self._target = max(self._target, offset + 1)

    def append_refused(self, now_ms: int) -> None:
        """Take note that the append in flight certainly took no effect."""
        batch, self._in_flight = self._in_flight, None
        self._append_at_ms = now_ms + _BACKOFF_MS
        self._appended_releases.clear()
        for entry in batch.entries if batch else ():
            asked = self._pending.pop(entry.claim, None)
            # A release may have arrived meanwhile.
            if asked is not None and entry.claim not in self._releases:
                self._queue[entry.claim] = asked

    def append_lost(self, now_ms: int) -> None:
        """Take note that the append in flight may or may not have taken effect."""
        self._in_flight = None
        self._lost = True
        self._appended_releases.clear()
        self._append_at_ms = now_ms + _BACKOFF_MS
        # A read that is under way may have passed the append's place before it took effect.
        self._read_too_early = self._reading

    def read(self, records: Sequence[LogRecord], first: Offset, next_offset: Offset) -> list[Send]:
        """Take the result of a read.

        Parameters
        ----------
        records : sequence of LogRecord
            The records from the start asked for, or from `first` if that is higher.
        first, next_offset : int
            The lowest offset that the log keeps, and the one of the next append.
        """
        self._reading = False
        self._failed_reads = 0
        self._index.skip_to(first)
        sends: list[Send] = []
        for each in records:
            for verdict in self._index.apply(each.offset, each.at_ms, each.record):
                asked = self._pending.pop(verdict.claim.claim, None)
                if asked is not None:
                    sends.append(_answer(asked.sender, verdict))
        self._releases = {
            claim: release
            for claim, release in self._releases.items()
            if not self._index.is_released(claim)
        }
        self._appended_releases &= self._releases.keys()
        if self._index.next_offset < next_offset:
            self._target = max(self._target, next_offset)
            return sends
        self._caught_up = True
        if self._lost and not self._read_too_early:
            self._lost = False
            sends += self._fail(self._pending)
        return sends

    def read_failed(self, now_ms: int) -> list[Send]:
        """Take note that a read failed; from the second in a row on, every claim is refused."""
        self._reading = False
        self._failed_reads += 1
        self._retry_at_ms = now_ms + _BACKOFF_MS
        if self._failed_reads < _FAILED_READS:
            return []
        return [*self._fail(self._pending), *self._fail(self._queue)]

    def _must_read(self, now_ms: int) -> bool:
        if self._reading or now_ms < self._retry_at_ms:
            return False
        behind = self._index.next_offset < self._target
        wanted = not self._caught_up or self._lost or behind
        return wanted or now_ms >= self._read_at_ms

    def _may_append(self, now_ms: int) -> bool:
        if self._in_flight is not None or self._lost or not self._caught_up:
            return False
        waiting = bool(self._queue) or len(self._releases) > len(self._appended_releases)
        return waiting and now_ms >= self._append_at_ms

    def _append(self, now_ms: int) -> Append:
        releases = [
            release
            for claim, release in self._releases.items()
            if claim not in self._appended_releases
        ][:_MAX_BATCH]
        self._appended_releases.update(release.claim for release in releases)
        claims = list(self._queue.values())[: _MAX_BATCH - len(releases)]
        for asked in claims:
            del self._queue[asked.claim.claim]
            self._pending[asked.claim.claim] = asked
        # Releases go first, so that a key that is free again can be claimed in the same batch.
        batch = ClaimBatch(entries=(*releases, *(asked.claim for asked in claims)))
        self._in_flight = batch
        self._append_at_ms = now_ms + _APPEND_INTERVAL_MS
        return Append(batch)

    def _time_out(self, now_ms: int) -> list[Send]:
        sends: list[Send] = []
        for group in (self._queue, self._pending):
            late = {
                claim: asked
                for claim, asked in group.items()
                if now_ms - asked.asked_ms >= _LOG_WAIT_MS
            }
            for claim in late:
                del group[claim]
            sends += self._fail(late)
        return sends

    def _fail(self, group: dict[ClaimId, _Asked]) -> list[Send]:
        sends = [
            _refusal(asked.sender, claim, ClaimStatus.LOG_DOWN) for claim, asked in group.items()
        ]
        group.clear()
        return sends


def _refusal(to: HostId, claim: ClaimId, status: ClaimStatus) -> Send:
    return Send(to, ClaimResult(claim, status))


def _answer(to: HostId, verdict: Verdict) -> Send:
    claim = verdict.claim.claim
    match verdict:
        case Won():
            return Send(to, ClaimResult(claim, ClaimStatus.WON))
        case Held(by=by):
            return Send(
                to,
                ClaimResult(
                    claim,
                    ClaimStatus.HELD,
                    holder_claim=by.claim,
                    holder_host=by.host,
                    holder_incarnation=by.incarnation,
                    holder_body_hash=by.body_hash,
                ),
            )
        case Void():
            return _refusal(to, claim, ClaimStatus.LOG_DOWN)
