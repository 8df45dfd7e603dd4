"""Which upstream answers a request first, from what all daemons tell each other."""

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId, ServiceName, UpstreamId
from skylarkmoor_policy.placedupstream import BASE_MS, ListedUpstream, Load, PlacedUpstream
from skylarkmoor_policy.slotgroups import SlotGroup, emptier_group, group_count

__all__ = ["Choice", "Placement"]

# Averages follow about the last ten requests.
_HOLD_WEIGHT = 0.1
# Records lose this part of their weight each second, so that an engine that has turned slow is
# known for it after some seconds.
_FORGET_PART_PER_S = 0.08
# Shorter prompts measure the step time of an engine and not its prefill.
_MIN_PREFILL_TOKENS = 400
# Output tokens in an event until it has been learnt from estimates and streams.
_START_TOKENS_PER_EVENT = 6.0
# Rest after a failure, doubled at each further one in a row up to the bound.
_REST_MS = 250
_MAX_REST_MS = 4_000
# Cost of an upstream that fails every request; one that fails a part costs that part of it.
_FAULT_PENALTY_MS = 3_000
# Upstreams whose costs differ by less are taken as equal, because the loads are estimates.
_TIE_MS = 5.0
# Engines read prompts in chunks between the steps of running streams. This many tokens fit
# between two events of a stream, so reading more delays each event by as much.
_STALL_TOKENS = 12_288
# A pause in each stream beside a long prompt weighs as much as this delay of the prompt.
_STALL_PENALTY_MS = 400.0
# Part of the longest pause that reading may use; the steps in between take the rest.
_STALL_PART = 0.8
# An answer that would not be complete by its deadline costs more than any wait.
_OVERRUN_PENALTY_MS = 5_000.0


