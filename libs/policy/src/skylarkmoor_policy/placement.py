"""Chooses an upstream for each request by predicted time to first token.

The prediction uses the load and measurements that all daemons report to each other.
"""

import random
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId, ServiceName, UpstreamId
from skylarkmoor_policy.coldstarts import ColdStartLimit, ColdStarts
from skylarkmoor_policy.concurrencywindows import ConcurrencyWindows
from skylarkmoor_policy.evacuations import Evacuations
from skylarkmoor_policy.homeregions import RegionMap
from skylarkmoor_policy.slotgroups import SlotGroup, group_count, less_loaded_group
from skylarkmoor_policy.trackedupstream import (
    FIRST_TOKEN_OVERHEAD_MS,
    Load,
    RegisteredUpstream,
    TrackedUpstream,
)
from skylarkmoor_policy.upstreamnotices import (
    AnswerNotices,
    InstanceId,
    NoticeChange,
    NoticeKind,
    NoticeTable,
)
from skylarkmoor_policy.upstreampermits import PermitTable
from skylarkmoor_policy.versionrules import PreferVersion, VersionRule, matches

__all__ = ["Placement", "UpstreamChoice"]

# Weight of a new sample in the moving average of slot hold times, which covers about the last
# ten requests.
_SLOT_HOLD_EWMA_WEIGHT = 0.1
# Fraction of a record's weight that is lost per second, so that an engine that has become slow
# is rated as slow after some seconds.
_RECORD_DECAY_PER_S = 0.08
# For shorter prompts, the decode step of the engine dominates the time to the first token.
_MIN_PREFILL_TOKENS = 400
# Output tokens per stream event, until it is estimated from completed streams.
_INITIAL_TOKENS_PER_EVENT = 6.0
# Backoff after a connection failure; it doubles with each consecutive failure up to the maximum.
_BACKOFF_MS = 250
_MAX_BACKOFF_MS = 4_000
# Penalty for a fault rate of 1; lower rates are charged in proportion.
_FAULT_PENALTY_MS = 3_000
# Costs that differ by no more than this are treated as equal, because loads are estimates.
_COST_TIE_MS = 5.0
# The same where daemons choose by old reports, without a dispatcher. The penalties of sound
# upstreams differ by as much, as fault rates are estimated from a few hundred answers.
_OLD_COST_TIE_MS = 100.0
# Engines interleave chunked prefill with decode steps. At most this many prompt tokens are
# processed between two events of a stream, so a longer backlog adds no further delay per event.
_MAX_INTERLEAVED_PREFILL_TOKENS = 12_288
# Penalty for stalling the streams that run beside a long prompt, as a delay of that prompt.
_STALL_PENALTY_MS = 400.0
# Fraction of the maximum gap that prefill may use; the decode steps in between take the rest.
_MAX_GAP_FRACTION_FOR_PREFILL = 0.8
# Missing the deadline of the answer costs more than any wait.
_DEADLINE_MISS_PENALTY_MS = 5_000.0
# Peers are told for this long that an upstream is leaving that is no longer listed here, in case
# they still list it.
_UNLISTED_LEAVING_MS = 60_000
_NO_UPSTREAMS: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class _Grant:
    number: int
    upstream: UpstreamId
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class UpstreamChoice:
    """The chosen upstream with the predicted time to first token and its load.

    Attributes
    ----------
    under_limit : bool
        Whether the upstream has named a limit, and a permit was used up for the request.
    asked_groups : int
        Slot groups that the request was queued at; 0 for one that needs no slot.
    """

    upstream: UpstreamId
    predicted_first_token_ms: float
    running: int
    slots: int
    under_limit: bool = False
    asked_groups: int = 0


