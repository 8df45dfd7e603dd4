"""What the gateways tell each other, and what each knows of the others."""

from collections.abc import Callable
from dataclasses import dataclass

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import SettingsError
from skylarkmoor_core.ids import HostId, Incarnation, ServiceName, UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import (
    GatewayState,
    Message,
    SlotGrant,
    SlotLoads,
    SlotRequest,
    SlotWithdrawal,
)
from skylarkmoor_core.settings import Address, parse_address
from skylarkmoor_gateway.dispatching import Dispatching
from skylarkmoor_policy.crashcounts import CrashCounts
from skylarkmoor_policy.fleetcounts import (
    GONE_MS,
    SILENT_MS,
    FleetQuotas,
    FleetRetries,
    PeerCounts,
)
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_process.peers import Peers

__all__ = ["Fleet"]

# Loads older than this send several requests into the same free slot.
_MIN_INTERVAL_MS = 100
# Each daemon sends to each other one, so the interval grows with their number.
_INTERVAL_PER_PEER_MS = 12
# An unchanged state is repeated this often to show that its sender lives.
_HEARTBEAT_MS = 200
# A dispatcher that is silent for this long is replaced; its own reports come more often.
_FRESH_MS = 500
# A daemon that may dispatch sends its state at least this often, so that a large fleet replaces a
# dead dispatcher within about a second. States that come further apart would take longer.
_DISPATCHER_INTERVAL_MS = 300
# In a large fleet states come further apart; a peer is not silent before this many are missing.
_MISSED_STATES = 4
# Several changes of the load within this time go to the dispatcher together.
_TELL_DISPATCHER_MS = 8

_log = part_logger("fleet")


@dataclass(slots=True)
class _Peer:
    address: Address
    heard_ms: int = 0
    silent: bool = True
    # Takes no more requests, but those it has go on.
    leaving: bool = False


