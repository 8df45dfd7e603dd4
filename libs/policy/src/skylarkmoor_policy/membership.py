"""Which entry hosts are live and which upstreams are leaving."""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import FailureDomain, HostId, Incarnation, UpstreamId
from skylarkmoor_core.messages import Fact, FactKind, Gossip, Heartbeat, HostState
from skylarkmoor_policy.actions import Send

__all__ = [
    "FAILURE_MS",
    "HEARTBEAT_MS",
    "Announce",
    "HostEntry",
    "Membership",
    "UpstreamStates",
    "host_epoch",
    "host_fact",
    "host_state",
    "leaving_fact",
]

HEARTBEAT_MS = 500
# Six missed heartbeats; a stalled event loop or a few lost messages stay below it.
FAILURE_MS = 3_000

_WATCHERS = 4
# Each daemon tells one host in this interval that it counts as gone, however many do, so that
# the traffic stays constant while a large part of the fleet is cut off.
_PROBE_MS = 5_000
# A watcher that did not run for this long cannot tell missed heartbeats from its own pause.
_PAUSE_MS = 1_000
# Hosts per tick whose watchers are computed anew after a change. Each takes one hash for each
# live host, so all hosts at once would stall the streams at the size to design for.
_DUTIES_PER_TICK = 16
_STATE_BITS = 2
_REFUTATION_BITS = 10


@dataclass(frozen=True, slots=True)
class Announce:
    """Put a fact into the store, from where it spreads."""

    fact: Fact


@dataclass(frozen=True, slots=True)
class HostEntry:
    """An entry host as the host list names it."""

    host: HostId
    failure_domain: FailureDomain
    leaving: bool = False


def host_fact(host: HostId, epoch: int, state: HostState, now_wall_ms: int) -> Fact:
    """Return the fact that `host` is in `state`.

    Parameters
    ----------
    epoch : int
        A process starts with its incarnation in the upper bits and counts its refutations in
        the lower ten, so that it can refute without a new incarnation.

    Notes
    -----
    Epoch and state are one number, because facts merge by maximum and a higher epoch has to
    win whatever its state.
    """
    return Fact(FactKind.HOST, host, (epoch << _STATE_BITS | state.value, now_wall_ms))


def host_epoch(fact: Fact) -> int:
    """Return the epoch of a host fact."""
    return fact.value[0] >> _STATE_BITS


def host_state(fact: Fact) -> HostState:
    """Return the state of a host fact."""
    return HostState(fact.value[0] & (1 << _STATE_BITS) - 1)


def leaving_fact(upstream: UpstreamId, incarnation: Incarnation, now_wall_ms: int) -> Fact:
    """Return the fact that `upstream` is leaving in `incarnation` and every earlier one."""
    return Fact(FactKind.UPSTREAM_LEAVING, upstream, (incarnation, now_wall_ms))


