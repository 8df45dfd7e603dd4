"""Owner of a claim partition: appends claims to the log and answers by replaying it."""

from collections.abc import Sequence
from dataclasses import dataclass

from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.ids import ClaimId, HostId, Incarnation, Offset
from skylarkmoor_core.messages import ClaimRequest, ClaimResult, ClaimStatus, ReleaseRequest
from skylarkmoor_core.records import Claim, ClaimBatch, Record, Release
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.claimindex import AlreadyReleased, ClaimIndex, HeldByOther, Verdict, Won

__all__ = ["AppendBatch", "ClaimOwner", "LogRecord", "OwnerDecision", "ReadStream"]

# The log allows the whole fleet several hundred appends per second; a partition uses up to 20.
_APPEND_INTERVAL_MS = 50
_BACKOFF_MS = 200
_READ_INTERVAL_MS = 1_000
# A claim that gets no verdict within this time is answered with LOG_DOWN.
_VERDICT_TIMEOUT_MS = 2_000
# Consecutive failed reads that count as a log outage; a single failure does not.
_READ_FAILURE_LIMIT = 2
_MAX_BATCH_ENTRIES = 256
_MAX_QUEUED_CLAIMS = 4_096
_MAX_PENDING_RELEASES = 16_384


@dataclass(frozen=True, slots=True)
class AppendBatch:
    """Append `batch` to the partition's stream and report the result."""

    batch: ClaimBatch


@dataclass(frozen=True, slots=True)
class ReadStream:
    """Read the partition's stream from `start` and report the result."""

    start: Offset


