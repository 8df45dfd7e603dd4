"""Which upstream answers a request first, from counts that all daemons share."""

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from skylarkmoor_core.ids import HostId, ServiceName, UpstreamId

__all__ = ["QUEUE_MARGIN", "Choice", "Load", "PlacedUpstream", "Placement"]

# Before anything is measured: prompt tokens read in a millisecond, time to a first token
# besides the prompt, and the time that a request holds a slot.
_START_TOKENS_PER_MS = 40.0
_START_BASE_MS = 20.0
_START_HOLD_MS = 400.0
_LEARN_WEIGHT = 0.15
# Shorter prompts measure the step time of an engine and not its prefill.
_MIN_PREFILL_TOKENS = 400
# Rest after a failure, doubled at each further one in a row up to the bound.
_REST_MS = 250
_MAX_REST_MS = 4_000
# An upstream that fails part of its requests is avoided in proportion to that part.
_FAULT_WEIGHT = 0.1
_FAULT_PENALTY_MS = 3_000
# Work of other daemons is told about this often, so a close second may be as good.
_TIE_MS = 5.0
# Engines read prompts in chunks between the steps of running streams. This many tokens fit
# between two events of a stream, so reading more delays each event by as much.
_STALL_TOKENS = 12_288
# A pause in each stream beside a long prompt weighs as much as this delay of the prompt.
_STALL_PENALTY_MS = 400.0
# Part of the longest pause that reading may use; the steps in between take the rest.
_STALL_PART = 0.8
# Requests beyond an engine's slots that may wait there, so that a slot that becomes free is
# taken before the daemons have heard of it.
QUEUE_MARGIN = 1


@dataclass(slots=True)
class Load:
    """Work of one daemon at one upstream.

    Attributes
    ----------
    running : int
        Requests sent and not ended.
    prefill_tokens : int
        Prompt tokens of those that have not answered yet.
    """

    running: int = 0
    prefill_tokens: int = 0


