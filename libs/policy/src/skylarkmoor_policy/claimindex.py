"""The log's own answer to which claim holds a key."""

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
    "ClaimIndex",
    "Held",
    "IssueTime",
    "Verdict",
    "Void",
    "Won",
    "check_issue_time",
    "claim_id",
    "claim_partition",
    "claim_stream",
]

# A claim outlives the dedup window by this much, which covers differences between the clocks
# of callers, daemons and the log, and the time between a key's check and its dispatch.
EXPIRY_MARGIN_MS = 60_000

# Issue times further in the future would outlive their claim.
_MAX_FUTURE_MS = 30_000


class IssueTime(Enum):
    """Whether a key's issue time allows a claim."""

    FRESH = "fresh"
    EXPIRED = "expired"
    FUTURE = "future"


def check_issue_time(issued_wall_ms: int, now_wall_ms: int, dedup_window_ms: int) -> IssueTime:
    """Return whether a key may be claimed.

    Notes
    -----
    An expired key is refused with `key_expired` and a future one as malformed; the outcome is
    unknown in both cases, because an earlier copy may have run.

    Examples
    --------
    >>> check_issue_time(issued_wall_ms=1000, now_wall_ms=1600, dedup_window_ms=500)
    <IssueTime.EXPIRED: 'expired'>
    """
    if now_wall_ms - issued_wall_ms >= dedup_window_ms:
        return IssueTime.EXPIRED
    if issued_wall_ms - now_wall_ms > _MAX_FUTURE_MS:
        return IssueTime.FUTURE
    return IssueTime.FRESH


def claim_id(host: HostId, incarnation: Incarnation, counter: int) -> ClaimId:
    """Return an id that no other claim has."""
    return ClaimId(f"{host}/{incarnation}/{counter}")


def claim_partition(key: str, partitions: int) -> int:
    """Return the partition of an idempotency key."""
    return bucket(partitions, key)


def claim_stream(partition: int) -> str:
    """Return the log stream of a partition, which is also the key of its rendezvous owner."""
    return f"claims-{partition}"


@dataclass(frozen=True, slots=True)
class Won:
    """The claim holds its key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Held:
    """The claim never holds its key, because `by` held it at that place in the log."""

    claim: Claim
    by: Claim


@dataclass(frozen=True, slots=True)
class Void:
    """The claim never holds its key, because its release came first in the log."""

    claim: Claim


Verdict = Won | Held | Void


@dataclass(slots=True)
class _Hold:
    claim: Claim
    until_ms: int


class ClaimIndex:
    """Which claim holds each key, by the log alone.

    Parameters
    ----------
    window_ms : int
        At least the longest dedup window of any service. It has to be a setting of the fleet
        and not follow a document: a window that grows later would accept keys whose claims
        have expired.

    Notes
    -----
    A key is held by the first claim that has not been released. A claim that finds its key held
    is void from then on, so that it does not take the key after the holder's release, when its
    daemon has long been told that it lost. A claim whose release comes first in the log is void
    as well: the release overtook it on its way, or its append was delayed.

    Claims expire by the log's record times, so all readers agree on them whatever their clocks.
    """

    def __init__(self, window_ms: int) -> None:
        self._lifetime_ms = window_ms + EXPIRY_MARGIN_MS
        self._next = 0
        self._now_ms = 0
        self._holds: dict[int, _Hold] = {}
        self._released: dict[ClaimId, int] = {}
        self._expiries: list[tuple[int, int]] = []

    def __len__(self) -> int:
        return len(self._holds)

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to read."""
        return Offset(self._next)

    def holder(self, key_hash: int) -> Claim | None:
        """Return the claim that holds a key at `next_offset`, if there is one."""
        hold = self._holds.get(key_hash)
        return None if hold is None else hold.claim

    def is_released(self, claim: ClaimId) -> bool:
        """Return whether the log holds the release of `claim`."""
        return claim in self._released

    def skip_to(self, first: Offset) -> None:
        """Continue at `first`, the lowest offset that the log still keeps.

        Notes
        -----
        Retention is longer than the lifetime of a claim, so nothing skipped could still count.
        """
        self._next = max(self._next, first)

    def apply(self, offset: Offset, at_ms: int, record: Record | MessageError) -> list[Verdict]:
        """Replay a record and return the verdicts on the claims in it.

        Parameters
        ----------
        offset : int
            A repeated offset changes nothing.
        at_ms : int
            The log's time of the record.
        record : Record or MessageError
            The error stands for a record that could not be decoded.

        Raises
        ------
        ValueError
            If a record before `offset` was not replayed.
        """
        if offset < self._next:
            return []
        if offset > self._next:
            raise ValueError(f"offset must be {self._next}, got {offset}")
        self._next = offset + 1
        self._now_ms = max(self._now_ms, at_ms)
        self._expire()
        match record:
            case Claim():
                return [self._claim(record)]
            case Release():
                self._release(record)
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
                    verdicts.append(self._claim(entry))
                case Release():
                    self._release(entry)
        return verdicts

    def _claim(self, claim: Claim) -> Verdict:
        if claim.claim in self._released:
            return Void(claim)
        hold = self._holds.get(claim.key_hash)
        until_ms = max(self._now_ms, claim.issued_wall_ms) + self._lifetime_ms
        if hold is None:
            self._holds[claim.key_hash] = _Hold(claim, until_ms)
            heapq.heappush(self._expiries, (until_ms, claim.key_hash))
            return Won(claim)
        if hold.claim.claim == claim.claim:
            return Won(hold.claim)
        # A copy with a later issue time is accepted for longer than the holder's was.
        hold.until_ms = max(hold.until_ms, claim.issued_wall_ms + self._lifetime_ms)
        return Held(claim, hold.claim)

    def _release(self, release: Release) -> None:
        self._released.setdefault(release.claim, self._now_ms + self._lifetime_ms)
        hold = self._holds.get(release.key_hash)
        if hold is not None and hold.claim.claim == release.claim:
            del self._holds[release.key_hash]

    def _expire(self) -> None:
        while self._expiries and self._expiries[0][0] <= self._now_ms:
            _, key_hash = heapq.heappop(self._expiries)
            hold = self._holds.get(key_hash)
            if hold is None:
                continue
            if hold.until_ms <= self._now_ms:
                del self._holds[key_hash]
            else:
                heapq.heappush(self._expiries, (hold.until_ms, key_hash))
        # The releases stand in order of record time.
        while self._released:
            claim = next(iter(self._released))
            if self._released[claim] > self._now_ms:
                break
            del self._released[claim]