OwnerDecision = AppendBatch | ReadStream | Send


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A record with its offset and the time at which the log stored it."""

    offset: Offset
    at_ms: int
    record: Record | MessageError


@dataclass(slots=True)
class _RequestedClaim:
    sender: HostId
    claim: Claim
    requested_ms: int


class ClaimOwner:
    """Appends the claims of one partition to the log and answers them by replaying it.

    Parameters
    ----------
    host : str
        Id of this daemon.
    window_ms : int
        See `ClaimIndex`.

    Notes
    -----
    Verdicts come only from replaying the stream from the start of the window through the record
    of the claim. Daemons that act as owner of the same partition at the same time therefore give
    the same verdicts. Claims of an append whose result was lost are never appended again: either
    the stream contains them, or they are answered with `LOG_DOWN`, after which the daemon that
    made them never dispatches, even if the append takes effect later. Releases may be appended
    again.

    The caller executes the decisions of `poll` and reports the results. There is at most one
    append and one read in flight.
    """

    def __init__(self, host: HostId, window_ms: int) -> None:
        self._host = host
        self._index = ClaimIndex(window_ms)
        self._caught_up = False
        self._queued_claims: dict[ClaimId, _RequestedClaim] = {}
        self._pending_releases: dict[ClaimId, Release] = {}
        # Releases that were appended but not yet read back.
        self._appended_releases: set[ClaimId] = set()
        # Claims that were or may have been appended and have no verdict yet.
        self._unresolved_claims: dict[ClaimId, _RequestedClaim] = {}
        self._append_in_flight: ClaimBatch | None = None
        self._append_uncertain = False
        self._reading = False
        self._read_precedes_loss = False
        self._failed_reads = 0
        self._read_retry_ms = 0
        self._next_append_ms = 0
        self._next_read_ms = 0
        self._read_target = 0

    @property
    def index(self) -> ClaimIndex:
        """The index of the records read so far."""
        return self._index

    @property
    def is_caught_up(self) -> bool:
        """Whether the whole stream has been read once, so that verdicts can be given."""
        return self._caught_up

    @property
    def idle(self) -> bool:
        """Whether there is nothing to append or to answer."""
        return not (
            self._queued_claims
            or self._unresolved_claims
            or self._pending_releases
            or self._append_in_flight
        )

    def handle_request(
        self,
        sender: HostId,
        request: ClaimRequest,
        incarnation: Incarnation,
        now_ms: int,
        owner: HostId | None,
    ) -> list[Send]:
        """Handle a claim request.

        Parameters
        ----------
        incarnation : int
            Incarnation of the sender, from the message envelope.
        owner : str, optional
            The partition's owner according to the current membership.
        """
        if owner != self._host:
            return [_refusal_message(sender, request.claim, ClaimStatus.NOT_OWNER)]
        for group in (self._queued_claims, self._unresolved_claims):
            if request.claim in group:
                group[request.claim].sender = sender
                return []
        held = self._index.holder(request.key_hash)
        if held is not None and held.claim == request.claim:
            return [_verdict_message(sender, Won(held))]
        released = request.claim in self._pending_releases or self._index.is_released(request.claim)
        if released or len(self._queued_claims) >= _MAX_QUEUED_CLAIMS:
            return [_refusal_message(sender, request.claim, ClaimStatus.LOG_DOWN)]
        claim = Claim(
            claim=request.claim,
            key_hash=request.key_hash,
            body_hash=request.body_hash,
            host=sender,
            incarnation=incarnation,
            issued_wall_ms=request.issued_wall_ms,
        )
        self._queued_claims[request.claim] = _RequestedClaim(sender, claim, now_ms)
        return []

    def handle_release(self, request: ReleaseRequest) -> None:
        """Handle a release request; the release is appended until it is read from the log.

        Notes
        -----
        Daemons that do not own the partition accept it too, because a release is valid no matter
        who appends it.
        """
        self._queued_claims.pop(request.claim, None)
        if (
            self._index.is_released(request.claim)
            or len(self._pending_releases) >= _MAX_PENDING_RELEASES
        ):
            return
        self._pending_releases[request.claim] = Release(
            claim=request.claim, key_hash=request.key_hash
        )

    def poll(self, now_ms: int) -> list[OwnerDecision]:
        """Return the actions due now; call it after every report and at least every 50 ms."""
        decisions: list[OwnerDecision] = [*self._refuse_timed_out(now_ms)]
        if self._is_read_due(now_ms):
            self._reading = True
            self._read_precedes_loss = False
            self._next_read_ms = now_ms + _READ_INTERVAL_MS
            decisions.append(ReadStream(self._index.next_offset))
        if self._can_append(now_ms):
            decisions.append(self._append(now_ms))
        return decisions

    def append_succeeded(self, offset: Offset) -> None:
        """Record that the append in flight was stored at `offset`."""
        self._append_in_flight = None
        self._read_target = max(self._read_target, offset + 1)

    def append_rejected(self, now_ms: int) -> None:
        """Record that the append in flight certainly took no effect; its claims are retried."""
        batch, self._append_in_flight = self._append_in_flight, None
        self._next_append_ms = now_ms + _BACKOFF_MS
        self._appended_releases.clear()
        for entry in batch.entries if batch else ():
            requested = self._unresolved_claims.pop(entry.claim, None)
            # A release may have arrived meanwhile.
            if requested is not None and entry.claim not in self._pending_releases:
                self._queued_claims[entry.claim] = requested

    def append_uncertain(self, now_ms: int) -> None:
        """Record that the append in flight may or may not have taken effect."""
        self._append_in_flight = None
        self._append_uncertain = True
        self._appended_releases.clear()
        self._next_append_ms = now_ms + _BACKOFF_MS
        # A read in flight may have been served before the append took effect.
        self._read_precedes_loss = self._reading

    def handle_read(
        self, records: Sequence[LogRecord], first: Offset, next_offset: Offset
    ) -> list[Send]:
        """Handle the result of a read.

        Parameters
        ----------
        records : sequence of LogRecord
            The records from the requested start, or from `first` if that is higher.
        first, next_offset : int
            The lowest offset that the log retains, and the offset of the next append.
        """
        self._reading = False
        self._failed_reads = 0
        self._index.skip_to(first)
        sends: list[Send] = []
        for each in records:
            for verdict in self._index.apply(each.offset, each.at_ms, each.record):
                requested = self._unresolved_claims.pop(verdict.claim.claim, None)
                if requested is not None:
                    sends.append(_verdict_message(requested.sender, verdict))
        self._pending_releases = {
            claim: release
            for claim, release in self._pending_releases.items()
            if not self._index.is_released(claim)
        }
        self._appended_releases &= self._pending_releases.keys()
        if self._index.next_offset < next_offset:
            self._read_target = max(self._read_target, next_offset)
            return sends
        self._caught_up = True
        if self._append_uncertain and not self._read_precedes_loss:
            self._append_uncertain = False
            sends += self._refuse_all(self._unresolved_claims)
        return sends

    def read_failed(self, now_ms: int) -> list[Send]:
        """Record a failed read; from the second consecutive one on, all claims are refused."""
        self._reading = False
        self._failed_reads += 1
        self._read_retry_ms = now_ms + _BACKOFF_MS
        if self._failed_reads < _READ_FAILURE_LIMIT:
            return []
        return [*self._refuse_all(self._unresolved_claims), *self._refuse_all(self._queued_claims)]

    def _is_read_due(self, now_ms: int) -> bool:
        if self._reading or now_ms < self._read_retry_ms:
            return False
        behind = self._index.next_offset < self._read_target
        needed = not self._caught_up or self._append_uncertain or behind
        return needed or now_ms >= self._next_read_ms

    def _can_append(self, now_ms: int) -> bool:
        if self._append_in_flight is not None or self._append_uncertain or not self._caught_up:
            return False
        waiting = bool(self._queued_claims) or len(self._pending_releases) > len(
            self._appended_releases
        )
        return waiting and now_ms >= self._next_append_ms

    def _append(self, now_ms: int) -> AppendBatch:
        releases = [
            release
            for claim, release in self._pending_releases.items()
            if claim not in self._appended_releases
        ][:_MAX_BATCH_ENTRIES]
        self._appended_releases.update(release.claim for release in releases)
        claims = list(self._queued_claims.values())[: _MAX_BATCH_ENTRIES - len(releases)]
        for requested in claims:
            del self._queued_claims[requested.claim.claim]
            self._unresolved_claims[requested.claim.claim] = requested
        # Releases precede claims, so that a released key can be claimed in the same batch.
        batch = ClaimBatch(entries=(*releases, *(requested.claim for requested in claims)))
        self._append_in_flight = batch
        self._next_append_ms = now_ms + _APPEND_INTERVAL_MS
        return AppendBatch(batch)

    def _refuse_timed_out(self, now_ms: int) -> list[Send]:
        sends: list[Send] = []
        for group in (self._queued_claims, self._unresolved_claims):
            timed_out = {
                claim: requested
                for claim, requested in group.items()
                if now_ms - requested.requested_ms >= _VERDICT_TIMEOUT_MS
            }
            for claim in timed_out:
                del group[claim]
            sends += self._refuse_all(timed_out)
        return sends

    def _refuse_all(self, group: dict[ClaimId, _RequestedClaim]) -> list[Send]:
        sends = [
            _refusal_message(requested.sender, claim, ClaimStatus.LOG_DOWN)
            for claim, requested in group.items()
        ]
        group.clear()
        return sends


def _refusal_message(to: HostId, claim: ClaimId, status: ClaimStatus) -> Send:
    return Send(to, ClaimResult(claim, status))


def _verdict_message(to: HostId, verdict: Verdict) -> Send:
    claim = verdict.claim.claim
    match verdict:
        case Won():
            return Send(to, ClaimResult(claim, ClaimStatus.WON))
        case HeldByOther(holder=holder):
            return Send(
                to,
                ClaimResult(
                    claim,
                    ClaimStatus.HELD,
                    holder_claim=holder.claim,
                    holder_host=holder.host,
                    holder_incarnation=holder.incarnation,
                    holder_body_hash=holder.body_hash,
                ),
            )
        case AlreadyReleased():
            return _refusal_message(to, claim, ClaimStatus.LOG_DOWN)
