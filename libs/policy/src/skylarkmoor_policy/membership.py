"""Failure detection for entry hosts, and tracking of upstreams that are leaving."""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import FailureDomain, HostId, Incarnation, UpstreamId
from skylarkmoor_core.messages import Fact, FactKind, Gossip, Heartbeat, HostState
from skylarkmoor_policy.actions import Send

__all__ = [
    "FAILURE_TIMEOUT_MS",
    "HEARTBEAT_INTERVAL_MS",
    "HostEntry",
    "LeavingUpstreams",
    "Membership",
    "PublishFact",
    "host_epoch",
    "host_fact",
    "host_state",
    "leaving_fact",
]

HEARTBEAT_INTERVAL_MS = 500
# Six missed heartbeats, more than a stalled event loop or a few lost messages cause.
FAILURE_TIMEOUT_MS = 3_000

_WATCHERS_PER_HOST = 4
# Interval at which a daemon probes one of the hosts recorded as left. One probe at a time, however
# many hosts have left, keeps the traffic constant while a large part of the fleet is partitioned.
_PROBE_INTERVAL_MS = 5_000
# After a longer gap between ticks, silent hosts are not reported: the watcher cannot distinguish
# missed heartbeats from its own pause.
_MAX_TICK_GAP_MS = 1_000
# Hosts per tick whose watchers are recomputed after a membership change. Each host takes one hash
# per live host, so recomputing all at once would stall the streams at the designed fleet size.
_WATCH_UPDATES_PER_TICK = 16
_STATE_BITS = 2
_REFUTATION_BITS = 10


@dataclass(frozen=True, slots=True)
class PublishFact:
    """Put a fact into the local store, which spreads it by gossip."""

    fact: Fact


@dataclass(frozen=True, slots=True)
class HostEntry:
    """An entry of the host list."""

    host: HostId
    failure_domain: FailureDomain
    leaving: bool = False


def host_fact(host: HostId, epoch: int, state: HostState, now_wall_ms: int) -> Fact:
    """Return the fact that `host` is in `state`.

    Parameters
    ----------
    epoch : int
        The incarnation in the upper bits and the number of refutations in the lower ten, so that
        a process can refute a false failure report without a new incarnation.

    Notes
    -----
    Epoch and state are packed into one number, because facts merge by maximum and a higher epoch
    has to win regardless of the state.
    """
    return Fact(FactKind.HOST, host, (epoch << _STATE_BITS | state.value, now_wall_ms))


def host_epoch(fact: Fact) -> int:
    """Return the epoch of a host fact."""
    return fact.value[0] >> _STATE_BITS


def host_state(fact: Fact) -> HostState:
    """Return the state of a host fact."""
    return HostState(fact.value[0] & (1 << _STATE_BITS) - 1)


def leaving_fact(upstream: UpstreamId, incarnation: Incarnation, now_wall_ms: int) -> Fact:
    """Return the fact that `upstream` is leaving in `incarnation` and all earlier ones."""
    return Fact(FactKind.UPSTREAM_LEAVING, upstream, (incarnation, now_wall_ms))