@dataclass(slots=True)
class PlacedUpstream:
    """An upstream as placement sees it."""

    upstream: UpstreamId
    service: ServiceName
    address: tuple[str, int]
    slots: int
    version: str = ""
    started_wall_ms: int = 0
    leaving: bool = False
    own: Load = field(default_factory=Load)
    peers: dict[HostId, Load] = field(default_factory=dict)
    tokens_per_ms: float = _START_TOKENS_PER_MS
    base_ms: float = _START_BASE_MS
    hold_ms: float = _START_HOLD_MS
    fault_part: float = 0.0
    failures: int = 0
    rest_until_ms: int = 0

    def running(self) -> int:
        """Return the requests of all daemons that run or wait here."""
        return self.own.running + sum(load.running for load in self.peers.values())

    def prefill_tokens(self) -> int:
        """Return the prompt tokens of all daemons that still have to be read here."""
        return self.own.prefill_tokens + sum(load.prefill_tokens for load in self.peers.values())

    def has_room(self) -> bool:
        """Return whether a new request would soon get a slot."""
        return self.running() < self.slots + QUEUE_MARGIN

    def start_ms(self, prompt_tokens: int) -> float:
        """Return the predicted time to the first token of a new request."""
        excess = self.running() + 1 - self.slots
        queued_ms = max(0, excess) * self.hold_ms / max(1, self.slots)
        read_ms = (self.prefill_tokens() + prompt_tokens) / self.tokens_per_ms
        return self.base_ms + queued_ms + read_ms


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

    def set_upstream(
        self,
        upstream: UpstreamId,
        service: ServiceName,
        address: tuple[str, int],
        *,
        slots: int,
        version: str,
        started_wall_ms: int,
        leaving: bool,
    ) -> None:
        """Add an upstream or take what its entry says now.

        Notes
        -----
        An upstream that started again under its id knows nothing of before, so its load and
        faults are dropped.
        """
        known = self.upstreams.get(upstream)
        if known is None or known.started_wall_ms != started_wall_ms:
            known = PlacedUpstream(upstream, service, address, slots, version, started_wall_ms)
            self.upstreams[upstream] = known
        known.service = service
        known.address = address
        known.slots = slots
        known.version = version
        known.leaving = leaving

    def remove(self, upstream: UpstreamId) -> None:
        """Forget an upstream that is gone."""
        self.upstreams.pop(upstream, None)

    def peer_load(
        self, peer: HostId, loads: Mapping[UpstreamId, tuple[int, int]], taken: int = 0
    ) -> None:
        """Take a peer's work by upstream: requests running and prompt tokens to read.

        Parameters
        ----------
        taken : int
            Number of the last grant that the loads include; later ones are added to them.
        """
        grants = [each for each in self._grants.get(peer, ()) if each.number > taken]
        self._grants[peer] = grants
        for name, upstream in self.upstreams.items():
            load = loads.get(name)
            if load is None:
                upstream.peers.pop(peer, None)
            else:
                upstream.peers[peer] = Load(*load)
        for grant in grants:
            self._add_grant(peer, grant)

    def grant_to_peer(
        self, peer: HostId, upstream: UpstreamId, prompt_tokens: int, number: int
    ) -> None:
        """Count a request that a peer is told to send, until its own report includes it."""
        grant = _Grant(number, upstream, prompt_tokens)
        self._grants.setdefault(peer, []).append(grant)
        self._add_grant(peer, grant)

    def _add_grant(self, peer: HostId, grant: "_Grant") -> None:
        known = self.upstreams.get(grant.upstream)
        if known is not None:
            load = known.peers.setdefault(peer, Load())
            load.running += 1
            load.prefill_tokens += grant.prompt_tokens

    def forget_peer(self, peer: HostId) -> None:
        """Drop the work of a peer that is gone."""
        self._grants.pop(peer, None)
        self.peer_load(peer, {})

    def own_loads(self) -> dict[UpstreamId, tuple[int, int]]:
        """Return this daemon's work by upstream, to be told to its peers."""
        return {
            name: (each.own.running, each.own.prefill_tokens)
            for name, each in self.upstreams.items()
            if each.own.running
        }

    def usable(self, service: ServiceName, now_ms: int) -> list[PlacedUpstream]:
        """Return the upstreams of a service that may get work; resting ones if no other may."""
        able = [u for u in self.upstreams.values() if u.service == service and not u.leaving]
        return [u for u in able if u.rest_until_ms <= now_ms] or able

    def choose(
        self,
        service: ServiceName,
        prompt_tokens: int,
        now_ms: int,
        avoid: Collection[UpstreamId] = (),
        *,
        only_with_room: bool = False,
        max_gap_ms: int = 0,
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
        """
        able = [u for u in self.usable(service, now_ms) if u.upstream not in avoid]
        if only_with_room:
            able = [u for u in able if u.has_room()]
        if not able:
            return None
        costs = [self._cost_ms(each, prompt_tokens, max_gap_ms) for each in able]
        least = min(costs)
        near = [u for u, cost in zip(able, costs, strict=True) if cost <= least + _TIE_MS]
        best = self._rng.choice(near)
        return Choice(best.upstream, best.start_ms(prompt_tokens), best.running(), best.slots)

    def free_part(self, service: ServiceName, now_ms: int) -> float:
        """Return the part of a service's slots that are free."""
        able = self.usable(service, now_ms)
        slots = sum(each.slots for each in able)
        taken = sum(min(each.slots, each.running()) for each in able)
        return 1 - taken / slots if slots else 0.0

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
        if tokens >= _MIN_PREFILL_TOKENS and elapsed_ms > known.base_ms:
            speed = tokens / (elapsed_ms - known.base_ms)
            known.tokens_per_ms += _LEARN_WEIGHT * (speed - known.tokens_per_ms)

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
            known.hold_ms += _LEARN_WEIGHT * (held_ms - known.hold_ms)
        if fault is not None:
            known.fault_part += _FAULT_WEIGHT * (float(fault) - known.fault_part)

    def rest(self, upstream: UpstreamId, now_ms: int) -> None:
        """Give an upstream that cannot be reached no new work for a while."""
        known = self.upstreams.get(upstream)
        if known is not None:
            known.rest_until_ms = now_ms + min(_MAX_REST_MS, _REST_MS << min(10, known.failures))
            known.failures += 1

    def _cost_ms(self, upstream: PlacedUpstream, prompt_tokens: int, max_gap_ms: int) -> float:
        cost_ms = upstream.start_ms(prompt_tokens) + upstream.fault_part * _FAULT_PENALTY_MS
        if max_gap_ms and upstream.running():
            pending = min(_STALL_TOKENS, upstream.prefill_tokens() + prompt_tokens)
            if pending / upstream.tokens_per_ms > max_gap_ms * _STALL_PART:
                cost_ms += _STALL_PENALTY_MS
        # A request waits longer for its tokens beside others, on a slow engine most of all.
        return cost_ms + upstream.hold_ms * 0.2 * upstream.running() / max(1, upstream.slots)