class Placement:
    """Tracks the load and speed of the upstreams of all services and chooses among them.

    Parameters
    ----------
    rng : random.Random
        Breaks ties, so that daemons with the same view do not all choose the same upstream.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.upstreams: dict[UpstreamId, TrackedUpstream] = {}
        self._notices = NoticeTable()
        self.permits = PermitTable()
        self.windows = ConcurrencyWindows()
        self.evacuations = Evacuations(self._mark_evacuated)
        self.cold_starts = ColdStarts()
        self.regions = RegionMap()
        # Instances whose permits are limited because they are cold.
        self._cold: set[InstanceId] = set()
        # Cache of the evacuated upstreams by service.
        self._evacuated: dict[ServiceName, frozenset[UpstreamId]] = {}
        # Grants to peers that their load reports do not include yet.
        self._unreported_grants: dict[HostId, list[_Grant]] = {}
        # Upstreams whose load includes requests of the peer.
        self._peer_loaded_upstreams: dict[HostId, set[UpstreamId]] = {}
        # Upstreams that the last state of the peer has measurements of.
        self._peer_recorded_upstreams: dict[HostId, frozenset[UpstreamId]] = {}
        # Whether the load reports of peers may be older than requests last.
        self.has_old_reports = False
        self._tokens_per_event = _INITIAL_TOKENS_PER_EVENT
        self._decayed_at_ms: int | None = None

    def set_upstream(self, listed: RegisteredUpstream, now_ms: int = 0) -> None:
        """Add an upstream or update it from its entry.

        Notes
        -----
        An upstream that restarted under the same id runs none of its earlier requests, so its load
        and fault record are dropped. An instance that is leaving does not become ready again; an
        entry that says so is older than the notice.
        """
        known = self.upstreams.get(listed.upstream)
        if known is None or known.started_wall_ms != listed.started_wall_ms:
            known = self.upstreams[listed.upstream] = TrackedUpstream(listed)
        known.registration = listed
        known.leaving = known.leaving or listed.leaving or self._notices.is_leaving(known.instance)
        known.paused_until_ms = self._notices.paused_until_ms(known.instance)
        self.cold_starts.entry_read(
            known.instance, listed.service, listed.cold_remaining_ms, now_ms
        )
        known.limit_per_s, _ = self._limit_in_force(known.instance, now_ms)
        if self.cold_starts.has_any():
            self._apply_limit(known.instance, now_ms)
        known.evacuated = listed.failure_domain in self.evacuations.in_force
        self._evacuated.clear()
        # A new entry shows that this instance is alive.
        known.replaced = False

    def remove(self, upstream: UpstreamId, now_ms: int = 0) -> None:
        """Remove an upstream that has left the fleet."""
        known = self.upstreams.pop(upstream, None)
        self._evacuated.clear()
        if known is not None:
            self.cold_starts.removed(known.instance, now_ms)

    def set_peer_load(
        self,
        peer: HostId,
        loads: Mapping[UpstreamId, tuple[int, int]],
        last_grant: int = 0,
        group: SlotGroup | None = None,
        keep: Collection[SlotGroup] = (),
    ) -> None:
        """Replace the load of a peer: running requests and pending prompt tokens per upstream.

        Parameters
        ----------
        last_grant : int
            Number of the last grant that the loads include; later grants are added to them.
        group : SlotGroup or None
            If given, only the loads of its upstreams are replaced.
        keep : collection of SlotGroup
            Groups whose loads are not replaced, because a newer report is known.
        """
        grants = [
            each for each in self._unreported_grants.get(peer, ()) if each.number > last_grant
        ]
        self._unreported_grants[peer] = grants
        for name in list(self._peer_loaded_upstreams.get(peer, ())):
            upstream = self.upstreams.get(name)
            if upstream is not None and not _is_replaced(upstream, group, keep):
                continue
            self._peer_loaded_upstreams[peer].discard(name)
            previous = None if upstream is None else upstream.peer_loads.pop(peer, None)
            if upstream is not None and previous is not None:
                upstream.peers_running -= previous.running
                upstream.peers_prefill_tokens -= previous.prefill_tokens
        for name, load in loads.items():
            upstream = self.upstreams.get(name)
            if upstream is not None and _is_replaced(upstream, None, keep):
                self._add_load(peer, upstream, *load)
        for grant in grants:
            self._add_grant(peer, grant, group, keep)

    def update_peer_health(
        self,
        peer: HostId,
        records: Mapping[UpstreamId, tuple[int, ...]],
        resting_ms: Mapping[UpstreamId, int],
        now_ms: int,
    ) -> None:
        """Store the measurements of a peer and apply its remaining backoff times."""
        for name in self._peer_recorded_upstreams.get(peer, _NO_UPSTREAMS) - records.keys():
            upstream = self.upstreams.get(name)
            if upstream is not None:
                upstream.set_peer_record(peer, None)
        for name, values in records.items():
            upstream = self.upstreams.get(name)
            if upstream is not None and values != upstream.peer_records.get(peer):
                upstream.set_peer_record(peer, values)
        self._peer_recorded_upstreams[peer] = frozenset(records)
        for name, backoff_ms in resting_ms.items():
            known = self.upstreams.get(name)
            if known is not None:
                until_ms = now_ms + min(_MAX_BACKOFF_MS, backoff_ms)
                known.backoff_until_ms = max(known.backoff_until_ms, until_ms)

    def grant_to_peer(
        self, peer: HostId, upstream: UpstreamId, prompt_tokens: int, number: int
    ) -> None:
        """Count a slot granted to a peer until the load report of the peer includes it."""
        grant = _Grant(number, upstream, prompt_tokens)
        self._unreported_grants.setdefault(peer, []).append(grant)
        self._add_grant(peer, grant)

    def forget_peer(self, peer: HostId) -> None:
        """Drop the load and records of a peer that has left."""
        self._unreported_grants.pop(peer, None)
        self.set_peer_load(peer, {})
        self._peer_loaded_upstreams.pop(peer, None)
        self._peer_recorded_upstreams.pop(peer, None)
        for upstream in self.upstreams.values():
            upstream.set_peer_record(peer, None)

    def own_loads(self, group: SlotGroup | None = None) -> dict[UpstreamId, tuple[int, int]]:
        """Return the load of this daemon per upstream, to be reported to peers."""
        return {
            name: (each.own_load.running, each.own_load.prefill_tokens)
            for name, each in self.upstreams.items()
            if each.own_load.running and (group is None or _in_group(each, group))
        }

    def _active_upstreams(self, service: ServiceName) -> list[TrackedUpstream]:
        return [
            each
            for each in self.upstreams.values()
            if each.registration.service == service and not each.leaving and not each.replaced
        ]

    def _group_count(self, service: ServiceName) -> int:
        """Return the number of slot groups of a service.

        Notes
        -----
        While two versions run beside each other, each group needs enough upstreams of the one
        that gets most of the requests.
        """
        versions = Counter(each.registration.version for each in self._active_upstreams(service))
        return group_count(max(versions.values(), default=0))

    def group_loads(
        self,
        service: ServiceName,
        version_rule: VersionRule | None = None,
        regions: frozenset[str] | None = None,
    ) -> list[tuple[int, int]]:
        """Return the running requests and the slots of each slot group of a service.

        Parameters
        ----------
        version_rule : VersionRule or None
            Versions of the upstreams that count; None for all.
        regions : frozenset of str or None
            Regions of the upstreams that count; None for all.
        """
        count = self._group_count(service)
        loads = [(0, 0)] * count
        for each in self._active_upstreams(service):
            if each.evacuated or not matches(version_rule, each.registration.version):
                continue
            if not self.regions.is_home(each.registration.failure_domain, regions):
                continue
            number = each.id_hash % count
            running, slots = loads[number]
            loads[number] = (running + each.running(), slots + each.usable_slots)
        return loads

    def groups_of(self, upstreams: Collection[UpstreamId]) -> dict[UpstreamId, SlotGroup]:
        """Return the slot groups of those upstreams that are known."""
        counts: dict[ServiceName, int] = {}
        groups = {}
        for name in upstreams:
            known = self.upstreams.get(name)
            if known is not None:
                service = known.registration.service
                if service not in counts:
                    counts[service] = self._group_count(service)
                count = counts[service]
                groups[name] = SlotGroup(service, known.id_hash % count, count)
        return groups

    def group_of(self, upstream: UpstreamId) -> SlotGroup | None:
        """Return the slot group of an upstream, or None if the upstream is unknown."""
        known = self.upstreams.get(upstream)
        if known is None:
            return None
        service = known.registration.service
        count = self._group_count(service)
        return SlotGroup(service, known.id_hash % count, count)

    def less_loaded_group(
        self,
        service: ServiceName,
        version_rule: VersionRule | None = None,
        regions: frozenset[str] | None = None,
        request_hash: int = 0,
    ) -> SlotGroup:
        """Return the slot group of a service that a new request should queue at."""
        loads = self.group_loads(service, version_rule, regions)
        number = less_loaded_group(loads, self._rng, request_hash)
        return SlotGroup(service, number, len(loads))

    def other_group(
        self,
        service: ServiceName,
        queued_at: Collection[SlotGroup],
        version_rule: VersionRule | None = None,
        regions: frozenset[str] | None = None,
    ) -> SlotGroup | None:
        """Return another slot group for a request that is queued at some, None without one."""
        loads = self.group_loads(service, version_rule, regions)
        for group in queued_at:
            if group.count == len(loads):
                loads[group.number] = (0, 0)
        if not any(slots for _, slots in loads):
            return None
        return SlotGroup(service, less_loaded_group(loads, self._rng), len(loads))

    def own_records(self) -> dict[UpstreamId, tuple[int, int, int, int, int, int]]:
        """Return the measurements of this daemon per upstream, to be reported to peers."""
        return {
            name: each.record.values()
            for name, each in self.upstreams.items()
            if each.record.responses >= 0.1
        }

    def own_backoffs_ms(self, now_ms: int) -> dict[UpstreamId, int]:
        """Return the remaining backoff of upstreams that this daemon failed to reach."""
        return {
            name: _MAX_BACKOFF_MS if each.replaced else each.backoff_until_ms - now_ms
            for name, each in self.upstreams.items()
            if each.consecutive_failures and (each.replaced or each.backoff_until_ms > now_ms)
        }

    def own_leaving(self, now_ms: int) -> dict[UpstreamId, int]:
        """Return the start times of the leaving upstreams, which identify the instances."""
        unlisted = self._notices.leaving_since(now_ms - _UNLISTED_LEAVING_MS)
        return dict(unlisted) | {
            name: each.started_wall_ms for name, each in self.upstreams.items() if each.leaving
        }

    def mark_leaving(self, leaving: Mapping[UpstreamId, int], now_ms: int) -> list[InstanceId]:
        """Mark upstreams as leaving that a peer reports, and return those that were not known.

        Notes
        -----
        The list may be out of reach here, or show one of them again later. An upstream that has
        restarted since is not affected.
        """
        new = []
        for instance in (InstanceId(name, started_ms) for name, started_ms in leaving.items()):
            known = self._known_instance(instance)
            was_leaving = known is not None and known.leaving
            if self._notices.record_leaving(instance, now_ms) and not was_leaving:
                new.append(instance)
            if known is not None:
                known.leaving = True
        return new

    def record_notices(
        self, instance: InstanceId, notices: AnswerNotices, arrived_ms: int, now_ms: int
    ) -> list[NoticeChange]:
        """Record what an answer says of the instance that sent it, and return what has changed.

        Parameters
        ----------
        arrived_ms : int
            When the head of the answer arrived, before `now_ms` if it was read late.
        """
        changes = self._notices.record_answer(instance, notices, arrived_ms, now_ms)
        known = self._known_instance(instance)
        if known is not None:
            known.leaving = known.leaving or notices.leaving
            known.paused_until_ms = self._notices.paused_until_ms(instance)
        if any(change.kind in (NoticeKind.LIMIT, NoticeKind.BRITTLE) for change in changes):
            self._apply_limit(instance, now_ms)
        return changes

    def record_peer_limit(
        self,
        instance: InstanceId,
        limit_per_s: float | None,
        heard_ms: int,
        now_ms: int,
        max_refusals_per_s: float | None = None,
    ) -> bool:
        """Record the limits that a peer has heard, and return whether they are new."""
        is_changed = self._notices.record_limit(
            instance, limit_per_s, heard_ms, now_ms, max_refusals_per_s
        )
        if is_changed:
            self._apply_limit(instance, now_ms)
        return is_changed

    def limit(self, instance: InstanceId) -> tuple[float | None, int | None]:
        """Return the limit of an instance and when it was heard; both may be None."""
        return self._notices.limit(instance)

    def limited_instances(self) -> frozenset[InstanceId]:
        """Return the instances that have named a limit, listed or not."""
        return self._notices.limited()

    def max_refusals_per_s(self, instance: InstanceId) -> float | None:
        """Return the refusals per second that an instance bears, None for any number."""
        return self._notices.max_refusals_per_s(instance)

    def guarded_instances(self) -> frozenset[InstanceId]:
        """Return the instances, listed or not, that only a dispatcher may have requests sent to."""
        return self._notices.limited() | self._notices.brittle() | frozenset(self._cold)

    def guarded(self, service: ServiceName) -> frozenset[UpstreamId]:
        """Return the upstreams of a service that have a limit or are brittle."""
        if not self._notices.has_limits() and not self._cold:
            return _NO_UPSTREAMS
        return frozenset(
            each.upstream
            for each in self._active_upstreams(service)
            if each.limit_per_s is not None or self.windows.is_brittle(each.instance)
        )

    def record_refusal(self, instance: InstanceId, now_ms: int) -> bool:
        """Record a refusal of an instance, and return whether peers are to be told."""
        known = self._known_instance(instance)
        return self.windows.record_refusal(instance, _running(known), now_ms)

    def record_peer_refusals(self, instance: InstanceId, count: int, now_ms: int) -> None:
        """Record refusals that a peer was given."""
        known = self._known_instance(instance)
        self.windows.record_peer_refusals(instance, count, _running(known), now_ms)

    def issue_permit(self, upstream: UpstreamId, now_ms: int) -> bool:
        """Use up a permit for a request, and return whether the upstream has named a limit."""
        known = self.upstreams.get(upstream)
        return known is not None and self.permits.issue(known.instance, now_ms)

    def _apply_limit(self, instance: InstanceId, now_ms: int) -> None:
        limit_per_s, max_saved = self._limit_in_force(instance, now_ms)
        self.permits.set_limit(instance, limit_per_s, now_ms, max_saved)
        if max_saved is None:
            self._cold.discard(instance)
        else:
            self._cold.add(instance)
        known = self._known_instance(instance)
        if known is not None:
            known.limit_per_s = limit_per_s
            self._apply_brittle(known, now_ms)

    def _limit_in_force(
        self, instance: InstanceId, now_ms: int
    ) -> tuple[float | None, float | None]:
        """Return the lower of the announced and the cold limit, and the bound of a cold one."""
        announced_per_s, _ = self._notices.limit(instance)
        cold = self.cold_starts.permits(instance, now_ms)
        if cold is None:
            return announced_per_s, None
        cold_per_s, max_saved = cold
        if announced_per_s is not None and announced_per_s < cold_per_s:
            return announced_per_s, max_saved
        return cold_per_s, max_saved

    def set_cold_starts(self, limits: Mapping[ServiceName, ColdStartLimit], now_ms: int) -> None:
        """Set the limits of cold upstreams by service."""
        self.cold_starts.set_limits(limits)
        for instance in self._cold | self.cold_starts.cold(now_ms):
            self._apply_limit(instance, now_ms)

    def record_lost(self, instance: InstanceId, now_ms: int) -> None:
        """Record that an instance could not be reached or broke off a request."""
        known = self._known_instance(instance)
        if known is not None:
            self.cold_starts.lost(instance, known.registration.service, now_ms)
            if self.cold_starts.is_cold(instance, now_ms):
                self._apply_limit(instance, now_ms)

    def record_peer_cold(self, instance: InstanceId, remaining_ms: int, now_ms: int) -> bool:
        """Record that a peer knows an instance to be cold, and return whether that is new."""
        known = self._known_instance(instance)
        if known is None or remaining_ms <= 0:
            return False
        service = known.registration.service
        is_new = self.cold_starts.told(instance, service, remaining_ms, now_ms)
        self._apply_limit(instance, now_ms)
        return is_new

    def cold_count(self) -> int:
        """Return the number of upstreams whose limit is that of a cold start."""
        return len(self._cold)

    def _update_cold(self, now_ms: int) -> None:
        """Begin and end the limits of cold upstreams that are due."""
        for instance in self._cold ^ self.cold_starts.cold(now_ms):
            self._apply_limit(instance, now_ms)

    def _apply_brittle(self, upstream: TrackedUpstream, now_ms: int) -> None:
        max_refusals_per_s = self._notices.max_refusals_per_s(upstream.instance)
        self.windows.set_brittle(upstream.instance, max_refusals_per_s, upstream.slots, now_ms)

    def paused(self, service: ServiceName, now_ms: int) -> frozenset[UpstreamId]:
        """Return the upstreams of a service that want no request from this host now."""
        if not self._notices.has_pauses(now_ms):
            return _NO_UPSTREAMS
        return frozenset(
            each.upstream
            for each in self._active_upstreams(service)
            if each.paused_until_ms > now_ms
        )

    def next_resume_ms(
        self, service: ServiceName, now_ms: int, exclude: Collection[UpstreamId] = ()
    ) -> int | None:
        """Return when the first paused upstream wants requests again.

        Returns
        -------
        int or None
            None if an upstream may be sent requests now, or if there is none at all.
        """
        if not self._notices.has_pauses(now_ms):
            return None
        ends_ms = [
            each.paused_until_ms
            for each in self._active_upstreams(service)
            if each.upstream not in exclude and not each.evacuated
        ]
        first_ms = min(ends_ms, default=0)
        return first_ms if first_ms > now_ms else None

    def is_first_invalid_notice(self, instance: InstanceId, kind: NoticeKind, now_ms: int) -> bool:
        """Return whether this is the first invalid notice of its kind from an instance."""
        return self._notices.is_first_invalid(instance, kind, now_ms)

    def expire_notices(self, now_ms: int) -> list[NoticeChange]:
        """Forget the notices of instances that left long ago, and return those that ended."""
        listed = (each.instance for each in self.upstreams.values())
        changes = self._notices.expire(listed, now_ms)
        self._update_cold(now_ms)
        self.cold_starts.expire({each.instance for each in self.upstreams.values()}, now_ms)
        self.permits.keep(self._notices.limited() | self._cold)
        self.windows.keep(self._notices.brittle())
        for each in self.upstreams.values():
            # A peer may have told of an instance before its entry was read.
            if each.instance in self._notices.brittle():
                self._apply_brittle(each, now_ms)
        return changes

    def notice_counts(self, now_ms: int) -> dict[NoticeKind, int]:
        """Return the number of instances with a notice of each kind."""
        return self._notices.counts(now_ms)

    def evacuated(self, service: ServiceName) -> frozenset[UpstreamId]:
        """Return the upstreams of a service whose failure domain is evacuated."""
        if not self.evacuations.in_force:
            return _NO_UPSTREAMS
        if service not in self._evacuated:
            self._evacuated[service] = frozenset(
                name
                for name, each in self.upstreams.items()
                if each.evacuated and each.registration.service == service
            )
        return self._evacuated[service]

    def outside(
        self, service: ServiceName, regions: frozenset[str] | None
    ) -> frozenset[UpstreamId]:
        """Return the upstreams of a service that are in none of some home regions."""
        if regions is None:
            return _NO_UPSTREAMS
        return frozenset(
            name
            for name, each in self.upstreams.items()
            if each.registration.service == service
            and not self.regions.is_home(each.registration.failure_domain, regions)
        )

    def is_closed(self, service: ServiceName, regions: frozenset[str] | None) -> bool:
        """Return whether all upstreams are evacuated or outside of the home regions."""
        if regions is None and not self.evacuations.in_force:
            return False
        is_listed = False
        for each in self.upstreams.values():
            if each.registration.service != service or each.leaving or each.replaced:
                continue
            is_listed = True
            if not each.evacuated and self.regions.is_home(
                each.registration.failure_domain, regions
            ):
                return False
        return is_listed or regions is not None

    def _mark_evacuated(self, now_ms: int) -> None:
        self._evacuated.clear()
        for each in self.upstreams.values():
            was_evacuated = each.evacuated
            each.evacuated = each.registration.failure_domain in self.evacuations.in_force
            if was_evacuated and not each.evacuated:
                service = each.registration.service
                self.cold_starts.evacuation_ended(each.instance, service, now_ms)
        self._update_cold(now_ms)

    def _known_instance(self, instance: InstanceId) -> TrackedUpstream | None:
        known = self.upstreams.get(instance.upstream)
        return known if known is not None and known.instance == instance else None

    def upstreams_of(self, service: ServiceName) -> list[UpstreamId]:
        """Return the upstreams of a service that are in use."""
        return [each.upstream for each in self._active_upstreams(service)]

    def versions(self, service: ServiceName) -> set[str]:
        """Return the versions of the upstreams of a service that are in use."""
        return {each.registration.version for each in self._active_upstreams(service)}

    def own_running(self, service: ServiceName, version: str) -> int:
        """Return the requests of this daemon that run on a version of a service."""
        return sum(
            each.own_load.running
            for each in self.upstreams.values()
            if each.registration.service == service and each.registration.version == version
        )

    def usable(
        self,
        service: ServiceName,
        now_ms: int,
        group: SlotGroup | None = None,
        version_rule: VersionRule | None = None,
        regions: frozenset[str] | None = None,
    ) -> list[TrackedUpstream]:
        """Return the candidates of a service; those in backoff only if there are no others."""
        candidates = [
            each
            for each in self._active_upstreams(service)
            if not each.evacuated
            and (group is None or group.holds(each.id_hash))
            and matches(version_rule, each.registration.version)
            and (regions is None or self.regions.is_home(each.registration.failure_domain, regions))
        ]
        return [each for each in candidates if each.backoff_until_ms <= now_ms] or candidates

    def has_capacity(self, group: SlotGroup, now_ms: int) -> bool:
        """Return whether any usable upstream of a group can accept a request."""
        return any(
            self._can_take(each, now_ms) for each in self.usable(group.service, now_ms, group)
        )

    def _can_take(self, upstream: TrackedUpstream, now_ms: int) -> bool:
        """Return whether an upstream has a free slot, and whether its limits allow a request."""
        return (
            not upstream.evacuated
            and upstream.has_capacity()
            and self._has_warm_slot(upstream, now_ms)
            and self.windows.may_send(upstream.instance, upstream.running(), now_ms)
            and self.permits.may_issue(upstream.instance, now_ms)
        )

    def _has_warm_slot(self, upstream: TrackedUpstream, now_ms: int) -> bool:
        """Return whether the share of an upstream that was cold lately allows a request."""
        if not self.cold_starts.has_any():
            return True
        max_running = self.cold_starts.max_running(
            upstream.instance, upstream.slots, upstream.slot_hold_ms, now_ms
        )
        return max_running is None or upstream.running() < max_running

    def choose(
        self,
        service: ServiceName,
        prompt_tokens: int,
        now_ms: int,
        exclude: Collection[UpstreamId] = (),
        *,
        only_with_capacity: bool = False,
        max_event_gap_ms: int = 0,
        output_tokens: int = 0,
        remaining_ms: int | None = None,
        group: SlotGroup | None = None,
        version_rule: VersionRule | None = None,
        regions: frozenset[str] | None = None,
    ) -> UpstreamChoice | None:
        """Return the upstream with the lowest cost, or None if there is no candidate.

        The cost is the predicted time to first token plus penalties for faults, stalled streams
        and missed deadlines.

        Parameters
        ----------
        exclude : collection of UpstreamId
            Upstreams to exclude because they failed the request before.
        only_with_capacity : bool
            Whether to consider only upstreams that can accept a request now.
        max_event_gap_ms : int
            Maximum gap between events that streams of the route tolerate; 0 for no limit.
        output_tokens : int
            Expected number of output tokens.
        remaining_ms : int or None
            Time until the deadline of the answer; None if it has none.
        group : SlotGroup or None
            If given, only its upstreams are considered.
        version_rule : VersionRule or None
            Versions to choose among; None for all.
        regions : frozenset of str or None
            Regions to choose in; None for all.

        Notes
        -----
        Without a dispatcher, all daemons choose by the same reports. If these are older than the
        requests last that they count, all would choose the upstream that was the best one then, and
        overload it. So only the own requests count, and nearly equal upstreams are drawn at random.
        """
        candidates = [
            each
            for each in self.usable(service, now_ms, group, version_rule, regions)
            if each.upstream not in exclude
        ]
        if only_with_capacity:
            candidates = [each for each in candidates if self._can_take(each, now_ms)]
        if not candidates and isinstance(version_rule, PreferVersion):
            return self.choose(
                service,
                prompt_tokens,
                now_ms,
                exclude,
                only_with_capacity=only_with_capacity,
                max_event_gap_ms=max_event_gap_ms,
                output_tokens=output_tokens,
                remaining_ms=remaining_ms,
                group=group,
                regions=regions,
            )
        if not candidates:
            return None
        by_old_reports = not only_with_capacity and self.has_old_reports
        costs = [
            self._cost_ms(
                each,
                prompt_tokens,
                max_event_gap_ms,
                output_tokens,
                remaining_ms,
                each.own_load.running if by_old_reports else each.running(),
            )
            for each in candidates
        ]
        min_cost_ms = min(costs)
        tie_ms = _OLD_COST_TIE_MS if by_old_reports else _COST_TIE_MS
        tied = [
            u for u, cost in zip(candidates, costs, strict=True) if cost <= min_cost_ms + tie_ms
        ]
        selected = self._rng.choice(tied)
        return UpstreamChoice(
            selected.upstream,
            selected.predicted_first_token_ms(prompt_tokens),
            selected.running(),
            selected.slots,
        )

    def record_start(self, upstream: UpstreamId, prompt_tokens: int) -> None:
        """Record that a request was sent to an upstream."""
        known = self.upstreams.get(upstream)
        if known is not None:
            known.own_load.running += 1
            known.own_load.prefill_tokens += prompt_tokens

    def record_first_token(
        self, upstream: UpstreamId, prompt_tokens: int, elapsed_ms: int, queued_prefill_tokens: int
    ) -> None:
        """Record the time to first token and update the prefill speed.

        Parameters
        ----------
        prompt_tokens : int
            Prompt tokens of the request.
        queued_prefill_tokens : int
            Prompt tokens that were queued for prefill ahead of the request.
        """
        known = self.upstreams.get(upstream)
        if known is None:
            return
        known.own_load.prefill_tokens = max(0, known.own_load.prefill_tokens - prompt_tokens)
        known.consecutive_failures = 0
        tokens = prompt_tokens + queued_prefill_tokens
        if tokens >= _MIN_PREFILL_TOKENS:
            known.record.prefilled_tokens += tokens
            known.record.prefill_ms += max(1.0, elapsed_ms - FIRST_TOKEN_OVERHEAD_MS)

    def record_stream(
        self, upstream: UpstreamId, events: int, elapsed_ms: int, expected_tokens: int | None
    ) -> None:
        """Record a completed stream.

        Parameters
        ----------
        events : int
            Number of its events.
        elapsed_ms : int
            Time between the first and the last event.
        expected_tokens : int or None
            Estimate of its output tokens, from which the tokens per event are learnt.
        """
        known = self.upstreams.get(upstream)
        if known is not None and events > 1:
            known.record.events += events - 1
            known.record.streaming_ms += elapsed_ms
        if expected_tokens and events:
            # Estimates are unbiased at the median, so fixed steps up and down converge to it.
            step = 0.02 if expected_tokens > events * self._tokens_per_event else -0.02
            self._tokens_per_event *= 1 + step

    def record_end(
        self,
        upstream: UpstreamId,
        unprocessed_tokens: int,
        *,
        held_ms: int | None,
        fault: bool | None,
    ) -> None:
        """Record the end of a request at an upstream.

        Parameters
        ----------
        unprocessed_tokens : int
            Its prompt tokens if it ended before its first token, else 0.
        held_ms : int or None
            How long it held a slot; None if it did not complete.
        fault : bool or None
            Whether the upstream failed it; None if the outcome does not rate the upstream.
        """
        known = self.upstreams.get(upstream)
        if known is None:
            return
        known.own_load.running = max(0, known.own_load.running - 1)
        known.own_load.prefill_tokens = max(0, known.own_load.prefill_tokens - unprocessed_tokens)
        if held_ms is not None:
            known.slot_hold_ms += _SLOT_HOLD_EWMA_WEIGHT * (held_ms - known.slot_hold_ms)
        if fault is not None:
            known.record.responses += 1
            known.record.failures += float(fault)

    def back_off(self, upstream: UpstreamId, now_ms: int) -> None:
        """Back off from an upstream that cannot be reached."""
        known = self.upstreams.get(upstream)
        if known is not None:
            known.backoff_until_ms = now_ms + min(
                _MAX_BACKOFF_MS, _BACKOFF_MS << min(10, known.consecutive_failures)
            )
            known.consecutive_failures += 1

    def mark_replaced(self, upstream: UpstreamId, now_ms: int) -> None:
        """Exclude an upstream until its entry changes, because another instance has its address."""
        self.back_off(upstream, now_ms)
        known = self.upstreams.get(upstream)
        if known is not None:
            known.replaced = True

    def refresh(self, now_ms: int) -> None:
        """Decay the own records and recompute all estimates; called a few times per second."""
        elapsed_ms = 0 if self._decayed_at_ms is None else now_ms - self._decayed_at_ms
        self._decayed_at_ms = now_ms
        keep = (1 - _RECORD_DECAY_PER_S) ** (elapsed_ms / 1_000)
        for upstream in self.upstreams.values():
            upstream.record.decay(keep)
            upstream.refresh()

    def _add_grant(
        self,
        peer: HostId,
        grant: _Grant,
        group: SlotGroup | None = None,
        keep: Collection[SlotGroup] = (),
    ) -> None:
        known = self.upstreams.get(grant.upstream)
        if known is not None and _is_replaced(known, group, keep):
            self._add_load(peer, known, 1, grant.prompt_tokens)

    def _add_load(
        self, peer: HostId, upstream: TrackedUpstream, running: int, prefill_tokens: int
    ) -> None:
        self._peer_loaded_upstreams.setdefault(peer, set()).add(upstream.upstream)
        load = upstream.peer_loads.setdefault(peer, Load())
        load.running += running
        load.prefill_tokens += prefill_tokens
        upstream.peers_running += running
        upstream.peers_prefill_tokens += prefill_tokens

    def _cost_ms(
        self,
        upstream: TrackedUpstream,
        prompt_tokens: int,
        max_event_gap_ms: int,
        output_tokens: int,
        remaining_ms: int | None,
        running: int,
    ) -> float:
        start_ms = upstream.predicted_first_token_ms(prompt_tokens, running)
        cost_ms = start_ms + upstream.fault_rate * _FAULT_PENALTY_MS
        if max_event_gap_ms and running:
            pending_tokens = min(
                _MAX_INTERLEAVED_PREFILL_TOKENS, upstream.prefill_tokens() + prompt_tokens
            )
            if (
                pending_tokens / upstream.tokens_per_ms
                > max_event_gap_ms * _MAX_GAP_FRACTION_FOR_PREFILL
            ):
                cost_ms += _STALL_PENALTY_MS
        if remaining_ms is not None and output_tokens:
            stream_ms = output_tokens / self._tokens_per_event * upstream.ms_per_event
            if start_ms + stream_ms > remaining_ms:
                cost_ms += _DEADLINE_MISS_PENALTY_MS
        # Concurrent requests slow down decoding, and more so on a slow engine.
        slots = max(1, upstream.usable_slots)
        return cost_ms + upstream.slot_hold_ms * 0.2 * running / slots


def _running(upstream: TrackedUpstream | None) -> int:
    return 0 if upstream is None else upstream.running()


def _is_replaced(
    upstream: TrackedUpstream, group: SlotGroup | None, keep: Collection[SlotGroup]
) -> bool:
    """Return whether a load report for `group` that leaves out `keep` covers an upstream."""
    if group is not None and not _in_group(upstream, group):
        return False
    return not any(_in_group(upstream, each) for each in keep)


def _in_group(upstream: TrackedUpstream, group: SlotGroup) -> bool:
    return upstream.registration.service == group.service and group.holds(upstream.id_hash)
