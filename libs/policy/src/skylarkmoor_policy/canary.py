"""Limits the requests to a new version of a service, and stops it when it proves to be bad.

Upstreams of the new version run beside the old ones. The comparison of both versions is that of
version moves. There are no steps, as the share does not grow: an order is not completed, and the
version is taken back when the time of the order ends.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from skylarkmoor_core.document import VersionMove
from skylarkmoor_core.hashing import bucket, rendezvous_order
from skylarkmoor_core.ids import (
    HostId,
    Incarnation,
    MoveId,
    RequestId,
    RouteName,
    ServiceName,
    VersionId,
)
from skylarkmoor_core.logposition import LogPosition
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_policy.movefollower import limited_share
from skylarkmoor_policy.recordage import OrderHistory, RecordAge
from skylarkmoor_policy.rollout import (
    Evidence,
    EvidenceHistory,
    MoveProgress,
    StopVersion,
    decide_next_action,
    stopped_fact,
)
from skylarkmoor_policy.versionrules import OtherVersions, PreferVersion, VersionRule

__all__ = ["Canary", "CanaryTable", "RolloutOrder"]

# The share of the new version is this fraction of the bound. The rest covers arrivals of chance
# and requests that were sent before the order was known.
_SHARE_FRACTION = 0.5
_SHARE_BUCKETS = 10_000
_BUCKETS_PER_PERCENT = _SHARE_BUCKETS // 100
# Requests that the new version gets in the whole fleet. A version is bad to callers before its load
# is high enough to compare it with the old one, and 50 bad answers have to be its end.
_MAX_REQUESTS = 40
# An order ends this long before its time is over, so that its status is there in time.
_FINISH_RESERVE_MS = 1_500
# How long a stop is repeated to the peers, which may have been cut off when it was decided.
_REPEAT_STOP_MS = 60_000
# Upstreams of a stopped version that were gone for this long belong to another change when they
# come back, for which there may be no order.
_GONE_MS = 60_000
# The only step of a canary.
_STEP = 1


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator's order to move a service to a version.

    Attributes
    ----------
    position : LogPosition
        Position of its record, which tells orders of a service apart.
    duration_ms : int
        Time that the operator gives the move.
    may_have_ended : bool
        Whether it was given before this daemon read of it, so that its status has to be read.
    """

    service: ServiceName
    version: VersionId
    position: LogPosition
    duration_ms: int
    may_have_ended: bool = False


@dataclass(slots=True)
class Canary:
    """State of one order on this daemon.

    Attributes
    ----------
    sent : int
        Requests that this daemon has sent to the new version.
    stop_reason : str or None
        Why the version gets no more requests; None while it gets some.
    stopped_ms : int or None
        When it was stopped; None if that was before this daemon started.
    used_ms : int or None
        When upstreams of the version were last in use; None if they have not been.
    """

    order: RolloutOrder
    progress: MoveProgress
    evidence: Evidence
    fleet_history: EvidenceHistory
    local_history: EvidenceHistory
    sent: int = 0
    stop_reason: str | None = None
    stopped_ms: int | None = None
    used_ms: int | None = None

    @property
    def move(self) -> MoveId:
        """Identifies the order in facts and in the choice of requests."""
        return self.progress.move


