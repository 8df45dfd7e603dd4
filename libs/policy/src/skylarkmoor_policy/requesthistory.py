"""Recognises requests that return after a refusal, and copies of requests that wait or run."""

from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["RequestHistory"]

K = TypeVar("K", bound=Hashable)

# A request that is identical to one that was granted a slot within this time counts as a copy.
_COPY_MS = 1_000
# A refusal is remembered for this time, longer than any Retry-After: callers of the longest timeout
# (15 s) are told to return within a third of it.
_REFUSAL_MEMORY_MS = 6_000
# Bounds the memory. A dispatcher grants and refuses a few hundred requests a second.
_MAX_ENTRIES = 4_096


class RequestHistory(Generic[K]):
    """Requests that wait at a dispatcher and those that it has recently granted or refused.

    Notes
    -----
    Identical requests have the same hash. A hash of 0 belongs to none: such a request is neither a
    copy nor does it return. Requests are told apart by a key, here the ticket.
    """

    def __init__(self) -> None:
        # Waiting requests with the same hash, in the order of their arrival.
        self._waiting: dict[int, list[K]] = {}
        # Hashes of which several requests wait.
        self._repeated: set[int] = set()
        # Waiting requests that have come again after a refusal.
        self._returning: dict[int, K] = {}
        # Key and time of the last grant, and time of the last refusal; the latest ones are last.
        self._granted: dict[int, tuple[K, int]] = {}
        self._refused_ms: dict[int, int] = {}

    def add(self, request_hash: int, key: K, arrived_ms: int) -> None:
        """Record that a request waits; a request that waits already keeps its place."""
        if not request_hash:
            return
        waiting = self._waiting.setdefault(request_hash, [])
        if key in waiting:
            return
        refused_ms = None if waiting else self._refused_ms.pop(request_hash, None)
        if refused_ms is not None and arrived_ms - refused_ms <= _REFUSAL_MEMORY_MS:
            self._returning[request_hash] = key
        waiting.append(key)
        if len(waiting) > 1:
            self._repeated.add(request_hash)

    def remove(self, request_hash: int, key: K) -> None:
        """Record that a request no longer waits."""
        waiting = self._waiting.get(request_hash)
        if waiting is None or key not in waiting:
            return
        waiting.remove(key)
        if self._returning.get(request_hash) == key:
            del self._returning[request_hash]
        if len(waiting) < 2:
            self._repeated.discard(request_hash)
        if not waiting:
            del self._waiting[request_hash]

    def record_grant(self, request_hash: int, key: K, now_ms: int) -> None:
        """Record that a waiting request got a slot, and remove it."""
        self.remove(request_hash, key)
        if request_hash:
            self._refused_ms.pop(request_hash, None)
            self._granted.pop(request_hash, None)
            self._granted[request_hash] = (key, now_ms)
            _limit(self._granted)
        self._expire(now_ms)

    def record_refusal(self, request_hash: int, key: K, now_ms: int) -> None:
        """Record that a waiting request was refused, and remove it.

        Notes
        -----
        The refusal of a copy gives the request no better place.
        """
        is_first_attempt = not self.is_copy(request_hash, key, now_ms)
        self.remove(request_hash, key)
        if request_hash and is_first_attempt:
            self._refused_ms.pop(request_hash, None)
            self._refused_ms[request_hash] = now_ms
            _limit(self._refused_ms)
        self._expire(now_ms)

    def marked(self) -> set[int]:
        """Return the hashes of waiting requests that may be copies or have come again."""
        granted = self._granted.keys() & self._waiting.keys()
        return self._repeated | self._returning.keys() | granted

    def is_copy(self, request_hash: int, key: K, now_ms: int) -> bool:
        """Return whether an identical request waits since before, or has just got a slot."""
        if request_hash in self._repeated and self._waiting[request_hash][0] != key:
            return True
        granted = self._granted.get(request_hash)
        return granted is not None and granted[0] != key and now_ms - granted[1] <= _COPY_MS

    def is_returning(self, request_hash: int, key: K) -> bool:
        """Return whether a waiting request has come again after a refusal."""
        return request_hash in self._returning and self._returning[request_hash] == key

    def _expire(self, now_ms: int) -> None:
        while self._granted:
            request_hash, (_, granted_ms) = next(iter(self._granted.items()))
            if now_ms - granted_ms <= _COPY_MS:
                break
            del self._granted[request_hash]
        while self._refused_ms:
            request_hash, refused_ms = next(iter(self._refused_ms.items()))
            if now_ms - refused_ms <= _REFUSAL_MEMORY_MS:
                break
            del self._refused_ms[request_hash]


def _limit(entries: dict[int, tuple[K, int]] | dict[int, int]) -> None:
    """Remove the oldest entry of a dictionary that is too large."""
    if len(entries) > _MAX_ENTRIES:
        del entries[next(iter(entries))]
