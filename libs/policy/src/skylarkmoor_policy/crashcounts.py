"""Requests that break each upstream connection that carries them."""

from collections.abc import Mapping

from skylarkmoor_core.ids import Fingerprint, HostId

__all__ = ["CrashCounts"]

# An innocent request may be hit by two crashes of its neighbours and one lost answer; a request
# that crashes its upstreams has no success in between.
_MAX_CRASHES = 4
# Callers repeat a request for seconds; a later one may meet a repaired upstream.
_LIFETIME_MS = 60_000
# Bounds the state and what is told to the peers.
_MAX_FINGERPRINTS = 256


class CrashCounts:
    """Counts broken runs by fingerprint over all daemons; a success clears the own count.

    Notes
    -----
    Peers are not told of a success. It ends the counts of its own daemon, and the others expire.
    """

    def __init__(self) -> None:
        self._own: dict[Fingerprint, tuple[int, int]] = {}
        self._peers: dict[HostId, Mapping[int, int]] = {}

    def add(self, fingerprint: Fingerprint, now_ms: int) -> None:
        """Note that an upstream's connection broke under a request."""
        count = self._own.pop(fingerprint, (0, 0))[0]
        self._own[fingerprint] = (count + 1, now_ms)
        while len(self._own) > _MAX_FINGERPRINTS:
            del self._own[next(iter(self._own))]

    def clear(self, fingerprint: Fingerprint) -> None:
        """Note that a request ran to its end."""
        self._own.pop(fingerprint, None)

    def expire(self, now_ms: int) -> None:
        """Forget crashes that are old."""
        for fingerprint, (_, at_ms) in list(self._own.items()):
            if now_ms - at_ms > _LIFETIME_MS:
                del self._own[fingerprint]

    def own(self) -> dict[int, int]:
        """Return this daemon's counts, to be told to its peers."""
        return {int(name): count for name, (count, _) in self._own.items()}

    def set_peer(self, peer: HostId, crashes: Mapping[int, int]) -> None:
        """Take a peer's counts."""
        if crashes:
            self._peers[peer] = crashes
        else:
            self._peers.pop(peer, None)

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request must not run any more."""
        own = self._own.get(fingerprint, (0, 0))[0]
        others = sum(crashes.get(fingerprint, 0) for crashes in self._peers.values())
        return own + others >= _MAX_CRASHES
