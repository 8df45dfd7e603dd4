"""Decides which upstreams are cold, and how many requests a cold upstream may get.

A cold upstream crashes if it gets too many requests a second from all gateways together. Its limit
is one of the two sources of the permits of `upstreampermits`; the other is what upstreams announce.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum
from math import ceil

from skylarkmoor_core.ids import ServiceName
from skylarkmoor_policy.upstreamnotices import InstanceId

__all__ = ["ColdCause", "ColdStart", "ColdStartLimit", "ColdStarts"]

# Fraction of what a cold upstream bears beyond its rate that permits may be saved up for. The rest
# is for a second dispatcher that issues permits until it hears of those of the first, which are
# reported every 300 ms, and for requests that wait for a connection and arrive together.
_SAVED_FRACTION = 0.25
# Fraction of the time of a cold start in which the share of a warm upstream grows to all its slots.
_RAMP_FRACTION = 0.5
# Longest time that an entry or a peer may name; it bounds the effect of a faulty one.
_MAX_COLD_MS = 600_000


class ColdCause(Enum):
    """Why an upstream counts as cold; the values appear in metrics and logs."""

    ENTRY = "entry"
    EVACUATION = "evacuation"
    # It could not be reached, or a connection was lost while it ran a request.
    LOST = "lost"
    # Its entry was missing before.
    LISTED_AGAIN = "listed again"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class ColdStartLimit:
    """Cold starts of a service.

    Attributes
    ----------
    duration_ms : int
        How long an upstream is cold after its start.
    requests_per_s : float
        Requests per second that a cold upstream may get from all gateways together.
    """

    duration_ms: int
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class ColdStart:
    """An instance that counts as cold from now on, for a time."""

    instance: InstanceId
    cause: ColdCause
    remaining_ms: int


@dataclass(slots=True)
class _State:
    service: ServiceName
    # Until when it is cold by its entry, after an evacuation, and by what was seen or told of it.
    entry_until_ms: int = 0
    evacuated_until_ms: int = 0
    assumed_until_ms: int = 0

    @property
    def until_ms(self) -> int:
        return max(self.entry_until_ms, self.evacuated_until_ms, self.assumed_until_ms)


class ColdStarts:
    """The upstreams that are cold.

    Attributes
    ----------
    overshoot, slack : float
        A cold upstream bears `overshoot` times its rate plus `slack` requests in any second.

    Notes
    -----
    What is known of an instance does not apply to the next one under its id, whose entry says
    whether it is cold. Services without a limit have no cold upstreams.
    """

    def __init__(self) -> None:
        self.overshoot = 1.0
        self.slack = 0.0
        self._limits: Mapping[ServiceName, ColdStartLimit] = {}
        self._states: dict[InstanceId, _State] = {}
        self._removed: dict[InstanceId, int] = {}
        self._new: list[ColdStart] = []

    def set_limits(self, limits: Mapping[ServiceName, ColdStartLimit]) -> None:
        """Set the limits of the services that have one."""
        self._limits = limits

    def entry_read(
        self, instance: InstanceId, service: ServiceName, remaining_ms: int, now_ms: int
    ) -> None:
        """Record what the entry of an instance says, counted from now."""
        if instance in self._removed:
            del self._removed[instance]
            self._assume(instance, service, ColdCause.LISTED_AGAIN, now_ms)
        known = self._states.get(instance)
        if remaining_ms <= 0:
            if known is not None:
                known.entry_until_ms = min(now_ms, known.entry_until_ms)
                known.evacuated_until_ms = min(now_ms, known.evacuated_until_ms)
            return
        was_cold = self.is_cold(instance, now_ms)
        known = self._known(instance, service)
        known.entry_until_ms = now_ms + min(_MAX_COLD_MS, remaining_ms)
        if not was_cold and self.is_cold(instance, now_ms):
            self._new.append(ColdStart(instance, ColdCause.ENTRY, remaining_ms))

    def removed(self, instance: InstanceId, now_ms: int) -> None:
        """Record that the entry of an instance is missing."""
        self._removed[instance] = now_ms

    def evacuation_ended(self, instance: InstanceId, service: ServiceName, now_ms: int) -> None:
        """Record that the failure domain of an instance is not evacuated any more."""
        limit = self._limits.get(service)
        if limit is not None:
            known = self._known(instance, service)
            known.evacuated_until_ms = now_ms + limit.duration_ms

    def lost(self, instance: InstanceId, service: ServiceName, now_ms: int) -> None:
        """Record that an instance could not be reached, or broke off a request."""
        self._assume(instance, service, ColdCause.LOST, now_ms)

    def told(
        self, instance: InstanceId, service: ServiceName, remaining_ms: int, now_ms: int
    ) -> bool:
        """Record that a peer knows an instance to be cold, and return whether that is new."""
        was_cold = self.is_cold(instance, now_ms)
        known = self._known(instance, service)
        until_ms = now_ms + min(_MAX_COLD_MS, remaining_ms)
        known.assumed_until_ms = max(known.assumed_until_ms, until_ms)
        return not was_cold and self.is_cold(instance, now_ms)

    def is_cold(self, instance: InstanceId, now_ms: int) -> bool:
        """Return whether an instance of a service with a limit is cold."""
        return self.remaining_ms(instance, now_ms) > 0

    def remaining_ms(self, instance: InstanceId, now_ms: int) -> int:
        """Return for how long an instance is cold, 0 if it is not."""
        known = self._states.get(instance)
        if known is None or known.service not in self._limits:
            return 0
        return max(0, known.until_ms - now_ms)

    def cold(self, now_ms: int) -> frozenset[InstanceId]:
        """Return the instances that are cold."""
        return frozenset(each for each in self._states if self.is_cold(each, now_ms))

    def has_any(self) -> bool:
        """Return whether any instance is or was cold lately."""
        return bool(self._states)

    def permits(self, instance: InstanceId, now_ms: int) -> tuple[float, float] | None:
        """Return the permits per second of a cold instance, and how many may be saved up."""
        if not self.is_cold(instance, now_ms):
            return None
        rate_per_s = self._limits[self._states[instance].service].requests_per_s
        bound = rate_per_s * self.overshoot + self.slack
        saved = max(1.0, (bound - rate_per_s) * _SAVED_FRACTION)
        return min(rate_per_s, max(bound - saved, bound / 2)), saved

    def max_running(
        self, instance: InstanceId, slots: int, slot_hold_ms: float, now_ms: int
    ) -> int | None:
        """Return how many requests an instance may run while its share grows, None for any number.

        Parameters
        ----------
        slots : int
            Requests that it may run after that.
        slot_hold_ms : float
            How long a request runs. The share begins with what the limit has left to it.
        """
        known = self._states.get(instance)
        limit = None if known is None else self._limits.get(known.service)
        if known is None or limit is None or known.until_ms > now_ms:
            return None
        ramp_ms = max(1.0, limit.duration_ms * _RAMP_FRACTION)
        fraction = (now_ms - known.until_ms) / ramp_ms
        if fraction >= 1 or not known.until_ms:
            return None
        first = min(slots, max(1, ceil(limit.requests_per_s * slot_hold_ms / 1_000)))
        return first + int((slots - first) * fraction)

    def take_new(self) -> list[ColdStart]:
        """Return the instances that are cold by what this gateway has read or seen since."""
        new, self._new = self._new, []
        return new

    def expire(self, listed: Collection[InstanceId], now_ms: int) -> None:
        """Forget the instances that have been warm for long, and those that have left for good."""
        for instance, known in list(self._states.items()):
            limit = self._limits.get(known.service)
            ramp_ms = 0.0 if limit is None else limit.duration_ms * _RAMP_FRACTION
            if known.until_ms + ramp_ms < now_ms:
                del self._states[instance]
        for instance, removed_ms in list(self._removed.items()):
            if instance in listed or now_ms - removed_ms > _MAX_COLD_MS:
                del self._removed[instance]

    def _assume(
        self, instance: InstanceId, service: ServiceName, cause: ColdCause, now_ms: int
    ) -> None:
        limit = self._limits.get(service)
        if limit is None or limit.duration_ms <= 0:
            return
        was_cold = self.is_cold(instance, now_ms)
        self._known(instance, service).assumed_until_ms = now_ms + limit.duration_ms
        if not was_cold:
            self._new.append(ColdStart(instance, cause, limit.duration_ms))

    def _known(self, instance: InstanceId, service: ServiceName) -> _State:
        known = self._states.get(instance)
        if known is None:
            known = self._states[instance] = _State(service)
        return known