class Membership:
    """The entry hosts as this daemon knows them.

    Parameters
    ----------
    host, incarnation, failure_domain
        This daemon.

    Notes
    -----
    Facts decide; the host list, which lags, gives the failure domains and names the hosts of
    which no fact is known yet. A wrong view costs capacity only, never correctness.
    """

    def __init__(
        self, host: HostId, incarnation: Incarnation, failure_domain: FailureDomain
    ) -> None:
        self._host = host
        self._epoch = incarnation << _REFUTATION_BITS
        self._state = HostState.ALIVE
        self._domains: dict[HostId, FailureDomain] = {host: failure_domain}
        self._listed: dict[HostId, HostEntry] = {}
        self._facts: dict[HostId, Fact] = {}
        # When each watched host was last heard, or this daemon began to watch it.
        self._heard_ms: dict[HostId, int] = {}
        self._duties: list[HostId] = []
        self._live: Mapping[HostId, FailureDomain] | None = None
        self._watchers: tuple[HostId, ...] = ()
        self._tick_ms: int | None = None
        self._sent_ms: int | None = None
        self._seq = 0
        self._probed_ms: int | None = None
        # Daemons begin at different hosts, so that they do not all probe the same one.
        self._probe = hash64("probe", host)

    def live(self) -> Mapping[HostId, FailureDomain]:
        """Return the daemons that may own state, with their failure domains.

        Notes
        -----
        Draining daemons are left out unless all are draining: then they go on owning, so that
        requests in progress can end.
        """
        if self._live is None:
            self._live = self._find_live()
        return self._live

    def reachable(self) -> list[HostId]:
        """Return the other daemons that are alive or draining, in order of id."""
        return sorted(host for host in self._domains if self._is_reachable(host))

    def state(self, host: HostId) -> HostState:
        """Return the state of `host`; one of which nothing is known has left."""
        if host == self._host:
            return self._state
        if not self._is_reachable(host):
            return HostState.LEFT
        fact = self._facts.get(host)
        return HostState.ALIVE if fact is None else host_state(fact)

    def incarnation(self, host: HostId) -> Incarnation | None:
        """Return the incarnation of `host`, if a fact tells it."""
        if host == self._host:
            return Incarnation(self._epoch >> _REFUTATION_BITS)
        fact = self._facts.get(host)
        return None if fact is None else Incarnation(host_epoch(fact) >> _REFUTATION_BITS)

    def watchers(self) -> tuple[HostId, ...]:
        """Return the daemons to which this one sends heartbeats."""
        self.live()
        return self._watchers

    def own_fact(self, now_wall_ms: int) -> Fact:
        """Return the fact about this daemon, to be announced at start."""
        return host_fact(self._host, self._epoch, self._state, now_wall_ms)

    def enter(self, state: HostState, now_wall_ms: int) -> list[Announce]:
        """Change this daemon's own state; it never goes back."""
        if state.value <= self._state.value:
            return []
        self._state = state
        self._changed()
        return [Announce(self.own_fact(now_wall_ms))]

    def listed(self, entries: Iterable[HostEntry]) -> None:
        """Take the host list.

        Notes
        -----
        A host that is no longer listed counts as live while a fact says so, because its
        watchers notice when it is gone.
        """
        listed = {entry.host: entry for entry in entries}
        if listed == self._listed:
            return
        self._listed = listed
        self._forget_left()
        for host, entry in listed.items():
            if host != self._host:
                self._domains[host] = entry.failure_domain
        self._changed()

    def apply(self, facts: Iterable[Fact], now_wall_ms: int) -> list[Announce]:
        """Take host facts that are new in the store; other kinds are passed over.

        Returns
        -------
        list of Announce
            The refutation, if a fact says wrongly that this daemon is gone.
        """
        announces: list[Announce] = []
        for fact in facts:
            if fact.kind is not FactKind.HOST or not _is_valid(fact):
                continue
            host = HostId(fact.subject)
            if host == self._host:
                announces += self._refute(fact, now_wall_ms)
            else:
                self._learn(host, fact)
        return announces

    def heartbeat(
        self,
        sender: HostId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        now_ms: int,
        now_wall_ms: int,
    ) -> list[Announce | Send]:
        """Take a heartbeat.

        Returns
        -------
        list of Announce or Send
            What the heartbeat shows and no fact says yet. A sender that counts as gone is told
            so, because nobody gossips to it and it could not refute otherwise.
        """
        known = self._facts.get(sender)
        epoch = incarnation << _REFUTATION_BITS
        if known is not None and incarnation < host_epoch(known) >> _REFUTATION_BITS:
            return []
        self._heard_ms[sender] = now_ms
        if known is not None:
            epoch = max(epoch, host_epoch(known))
        fact = host_fact(sender, epoch, heartbeat.state, now_wall_ms)
        if self._learn(sender, fact):
            return [Announce(fact)]
        if known is not None and host_state(known) is HostState.LEFT:
            return [Send(sender, Gossip((known,)))]
        return []

    def tick(self, now_ms: int, now_wall_ms: int) -> list[Announce | Send]:
        """Return the heartbeats and probes that are due and the failures noticed.

        Parameters
        ----------
        now_ms : int
            Monotonic clock; the calls should come at most `HEARTBEAT_MS` apart.

        Notes
        -----
        A probe goes to a listed host that counts as gone. Without it, the two sides of a
        network cut would never hear of each other again, because heartbeats, gossip and
        digests go to reachable hosts only.
        """
        if self._tick_ms is None or now_ms - self._tick_ms > _PAUSE_MS:
            self._heard_ms = dict.fromkeys(self._heard_ms, now_ms)
        self._tick_ms = now_ms
        self._update_duties(now_ms)
        return [
            *self._failures(now_ms, now_wall_ms),
            *self._heartbeats(now_ms),
            *self._probes(now_ms, now_wall_ms),
        ]

    def _find_live(self) -> Mapping[HostId, FailureDomain]:
        reachable = [host for host in sorted(self._domains) if self._is_reachable(host)]
        reachable = sorted([*reachable, self._host])
        owners = [host for host in reachable if self._may_own(host)]
        live = {host: self._domains[host] for host in owners or reachable}
        self._watchers = _watchers(self._host, live)
        return MappingProxyType(live)

    def _forget_left(self) -> None:
        """Drop the domains of hosts that have left, which replacements add to without end."""
        gone = [
            host
            for host, fact in self._facts.items()
            if host_state(fact) is HostState.LEFT and host not in self._listed
        ]
        for host in gone:
            self._domains.pop(host, None)
            self._heard_ms.pop(host, None)

    def _is_reachable(self, host: HostId) -> bool:
        if host == self._host or host not in self._domains:
            return False
        fact = self._facts.get(host)
        if fact is None:
            return host in self._listed
        return host_state(fact) is not HostState.LEFT

    def _may_own(self, host: HostId) -> bool:
        if host == self._host:
            return self._state is HostState.ALIVE
        fact = self._facts.get(host)
        if fact is not None and host_state(fact) is not HostState.ALIVE:
            return False
        entry = self._listed.get(host)
        return entry is None or not entry.leaving

    def _learn(self, host: HostId, fact: Fact) -> bool:
        known = self._facts.get(host)
        if known is not None and fact.value[0] <= known.value[0]:
            return False
        self._facts[host] = fact
        self._changed()
        return True

    def _refute(self, fact: Fact, now_wall_ms: int) -> list[Announce]:
        own = (self._epoch, self._state.value)
        if (host_epoch(fact), host_state(fact).value) <= own or self._state is HostState.LEFT:
            return []
        self._epoch = host_epoch(fact) + 1
        return [Announce(self.own_fact(now_wall_ms))]

    def _changed(self) -> None:
        self._live = None
        self._duties = [host for host in self._domains if host != self._host]

    def _update_duties(self, now_ms: int) -> None:
        live = self.live()
        now, self._duties = self._duties[:_DUTIES_PER_TICK], self._duties[_DUTIES_PER_TICK:]
        for host in now:
            if self._is_reachable(host) and self._host in _watchers(host, live):
                self._heard_ms.setdefault(host, now_ms)
            else:
                self._heard_ms.pop(host, None)

    def _failures(self, now_ms: int, now_wall_ms: int) -> list[Announce]:
        silent = [
            host for host, heard_ms in self._heard_ms.items() if now_ms - heard_ms > FAILURE_MS
        ]
        announces: list[Announce] = []
        for host in silent:
            del self._heard_ms[host]
            # The sender may have other watchers by now.
            if not self._is_reachable(host) or self._host not in _watchers(host, self.live()):
                continue
            known = self._facts.get(host)
            epoch = 0 if known is None else host_epoch(known)
            fact = host_fact(host, epoch, HostState.LEFT, now_wall_ms)
            self._learn(host, fact)
            announces.append(Announce(fact))
        return announces

    def _heartbeats(self, now_ms: int) -> list[Send]:
        if self._sent_ms is not None and now_ms - self._sent_ms < HEARTBEAT_MS:
            return []
        self._sent_ms = now_ms
        self._seq += 1
        heartbeat = Heartbeat(self._state, self._seq)
        return [Send(host, heartbeat) for host in self.watchers()]

    def _probes(self, now_ms: int, now_wall_ms: int) -> list[Send]:
        if self._state is HostState.LEFT:
            return []
        if self._probed_ms is not None and now_ms - self._probed_ms < _PROBE_MS:
            return []
        self._probed_ms = now_ms
        gone = [host for host in sorted(self._listed) if self._is_gone(host)]
        if not gone:
            return []
        self._probe += 1
        host = gone[self._probe % len(gone)]
        # The receiver refutes this, and its own probes carry the refutation back. A time of now
        # keeps it from being dropped as expired after a cut of hours.
        left = host_fact(host, host_epoch(self._facts[host]), HostState.LEFT, now_wall_ms)
        # The time zero changes no newer one, so a receiver that knows the fact does not spread
        # it again.
        return [Send(host, Gossip((self.own_fact(0), left)))]

    def _is_gone(self, host: HostId) -> bool:
        return host != self._host and host in self._facts and not self._is_reachable(host)


