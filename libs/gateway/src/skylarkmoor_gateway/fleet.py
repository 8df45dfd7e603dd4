"""State exchange between gateways: membership, loads, quotas and retry budgets."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from msgspec import structs

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import SettingsError
from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.ids import FailureDomain, HostId, Incarnation, ServiceName, UpstreamId
from skylarkmoor_core.logposition import BEFORE_ALL, LogPosition
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import (
    ClockAnswer,
    ClockQuestion,
    ConfigurationConfirmed,
    ConfigurationCopy,
    ConfigurationQuery,
    CrashEvidence,
    Fact,
    GatewayState,
    Gossip,
    Message,
    NamedLimit,
    NamedLimits,
    RelayedState,
    SlotGrant,
    SlotLoads,
    SlotRefusal,
    SlotRequest,
    SlotWithdrawal,
    StateBundle,
    TopicRead,
    UnitsGrant,
    UnitsRequest,
    UnitsReturn,
)
from skylarkmoor_core.settings import Address, parse_address
from skylarkmoor_gateway.limitcoordinator import LimitCoordinator
from skylarkmoor_gateway.sharedreads import SharedReads
from skylarkmoor_gateway.slotcoordinator import SlotCoordinator
from skylarkmoor_policy.configurationage import ConfigurationAge
from skylarkmoor_policy.crashcounts import CrashCounts
from skylarkmoor_policy.crashevidence import CrashEvidenceTable
from skylarkmoor_policy.evacuations import EvacuationChange
from skylarkmoor_policy.fleetlimits import (
    PEER_EXPIRY_MS,
    PEER_SILENT_MS,
    FleetQuotas,
    FleetRetryBudget,
    PeerCounters,
)
from skylarkmoor_policy.peerclocks import PeerClocks
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.reachability import Reachability, RelayPeer
from skylarkmoor_policy.recordage import RecordAge, VersionHistory
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.staterelay import RELAY_SILENT_MS, StateRelay
from skylarkmoor_policy.upstreamnotices import InstanceId
from skylarkmoor_process.peers import Peers

__all__ = ["Fleet"]

# With older load reports several gateways assign requests to the same free slot.
_MIN_INTERVAL_MS = 100
# Every gateway sends to every other one, so the interval grows with the number of peers.
_INTERVAL_PER_PEER_MS = 12
# An unchanged state is repeated at this interval as a heartbeat.
_HEARTBEAT_MS = 200
# A dispatcher that is silent for this long is replaced. It reports at a shorter interval.
_LIVE_MS = 500
# Maximum report interval of gateways that may dispatch, so that a failed dispatcher is replaced
# within about a second in a large fleet too, where the regular interval is longer.
_DISPATCHER_INTERVAL_MS = 300
# A peer counts as silent after this many missed states, which matters in a large fleet with its
# longer interval.
_MAX_MISSED_STATES = 4
# Changes of the load within this time are batched into one report to the dispatcher.
_LOAD_REPORT_DELAY_MS = 8
# With fewer peers, sending states to all of them is cheap and fresher than through relays.
_MIN_RELAY_PEERS = 32
# A relay passes on the states that it has received within this time as one message.
_BUNDLE_INTERVAL_MS = 500
# A state waits for the next bundle of the relay in its own and in the receiver's failure domain.
_MAX_RELAY_DELAY_MS = 2 * _BUNDLE_INTERVAL_MS
# Time from when a state is due until a peer that gets it directly has processed it.
_MAX_STATE_DELAY_MS = 50
# A lost report of a crash is repeated at this interval, or at that of the states if it is longer.
_CRASH_REPEAT_MS = 1_000
# Several crashes and answers within this time are sent as one message.
_CRASH_SEND_DELAY_MS = 4
# A peer is asked for its newer configuration if the log has not shown it within this time.
_CONFIGURATION_QUERY_DELAY_MS = 500
# Changes of the limits that upstreams name are sent together after this time.
_LIMIT_SEND_DELAY_MS = 4
# Interval at which a dispatcher reports the permits that it has issued since.
_PERMIT_REPORT_MS = 300
# After a longer time without a tick this process was paused, and peers may have replaced it.
_MAX_TICK_GAP_MS = 1_000
# After a longer time without a tick, what is read may have arrived well before.
_MAX_READ_DELAY_MS = 250
# Gateways, first in rendezvous order, that tell all peers of a new order to evacuate at once. With
# 330 hosts, a host that does not reach the store would hear of it only after five seconds from a
# regular state. Two may themselves not have read it.
_EVACUATION_ANNOUNCERS = 3
# Time of an answer about a limit if there was none, which any answer is later than. It stays within
# what messages can carry when it is converted to the clock of a peer.
_NEVER_MS = -(2**52)
_NO_DOMAIN = FailureDomain("")

_log = part_logger("fleet")


def _ignore(_: object) -> None:
    pass


def _ignore_both(_: object, __: object) -> None:
    pass


@dataclass(slots=True)
class _Peer:
    address: Address
    last_heard_ms: int = 0
    unreachable: bool = True
    # Draining: it accepts no new requests, but those in progress continue.
    leaving: bool = False
    # Empty until the first state of the peer.
    failure_domain: FailureDomain = _NO_DOMAIN
    incarnation: Incarnation | None = None
    # Whether it holds shares of the customers' limits; one that was not heard yet does.
    shares_limits: bool = True
    # Whether it passes on what it reads from the log.
    shares_reads: bool = False
    # Speed of its host's link; 0 if it is not known.
    link_mbps: float = 0.0


class Fleet:
    """The peers of this gateway and the state exchanged with them.

    Parameters
    ----------
    host : HostId
        Host ID of this gateway.
    incarnation : Incarnation
        Start time of this process, which distinguishes it from earlier ones on the host.
    clock : Clock
        Time source.
    placement, quotas, retries, crash_counts
        Local state that is reported to the peers and updated from their reports.
    on_newer, on_newer_upstreams : callable
        Called when a peer has read a newer configuration, or a newer list of upstreams, than
        this gateway.
    later : callable
        Schedules a function after a delay in milliseconds.
    failure_domain : FailureDomain
        Failure domain of this host; empty if it is not known.
    crash_evidence : CrashEvidenceTable, optional
        Evidence about parts of prompts that crash upstreams, which the gateways share.
    max_configuration_age_ms : int
        Age up to which the configuration counts as the newest.
    reachability : Reachability, optional
        Paths to the upstreams, which the gateways tell each other.
    link_mbps : float
        Speed of the link of this host; 0 if it is not known.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        clock: Clock,
        placement: Placement,
        quotas: FleetQuotas,
        retries: FleetRetryBudget,
        crash_counts: CrashCounts,
        on_newer: Callable[[], None],
        on_newer_upstreams: Callable[[], None],
        later: Callable[[int, Callable[[], None]], None],
        failure_domain: FailureDomain = _NO_DOMAIN,
        crash_evidence: CrashEvidenceTable | None = None,
        max_configuration_age_ms: int = 1_000,
        reachability: Reachability | None = None,
        link_mbps: float = 0.0,
    ) -> None:
        # Position of the last record of the operator that was read.
        self.configuration = BEFORE_ALL
        # Positions of the last record that changed the list of upstreams and of the last one read.
        self.upstreams_changed = BEFORE_ALL
        self.upstreams_read = BEFORE_ALL
        # Version and position of the configuration in force, and its record for peers that lack it.
        self.versions = VersionHistory()
        self.configuration_age = ConfigurationAge(max_configuration_age_ms)
        # Host whose read has shown most recently that the configuration is the newest one.
        self.configuration_confirmed_by = host
        self._configuration_data = b""
        # Since when a peer has had a newer one; None if none has.
        self._behind_since_ms: int | None = None
        # Called with the configuration of a peer.
        self.on_configuration: Callable[[ConfigurationCopy], None] = _ignore
        self.draining = False
        # Where this gateway accepts connections of peers to be passed on, and how many there are.
        self.relay_address = ""
        self.relayed: Callable[[], int] = lambda: 0
        self._reachability = reachability or Reachability(failure_domain, random.Random())
        # Start time and last sequence number of upstreams that have left, for peers that may not
        # know it. The function is called with those of a peer.
        self.departed: dict[UpstreamId, tuple[int, int]] = {}
        self.on_departed: Callable[[Mapping[UpstreamId, tuple[int, int]]], None] = _ignore
        # Called with the evacuations that have begun or ended, and the peer that has told of them.
        self.on_evacuations: Callable[[Sequence[EvacuationChange], HostId], None] = _ignore_both
        # Called with the facts that a peer has sent.
        self.on_facts: Callable[[Sequence[Fact]], None] = lambda facts: None
        self._host = host
        self._clock = clock
        self._placement = placement
        self._quotas = quotas
        self._retries = retries
        self._crash_counts = crash_counts
        self._on_newer = on_newer
        self._on_newer_upstreams = on_newer_upstreams
        self._later = later
        self._crash_evidence = crash_evidence or CrashEvidenceTable()
        self._crashes_sent_ms = 0
        self._crash_send_pending = False
        self.slot_coordinator = SlotCoordinator(
            host,
            incarnation,
            clock,
            placement,
            self._send_slots,
            self.live_hosts,
            self._is_responsive,
            later,
            self._tell_limit,
        )
        self.limit_coordinator = LimitCoordinator(
            host, incarnation, clock, quotas, self._send_units
        )
        self._clocks = PeerClocks()
        self.shared_reads = SharedReads(
            host,
            clock,
            self._clocks,
            self._reading_group,
            lambda hosts, message: self._transport.multicast(hosts, message),
        )
        # Last confirmations of peers whose clocks are not known well enough yet.
        self._unchecked_confirmations: dict[HostId, tuple[Incarnation, ConfigurationConfirmed]] = {}
        self._changed_limits: set[InstanceId] = set()
        self._permits_reported_ms = 0
        self._reported_permits: dict[InstanceId, int] = {}
        self._last_tick_ms: int | None = None
        self._pending_load_reports: set[SlotGroup] = set()
        # A state has all counts of its kinds, a message about limits those that have changed.
        self._counts = {
            kind: PeerCounters(complete=kind not in ("permits", "refusals"))
            for kind in ("admitted", "requests", "repeats", "permits", "refusals")
        }
        self._transport = Peers(host, incarnation, self._on_message)
        self._peer_states: dict[HostId, _Peer] = {}
        # Incarnation of the last process heard on each host.
        self._processes: dict[HostId, Incarnation] = {}
        # Last addresses of peers that were removed.
        self._expired_peers: dict[HostId, str] = {}
        self._address = ""
        self._last_state: GatewayState | None = None
        self._last_sent_ms = 0
        self._last_check_ms = 0
        self._eligible = False
        self._eligible_checked_ms = -_DISPATCHER_INTERVAL_MS
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._relay = StateRelay(host, failure_domain)
        self._relaying = False
        self._sequence = 0
        # By peer and slot group, the number of the peer's last state before its last load report.
        self._load_sequences: dict[HostId, dict[SlotGroup, int]] = {}
        # When a relay last passed on a state of this host.
        self._echoed_ms: int | None = None
        self._last_bundle_ms = 0

    def listen(self, address: Address) -> Address:
        """Bind the socket for peer messages and return its address."""
        bound = self._transport.listen(address)
        self._address = str(bound)
        return bound

    def add_peer(self, host: HostId, address: Address) -> None:
        """Add a peer or update its address."""
        known_peer = self._peer_states.get(host)
        if host == self._host or (
            known_peer is not None and str(known_peer.address) == str(address)
        ):
            return
        self._expired_peers.pop(host, None)
        self._peer_states[host] = _Peer(address, last_heard_ms=self._clock.now_ms())
        self._update_peers()

    def add_listed_peer(self, host: HostId, address: Address) -> None:
        """Add a peer from a list that may be old.

        Notes
        -----
        The address of a peer that is heard is known better. A peer that has expired here would
        reduce the limits of customers again until it expires once more.
        """
        known_peer = self._peer_states.get(host)
        is_heard = known_peer is not None and not known_peer.unreachable
        if not is_heard and self._expired_peers.get(host) != str(address):
            self.add_peer(host, address)

    def await_peer_list(self) -> None:
        """Hold no shares of the limits before the list of the peers was read."""
        self.limit_coordinator.knows_fleet = False

    def peers_listed(self) -> None:
        """Hold shares of the limits from now on, as the hosts of the fleet are known."""
        self._update_limit_holders()
        self.limit_coordinator.knows_fleet = True

    def active_peer_count(self) -> int:
        """Return the number of peers that are neither silent nor leaving."""
        return sum(not peer.unreachable and not peer.leaving for peer in self._peer_states.values())

    def oldest_peer_state_ms(self) -> int:
        """Return the largest age of the last report over all peers that are not silent."""
        now_ms = self._clock.now_ms()
        ages = [
            now_ms - peer.last_heard_ms
            for peer in self._peer_states.values()
            if not peer.unreachable
        ]
        return max(ages, default=0)

    def live_hosts(self) -> list[HostId]:
        """Return the hosts with a recent report; a leaving host lists itself only if alone."""
        now_ms = self._clock.now_ms()
        max_age_ms = self._max_state_age_ms(_LIVE_MS)
        hosts = [
            host
            for host, peer in self._peer_states.items()
            if not peer.unreachable
            and not peer.leaving
            and now_ms - peer.last_heard_ms <= max_age_ms
        ]
        if not self.draining or not hosts:
            hosts.append(self._host)
        return sorted(hosts)

    def configuration_activated(self, data: bytes) -> None:
        """Keep the record of the configuration in force for peers that ask for it."""
        self.configuration = max(self.configuration, self.versions.position)
        self._configuration_data = data
        self._behind_since_ms = None

    def configuration_read(self, began_ms: int) -> None:
        """Record that a read of this gateway that began at a time has shown all records."""
        if self.configuration_age.confirm(began_ms):
            self.configuration_confirmed_by = self._host

    def confirm_configuration(self, began_ms: int) -> None:
        """Record that a read that began at a time has shown all records, and tell the group."""
        self.configuration_read(began_ms)
        position = self.configuration
        self._transport.multicast(
            [host for host in self._configuration_group() if host != self._host],
            ConfigurationConfirmed(position.era, position.offset, began_ms, self._clock.now_ms()),
        )

    def configuration_rank(self) -> int:
        """Return how many live gateways are to confirm the configuration before this one."""
        order = rendezvous_order("configuration", self._configuration_group())
        return order.index(self._host) if self._host in order else len(order)

    def _configuration_group(self) -> list[HostId]:
        """Return the live gateways that confirm the configuration for each other."""
        hosts = self.live_hosts()
        if len(self._peer_states) < _MIN_RELAY_PEERS:
            return hosts
        return [
            host
            for host in hosts
            if host == self._host or self._peer_states[host].failure_domain == self._failure_domain
        ]

    def _reading_group(self) -> list[HostId]:
        """Return the gateways that read the log for each other, none in a small fleet."""
        if len(self._peer_states) < _MIN_RELAY_PEERS:
            return []
        return [
            host
            for host in self._configuration_group()
            if host == self._host or self._peer_states[host].shares_reads
        ]

    def _handle_confirmation(
        self, sender: HostId, incarnation: Incarnation, message: ConfigurationConfirmed
    ) -> None:
        now_ms = self._clock.now_ms()
        self._clocks.observe(sender, incarnation, message.sent_ms, now_ms)
        if LogPosition(message.era, message.offset) > self.configuration:
            self._on_newer()
            return
        # The message may have been held up, so that the read may be older than it looks.
        confirmed_ms = self._clocks.earliest_local_ms(
            sender, incarnation, message.confirmed_ms, now_ms
        )
        if confirmed_ms is None and self._is_older_build(sender):
            return
        if confirmed_ms is None:
            self._unchecked_confirmations[sender] = (incarnation, message)
            self._transport.send(sender, ClockQuestion(now_ms))
        elif self.configuration_age.confirm(confirmed_ms):
            self.configuration_confirmed_by = sender

    def _is_older_build(self, host: HostId) -> bool:
        """Return whether a peer is of a build that knows no shares of limits and no questions."""
        peer = self._peer_states.get(host)
        return peer is not None and not peer.shares_limits

    def _handle_clock_answer(
        self, sender: HostId, incarnation: Incarnation, answer: ClockAnswer
    ) -> None:
        self._clocks.observe_answer(sender, incarnation, answer.asked_ms, answer.sent_ms)
        unchecked = self._unchecked_confirmations.pop(sender, None)
        if unchecked is not None and unchecked[0] == incarnation:
            self._handle_confirmation(sender, *unchecked)

    def _in_force(self) -> tuple[int, int, int] | None:
        """Return era, offset and version of the configuration in force, None without one."""
        position, version = self.versions.position, self.versions.version
        return None if version is None else (position.era, position.offset, version)

    def _compare_configuration(self, sender: HostId, in_force: tuple[int, int, int]) -> None:
        """Ask a peer for its configuration if it has been newer for some time.

        Notes
        -----
        The log may be out of reach here, or may have lost what the peer has read.
        """
        era, offset, version = in_force
        if self.versions.compare(LogPosition(era, offset), version) is not RecordAge.NEWER:
            return
        now_ms = self._clock.now_ms()
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        elif now_ms - self._behind_since_ms >= _CONFIGURATION_QUERY_DELAY_MS:
            self._behind_since_ms = now_ms
            self._transport.send(sender, ConfigurationQuery())

    def load_changed(self, upstream: UpstreamId) -> None:
        """Schedule a load report to the dispatcher of an upstream whose local load has changed."""
        group = self._placement.group_of(upstream)
        if group is None:
            return
        if self.slot_coordinator.dispatcher_of(group) == self._host:
            self.slot_coordinator.grant_free_slots()
        elif group not in self._pending_load_reports:
            self._pending_load_reports.add(group)
            self._later(_LOAD_REPORT_DELAY_MS, lambda: self._report_changed_load(group))

    def tick(self) -> None:
        """Broadcast this gateway's state when it is due, and detect silent peers."""
        now_ms = self._clock.now_ms()
        if self._last_tick_ms is not None and now_ms - self._last_tick_ms > _MAX_TICK_GAP_MS:
            self._placement.permits.reset(now_ms)
        self._last_tick_ms = now_ms
        if now_ms - self._permits_reported_ms >= _PERMIT_REPORT_MS:
            self._permits_reported_ms = now_ms
            self._report_permits()
        interval_ms = self.interval_ms()
        since_ms = now_ms - self._last_sent_ms
        if since_ms >= interval_ms:
            self._send_state(now_ms)
        elif since_ms >= _DISPATCHER_INTERVAL_MS and self._is_eligible_dispatcher(now_ms):
            self._send_state(now_ms, to_all=True)
        self._repeat_crash_evidence(now_ms)
        if now_ms - self._last_bundle_ms >= _BUNDLE_INTERVAL_MS:
            self._last_bundle_ms = now_ms
            self._relay_states(now_ms)
        if now_ms - self._last_check_ms >= PEER_SILENT_MS // 4:
            self._last_check_ms = now_ms
            self._check_peers(now_ms)
            self._update_limit_holders()
        self.limit_coordinator.tick()

    def interval_ms(self) -> int:
        """Return the interval at which this gateway sends its state."""
        return max(_MIN_INTERVAL_MS, _INTERVAL_PER_PEER_MS * len(self._peer_states))

    def _max_state_age_ms(self, at_least_ms: int) -> int:
        """Return the age of a state from which its sender counts as silent."""
        missed_ms = max(at_least_ms, _MAX_MISSED_STATES * self.interval_ms())
        return missed_ms + _MAX_RELAY_DELAY_MS * self._relaying

    def _is_responsive(self, host: HostId) -> bool:
        """Return whether an eligible dispatcher has reported recently enough to be used."""
        peer = self._peer_states.get(host)
        if peer is None:
            return host == self._host
        interval_ms = min(_DISPATCHER_INTERVAL_MS, self.interval_ms())
        max_silence_ms = max(_LIVE_MS, _MAX_MISSED_STATES * interval_ms)
        return self._clock.now_ms() - peer.last_heard_ms <= max_silence_ms

    def announce_leaving(self) -> None:
        """Tell the peers that this gateway accepts no new requests."""
        self.draining = True
        self._send_state(self._clock.now_ms(), to_all=True)

    def send_facts(self, facts: Sequence[Fact]) -> None:
        """Send facts to all peers."""
        self._transport.broadcast(Gossip(tuple(facts)))

    def send_crash_evidence(self) -> None:
        """Tell all peers at once of a crash, or of an answer or a trial that concerns one."""
        if not self._crash_send_pending:
            self._crash_send_pending = True
            self._later(_CRASH_SEND_DELAY_MS, self._send_crash_evidence)

    def _send_crash_evidence(self) -> None:
        self._crash_send_pending = False
        self._crashes_sent_ms = self._clock.now_ms()
        evidence = self._crash_evidence.export(self._crashes_sent_ms, only_own=True)
        self._transport.broadcast(evidence)

    def _repeat_crash_evidence(self, now_ms: int) -> None:
        interval_ms = max(_CRASH_REPEAT_MS, self.interval_ms())
        if now_ms - self._crashes_sent_ms >= interval_ms and self._crash_evidence.has_own(now_ms):
            self._send_crash_evidence()

    def _handle_crash_evidence(self, sender: HostId, evidence: CrashEvidence) -> None:
        now_ms = self._clock.now_ms()
        if self._crash_evidence.merge(evidence, now_ms):
            self._transport.send(sender, self._crash_evidence.export(now_ms, only_own=True))

    def arrival_ms(self) -> int:
        """Return since when what is read now may have been there.

        Notes
        -----
        A process that was paused reads first what has arrived meanwhile, and would take the
        limits that old answers name, or do not name, for the latest ones.
        """
        now_ms = self._clock.now_ms()
        if self._last_tick_ms is None or now_ms - self._last_tick_ms <= _MAX_READ_DELAY_MS:
            return now_ms
        return self._last_tick_ms

    def limit_changed(self, instance: InstanceId) -> None:
        """Tell all peers soon that an answer concerns the limits of an instance."""
        if not self._changed_limits:
            self._later(_LIMIT_SEND_DELAY_MS, self._send_changed_limits)
        self._changed_limits.add(instance)

    def _send_changed_limits(self) -> None:
        changed, self._changed_limits = self._changed_limits, set()
        self._transport.broadcast(self._named_limits(changed))

    def _tell_limit(self, peer: HostId, upstream: UpstreamId) -> None:
        """Tell a dispatcher of a limit, as it has granted a slot without regard to it."""
        known = self._placement.upstreams.get(upstream)
        if known is not None:
            self._transport.send(peer, self._named_limits([known.instance]))

    def _report_permits(self) -> None:
        """Tell all peers how many permits this dispatcher has issued."""
        issued = dict(self._placement.permits.issued)
        changed = [each for each, count in issued.items() if count != self._reported(each)]
        self._reported_permits = issued
        if changed:
            self._transport.broadcast(self._named_limits(changed))

    def _reported(self, instance: InstanceId) -> int:
        return self._reported_permits.get(instance, 0)

    def _named_limits(self, instances: Iterable[InstanceId]) -> NamedLimits:
        now_ms = self._clock.now_ms()
        limits = []
        for instance in instances:
            limit_per_s, heard_ms = self._placement.limit(instance)
            cold_ms = self._placement.cold_starts.remaining_ms(instance, now_ms)
            if heard_ms is not None or cold_ms:
                issued = self._placement.permits.issued.get(instance, 0)
                limits.append(
                    NamedLimit(
                        *instance,
                        limit_per_s,
                        _NEVER_MS if heard_ms is None else heard_ms,
                        issued,
                        self._placement.max_refusals_per_s(instance),
                        self._placement.windows.refused.get(instance, 0),
                        cold_ms,
                    )
                )
        return NamedLimits(now_ms, tuple(limits))

    def _handle_limits(
        self, sender: HostId, incarnation: Incarnation, message: NamedLimits
    ) -> None:
        now_ms = self._clock.now_ms()
        self._clocks.observe(sender, incarnation, message.sent_ms, now_ms)
        newer_here = []
        for limit in message.limits:
            instance = InstanceId(limit.upstream, limit.started_wall_ms)
            heard_ms = self._clocks.local_ms(sender, limit.heard_ms, now_ms)
            if limit.heard_ms > _NEVER_MS and self._placement.record_peer_limit(
                instance, limit.limit_per_s, heard_ms, now_ms, limit.max_refusals_per_s
            ):
                _log.info(
                    "a peer has heard the limit of an upstream",
                    extra={
                        "peer": sender,
                        "upstream": limit.upstream,
                        "limit_per_s": limit.limit_per_s,
                        "max_refusals_per_s": limit.max_refusals_per_s,
                        "age_ms": now_ms - heard_ms,
                    },
                )
            elif (
                self._placement.limit(instance)[0] != limit.limit_per_s
                or self._placement.max_refusals_per_s(instance) != limit.max_refusals_per_s
            ):
                newer_here.append(instance)
            if self._placement.record_peer_cold(instance, limit.cold_ms, now_ms):
                _log.info(
                    "a peer knows that an upstream is cold",
                    extra={
                        "peer": sender,
                        "upstream": limit.upstream,
                        "remaining_ms": limit.cold_ms,
                    },
                )
            key = f"{instance.upstream}/{instance.started_wall_ms}"
            issued = self._counts["permits"].increments(sender, incarnation, {key: limit.issued})
            self._placement.permits.remove(instance, issued.get(key, 0))
            refused = self._counts["refusals"].increments(sender, incarnation, {key: limit.refused})
            self._placement.record_peer_refusals(instance, refused.get(key, 0), now_ms)
        if newer_here:
            self._transport.send(sender, self._named_limits(newer_here))

    def traffic(self) -> tuple[int, int]:
        """Return the bytes sent to peers and the messages dropped since the process started."""
        return self._transport.sent_bytes, self._transport.dropped

    def passes_states_on(self) -> bool:
        """Return whether this host sends the states of others to its failure domain."""
        return self._relaying and self._relay.is_active(self._clock.now_ms())

    def close(self) -> None:
        """Close all connections to peers."""
        self._transport.close()

    def _report_changed_load(self, group: SlotGroup) -> None:
        self._pending_load_reports.discard(group)
        self._report_load(group, self.slot_coordinator.dispatcher_of(group))

    def _report_unused_grant(self, dispatcher: HostId, grant: SlotGrant) -> None:
        """Tell a dispatcher that its grant is not used.

        Notes
        -----
        Otherwise it would count the slot as taken until the next state.
        """
        group = self._placement.group_of(grant.upstream)
        if group is not None:
            self._report_load(group, dispatcher)

    def _report_load(self, group: SlotGroup, dispatcher: HostId) -> None:
        loads = self._placement.own_loads(group)
        taken = self.slot_coordinator.last_grants.get(dispatcher, 0)
        self._transport.send(
            dispatcher,
            SlotLoads(group.service, group.number, group.count, loads, taken, self._sequence),
        )

    def _send_units(self, to: HostId, message: UnitsRequest | UnitsGrant | UnitsReturn) -> bool:
        return self._transport.send(to, message)

    def _send_slots(
        self, to: HostId, message: SlotRequest | SlotWithdrawal | SlotGrant | SlotRefusal
    ) -> None:
        self._transport.send(to, message)

    def _state(self) -> GatewayState:
        return GatewayState(
            self._address,
            self.draining,
            self.configuration.offset,
            self._placement.own_loads(),
            dict(self._quotas.admitted),
            dict(self._retries.requests),
            dict(self._retries.retries),
            self._crash_counts.local_counts(),
            dict(self.slot_coordinator.last_grants),
            self._placement.own_records(),
            self._placement.own_backoffs_ms(self._clock.now_ms()),
            self.upstreams_changed.offset,
            self._placement.own_leaving(self._clock.now_ms()),
            configuration_era=self.configuration.era,
            upstreams_era=self.upstreams_changed.era,
            departed=self.departed,
            in_force=self._in_force(),
            relay_address=self.relay_address,
            relayed=self.relayed(),
            unreachable=self._reachability.unreachable(),
            shares_limits=True,
            evacuated=self._placement.evacuations.export(),
            shares_reads=True,
            link_mbps=self._link_mbps,
            granted_work=self.slot_coordinator.shares.granted_work(
                self._clock.now_ms(), self.interval_ms()
            ),
        )

    def announce_evacuations(self) -> None:
        """Tell all peers of a change at once if this host is one of those that do."""
        order = rendezvous_order("evacuations", self.live_hosts())
        if self._host in order[:_EVACUATION_ANNOUNCERS]:
            self._send_state(self._clock.now_ms(), to_all=True)

    def _send_state(self, now_ms: int, *, to_all: bool = False) -> None:
        """Send this gateway's state to its relays, or to all peers if they do not pass it on."""
        state = self._state()
        if state == self._last_state and now_ms - self._last_sent_ms < _HEARTBEAT_MS:
            return
        self._last_state, self._last_sent_ms = state, now_ms
        self._sequence += 1
        numbered = structs.replace(
            state,
            failure_domain=self._failure_domain,
            sequence=self._sequence,
            sent_ms=now_ms,
        )
        own = RelayedState(self._host, self._incarnation, numbered)
        self._relay.collect(own, own_domain=True)
        if to_all or not self._is_relayed(now_ms):
            self._transport.broadcast(numbered)
        else:
            relays = [host for host in self._relay.own_relays() if host != self._host]
            self._transport.multicast(relays, numbered)

    def _is_eligible_dispatcher(self, now_ms: int) -> bool:
        """Return whether this host may dispatch a service that is a single group."""
        if now_ms - self._eligible_checked_ms >= _DISPATCHER_INTERVAL_MS:
            self._eligible_checked_ms = now_ms
            self._eligible = self.slot_coordinator.is_eligible_dispatcher()
        return self._eligible

    def _can_relay(self) -> bool:
        """Return whether the fleet is large enough for relays and every peer supports them."""
        return (
            bool(self._failure_domain)
            and len(self._peer_states) >= _MIN_RELAY_PEERS
            # A relay of an older build does not pass all fields on.
            and all(
                peer.failure_domain and peer.shares_limits for peer in self._peer_states.values()
            )
        )

    def _is_relayed(self, now_ms: int) -> bool:
        """Return whether the states of this host reach the fleet through relays.

        A relay returns each state to its sender with the others, so a state that is lost on the way
        to it is noticed as well as a relay that is down.
        """
        if not self._relaying:
            return False
        if self._relay.is_active(now_ms):
            return True
        max_age_ms = self.interval_ms() + RELAY_SILENT_MS
        return self._echoed_ms is not None and now_ms - self._echoed_ms <= max_age_ms

    def _relay_states(self, now_ms: int) -> None:
        """Choose the relays, and pass on the states that have arrived if this host is one."""
        self._relaying = self._can_relay()
        # Relayed states are up to seconds old.
        self._placement.has_old_reports = self._relaying
        if not self._relaying:
            self._relay.set_hosts({})
            return
        hosts = {
            host: self._peer_states[host].failure_domain if host != self._host else _NO_DOMAIN
            for host in self.live_hosts()
        }
        links_mbps = {
            host: self._peer_states[host].link_mbps for host in hosts if host != self._host
        }
        if self._host in hosts:
            hosts[self._host] = self._failure_domain
            links_mbps[self._host] = self._link_mbps
        self._relay.set_hosts(hosts, links_mbps)
        if not self._relay.is_active(now_ms):
            return
        bundles = self._relay.take_bundles()
        if bundles.member_states:
            self._transport.multicast(bundles.members, StateBundle(tuple(bundles.member_states)))
        if bundles.relay_states:
            self._transport.multicast(bundles.relays, StateBundle(tuple(bundles.relay_states)))

    def _handle_bundle(self, sender: HostId, bundle: StateBundle) -> None:
        now_ms = self._clock.now_ms()
        peer = self._peer_states.get(sender)
        own_domain = peer is not None and peer.failure_domain == self._failure_domain
        if own_domain:
            self._relay.bundle_heard(sender, bundle.states, now_ms)
        for relayed in bundle.states:
            if relayed.host == self._host:
                if relayed.incarnation == self._incarnation:
                    self._echoed_ms = now_ms
            # A relay of the own failure domain passes its states on to all members itself.
            elif (
                self._handle_state(relayed.host, relayed.incarnation, relayed.state)
                and not own_domain
            ):
                self._relay.collect(relayed, own_domain=False)

    def _check_peers(self, now_ms: int) -> None:
        self._crash_counts.expire(now_ms)
        self._crash_evidence.expire(now_ms)
        silent_ms = self._max_state_age_ms(PEER_SILENT_MS)
        # In a large fleet, a peer is silent only after a longer time.
        expiry_ms = max(PEER_EXPIRY_MS, silent_ms + PEER_SILENT_MS)
        for host, peer in list(self._peer_states.items()):
            age_ms = now_ms - peer.last_heard_ms
            if not peer.unreachable and age_ms > silent_ms:
                peer.unreachable = True
                self._placement.forget_peer(host)
                self.slot_coordinator.forget(host)
                self._reachability.set_peer(host, None)
                _log.warning(
                    "peer timed out",
                    extra={"peer": host, "age_ms": age_ms, "leaving": peer.leaving},
                )
            if age_ms > expiry_ms or (peer.unreachable and peer.leaving):
                self._remove_peer(host)
        self.slot_coordinator.shares.expire(now_ms)
        self._update_fleet_share()

    def _update_fleet_share(self) -> None:
        heard = self.active_peer_count()
        peer_count = sum(not peer.leaving for peer in self._peer_states.values())
        report_delay_ms = (
            self.interval_ms() + _MAX_STATE_DELAY_MS + _MAX_RELAY_DELAY_MS * self._relaying
        )
        self._retries.set_fleet_state(1 + peer_count, heard == peer_count, report_delay_ms)
        reachable_fraction = (1 + heard) / (1 + peer_count)
        self._placement.permits.set_reachable_fraction(reachable_fraction, self._clock.now_ms())
        self._placement.windows.set_reachable_fraction(reachable_fraction)

    def _update_limit_holders(self) -> None:
        """Divide the limits among the gateways that may hold shares, silent ones included."""
        hosts = [
            host
            for host, peer in self._peer_states.items()
            if peer.shares_limits and not peer.leaving
        ]
        if not self.draining or not hosts:
            hosts.append(self._host)
        self.limit_coordinator.set_members(hosts)

    def _remove_peer(self, host: HostId) -> None:
        self._expired_peers[host] = str(self._peer_states.pop(host).address)
        self._load_sequences.pop(host, None)
        self._clocks.forget(host)
        self._unchecked_confirmations.pop(host, None)
        self._reachability.set_peer(host, None)
        self._placement.forget_peer(host)
        self._crash_counts.set_peer_counts(host, {})
        self.slot_coordinator.forget(host)
        self.slot_coordinator.shares.forget_peer(host)
        self._update_peers()

    def _update_peers(self) -> None:
        self._transport.set_peers({host: peer.address for host, peer in self._peer_states.items()})
        self._update_fleet_share()

    def _observe_process(self, host: HostId, incarnation: Incarnation) -> None:
        """Forget what an earlier process on a host has asked for and was granted."""
        known = self._processes.get(host)
        if known is not None and incarnation <= known:
            return
        self._processes[host] = incarnation
        if known is not None:
            _log.info("peer was replaced", extra={"peer": host, "incarnation": incarnation})
            self._placement.forget_peer(host)
            self.slot_coordinator.forget(host)

    def _on_message(self, sender: HostId, incarnation: Incarnation, message: Message) -> None:
        self._observe_process(sender, incarnation)
        match message:
            case GatewayState():
                if self._handle_state(sender, incarnation, message):
                    own_domain = message.failure_domain == self._failure_domain
                    if own_domain and message.sequence:
                        relayed = RelayedState(sender, incarnation, message)
                        self._relay.collect(relayed, own_domain=True)
            case StateBundle():
                self._handle_bundle(sender, message)
            case ConfigurationQuery():
                in_force = self._in_force()
                if in_force is not None:
                    copy = ConfigurationCopy(*in_force, self._configuration_data)
                    self._transport.send(sender, copy)
            case ConfigurationCopy():
                self.on_configuration(message)
            case ConfigurationConfirmed():
                self._handle_confirmation(sender, incarnation, message)
            case TopicRead():
                self.shared_reads.handle(sender, incarnation, message)
            case ClockQuestion(sent_ms=asked_ms):
                self._transport.send(sender, ClockAnswer(asked_ms, self._clock.now_ms()))
            case ClockAnswer():
                self._handle_clock_answer(sender, incarnation, message)
            case SlotRequest():
                self.slot_coordinator.handle_slot_request(sender, incarnation, message)
            case SlotWithdrawal():
                self.slot_coordinator.handle_slot_withdrawal(sender, incarnation, message)
            case SlotGrant():
                if not self.slot_coordinator.handle_slot_grant(sender, message):
                    self._report_unused_grant(sender, message)
            case SlotRefusal():
                self.slot_coordinator.handle_slot_refusal(sender, message)
            case SlotLoads():
                self._handle_loads(sender, message)
            case Gossip(facts=facts):
                self.on_facts(facts)
            case CrashEvidence():
                self._handle_crash_evidence(sender, message)
            case NamedLimits():
                self._handle_limits(sender, incarnation, message)
            case UnitsRequest():
                self.limit_coordinator.handle_request(sender, message)
            case UnitsGrant():
                self.limit_coordinator.handle_grant(sender, message)
            case UnitsReturn():
                self.limit_coordinator.handle_return(message)
            case _:
                _log.warning("unexpected message type from a peer", extra={"peer": sender})

    def _handle_loads(self, sender: HostId, message: SlotLoads) -> None:
        if sender not in self._peer_states:
            # Only the removal of a known peer clears its loads, so those of a removed peer would
            # be counted indefinitely. A new peer is added by its first state report.
            _log.info("ignored a load report of an unknown peer", extra={"peer": sender})
            return
        group = SlotGroup(message.service, message.group, message.groups)
        taken = self.slot_coordinator.own_grant(message.taken)
        self._placement.set_peer_load(sender, message.loads, taken, group)
        if message.sequence:
            self._load_sequences.setdefault(sender, {})[group] = message.sequence
        self.slot_coordinator.grant_free_slots()

    def _handle_state(self, sender: HostId, incarnation: Incarnation, state: GatewayState) -> bool:
        """Apply a state; return False if it is invalid or not newer than an earlier one."""
        if sender == self._host:
            return False
        if state.leaving and sender not in self._peer_states:
            return False
        if state.sequence and not self._relay.accept(sender, incarnation, state.sequence):
            return False
        self._observe_process(sender, incarnation)
        known_peer = self._peer_states.get(sender)
        if known_peer is None or str(known_peer.address) != state.address:
            try:
                self.add_peer(sender, parse_address(state.address))
            except SettingsError as error:
                _log.warning(
                    "state report of a peer has an invalid address",
                    extra={"peer": sender, "error": str(error)},
                )
                return False
        peer = self._peer_states[sender]
        if peer.unreachable:
            _log.info("peer is responding", extra={"peer": sender})
        if state.leaving and not peer.leaving:
            _log.info("peer is leaving", extra={"peer": sender})
            self.slot_coordinator.forget(sender)
        peer.unreachable = False
        peer.leaving = state.leaving
        peer.failure_domain = state.failure_domain
        peer.link_mbps = state.link_mbps
        if peer.incarnation != incarnation:
            if self._crash_evidence.has_crashes():
                # It has started, and knows nothing of the crashes before.
                self._transport.send(sender, self._crash_evidence.export(self._clock.now_ms()))
            limited = self._placement.guarded_instances()
            if limited:
                self._transport.send(sender, self._named_limits(limited))
            peer.incarnation = incarnation
            peer.shares_limits = state.shares_limits
            peer.shares_reads = state.shares_reads
            self._load_sequences.pop(sender, None)
        # A state that a relay of an older build passes on lacks the fields.
        peer.shares_limits |= state.shares_limits
        peer.shares_reads |= state.shares_reads
        self._update_relay(sender, state)
        peer.last_heard_ms = self._clock.now_ms()
        if state.sent_ms:
            self._clocks.observe(sender, incarnation, state.sent_ms, peer.last_heard_ms)
        # A state that came through relays may be older than the load reports of its sender.
        newer = [
            group
            for group, sequence in self._load_sequences.get(sender, {}).items()
            if sequence >= state.sequence > 0
        ]
        taken = self.slot_coordinator.own_grant(state.taken.get(self._host, 0))
        self._placement.set_peer_load(sender, state.loads, taken, keep=newer)
        changes = self._placement.evacuations.merge(state.evacuated, peer.last_heard_ms)
        if changes:
            self.on_evacuations(changes, sender)
        new_leaving = self._placement.mark_leaving(state.leaving_upstreams, peer.last_heard_ms)
        for instance in new_leaving:
            _log.info(
                "a peer knows that an upstream is leaving",
                extra={
                    "peer": sender,
                    "upstream": instance.upstream,
                    "started_wall_ms": instance.started_wall_ms,
                },
            )
        if state.in_force is not None:
            self._compare_configuration(sender, state.in_force)
        if state.departed:
            self.on_departed(state.departed)
        self._placement.update_peer_health(
            sender, state.records, state.resting_ms, peer.last_heard_ms
        )
        self._crash_counts.set_peer_counts(sender, state.crashes)
        self._add_peer_counts(sender, incarnation, state)
        if LogPosition(state.configuration_era, state.configuration) > self.configuration:
            self._on_newer()
        if LogPosition(state.upstreams_era, state.upstreams) > self.upstreams_read:
            self._on_newer_upstreams()
        self.slot_coordinator.grant_free_slots()
        return True

    def _update_relay(self, sender: HostId, state: GatewayState) -> None:
        """Note whether a peer accepts connections to be passed on, and what it reaches."""
        if state.leaving or not state.relay_address:
            self._reachability.set_peer(sender, None)
            return
        try:
            address = parse_address(state.relay_address)
        except SettingsError as error:
            _log.warning(
                "state report of a peer has an invalid relay address",
                extra={"peer": sender, "error": str(error)},
            )
            return
        unreachable = frozenset(state.unreachable)
        self._reachability.set_peer(
            sender, RelayPeer(address, state.failure_domain, unreachable, state.relayed)
        )

    def _add_peer_counts(
        self, sender: HostId, incarnation: Incarnation, state: GatewayState
    ) -> None:
        now_ms = self._clock.now_ms()
        self.slot_coordinator.shares.add_peer_counts(
            sender, incarnation, state.granted_work, now_ms
        )
        admitted = self._counts["admitted"].increments(sender, incarnation, state.admitted)
        if not self._peer_states[sender].shares_limits:
            for customer, units in admitted.items():
                self._quotas.deduct_peer_units(customer, units, now_ms)
        requests = self._counts["requests"].increments(sender, incarnation, state.requests)
        repeats = self._counts["repeats"].increments(sender, incarnation, state.repeats)
        for service in requests.keys() | repeats.keys():
            self._retries.add_peer_counts(
                ServiceName(service), requests.get(service, 0), repeats.get(service, 0), now_ms
            )