class Membership:
    """Tracks the entry hosts and their states as seen by one daemon.

    Parameters
    ----------
    host, incarnation, failure_domain
        Identify this daemon.

    Notes
    -----
    Host facts take precedence. The host list, which may be stale, supplies the failure domains
    and the hosts about which no fact is known yet. A wrong view costs capacity, never correctness.
    """

    def __init__(
        self, host: HostId, incarnation: Incarnation, failure_domain: FailureDomain
    ) -> None:
        self._host = host
        self._epoch = incarnation << _REFUTATION_BITS
        self._state = HostState.ALIVE
        self._failure_domains: dict[HostId, FailureDomain] = {host: failure_domain}
        self._listed: dict[HostId, HostEntry] = {}
        self._facts: dict[HostId, Fact] = {}
        # For each watched host, the time of its last heartbeat or, before the first one, the time
        # at which this daemon began to watch it.
        self._last_heard_ms: dict[HostId, int] = {}
        # Hosts for which it is not yet computed whether this daemon has to watch them.
        self._pending_watch_updates: list[HostId] = []
        self._live: Mapping[HostId, FailureDomain] | None = None
        self._watchers: tuple[HostId, ...] = ()
        self._last_tick_ms: int | None = None
        self._last_heartbeat_ms: int | None = None
        self._heartbeat_seq = 0
        self._last_probe_ms: int | None = None
        # Daemons start at different hosts, so that they do not all probe the same one.
        self._probe_index = hash64("probe", host)

    def eligible_owners(self) -> Mapping[HostId, FailureDomain]:
        """Return the daemons that may own state, with their failure domains.

        Notes
        -----
        Draining daemons are excluded unless all daemons are draining. Then they keep owning
        state, so that requests in progress can end.
        """
        if self._live is None:
            self._live = self._compute_live()
        return self._live

    def reachable(self) -> list[HostId]:
        """Return the other daemons that are alive or draining, sorted by host id."""
        return sorted(host for host in self._failure_domains if self._is_reachable(host))

    def state(self, host: HostId) -> HostState:
        """Return the state of `host`, `LEFT` if the host is unknown."""
        if host == self._host:
            return self._state
        if not self._is_reachable(host):
            return HostState.LEFT
        fact = self._facts.get(host)
        return HostState.ALIVE if fact is None else host_state(fact)

    def incarnation(self, host: HostId) -> Incarnation | None:
        """Return the incarnation of `host`, or None if no fact about the host is known."""
        if host == self._host:
            return Incarnation(self._epoch >> _REFUTATION_BITS)
        fact = self._facts.get(host)
        return None if fact is None else Incarnation(host_epoch(fact) >> _REFUTATION_BITS)

    def watchers(self) -> tuple[HostId, ...]:
        """Return the daemons to which this one sends heartbeats."""
        self.eligible_owners()
        return self._watchers

    def own_fact(self, now_wall_ms: int) -> Fact:
        """Return the host fact about this daemon, which the caller announces at startup."""
        return host_fact(self._host, self._epoch, self._state, now_wall_ms)

    def advance_state(self, state: HostState, now_wall_ms: int) -> list[PublishFact]:
        """Advance this daemon's own state; a change to an earlier state is ignored."""
        if state.value <= self._state.value:
            return []
        self._state = state
        self._invalidate_live()
        return [PublishFact(self.own_fact(now_wall_ms))]

    def apply_host_list(self, entries: Iterable[HostEntry]) -> None:
        """Update the view from the host list.

        Notes
        -----
        A host that is no longer listed stays live while a fact says that it is alive, because its
        watchers detect when it fails.
        """
        listed = {entry.host: entry for entry in entries}
        if listed == self._listed:
            return
        self._listed = listed
        self._forget_departed_hosts()
        for host, entry in listed.items():
            if host != self._host:
                self._failure_domains[host] = entry.failure_domain
        self._invalidate_live()

    def apply_facts(self, facts: Iterable[Fact], now_wall_ms: int) -> list[PublishFact]:
        """Apply host facts that are new in the store; other kinds are ignored.

        Returns
        -------
        list of PublishFact
            The refutation, if a fact falsely says that this daemon is draining or has left.
        """
        announcements: list[PublishFact] = []
        for fact in facts:
            if fact.kind is not FactKind.HOST or not _has_valid_state(fact):
                continue
            host = HostId(fact.subject)
            if host == self._host:
                announcements += self._refute(fact, now_wall_ms)
            else:
                self._update_fact(host, fact)
        return announcements

    def receive_heartbeat(
        self,
        sender: HostId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        now_ms: int,
        now_wall_ms: int,
    ) -> list[PublishFact | Send]:
        """Process a heartbeat.

        Returns
        -------
        list of PublishFact or Send
            The sender's state, if it is newer than the known fact. A sender that is recorded as
            left is sent that fact: nobody gossips to it, so it could not refute it otherwise.
        """
        known = self._facts.get(sender)
        epoch = incarnation << _REFUTATION_BITS
        if known is not None and incarnation < host_epoch(known) >> _REFUTATION_BITS:
            return []
        self._last_heard_ms[sender] = now_ms
        if known is not None:
            epoch = max(epoch, host_epoch(known))
        fact = host_fact(sender, epoch, heartbeat.state, now_wall_ms)
        if self._update_fact(sender, fact):
            return [PublishFact(fact)]
        if known is not None and host_state(known) is HostState.LEFT:
            return [Send(sender, Gossip((known,)))]
        return []

    def tick(self, now_ms: int, now_wall_ms: int) -> list[PublishFact | Send]:
        """Return the due heartbeats and probes, and the failures detected.

        Parameters
        ----------
        now_ms : int
            Monotonic clock; the calls should come at most `HEARTBEAT_INTERVAL_MS` apart.

        Notes
        -----
        Probes go to listed hosts that are recorded as left. Without them the two sides of a
        network partition would never rejoin, because heartbeats, gossip and digests go to
        reachable hosts only.
        """
        if self._last_tick_ms is None or now_ms - self._last_tick_ms > _MAX_TICK_GAP_MS:
            self._last_heard_ms = dict.fromkeys(self._last_heard_ms, now_ms)
        self._last_tick_ms = now_ms
        self._update_watched_hosts(now_ms)
        return [
            *self._detect_failures(now_ms, now_wall_ms),
            *self._due_heartbeats(now_ms),
            *self._due_probes(now_ms, now_wall_ms),
        ]

    def _compute_live(self) -> Mapping[HostId, FailureDomain]:
        reachable = [host for host in sorted(self._failure_domains) if self._is_reachable(host)]
        reachable = sorted([*reachable, self._host])
        owners = [host for host in reachable if self._may_own_state(host)]
        live = {host: self._failure_domains[host] for host in owners or reachable}
        self._watchers = _choose_watchers(self._host, live)
        return MappingProxyType(live)

    def _forget_departed_hosts(self) -> None:
        """Drop unlisted hosts that have left; replaced hosts would otherwise accumulate."""
        departed = [
            host
            for host, fact in self._facts.items()
            if host_state(fact) is HostState.LEFT and host not in self._listed
        ]
        for host in departed:
            self._failure_domains.pop(host, None)
            self._last_heard_ms.pop(host, None)

    def _is_reachable(self, host: HostId) -> bool:
        if host == self._host or host not in self._failure_domains:
            return False
        fact = self._facts.get(host)
        if fact is None:
            return host in self._listed
        return host_state(fact) is not HostState.LEFT

    def _may_own_state(self, host: HostId) -> bool:
        if host == self._host:
            return self._state is HostState.ALIVE
        fact = self._facts.get(host)
        if fact is not None and host_state(fact) is not HostState.ALIVE:
            return False
        entry = self._listed.get(host)
        return entry is None or not entry.leaving

    def _update_fact(self, host: HostId, fact: Fact) -> bool:
        known = self._facts.get(host)
        if known is not None and fact.value[0] <= known.value[0]:
            return False
        self._facts[host] = fact
        self._invalidate_live()
        return True

    def _refute(self, fact: Fact, now_wall_ms: int) -> list[PublishFact]:
        own_value = (self._epoch, self._state.value)
        if (host_epoch(fact), host_state(fact).value) <= own_value or self._state is HostState.LEFT:
            return []
        self._epoch = host_epoch(fact) + 1
        return [PublishFact(self.own_fact(now_wall_ms))]

    def _invalidate_live(self) -> None:
        self._live = None
        self._pending_watch_updates = [host for host in self._failure_domains if host != self._host]

    def _update_watched_hosts(self, now_ms: int) -> None:
        live = self.eligible_owners()
        batch, self._pending_watch_updates = (
            self._pending_watch_updates[:_WATCH_UPDATES_PER_TICK],
            self._pending_watch_updates[_WATCH_UPDATES_PER_TICK:],
        )
        for host in batch:
            if self._is_reachable(host) and self._host in _choose_watchers(host, live):
                self._last_heard_ms.setdefault(host, now_ms)
            else:
                self._last_heard_ms.pop(host, None)

    def _detect_failures(self, now_ms: int, now_wall_ms: int) -> list[PublishFact]:
        silent = [
            host
            for host, last_heard_ms in self._last_heard_ms.items()
            if now_ms - last_heard_ms > FAILURE_TIMEOUT_MS
        ]
        announcements: list[PublishFact] = []
        for host in silent:
            del self._last_heard_ms[host]
            # The host may have other watchers since the membership changed.
            if not self._is_reachable(host) or self._host not in _choose_watchers(
                host, self.eligible_owners()
            ):
                continue
            known = self._facts.get(host)
            epoch = 0 if known is None else host_epoch(known)
            fact = host_fact(host, epoch, HostState.LEFT, now_wall_ms)
            self._update_fact(host, fact)
            announcements.append(PublishFact(fact))
        return announcements

    def _due_heartbeats(self, now_ms: int) -> list[Send]:
        if (
            self._last_heartbeat_ms is not None
            and now_ms - self._last_heartbeat_ms < HEARTBEAT_INTERVAL_MS
        ):
            return []
        self._last_heartbeat_ms = now_ms
        self._heartbeat_seq += 1
        heartbeat = Heartbeat(self._state, self._heartbeat_seq)
        return [Send(host, heartbeat) for host in self.watchers()]

    def _due_probes(self, now_ms: int, now_wall_ms: int) -> list[Send]:
        if self._state is HostState.LEFT:
            return []
        if self._last_probe_ms is not None and now_ms - self._last_probe_ms < _PROBE_INTERVAL_MS:
            return []
        self._last_probe_ms = now_ms
        departed = [host for host in sorted(self._listed) if self._has_departed(host)]
        if not departed:
            return []
        self._probe_index += 1
        host = departed[self._probe_index % len(departed)]
        # The receiver refutes this fact, and its own probes carry the refutation back. The current
        # time keeps the fact from being dropped as expired after a partition of hours.
        left_fact = host_fact(host, host_epoch(self._facts[host]), HostState.LEFT, now_wall_ms)
        # With the time 0 a receiver that already knows the fact sees no change and does not spread
        # it again.
        return [Send(host, Gossip((self.own_fact(0), left_fact)))]

    def _has_departed(self, host: HostId) -> bool:
        return host != self._host and host in self._facts and not self._is_reachable(host)