class Fleet:
    """The other gateways.

    Parameters
    ----------
    host : HostId
        This daemon.
    incarnation : Incarnation
        Start time of this process.
    clock : Clock
        Source of times.
    placement, quotas, retries, crash_counts
        What the peers' states go into and this daemon's state is made of.
    on_newer, on_newer_upstreams : callable
        Called when a peer has read a newer configuration, or a newer change of the upstreams,
        than this daemon.
    later : callable
        Calls a function after some milliseconds.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        clock: Clock,
        placement: Placement,
        quotas: FleetQuotas,
        retries: FleetRetries,
        crash_counts: CrashCounts,
        on_newer: Callable[[], None],
        on_newer_upstreams: Callable[[], None],
        later: Callable[[int, Callable[[], None]], None],
    ) -> None:
        self.configuration = -1
        # Offset of the last record that changed the upstreams, and of the last that was read.
        self.upstreams_changed = -1
        self.upstreams_read = -1
        self.leaving = False
        self._host = host
        self._clock = clock
        self._placement = placement
        self._quotas = quotas
        self._retries = retries
        self._crash_counts = crash_counts
        self._on_newer = on_newer
        self._on_newer_upstreams = on_newer_upstreams
        self._later = later
        self.dispatching = Dispatching(
            host,
            clock,
            placement,
            self._send_slots,
            self.fresh_hosts,
            self._is_prompt,
            lambda call: later(0, call),
        )
        self._telling: set[SlotGroup] = set()
        self._counts = {kind: PeerCounts() for kind in ("admitted", "requests", "repeats")}
        self._peers = Peers(host, incarnation, self._on_message)
        self._known: dict[HostId, _Peer] = {}
        self._address = ""
        self._sent: GatewayState | None = None
        self._sent_ms = 0
        self._checked_ms = 0

    def listen(self, address: Address) -> Address:
        """Bind the socket for messages and return its address."""
        bound = self._peers.listen(address)
        self._address = str(bound)
        return bound

    def add(self, host: HostId, address: Address) -> None:
        """Add a peer or take its new address."""
        known = self._known.get(host)
        if host == self._host or (known is not None and str(known.address) == str(address)):
            return
        self._known[host] = _Peer(address, heard_ms=self._clock.now_ms())
        self._connect()

    def heard(self) -> int:
        """Return how many peers were heard lately."""
        return sum(not peer.silent and not peer.leaving for peer in self._known.values())

    def oldest_ms(self) -> int:
        """Return the age of the oldest state of a peer that is heard."""
        now_ms = self._clock.now_ms()
        ages = [now_ms - peer.heard_ms for peer in self._known.values() if not peer.silent]
        return max(ages, default=0)

    def fresh_hosts(self) -> list[HostId]:
        """Return the daemons heard just now, this one among them unless it is leaving."""
        now_ms = self._clock.now_ms()
        fresh_ms = max(_FRESH_MS, _MISSED_STATES * self._interval_ms())
        hosts = [
            host
            for host, peer in self._known.items()
            if not peer.silent and not peer.leaving and now_ms - peer.heard_ms <= fresh_ms
        ]
        if not self.leaving or not hosts:
            hosts.append(self._host)
        return sorted(hosts)

    def load_changed(self, upstream: UpstreamId) -> None:
        """Tell the upstream's dispatcher soon that this daemon's load has changed."""
        group = self._placement.group_of(upstream)
        if group is None:
            return
        if self.dispatching.owner(group) == self._host:
            self.dispatching.offer()
        elif group not in self._telling:
            self._telling.add(group)
            self._later(_TELL_DISPATCHER_MS, lambda: self._tell_dispatcher(group))

    def tick(self) -> None:
        """Send this daemon's state if it is due, and look for peers that are gone."""
        now_ms = self._clock.now_ms()
        interval_ms = self._interval_ms()
        since_ms = now_ms - self._sent_ms
        if since_ms >= interval_ms or (
            since_ms >= _DISPATCHER_INTERVAL_MS and self.dispatching.may_dispatch()
        ):
            self._tell(now_ms)
        if now_ms - self._checked_ms >= SILENT_MS // 4:
            self._checked_ms = now_ms
            self._check(now_ms)

    def _interval_ms(self) -> int:
        return max(_MIN_INTERVAL_MS, _INTERVAL_PER_PEER_MS * len(self._known))

    def _is_prompt(self, host: HostId) -> bool:
        """Return whether a daemon that may dispatch is heard as often as it sends."""
        peer = self._known.get(host)
        if peer is None:
            return host == self._host
        interval_ms = min(_DISPATCHER_INTERVAL_MS, self._interval_ms())
        bound_ms = max(_FRESH_MS, _MISSED_STATES * interval_ms)
        return self._clock.now_ms() - peer.heard_ms <= bound_ms

    def announce_leaving(self) -> None:
        """Tell the peers that this daemon takes no more requests."""
        self.leaving = True
        self._tell(self._clock.now_ms())

    def close(self) -> None:
        """Close all sockets."""
        self._peers.close()

    def _tell_dispatcher(self, group: SlotGroup) -> None:
        self._telling.discard(group)
        owner = self.dispatching.owner(group)
        loads = self._placement.own_loads(group)
        taken = self.dispatching.taken.get(owner, 0)
        self._peers.send(owner, SlotLoads(group.service, group.number, group.count, loads, taken))

    def _send_slots(self, to: HostId, message: SlotRequest | SlotWithdrawal | SlotGrant) -> None:
        self._peers.send(to, message)

    def _state(self) -> GatewayState:
        return GatewayState(
            self._address,
            self.leaving,
            self.configuration,
            self._placement.own_loads(),
            dict(self._quotas.admitted),
            dict(self._retries.requests),
            dict(self._retries.repeats),
            self._crash_counts.own(),
            dict(self.dispatching.taken),
            self._placement.own_records(),
            self._placement.own_rests_ms(self._clock.now_ms()),
            self.upstreams_changed,
            self._placement.own_leaving(),
        )

    def _tell(self, now_ms: int) -> None:
        state = self._state()
        if state == self._sent and now_ms - self._sent_ms < _HEARTBEAT_MS:
            return
        self._sent, self._sent_ms = state, now_ms
        self._peers.broadcast(state)

    def _check(self, now_ms: int) -> None:
        self._crash_counts.expire(now_ms)
        silent_ms = max(SILENT_MS, _MISSED_STATES * self._interval_ms())
        for host, peer in list(self._known.items()):
            age_ms = now_ms - peer.heard_ms
            if not peer.silent and age_ms > silent_ms:
                peer.silent = True
                self._placement.forget_peer(host)
                self.dispatching.forget(host)
                _log.warning(
                    "lost a peer",
                    extra={"peer": host, "age_ms": age_ms, "leaving": peer.leaving},
                )
            if age_ms > GONE_MS or (peer.silent and peer.leaving):
                self._drop(host)
        self._share()

    def _share(self) -> None:
        heard = self.heard()
        others = sum(not peer.leaving for peer in self._known.values())
        self._quotas.set_heard_part((1 + heard) / (1 + others))
        self._retries.set_fleet(1 + others, heard == others)

    def _drop(self, host: HostId) -> None:
        del self._known[host]
        self._placement.forget_peer(host)
        self._crash_counts.set_peer(host, {})
        self.dispatching.forget(host)
        self._connect()

    def _connect(self) -> None:
        self._peers.set_peers({host: peer.address for host, peer in self._known.items()})
        self._share()

    def _on_message(self, sender: HostId, incarnation: Incarnation, message: Message) -> None:
        match message:
            case GatewayState():
                self._take(sender, incarnation, message)
            case SlotRequest():
                self.dispatching.requested(sender, message)
            case SlotWithdrawal():
                self.dispatching.withdrawn(sender, message)
            case SlotGrant():
                self.dispatching.granted(sender, message)
            case SlotLoads():
                self._take_loads(sender, message)
            case _:
                _log.warning("unexpected message", extra={"peer": sender})

    def _take_loads(self, sender: HostId, message: SlotLoads) -> None:
        if sender not in self._known:
            # Loads of a daemon that was dropped would stay counted, because only the loss of a
            # known peer takes them off. A new daemon's state comes within its interval.
            _log.info("passed over the loads of an unknown daemon", extra={"peer": sender})
            return
        group = SlotGroup(message.service, message.group, message.groups)
        self._placement.peer_load(sender, message.loads, message.taken, group)
        self.dispatching.offer()

    def _take(self, sender: HostId, incarnation: Incarnation, state: GatewayState) -> None:
        if sender == self._host:
            return
        if state.leaving and sender not in self._known:
            return
        try:
            self.add(sender, parse_address(state.address))
        except SettingsError as error:
            _log.warning("a peer names no address", extra={"peer": sender, "error": str(error)})
            return
        peer = self._known[sender]
        if peer.silent:
            _log.info("heard a peer", extra={"peer": sender})
        if state.leaving and not peer.leaving:
            _log.info("a peer is leaving", extra={"peer": sender})
            self.dispatching.forget(sender)
        peer.silent = False
        peer.leaving = state.leaving
        peer.heard_ms = self._clock.now_ms()
        self._placement.peer_load(sender, state.loads, state.taken.get(self._host, 0))
        self._placement.peer_leaving(state.leaving_upstreams)
        self._placement.peer_health(sender, state.records, state.resting_ms, peer.heard_ms)
        self._crash_counts.set_peer(sender, state.crashes)
        self._count(sender, incarnation, state)
        if state.configuration > self.configuration:
            self._on_newer()
        if state.upstreams > self.upstreams_read:
            self._on_newer_upstreams()
        self.dispatching.offer()

    def _count(self, sender: HostId, incarnation: Incarnation, state: GatewayState) -> None:
        now_ms = self._clock.now_ms()
        admitted = self._counts["admitted"].growth(sender, incarnation, state.admitted)
        for customer, units in admitted.items():
            self._quotas.peer_admitted(customer, units)
        requests = self._counts["requests"].growth(sender, incarnation, state.requests)
        repeats = self._counts["repeats"].growth(sender, incarnation, state.repeats)
        for service in requests.keys() | repeats.keys():
            self._retries.peer_counted(
                ServiceName(service), requests.get(service, 0), repeats.get(service, 0), now_ms
            )
