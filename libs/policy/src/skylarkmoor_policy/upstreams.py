"""What a daemon knows of an upstream and of the attempts that it runs there."""

from dataclasses import dataclass

from skylarkmoor_core.ids import AttemptId, Incarnation, UpstreamId, VersionId
from skylarkmoor_policy.accounts import CreditAccount
from skylarkmoor_policy.capacity import (
    ENGINE_START_PERCENT,
    CapacityModel,
    PressureWindow,
    SpeedModel,
    bounds_of,
)
from skylarkmoor_policy.credit import CreditTable
from skylarkmoor_policy.requests import LoadReport, Request, UpstreamInfo
from skylarkmoor_policy.routing import LoadEstimate

__all__ = ["Attempt", "Upstream", "WaitingPlan"]

# Rest after a failed connection, doubled up to the bound at each further failure.
_COOLDOWN_MS = 100
_MAX_COOLDOWN_MS = 2_000


@dataclass(slots=True)
class Attempt:
    """An attempt that has not ended.

    Attributes
    ----------
    cost : int
        Cost that it was charged when it started.
    prefill_tokens : int
        Prompt tokens that are probably not cached at the upstream.
    start_position, position : int
        Position of the answer at which it started and that it has reached.
    started_ms, stopped_ms : int
        When it was started, and when it was told to stop if it was.
    """

    attempt: AttemptId
    request: Request
    upstream: UpstreamId
    cost: int
    prefill_tokens: int
    start_position: int
    started_ms: int
    position: int
    # Time and position at the last measurement of the time between tokens.
    measured_ms: int = -1
    measured_position: int = 0
    stopped_ms: int | None = None

    def computed(self, prefill_ms: float, now_ms: int) -> int:
        """Return how many tokens have been computed, estimated before the first token."""
        if self.position > self.start_position:
            return self.prefill_tokens + self.position - self.start_position
        elapsed_ms = now_ms - self.started_ms
        return min(self.prefill_tokens, int(elapsed_ms / max(prefill_ms, 1e-3)))


class Upstream:
    """What this daemon knows of one upstream."""

    def __init__(self, info: UpstreamInfo, engine: bool, tiers: int) -> None:
        bounds = bounds_of(None, engine)
        self.info = info
        self.listed = True
        self.leaving = info.leaving
        self.incarnation: Incarnation | None = None
        self.report: LoadReport | None = None
        self.account = CreditAccount(info.upstream, tiers, bounds)
        self.capacity = CapacityModel(bounds, ENGINE_START_PERCENT if engine else 100)
        self.owned = False
        self.table: CreditTable | None = None
        self.granted_ms = -1
        self.speed = SpeedModel()
        self.load = LoadEstimate()
        self.pressure = PressureWindow()
        self.attempts: dict[AttemptId, Attempt] = {}
        self.failures = 0
        self.rest_until_ms = -1

    def usable(self, now_ms: int) -> bool:
        """Return whether new work may go here."""
        return self.listed and not self.leaving and now_ms >= self.rest_until_ms

    def has_room(self, tier: int, now_ms: int) -> bool:
        """Return whether the smallest request of a tier may start."""
        return self.account.room(tier, now_ms) >= self.account.bounds.unit

    def serves(self, version: VersionId) -> bool:
        """Return whether the upstream runs a version, as far as known."""
        return self.report is None or not self.report.versions or version in self.report.versions

    def rest(self, now_ms: int) -> None:
        """Give the upstream no new work for a while after a failed connection."""
        self.rest_until_ms = now_ms + min(_MAX_COOLDOWN_MS, _COOLDOWN_MS << self.failures)
        self.failures = min(self.failures + 1, 10)

    def recover(self) -> None:
        """Note that the upstream works."""
        self.failures = 0
        self.rest_until_ms = -1


class WaitingPlan:
    """Waiting cost that is being assigned to an upstream."""

    def __init__(self, upstream: Upstream, now_ms: int) -> None:
        account = upstream.account
        self._reach = account.reach(now_ms)
        self._capacity = max(1, account.capacity)
        self._unit = account.bounds.unit
        self._planned = 0
        self.waiting = [0] * len(self._reach)
        self.units = [0] * len(self._reach)

    def prospect(self, tier: int) -> float:
        """Return the part of the capacity that a tier may yet hope for."""
        return (self._reach[tier] - self._planned) / self._capacity

    def add(self, tier: int, cost: int, requests: float) -> None:
        """Assign some requests of a mean cost."""
        single = max(self._unit, cost)
        total = max(single, round(single * requests))
        self.units[tier] = max(self.units[tier], single)
        self.waiting[tier] += total
        self._planned += total
