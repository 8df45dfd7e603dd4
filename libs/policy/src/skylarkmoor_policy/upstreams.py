"""Scheduling state of an upstream and of this daemon's attempts on it."""

from dataclasses import dataclass

from skylarkmoor_core.ids import AttemptId, Incarnation, UpstreamId, VersionId
from skylarkmoor_policy.capacity import (
    INITIAL_ENGINE_CAPACITY_PERCENT,
    CapacityModel,
    PressureWindow,
    SpeedModel,
    bounds_from_report,
)
from skylarkmoor_policy.credit import CreditTable
from skylarkmoor_policy.creditaccount import CreditAccount
from skylarkmoor_policy.requests import LoadReport, Request, UpstreamInfo
from skylarkmoor_policy.routing import LoadEstimate

__all__ = ["Attempt", "Upstream", "WaitingPlan"]

# Cooldown after a failed connection, doubled at each further failure up to the maximum.
_MIN_COOLDOWN_MS = 100
_MAX_COOLDOWN_MS = 2_000


@dataclass(slots=True)
class Attempt:
    """An attempt of a request on an upstream that has not ended.

    Attributes
    ----------
    cost : int
        Cost charged when the attempt started.
    prefill_tokens : int
        Estimated number of prompt tokens that are not cached on the upstream.
    start_position, position : int
        Output position in tokens at which the attempt started, and the position reached.
    started_ms, stopped_ms : int
        When the attempt started, and when its preemption was requested, if it was.
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

    def computed_tokens(self, prefill_ms: float, now_ms: int) -> int:
        """Return the tokens computed so far, estimated from `prefill_ms` before the first token."""
        if self.position > self.start_position:
            return self.prefill_tokens + self.position - self.start_position
        elapsed_ms = now_ms - self.started_ms
        return min(self.prefill_tokens, int(elapsed_ms / max(prefill_ms, 1e-3)))


class Upstream:
    """Scheduling state of one upstream at this daemon."""

    def __init__(self, info: UpstreamInfo, engine: bool, tiers: int) -> None:
        bounds = bounds_from_report(None, engine)
        self.info = info
        self.listed = True
        self.leaving = info.leaving
        self.incarnation: Incarnation | None = None
        self.report: LoadReport | None = None
        self.account = CreditAccount(info.upstream, tiers, bounds)
        self.capacity = CapacityModel(bounds, INITIAL_ENGINE_CAPACITY_PERCENT if engine else 100)
        self.owned = False
        self.credit_table: CreditTable | None = None
        self.last_grant_ms = -1
        self.speed = SpeedModel()
        self.load = LoadEstimate()
        self.pressure = PressureWindow()
        self.attempts: dict[AttemptId, Attempt] = {}
        self.failures = 0
        self.cooldown_until_ms = -1

    def usable(self, now_ms: int) -> bool:
        """Return whether new attempts may be sent to the upstream."""
        return self.listed and not self.leaving and now_ms >= self.cooldown_until_ms

    def has_room(self, tier: int, now_ms: int) -> bool:
        """Return whether the credit suffices for a request of minimum cost in a tier."""
        return self.account.startable_cost(tier, now_ms) >= self.account.bounds.min_request_cost

    def serves(self, version: VersionId) -> bool:
        """Return whether the upstream serves a version; True if it has not reported versions."""
        return self.report is None or not self.report.versions or version in self.report.versions

    def start_cooldown(self, now_ms: int) -> None:
        """Send no new attempts to the upstream for a while after a failed connection."""
        self.cooldown_until_ms = now_ms + min(_MAX_COOLDOWN_MS, _MIN_COOLDOWN_MS << self.failures)
        self.failures = min(self.failures + 1, 10)

    def clear_failures(self) -> None:
        """End the cooldown and reset the failure count."""
        self.failures = 0
        self.cooldown_until_ms = -1


class WaitingPlan:
    """Accumulates the waiting cost that this daemon assigns to an upstream."""

    def __init__(self, upstream: Upstream, now_ms: int) -> None:
        account = upstream.account
        self._reachable_cost = account.attainable_costs(now_ms)
        self._capacity = max(1, account.capacity)
        self._min_request_cost = account.bounds.min_request_cost
        self._planned_cost = 0
        self.waiting = [0] * len(self._reachable_cost)
        self.next_request_costs = [0] * len(self._reachable_cost)

    def reachable_fraction(self, tier: int) -> float:
        """Return the cost that a tier may still obtain, as a fraction of the capacity."""
        return (self._reachable_cost[tier] - self._planned_cost) / self._capacity

    def add(self, tier: int, cost: int, requests: float) -> None:
        """Assign a number of requests of mean cost `cost`."""
        request_cost = max(self._min_request_cost, cost)
        total_cost = max(request_cost, round(request_cost * requests))
        self.next_request_costs[tier] = max(self.next_request_costs[tier], request_cost)
        self.waiting[tier] += total_cost
        self._planned_cost += total_cost
