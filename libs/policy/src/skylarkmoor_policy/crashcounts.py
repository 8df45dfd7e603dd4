"""Detects requests that repeatedly crash the upstreams that execute them."""

from collections.abc import Mapping

from skylarkmoor_core.ids import Fingerprint, HostId

__all__ = ["CrashCounts"]

# A harmless request may be hit by two crashes caused by concurrent requests and by one lost
# response. A request that crashes its upstreams never succeeds in between.
_CRASHES_TO_BLOCK = 4
# Callers retry a request within seconds; after a longer time the upstreams may be repaired.
_EXPIRY_MS = 60_000
# Bounds the memory and the size of the counts that are sent to peers.
_MAX_FINGERPRINTS = 256


class CrashCounts:
    """Counts crashes by request fingerprint over all gateways; a success clears the local count.

    Notes
    -----
    A success is not reported to peers. It clears the count of the local gateway only; the counts of
    the others expire.
    """

    def __init__(self) -> None:
        self._own: dict[Fingerprint, tuple[int, int]] = {}
        self._peer_counts: dict[HostId, Mapping[int, int]] = {}

    def add(self, fingerprint: Fingerprint, now_ms: int) -> None:
        """Record that an upstream connection failed while it carried a request."""
        count = self._own.pop(fingerprint, (0, 0))[0]
        self._own[fingerprint] = (count + 1, now_ms)
        while len(self._own) > _MAX_FINGERPRINTS:
            del self._own[next(iter(self._own))]

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear the local count of a request that completed."""
        self._own.pop(fingerprint, None)

    def expire(self, now_ms: int) -> None:
        """Remove local counts without a recent crash."""
        for fingerprint, (_, at_ms) in list(self._own.items()):
            if now_ms - at_ms > _EXPIRY_MS:
                del self._own[fingerprint]

    def local_counts(self) -> dict[int, int]:
        """Return the local counts, which are sent to the peers."""
        return {int(name): count for name, (count, _) in self._own.items()}

    def set_peer_counts(self, peer: HostId, crashes: Mapping[int, int]) -> None:
        """Replace the counts of a peer."""
        if crashes:
            self._peer_counts[peer] = crashes
        else:
            self._peer_counts.pop(peer, None)

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request has crashed too many upstreams to be executed again."""
        own = self._own.get(fingerprint, (0, 0))[0]
        others = sum(crashes.get(fingerprint, 0) for crashes in self._peer_counts.values())
        return own + others >= _CRASHES_TO_BLOCK