@dataclass(frozen=True, slots=True)
class _Grant:
    number: int
    upstream: UpstreamId
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream with the predicted time to its first token."""

    upstream: UpstreamId
    start_ms: float
    running: int
    slots: int


class Placement:
    """The upstreams of all services, their load and their speed.

    Parameters
    ----------
    rng : random.Random
        Breaks ties, so that daemons with the same view do not all choose the same upstream.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.upstreams: dict[UpstreamId, PlacedUpstream] = {}
        # Grants that the peers' reports do not include yet.
        self._grants: dict[HostId, list[_Grant]] = {}
        # The upstreams that count work of a peer.
        self._loaded: dict[HostId, set[UpstreamId]] = {}
        self._tokens_per_event = _START_TOKENS_PER_EVENT
        self._faded_ms: int | None = None

    def set_upstream(self, listed: ListedUpstream) -> None:
        """Add an upstream or take what its entry says now.

        Notes
        -----
        An upstream that started again under its id knows nothing of before, so its load and
        faults are dropped.
        """
        known = self.upstreams.get(listed.upstream)
        if known is None or known.started_wall_ms != listed.started_wall_ms:
            known = self.upstreams[listed.upstream] = PlacedUpstream(listed)
        known.listed = listed
        known.leaving = listed.leaving
        # A new entry shows that this instance lives.
        known.replaced = False

    def remove(self, upstream: UpstreamId) -> None:
        """Forget an upstream that is gone."""
        self.upstreams.pop(upstream, None)

    def peer_load(
        self,
        peer: HostId,
        loads: Mapping[UpstreamId, tuple[int, int]],
        taken: int = 0,
        group: SlotGroup | None = None,
    ) -> None:
        """Take a peer's work by upstream: requests running and prompt tokens to read.

        Parameters
        ----------
        taken : int
            Number of the last grant that the loads include; later ones are added to them.
        group : SlotGroup or None
            The loads are those of its upstreams; others stay as they are.
        """
        grants = [each for each in self._grants.get(peer, ()) if each.number > taken]
        self._grants[peer] = grants
        for name in list(self._loaded.get(peer, ())):
            upstream = self.upstreams.get(name)
            if upstream is not None and group is not None and not _in_group(upstream, group):
                continue
            self._loaded[peer].discard(name)
            before = None if upstream is None else upstream.peers.pop(peer, None)
            if upstream is not None and before is not None:
                upstream.peers_running -= before.running
                upstream.peers_prefill_tokens -= before.prefill_tokens
        for name, load in loads.items():
            upstream = self.upstreams.get(name)
            if upstream is not None:
                self._add_load(peer, upstream, *load)
        for grant in grants:
            self._add_grant(peer, grant, group)

    def peer_health(
        self,
        peer: HostId,
        records: Mapping[UpstreamId, tuple[int, ...]],
        resting_ms: Mapping[UpstreamId, int],
        now_ms: int,
    ) -> None:
        """Take a peer's records of upstreams, and those that it leaves alone for some time."""
        for name, upstream in self.upstreams.items():
            values = records.get(name)
            if values != upstream.peer_records.get(peer):
                upstream.set_peer_record(peer, values)
        for name, rest_ms in resting_ms.items():
            known = self.upstreams.get(name)
            if known is not None:
                until_ms = now_ms + min(_MAX_REST_MS, rest_ms)
                known.rest_until_ms = max(known.rest_until_ms, until_ms)

    def grant_to_peer(
        self, peer: HostId, upstream: UpstreamId, prompt_tokens: int, number: int
    ) -> None:
        """Count a request that a peer is told to send, until its own report includes it."""
        grant = _Grant(number, upstream, prompt_tokens)
        self._grants.setdefault(peer, []).append(grant)
        self._add_grant(peer, grant)

    def forget_peer(self, peer: HostId) -> None:
        """Drop the work of a peer that is gone."""
        self._grants.pop(peer, None)
        self.peer_load(peer, {})
        self._loaded.pop(peer, None)
        for upstream in self.upstreams.values():
            upstream.set_peer_record(peer, None)

    def own_loads(self, group: SlotGroup | None = None) -> dict[UpstreamId, tuple[int, int]]:
        """Return this daemon's work by upstream, to be told to its peers."""
        return {
            name: (each.own.running, each.own.prefill_tokens)
            for name, each in self.upstreams.items()
            if each.own.running and (group is None or _in_group(each, group))
        }

    def _members(self, service: ServiceName) -> list[PlacedUpstream]:
        return [
            each
            for each in self.upstreams.values()
            if each.listed.service == service and not each.leaving and not each.replaced
        ]

    def group_loads(self, service: ServiceName) -> list[tuple[int, int]]:
        """Return the requests and the slots of each group of a service's engines."""
        members = self._members(service)
        count = group_count(len(members))
        loads = [(0, 0)] * count
        for each in members:
            number = each.id_hash % count
            running, slots = loads[number]
            loads[number] = (running + each.running(), slots + each.slots)
        return loads

    def group_of(self, upstream: UpstreamId) -> SlotGroup | None:
        """Return the group of an upstream, or None if it is not known."""
        known = self.upstreams.get(upstream)
        if known is None:
            return None
        service = known.listed.service
        count = group_count(len(self._members(service)))
        return SlotGroup(service, known.id_hash % count, count)

    def emptier_group(self, service: ServiceName) -> SlotGroup:
        """Return the group of a service's engines that a request should ask for a slot."""
        loads = self.group_loads(service)
        return SlotGroup(service, emptier_group(loads, self._rng), len(loads))

    def own_records(self) -> dict[UpstreamId, tuple[int, int, int, int, int, int]]:
        """Return this daemon's records, to be told to its peers."""
        return {
            name: each.record.values()
            for name, each in self.upstreams.items()
            if each.record.answers >= 0.1
        }

    def own_rests_ms(self, now_ms: int) -> dict[UpstreamId, int]:
        """Return for how long upstreams rest because they could not be reached."""
        return {
            name: _MAX_REST_MS if each.replaced else each.rest_until_ms - now_ms
            for name, each in self.upstreams.items()
            if each.failures and (each.replaced or each.rest_until_ms > now_ms)
        }

    def own_leaving(self) -> dict[UpstreamId, int]:
        """Return the start times of the upstreams that are leaving."""
        return {name: each.started_wall_ms for name, each in self.upstreams.items() if each.leaving}

    def peer_leaving(self, leaving: Mapping[UpstreamId, int]) -> None:
        """Take what a peer knows of leaving upstreams; this daemon may be cut off from the list.

        An upstream that has started again since is not meant.
        """
        for name, started_wall_ms in leaving.items():
            known = self.upstreams.get(name)
            if known is not None and known.started_wall_ms == started_wall_ms:
                known.leaving = True

    def usable(
        self, service: ServiceName, now_ms: int, group: SlotGroup | None = None
    ) -> list[PlacedUpstream]:
        """Return the upstreams of a service that may get work; resting ones if no other may."""
        able = [
            each for each in self._members(service) if group is None or group.holds(each.id_hash)
        ]
        return [each for each in able if each.rest_until_ms <= now_ms] or able

    def has_room(self, group: SlotGroup, now_ms: int) -> bool:
        """Return whether an upstream of a group has a free slot."""
        return any(each.has_room() for each in self.usable(group.service, now_ms, group))

    def choose(
        self,
        service: ServiceName,
        prompt_tokens: int,
        now_ms: int,
        avoid: Collection[UpstreamId] = (),
        *,
        only_with_room: bool = False,
        max_gap_ms: int = 0,
        output_tokens: int = 0,
        remaining_ms: int | None = None,
        group: SlotGroup | None = None,
    ) -> Choice | None:
        """Return the upstream with the least predicted time to the first token.

        Parameters
        ----------
        avoid : collection of UpstreamId
            Upstreams that failed the request; they are not chosen.
        only_with_room : bool
            Whether only upstreams with a free slot are considered.
        max_gap_ms : int
            Longest pause that the streams beside it should see; 0 if there are none.
        output_tokens : int
            Expected length of the answer.
        remaining_ms : int or None
            Time until the answer's deadline.
        group : SlotGroup or None
            Only its upstreams are considered.
        """
        able = [each for each in self.usable(service, now_ms, group) if each.upstream not in avoid]
        if only_with_room:
            able = [each for each in able if each.has_room()]
        if not able:
            return None
        costs = [
            self._cost_ms(each, prompt_tokens, max_gap_ms, output_tokens, remaining_ms)
            for each in able
        ]
        least = min(costs)
        near = [u for u, cost in zip(able, costs, strict=True) if cost <= least + _TIE_MS]
        best = self._rng.choice(near)
        return Choice(best.upstream, best.start_ms(prompt_tokens), best.running(), best.slots)

    def started(self, upstream: UpstreamId, prompt_tokens: int) -> None:
        """Note a request that is sent to an upstream."""
        known = self.upstreams.get(upstream)
        if known is not None:
            known.own.running += 1
            known.own.prefill_tokens += prompt_tokens

    def first_answer(
        self, upstream: UpstreamId, prompt_tokens: int, elapsed_ms: int, read_ahead: int
    ) -> None:
        """Learn from the time to a first token.

        Parameters
        ----------
        prompt_tokens : int
            Of the request.
        read_ahead : int
            Prompt tokens that the upstream had to read before the request's own.
        """
        known = self.upstreams.get(upstream)
        if known is None:
            return
        known.own.prefill_tokens = max(0, known.own.prefill_tokens - prompt_tokens)
        known.failures = 0
        tokens = prompt_tokens + read_ahead
        if tokens >= _MIN_PREFILL_TOKENS:
            known.record.read_tokens += tokens
            known.record.read_ms += max(1.0, elapsed_ms - BASE_MS)

    def streamed(
        self, upstream: UpstreamId, events: int, elapsed_ms: int, expected_tokens: int | None
    ) -> None:
        """Learn from a whole stream: its events, the time between first and last, its length."""
        known = self.upstreams.get(upstream)
        if known is not None and events > 1:
            known.record.events += events - 1
            known.record.events_ms += elapsed_ms
        if expected_tokens and events:
            # Estimates are right at the median, so each one moves the figure a little.
            step = 0.02 if expected_tokens > events * self._tokens_per_event else -0.02
            self._tokens_per_event *= 1 + step

    def ended(
        self, upstream: UpstreamId, unread_tokens: int, *, held_ms: int | None, fault: bool | None
    ) -> None:
        """Note the end of a request at an upstream.

        Parameters
        ----------
        unread_tokens : int
            Its prompt tokens if it had not answered, else 0.
        held_ms : int or None
            How long it ran, None if it did not complete.
        fault : bool or None
            Whether the upstream failed it; None if that says nothing about the upstream.
        """
        known = self.upstreams.get(upstream)
        if known is None:
            return
        known.own.running = max(0, known.own.running - 1)
        known.own.prefill_tokens = max(0, known.own.prefill_tokens - unread_tokens)
        if held_ms is not None:
            known.hold_ms += _HOLD_WEIGHT * (held_ms - known.hold_ms)
        if fault is not None:
            known.record.answers += 1
            known.record.faults += float(fault)

    def rest(self, upstream: UpstreamId, now_ms: int) -> None:
        """Give an upstream that cannot be reached no new work for a while."""
        known = self.upstreams.get(upstream)
        if known is not None:
            known.rest_until_ms = now_ms + min(_MAX_REST_MS, _REST_MS << min(10, known.failures))
            known.failures += 1

    def mark_replaced(self, upstream: UpstreamId, now_ms: int) -> None:
        """Give an upstream no work until its entry changes; another one has its address."""
        self.rest(upstream, now_ms)
        known = self.upstreams.get(upstream)
        if known is not None:
            known.replaced = True

    def refresh(self, now_ms: int) -> None:
        """Fade the own records and combine those of all daemons; call it a few times a second."""
        elapsed_ms = 0 if self._faded_ms is None else now_ms - self._faded_ms
        self._faded_ms = now_ms
        keep = (1 - _FORGET_PART_PER_S) ** (elapsed_ms / 1_000)
        for upstream in self.upstreams.values():
            upstream.record.fade(keep)
            upstream.refresh()

    def _add_grant(self, peer: HostId, grant: _Grant, group: SlotGroup | None = None) -> None:
        known = self.upstreams.get(grant.upstream)
        if known is not None and (group is None or _in_group(known, group)):
            self._add_load(peer, known, 1, grant.prompt_tokens)

    def _add_load(
        self, peer: HostId, upstream: PlacedUpstream, running: int, prefill_tokens: int
    ) -> None:
        self._loaded.setdefault(peer, set()).add(upstream.upstream)
        load = upstream.peers.setdefault(peer, Load())
        load.running += running
        load.prefill_tokens += prefill_tokens
        upstream.peers_running += running
        upstream.peers_prefill_tokens += prefill_tokens

    def _cost_ms(
        self,
        upstream: PlacedUpstream,
        prompt_tokens: int,
        max_gap_ms: int,
        output_tokens: int,
        remaining_ms: int | None,
    ) -> float:
        start_ms = upstream.start_ms(prompt_tokens)
        cost_ms = start_ms + upstream.fault_part * _FAULT_PENALTY_MS
        if max_gap_ms and upstream.running():
            pending = min(_STALL_TOKENS, upstream.prefill_tokens() + prompt_tokens)
            if pending / upstream.tokens_per_ms > max_gap_ms * _STALL_PART:
                cost_ms += _STALL_PENALTY_MS
        if remaining_ms is not None and output_tokens:
            stream_ms = output_tokens / self._tokens_per_event * upstream.event_ms
            if start_ms + stream_ms > remaining_ms:
                cost_ms += _OVERRUN_PENALTY_MS
        # A request waits longer for its tokens beside others, on a slow engine most of all.
        return cost_ms + upstream.hold_ms * 0.2 * upstream.running() / max(1, upstream.slots)


def _in_group(upstream: PlacedUpstream, group: SlotGroup) -> bool:
    return upstream.listed.service == group.service and group.holds(upstream.id_hash)