class CanaryTable:
    """The canaries of all services, of which each has at most one.

    Parameters
    ----------
    host, incarnation
        This process, as the source of its counts.
    max_share : float
        Share of a service's requests, from 0 to 1, that a bad version may get.
    """

    def __init__(self, host: HostId, incarnation: Incarnation, max_share: float) -> None:
        self._host = host
        self._incarnation = incarnation
        self._share_percent = max(1, int(100 * max_share * _SHARE_FRACTION))
        self._canaries: dict[ServiceName, Canary] = {}
        # The orders by service; their canaries may be over.
        self._orders: dict[ServiceName, OrderHistory] = {}

    def canaries(self) -> Collection[Canary]:
        """Return the canaries of all services."""
        return self._canaries.values()

    def target(self, service: ServiceName) -> VersionId | None:
        """Return the new version of a service, None if no rollout was ordered."""
        canary = self._canaries.get(service)
        return None if canary is None else canary.order.version

    def begin(self, order: RolloutOrder, now_wall_ms: int) -> bool:
        """Begin the canary of an order; return False if the order is not newer."""
        history = self._orders.setdefault(order.service, OrderHistory())
        age = history.update(order.position, (order.version, order.duration_ms))
        if age is not RecordAge.NEWER:
            return False
        move = MoveId(f"{order.service}@{order.position.era}.{order.position.offset}")
        plan = VersionMove(
            version=order.version,
            by_ms=now_wall_ms + order.duration_ms,
            steps_percent=(self._share_percent, 100),
        )
        self._canaries[order.service] = Canary(
            order,
            MoveProgress(
                move, order.service, VersionId(""), plan, _STEP, self._share_percent, now_wall_ms
            ),
            Evidence(move, self._host, self._incarnation, plan.max_slowdown_percent),
            EvidenceHistory(move),
            EvidenceHistory(move),
        )
        return True

    def rule(
        self,
        service: ServiceName,
        request: RequestId,
        versions: Collection[str],
        *,
        running: int,
        daemons: Sequence[HostId],
        now_ms: int,
    ) -> VersionRule | None:
        """Return the versions that may answer the first attempt of a request.

        Parameters
        ----------
        versions : collection of str
            Versions of the service's upstreams that are in use.
        running : int
            Requests of this daemon that run on the new version.
        daemons : sequence of HostId
            Live daemons, this one included, which share the limits on such requests.
        """
        canary = self._canaries.get(service)
        if canary is None or self._is_over(canary, versions, now_ms):
            return None
        new = canary.order.version
        if all(version == new for version in versions):
            return None
        old = OtherVersions(new)
        plan = canary.progress.move_plan
        if canary.stop_reason is not None or new not in versions:
            return old
        if running >= max(1, plan.max_new_in_flight // max(1, len(daemons))):
            return old
        share_percent = limited_share(plan, _STEP, canary.fleet_history.requests_per_s(now_ms)) or 0
        if bucket(_SHARE_BUCKETS, request, canary.move) >= share_percent * _BUCKETS_PER_PERCENT:
            return old
        return PreferVersion(new) if canary.sent < self._allowance(canary.move, daemons) else old

    def _is_over(self, canary: Canary, versions: Collection[str], now_ms: int) -> bool:
        """Return whether the upstreams of a stopped version have left, and forget it then."""
        is_used = canary.order.version in versions
        if is_used and (canary.used_ms is None or now_ms - canary.used_ms <= _GONE_MS):
            canary.used_ms = now_ms
        if canary.stop_reason is None or not versions:
            return False
        if canary.used_ms is None:
            is_over = canary.stopped_ms is None
        else:
            is_over = now_ms - canary.used_ms > _GONE_MS
        if is_over:
            del self._canaries[canary.order.service]
        return is_over

    def _allowance(self, move: MoveId, daemons: Sequence[HostId]) -> int:
        """Return how many requests this daemon may send to the new version."""
        if len(daemons) <= _MAX_REQUESTS:
            return _MAX_REQUESTS // max(1, len(daemons))
        return int(self._host in rendezvous_order(move, daemons)[:_MAX_REQUESTS])

    def count_sent(self, service: ServiceName, version: str) -> None:
        """Count a request that is sent to an upstream of a version."""
        canary = self._canaries.get(service)
        if canary is not None and canary.order.version == version:
            canary.sent += 1

    def rule_after_failure(
        self, service: ServiceName, versions: Collection[str]
    ) -> VersionRule | None:
        """Return the versions that may answer a request again."""
        canary = self._canaries.get(service)
        if canary is None or all(version == canary.order.version for version in versions):
            return None
        return OtherVersions(canary.order.version)

    def record(
        self,
        service: ServiceName,
        route: RouteName,
        version: str,
        latency_ms: float,
        *,
        failed: bool,
    ) -> None:
        """Count an attempt at an upstream.

        Parameters
        ----------
        latency_ms : float
            Time between two events of a stream, or the duration of another answer.
        """
        canary = self._canaries.get(service)
        if canary is not None and canary.stop_reason is None:
            is_new = version == canary.order.version
            canary.evidence.record(_STEP, route, new=is_new, failed=failed, latency_ms=latency_ms)

    def mark_stopped(self, service: ServiceName, version: str) -> None:
        """Take back the version of a service that was stopped before this daemon started."""
        canary = self._canaries.get(service)
        if canary is not None and canary.order.version == version:
            canary.stop_reason = canary.stop_reason or "it was stopped before"

    def apply_facts(self, facts: Iterable[Fact], now_ms: int) -> None:
        """Apply counts and stops that a peer has sent."""
        facts = list(facts)
        for canary in self._canaries.values():
            canary.fleet_history.apply_facts(facts)
            if canary.stop_reason is None and any(
                fact.kind is FactKind.VERSION_STOPPED and fact.subject == canary.move
                for fact in facts
            ):
                canary.stop_reason, canary.stopped_ms = "another daemon has stopped it", now_ms

    def collect_facts(self, now_ms: int, now_wall_ms: int) -> list[Fact]:
        """Return the facts for the peers: new counts, and stops, which are repeated.

        Notes
        -----
        Also decides whether the versions are stopped.
        """
        facts = []
        for canary in self._canaries.values():
            counts = canary.evidence.facts(now_wall_ms)
            facts += counts
            for history in (canary.fleet_history, canary.local_history):
                history.apply_facts(counts)
                history.snapshot(now_ms)
            if canary.stop_reason is None:
                canary.stop_reason = _stop_reason(canary, now_ms, now_wall_ms)
                canary.stopped_ms = now_ms if canary.stop_reason else None
            if canary.stopped_ms is not None and now_ms - canary.stopped_ms < _REPEAT_STOP_MS:
                facts.append(stopped_fact(canary.move, now_wall_ms))
        return facts


def _stop_reason(canary: Canary, now_ms: int, now_wall_ms: int) -> str | None:
    by_ms = canary.progress.move_plan.by_ms
    if now_wall_ms >= by_ms - _FINISH_RESERVE_MS:
        return f"the order was not completed by {by_ms}"
    histories = (canary.fleet_history, canary.local_history)
    match decide_next_action(canary.progress, histories, now_ms, now_wall_ms, ready=False):
        case StopVersion(why=why):
            return why
        case _:
            return None