def _is_valid(fact: Fact) -> bool:
    return fact.value[0] & (1 << _STATE_BITS) - 1 <= HostState.LEFT.value


def _watchers(host: HostId, live: Iterable[HostId]) -> tuple[HostId, ...]:
    others = (other for other in live if other != host)
    chosen = heapq.nsmallest(
        _WATCHERS, others, key=lambda other: (-hash64("watch", host, other), other)
    )
    return tuple(chosen)


@dataclass(slots=True)
class _Upstream:
    """What is known of one upstream.

    `listed` is the host list's last word on whether it is leaving. `held` means that it counts
    as leaving on this daemon alone, and `unbound` that it refused work while its incarnation
    was unknown.
    """

    incarnation: Incarnation | None = None
    leaving: int = -1
    listed: bool | None = None
    held: bool = False
    unbound: bool = False


class UpstreamStates:
    """Which upstreams are leaving, by the host list or their own answers.

    Notes
    -----
    The earlier source wins, and an incarnation that is leaving stays so. The host list names no
    incarnation: its change to leaving is taken for the incarnation known at that time. What it
    says in the first list read may concern an earlier incarnation, so it holds only on this
    daemon and until the list or the incarnation changes.
    """

    def __init__(self) -> None:
        self._upstreams: dict[UpstreamId, _Upstream] = {}

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether `upstream` must get no new work."""
        known = self._upstreams.get(upstream)
        if known is None:
            return False
        if known.held or known.unbound:
            return True
        return known.leaving >= (known.incarnation or 0)

    def listed(self, leaving: Mapping[UpstreamId, bool], now_wall_ms: int) -> list[Announce]:
        """Take the host list: for each upstream, whether it is leaving."""
        announces: list[Announce] = []
        for upstream, is_leaving in leaving.items():
            known = self._upstreams.setdefault(upstream, _Upstream())
            before, known.listed = known.listed, is_leaving
            if before is None:
                known.held = is_leaving
            elif not is_leaving:
                known.held = False
            elif not before:
                announces += self._leaves(upstream, known, now_wall_ms)
        return announces

    def answered(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation | None,
        leaving: bool,
        now_wall_ms: int,
    ) -> list[Announce]:
        """Take a report or a refusal of the upstream itself.

        Parameters
        ----------
        incarnation : int, optional
            None if the answer does not tell it; a refusal with `X-Leaving` does not.
        """
        known = self._upstreams.setdefault(upstream, _Upstream())
        if incarnation is not None:
            if known.incarnation is not None and incarnation < known.incarnation:
                return []
            if known.incarnation is not None and incarnation > known.incarnation:
                known.held = False
            known.incarnation = incarnation
        if leaving or (known.unbound and incarnation is not None):
            return self._leaves(upstream, known, now_wall_ms)
        return []

    def apply(self, facts: Iterable[Fact]) -> None:
        """Take facts that are new in the store; other kinds are passed over."""
        for fact in facts:
            if fact.kind is FactKind.UPSTREAM_LEAVING:
                known = self._upstreams.setdefault(UpstreamId(fact.subject), _Upstream())
                known.leaving = max(known.leaving, fact.value[0])

    def _leaves(self, upstream: UpstreamId, known: _Upstream, now_wall_ms: int) -> list[Announce]:
        if known.incarnation is None:
            known.unbound = True
            return []
        known.unbound = False
        if known.leaving >= known.incarnation:
            return []
        known.leaving = known.incarnation
        return [Announce(leaving_fact(upstream, known.incarnation, now_wall_ms))]