def _has_valid_state(fact: Fact) -> bool:
    return fact.value[0] & (1 << _STATE_BITS) - 1 <= HostState.LEFT.value


def _choose_watchers(host: HostId, live: Iterable[HostId]) -> tuple[HostId, ...]:
    candidates = (other for other in live if other != host)
    chosen = heapq.nsmallest(
        _WATCHERS_PER_HOST, candidates, key=lambda other: (-hash64("watch", host, other), other)
    )
    return tuple(chosen)


@dataclass(slots=True)
class _UpstreamStatus:
    """State of one upstream as this daemon knows it.

    Attributes
    ----------
    incarnation : int, optional
        Latest incarnation that the upstream reported.
    leaving : int
        Latest incarnation that is known to be leaving, -1 if none.
    listed_leaving : bool, optional
        Whether the last host list named the upstream as leaving; None before the first list.
    leaving_locally : bool
        Whether it counts as leaving on this daemon only, because the first host list said so.
    refused_without_incarnation : bool
        Whether it refused work as leaving while its incarnation was unknown.
    """

    incarnation: Incarnation | None = None
    leaving: int = -1
    listed_leaving: bool | None = None
    leaving_locally: bool = False
    refused_without_incarnation: bool = False


class LeavingUpstreams:
    """Tracks which upstreams are leaving, from the host list, their own answers and facts.

    Notes
    -----
    The first source to report that an incarnation is leaving decides, and the incarnation stays
    leaving. The host list does not name incarnations: a change to leaving in it applies to the
    incarnation known at that time. The first list read may refer to an earlier incarnation, so it
    applies only on this daemon and until the list or the incarnation changes.
    """

    def __init__(self) -> None:
        self._upstreams: dict[UpstreamId, _UpstreamStatus] = {}

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether `upstream` is leaving and must get no new work."""
        known = self._upstreams.get(upstream)
        if known is None:
            return False
        if known.leaving_locally or known.refused_without_incarnation:
            return True
        return known.leaving >= (known.incarnation or 0)

    def apply_host_list(
        self, leaving: Mapping[UpstreamId, bool], now_wall_ms: int
    ) -> list[PublishFact]:
        """Update from the host list, which says for each upstream whether it is leaving."""
        announcements: list[PublishFact] = []
        for upstream, is_leaving in leaving.items():
            known = self._upstreams.setdefault(upstream, _UpstreamStatus())
            previously_listed, known.listed_leaving = known.listed_leaving, is_leaving
            if previously_listed is None:
                known.leaving_locally = is_leaving
            elif not is_leaving:
                known.leaving_locally = False
            elif not previously_listed:
                announcements += self._mark_leaving(upstream, known, now_wall_ms)
        return announcements

    def record_answer(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation | None,
        leaving: bool,
        now_wall_ms: int,
    ) -> list[PublishFact]:
        """Update from a report or a refusal by the upstream itself.

        Parameters
        ----------
        incarnation : int, optional
            None if the answer does not contain it, as in a refusal with `X-Leaving`.
        """
        known = self._upstreams.setdefault(upstream, _UpstreamStatus())
        if incarnation is not None:
            if known.incarnation is not None and incarnation < known.incarnation:
                return []
            if known.incarnation is not None and incarnation > known.incarnation:
                known.leaving_locally = False
            known.incarnation = incarnation
        if leaving or (known.refused_without_incarnation and incarnation is not None):
            return self._mark_leaving(upstream, known, now_wall_ms)
        return []

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Apply leaving facts that are new in the store; other kinds are ignored."""
        for fact in facts:
            if fact.kind is FactKind.UPSTREAM_LEAVING:
                known = self._upstreams.setdefault(UpstreamId(fact.subject), _UpstreamStatus())
                known.leaving = max(known.leaving, fact.value[0])

    def _mark_leaving(
        self, upstream: UpstreamId, known: _UpstreamStatus, now_wall_ms: int
    ) -> list[PublishFact]:
        if known.incarnation is None:
            known.refused_without_incarnation = True
            return []
        known.refused_without_incarnation = False
        if known.leaving >= known.incarnation:
            return []
        known.leaving = known.incarnation
        return [PublishFact(leaving_fact(upstream, known.incarnation, now_wall_ms))]
