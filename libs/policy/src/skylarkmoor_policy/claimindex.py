"""Index of claims, replayed from the log: which claim holds each idempotency key."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.hashing import bucket
from skylarkmoor_core.ids import ClaimId, HostId, Incarnation, Offset
from skylarkmoor_core.records import Claim, ClaimBatch, Record, Release

__all__ = [
    "EXPIRY_MARGIN_MS",
    "AlreadyReleased",
    "ClaimIndex",
    "HeldByOther",
    "IssueTimeStatus",
    "Verdict",
    "Won",
    "check_issue_time",
    "claim_id",
    "claim_partition",
    "claim_stream",
]

# Time by which a claim outlives the dedup window. It covers clock skew between callers, daemons
# and the log, and the time between the check of a key and the dispatch.
EXPIRY_MARGIN_MS = 60_000

# A key with an issue time further in the future would be accepted after its claim has expired.
_MAX_FUTURE_MS = 30_000


class IssueTimeStatus(Enum):
    """Result of checking the issue time of an idempotency key."""

    FRESH = "fresh"
    EXPIRED = "expired"
    FUTURE = "future"


def check_issue_time(
    issued_wall_ms: int, now_wall_ms: int, dedup_window_ms: int
) -> IssueTimeStatus:
    """Check whether the issue time of a key allows a claim.

    Notes
    -----
    An expired key is refused with `key_expired` and a future one as malformed; the outcome is
    unknown in both cases, because an earlier copy may have run.

    Examples
    --------
    >>> check_issue_time(issued_wall_ms=1000, now_wall_ms=1600, dedup_window_ms=500)
    <IssueTimeStatus.EXPIRED: 'expired'>
    """
    if now_wall_ms - issued_wall_ms >= dedup_window_ms:
        return IssueTimeStatus.EXPIRED
    if issued_wall_ms - now_wall_ms > _MAX_FUTURE_MS:
        return IssueTimeStatus.FUTURE
    return IssueTimeStatus.FRESH


def claim_id(host: HostId, incarnation: Incarnation, counter: int) -> ClaimId:
    """Return a claim id; `counter` must be unique within the incarnation."""
    return ClaimId(f"{host}/{incarnation}/{counter}")


def claim_partition(key: str, partitions: int) -> int:
    """Return the partition that an idempotency key is hashed to."""
    return bucket(partitions, key)


def claim_stream(partition: int) -> str:
    """Return the log stream of a partition, also the rendezvous key that selects its owner."""
    return f"claims-{partition}"


@dataclass(frozen=True, slots=True)
class Won:
    """The claim holds its key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class HeldByOther:
    """The claim never holds its key, because `holder` held the key when the claim was replayed."""

    claim: Claim
    holder: Claim


@dataclass(frozen=True, slots=True)
class AlreadyReleased:
    """The claim never holds its key, because the log has its release before it."""

    claim: Claim


Verdict = Won | HeldByOther | AlreadyReleased


@dataclass(slots=True)
class _Hold:
    claim: Claim
    until_ms: int


