"""Bounds the requests in progress at upstreams that bear few refusals.

An upstream that is full refuses requests. One that is brittle fails if it has to refuse too many in
a second, from all daemons together. How many it takes is learnt from its refusals, which all
daemons tell each other, so that the one that dispatches next knows them as well.
"""

from collections.abc import Collection
from dataclasses import dataclass

from skylarkmoor_policy.upstreamnotices import InstanceId

__all__ = ["ConcurrencyWindows"]

# Time without a refusal after which one more request is tried, at least and in refusals that the
# upstream bears.
_MIN_RISE_MS = 1_000
_RISE_REFUSALS = 2.0
# Time after a refusal in which nothing is sent, at most. Requests on the way may be refused too.
_MAX_HOLD_MS = 1_000
_MIN_REFUSALS_PER_S = 0.1


@dataclass(slots=True)
class _Window:
    max_refusals_per_s: float
    # Requests that may be in progress, up to the number of slots.
    size: int
    slots: int
    changed_ms: int
    held_until_ms: int = 0

    @property
    def _refusal_interval_ms(self) -> float:
        return 1_000 / max(_MIN_REFUSALS_PER_S, self.max_refusals_per_s)

    def rise(self, now_ms: int) -> None:
        interval_ms = max(_MIN_RISE_MS, round(_RISE_REFUSALS * self._refusal_interval_ms))
        while self.size < self.slots and now_ms - self.changed_ms >= interval_ms:
            self.size += 1
            self.changed_ms += interval_ms
        if self.size >= self.slots:
            self.changed_ms = now_ms

    def shrink(self, running: int, now_ms: int) -> None:
        self.size = max(1, min(self.size, running) - 1)
        self.changed_ms = now_ms
        hold_ms = min(_MAX_HOLD_MS, round(self._refusal_interval_ms))
        self.held_until_ms = now_ms + hold_ms


class ConcurrencyWindows:
    """Windows of the instances that are brittle.

    Attributes
    ----------
    refused : dict
        Refusals that this daemon has been given since the instance has been brittle.

    Notes
    -----
    A window begins with the slots of the upstream: what waits there beyond them may find no room
    any more. A refusal shrinks it at once to less than what was in progress; it grows by one
    request at a time. While peers are silent, it is scaled down to the fraction of the fleet that
    is reachable.
    """

    def __init__(self) -> None:
        self.refused: dict[InstanceId, int] = {}
        self._windows: dict[InstanceId, _Window] = {}
        self._reachable_fraction = 1.0

    def set_brittle(
        self, instance: InstanceId, max_refusals_per_s: float | None, slots: int, now_ms: int
    ) -> None:
        """Set the refusals per second that an instance bears; None if it is not brittle."""
        if max_refusals_per_s is None:
            self._windows.pop(instance, None)
            self.refused.pop(instance, None)
            return
        window = self._windows.get(instance)
        if window is None:
            self._windows[instance] = _Window(max_refusals_per_s, slots, slots, now_ms)
            self.refused[instance] = 0
        else:
            window.max_refusals_per_s, window.slots = max_refusals_per_s, slots

    def set_reachable_fraction(self, fraction: float) -> None:
        """Set the fraction of the fleet, from 0 to 1, whose reports are recent."""
        self._reachable_fraction = fraction

    def is_brittle(self, instance: InstanceId) -> bool:
        """Return whether an instance is brittle."""
        return instance in self._windows

    def record_refusal(self, instance: InstanceId, running: int, now_ms: int) -> bool:
        """Record a refusal that this daemon was given, and return whether peers are to be told.

        Parameters
        ----------
        running : int
            Requests of all daemons in progress, with the one that was refused.
        """
        window = self._windows.get(instance)
        if window is None:
            return False
        self.refused[instance] += 1
        window.shrink(running, now_ms)
        return True

    def record_peer_refusals(
        self, instance: InstanceId, count: int, running: int, now_ms: int
    ) -> None:
        """Record refusals that a peer was given."""
        window = self._windows.get(instance)
        if window is not None and count > 0:
            window.shrink(running, now_ms)

    def may_send(self, instance: InstanceId, running: int, now_ms: int) -> bool:
        """Return whether a request may be sent to an instance now."""
        window = self._windows.get(instance)
        if window is None:
            return True
        window.rise(now_ms)
        size = max(1, int(window.size * self._reachable_fraction))
        return now_ms >= window.held_until_ms and running < size

    def keep(self, instances: Collection[InstanceId]) -> None:
        """Forget all other instances."""
        for instance in self._windows.keys() - set(instances):
            self.set_brittle(instance, None, 0, 0)