class ClaimIndex:
    """Which claim holds each key, computed from the log alone.

    Parameters
    ----------
    window_ms : int
        At least the longest dedup window of any service. It must be a fixed setting of the
        fleet and not part of a configuration document: if the window grew later, keys would be
        accepted whose claims have expired.

    Notes
    -----
    A key is held by the first claim that has not been released. A claim whose key is held by
    another claim never holds it, not even after the holder's release, because its daemon has
    been told that it lost. A claim whose release precedes it in the log is void: its request
    was overtaken by the release, or its append was delayed.

    Claims expire by the record times of the log, so all readers agree whatever their clocks.
    """

    def __init__(self, window_ms: int) -> None:
        self._lifetime_ms = window_ms + EXPIRY_MARGIN_MS
        self._next_offset = 0
        self._log_time_ms = 0
        self._holds_by_key: dict[int, _Hold] = {}
        self._release_expiry_ms: dict[ClaimId, int] = {}
        self._hold_expiries: list[tuple[int, int]] = []

    def __len__(self) -> int:
        return len(self._holds_by_key)

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to read."""
        return Offset(self._next_offset)

    def holder(self, key_hash: int) -> Claim | None:
        """Return the claim that holds a key as of `next_offset`, or None."""
        hold = self._holds_by_key.get(key_hash)
        return None if hold is None else hold.claim

    def is_released(self, claim: ClaimId) -> bool:
        """Return whether the log contains a release of `claim` that has not expired."""
        return claim in self._release_expiry_ms

    def skip_to(self, first: Offset) -> None:
        """Continue at `first`, the lowest offset that the log still keeps.

        Notes
        -----
        The log retains records for longer than the lifetime of a claim, so every claim in the
        skipped records has expired.
        """
        self._next_offset = max(self._next_offset, first)

    def apply(self, offset: Offset, at_ms: int, record: Record | MessageError) -> list[Verdict]:
        """Replay a record and return the verdicts on the claims in it.

        Parameters
        ----------
        offset : int
            Records that were already replayed are ignored.
        at_ms : int
            Time at which the log stored the record.
        record : Record or MessageError
            An error represents a record that could not be decoded, which is skipped.

        Raises
        ------
        ValueError
            If a record before `offset` was not replayed.
        """
        if offset < self._next_offset:
            return []
        if offset > self._next_offset:
            raise ValueError(f"record offset must be {self._next_offset}, got {offset}")
        self._next_offset = offset + 1
        self._log_time_ms = max(self._log_time_ms, at_ms)
        self._remove_expired()
        match record:
            case Claim():
                return [self._apply_claim(record)]
            case Release():
                self._apply_release(record)
                return []
            case ClaimBatch(entries=entries):
                return self._apply_batch(entries)
            case _:
                return []

    def _apply_batch(self, entries: Iterable[Claim | Release]) -> list[Verdict]:
        verdicts: list[Verdict] = []
        for entry in entries:
            match entry:
                case Claim():
                    verdicts.append(self._apply_claim(entry))
                case Release():
                    self._apply_release(entry)
        return verdicts

    def _apply_claim(self, claim: Claim) -> Verdict:
        if claim.claim in self._release_expiry_ms:
            return AlreadyReleased(claim)
        hold = self._holds_by_key.get(claim.key_hash)
        until_ms = max(self._log_time_ms, claim.issued_wall_ms) + self._lifetime_ms
        if hold is None:
            self._holds_by_key[claim.key_hash] = _Hold(claim, until_ms)
            heapq.heappush(self._hold_expiries, (until_ms, claim.key_hash))
            return Won(claim)
        if hold.claim.claim == claim.claim:
            return Won(hold.claim)
        # A copy with a later issue time is accepted for longer than the holder's own key, so
        # the hold is extended.
        hold.until_ms = max(hold.until_ms, claim.issued_wall_ms + self._lifetime_ms)
        return HeldByOther(claim, hold.claim)

    def _apply_release(self, release: Release) -> None:
        self._release_expiry_ms.setdefault(release.claim, self._log_time_ms + self._lifetime_ms)
        hold = self._holds_by_key.get(release.key_hash)
        if hold is not None and hold.claim.claim == release.claim:
            del self._holds_by_key[release.key_hash]

    def _remove_expired(self) -> None:
        while self._hold_expiries and self._hold_expiries[0][0] <= self._log_time_ms:
            _, key_hash = heapq.heappop(self._hold_expiries)
            hold = self._holds_by_key.get(key_hash)
            if hold is None:
                continue
            if hold.until_ms <= self._log_time_ms:
                del self._holds_by_key[key_hash]
            else:
                heapq.heappush(self._hold_expiries, (hold.until_ms, key_hash))
        # The releases are ordered by record time.
        while self._release_expiry_ms:
            claim = next(iter(self._release_expiry_ms))
            if self._release_expiry_ms[claim] > self._log_time_ms:
                break
            del self._release_expiry_ms[claim]
