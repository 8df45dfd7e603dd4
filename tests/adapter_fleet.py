"""Several gateways in one process, whose network, callers and upstreams a seed decides."""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from twisted.internet.error import ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from adapter_harness import (
    Harness,
    PendingConnection,
    RecordingTransport,
    Upstream,
    answer,
    chunk,
    request,
    stream_head,
)
from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.ids import HostId
from skylarkmoor_core.messages import Envelope, Message, decode_envelope, encode_envelope
from skylarkmoor_core.settings import Address

STEP_MS = 25
_MAINTENANCE_MS = 500
RELAY_IP = "127.0.0.2"
# The number of the host is added.
RELAY_PORT = 7_600
# When the kernel gives up a connection on which nothing is acknowledged.
_DEAD_CONNECTION_MS = 4_000
EVENT = b"id: 1\ndata: a\n\n"


class CutKind(Enum):
    """What happens to connections of a host that loses its path to an upstream."""

    # Nothing passes, in neither direction; new connections time out.
    SILENT = "silent"
    # Open connections are reset, new ones refused.
    RESET = "reset"
    # Requests arrive, but no answer comes back; new connections time out.
    ONE_WAY = "one way"
    # Open connections work on, new ones are refused.
    KEPT = "kept"


class FleetTransport:
    """Stands in for the sockets of a gateway, and passes its messages to the network."""

    sent_bytes = dropped = 0

    def __init__(self, host: HostId, network: "FleetNetwork") -> None:
        self.host = host
        self.network = network
        self.peers: set[HostId] = set()

    def set_peers(self, addresses: Mapping[HostId, Address]) -> None:
        """Replace the known peers."""
        self.peers = set(addresses)

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer."""
        if to in self.peers:
            self.network.send(self.host, to, message)

    def broadcast(self, message: Message) -> None:
        """Send a message to all peers."""
        self.multicast(sorted(self.peers), message)

    def multicast(self, hosts: Iterable[HostId], message: Message) -> None:
        """Send a message to some of the peers."""
        for host in hosts:
            self.send(host, message)

    def close(self) -> None:
        """Do nothing."""


@dataclass(repr=False)
class ModelUpstream:
    """An upstream that names its limits in each answer, and records arrivals and refusals.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    room : int or None
        Requests that may wait beside them; those beyond are refused. None for no bound.
    brittle_per_s : float or None
        Refusals a second that it bears, which it names; None if it names none.
    """

    name: str
    service: str
    port: int
    limit_per_s: float | None = None
    run_ms: int = 100
    slots: int = 8
    room: int | None = None
    brittle_per_s: float | None = None
    # Whether streams have no length and go on after their first event.
    has_open_streams: bool = False
    # End and connection of the requests in progress, and when requests were refused.
    running: list[tuple[int, Upstream]] = field(default_factory=list)
    refused_ms: list[int] = field(default_factory=list)
    # Time and gateway of each request.
    arrivals: list[tuple[int, HostId]] = field(default_factory=list)
    # Time of each change of the limit, and the new one.
    limits: list[tuple[int, float | None]] = field(default_factory=list)
    # Id of each request that arrived.
    names: list[str] = field(default_factory=list)

    def begin(self, now_ms: int, connection: Upstream) -> int | None:
        """Return when a request that arrives now ends, None if there is no room for it.

        A request whose connection was closed is dropped; the others do not end earlier for it.
        """
        self.running = [
            each
            for each in self.running
            if each[0] > now_ms and not each[1].transport.disconnecting
        ]
        ends_ms = sorted(each for each, _ in self.running)
        waiting = len(ends_ms) - self.slots
        if self.room is not None and waiting >= self.room:
            self.refused_ms.append(now_ms)
            return None
        starts_ms = now_ms if self.room is None or waiting < 0 else ends_ms[waiting]
        self.running.append((starts_ms + self.run_ms, connection))
        return starts_ms + self.run_ms

    def set_limit(self, now_ms: int, limit_per_s: float | None) -> None:
        """Name another limit from now on."""
        self.limit_per_s = limit_per_s
        self.limits.append((now_ms, limit_per_s))


@dataclass(repr=False)
class FleetMember:
    """A gateway of the fleet with its connections to upstreams."""

    host: HostId
    harness: Harness
    incarnation: int
    # Connections to peers that pass them on, with the ends of these peers.
    tunnels: list[tuple[Upstream, HostId, Any]] = field(default_factory=list)
    connections: list[tuple[ModelUpstream, Upstream]] = field(default_factory=list)
    answers: list[tuple[int, ModelUpstream, Upstream, bytes]] = field(default_factory=list)
    # Connections that wait to be accepted, with the time at which they were begun.
    pending: list[tuple[int, PendingConnection]] = field(default_factory=list)
    paused: bool = False
    # Time by which the timers of a paused gateway are late.
    late_ms: int = 0
    held_messages: list[Envelope] = field(default_factory=list)


class FleetNetwork:
    """A fleet of gateways before model upstreams, advanced in steps of their tick.

    Parameters
    ----------
    make_harness : callable
        Makes a gateway for a host and a clock.
    rng : random.Random
        Decides delays, callers and requests.
    """

    def __init__(
        self,
        make_harness: Callable[..., Harness],
        rng: random.Random,
        upstreams: list[ModelUpstream],
    ) -> None:
        self.clock = ManualClock(now_ms=1_000)
        self.upstreams = upstreams
        self.members: dict[HostId, FleetMember] = {}
        # Hosts whose messages to and from peers are lost.
        self.cut: set[HostId] = set()
        # Kind and beginning of each lost path from a host to an upstream.
        self.lost_paths: dict[tuple[HostId, str], tuple[CutKind, int]] = {}
        self._make_harness = make_harness
        self._rng = rng
        self._messages: list[tuple[int, HostId, bytes]] = []
        self._requests = 0

    def start(self, host: HostId) -> None:
        """Start a gateway, or start it again."""
        harness = self._make_harness(host, self.clock)
        harness.gateway.fleet.close()
        now_ms = self.clock.now_ms()
        member = FleetMember(host, harness, now_ms)
        fleet = harness.gateway.fleet
        fleet._transport = FleetTransport(host, self)
        fleet._address = f"127.0.0.1:{7600 + int(host.rpartition('-')[2])}"
        fleet._incarnation = now_ms
        fleet.relay_address = f"{RELAY_IP}:{RELAY_PORT + int(host.rpartition('-')[2])}"
        for peer in self.members.values():
            if peer.host != host:
                fleet.add_peer(peer.host, Address("127.0.0.1", 7600))
                peer.harness.gateway.fleet.add_peer(host, Address("127.0.0.1", 7600))
        for upstream in self.upstreams:
            harness.add_upstream(
                upstream.name, upstream.service, upstream.port, slots=upstream.slots
            )
        self.members[host] = member

    def lose_path(self, host: HostId, upstream: ModelUpstream, kind: CutKind) -> None:
        """Let a host lose its path to an upstream."""
        self.lost_paths[host, upstream.name] = (kind, self.clock.now_ms())
        if kind is CutKind.RESET:
            self._reset_connections(self.members[host], upstream)

    def regain_path(self, host: HostId, upstream: ModelUpstream) -> None:
        """Let a host regain its path to an upstream."""
        self.lost_paths.pop((host, upstream.name), None)

    def _reset_connections(self, member: FleetMember, upstream: ModelUpstream) -> None:
        lost = [each for each in member.connections if each[0] is upstream]
        member.connections = [each for each in member.connections if each[0] is not upstream]
        member.answers = [each for each in member.answers if each[1] is not upstream]
        for _, connection in lost:
            connection.close(reset=True)

    def _lost_kind(self, host: HostId, upstream: ModelUpstream) -> CutKind | None:
        lost = self.lost_paths.get((host, upstream.name))
        return None if lost is None else lost[0]

    def kill(self, host: HostId) -> None:
        """End a gateway at once."""
        del self.members[host]

    def resume(self, host: HostId) -> None:
        """Let a paused gateway go on with what has arrived meanwhile."""
        member = self.members[host]
        member.paused = False
        member.harness.reactor.advance(member.late_ms / 1_000)
        member.late_ms = 0
        held, member.held_messages = member.held_messages, []
        for envelope in held:
            self._deliver(member, envelope)

    def send(self, sender: HostId, to: HostId, message: Message) -> None:
        """Pass a message on after a delay."""
        if not {sender, to} & self.cut and sender in self.members:
            envelope = Envelope(sender, self.members[sender].incarnation, message)
            delay_ms = self._rng.choice((1, 2, 5, 30))
            self._messages.append((self.clock.now_ms() + delay_ms, to, encode_envelope(envelope)))

    def ask(self, path: str, host: HostId | None = None) -> Any:
        """Send a request to a gateway that answers, drawn at random unless it is given."""
        answering = [each.host for each in self.members.values() if not each.paused]
        if not answering:
            return None
        self._requests += 1
        name = f"n{self._requests}"
        caller = self.members[host or self._rng.choice(sorted(answering))].harness.caller()
        headers = {"Skylarkmoor_Request_Id": name, "Skylarkmoor_Deadline_Ms": "12000"}
        caller.asked_path = path
        caller.send(request(path, "POST", name.encode(), **headers))
        return caller

    def advance(self) -> None:
        """Advance the clock by a step, and all gateways that are not paused."""
        self.clock.advance(STEP_MS)
        now_ms = self.clock.now_ms()
        due = [each for each in self._messages if each[0] <= now_ms]
        self._messages = [each for each in self._messages if each[0] > now_ms]
        for _, to, data in sorted(due, key=lambda each: each[0]):
            member = self.members.get(to)
            if member is None:
                continue
            envelope = decode_envelope(data)
            if member.paused:
                member.held_messages.append(envelope)
            else:
                self._deliver(member, envelope)
        for member in list(self.members.values()):
            if member.paused:
                member.late_ms += STEP_MS
            else:
                self._advance_member(member, now_ms)

    def _deliver(self, member: FleetMember, envelope: Envelope) -> None:
        member.harness.gateway.fleet._on_message(
            envelope.sender, envelope.incarnation, envelope.message
        )

    def _advance_member(self, member: FleetMember, now_ms: int) -> None:
        harness = member.harness
        harness.reactor.advance(STEP_MS / 1_000)
        self._serve(member, now_ms)
        due = [
            each for each in member.answers if each[0] <= now_ms and self._passes(member, each[1])
        ]
        member.answers = [each for each in member.answers if each not in due]
        for _, _, connection, data in due:
            connection.send(data)
        harness.gateway._tick()
        if now_ms % _MAINTENANCE_MS < STEP_MS:
            harness.gateway._maintain()
        self._serve(member, now_ms)

    def _serve(self, member: FleetMember, now_ms: int) -> None:
        """Have the upstreams read what the gateway has sent, and prepare their answers."""
        harness = member.harness
        while harness.pending_connections():
            member.pending.append((now_ms, harness.take_connection()))
        self._pass_on(member)
        self._drop_dead_connections(member, now_ms)
        pending, member.pending = member.pending, []
        for begun_ms, connection in pending:
            self._connect(member, begun_ms, connection, now_ms)
        for upstream, connection in list(member.connections):
            if self._lost_kind(member.host, upstream) is CutKind.SILENT:
                continue
            data = connection.received()
            if not data:
                continue
            upstream.arrivals.append((now_ms, member.host))
            name = data.partition(b"Skylarkmoor-Request-Id: ")[2].partition(b"\r\n")[0]
            headers = {"Skylarkmoor_Request_Id": name.decode()}
            upstream.names.append(name.decode())
            if upstream.limit_per_s is not None:
                headers["Server_Limit"] = str(upstream.limit_per_s)
            if upstream.brittle_per_s is not None:
                headers["Server_Brittle"] = str(upstream.brittle_per_s)
            ends_ms = upstream.begin(now_ms, connection)
            if ends_ms is None:
                headers["Skylarkmoor_Not_Executed"] = "1"
                response = answer(b"full", "503 Full", **headers)
                member.answers.append((now_ms, upstream, connection, response))
                continue
            is_stream = b" /answer/" in data.partition(b"\r\n")[0]
            if is_stream and upstream.has_open_streams:
                response = answer(b"", Content_Length="", **headers) + EVENT
                member.answers.append((now_ms, upstream, connection, response))
                continue
            body = stream_head(**headers) + chunk(EVENT) + chunk(b"")
            response = body if is_stream else answer(**headers)
            member.answers.append((ends_ms, upstream, connection, response))

    def _passes(self, member: FleetMember, upstream: ModelUpstream) -> bool:
        """Return whether answers of an upstream reach a gateway."""
        return self._lost_kind(member.host, upstream) in (None, CutKind.KEPT)

    def _connect(
        self, member: FleetMember, begun_ms: int, connection: PendingConnection, now_ms: int
    ) -> None:
        """Accept a connection, let it fail, or leave it pending."""
        if connection.address[0] == RELAY_IP:
            self._connect_to_peer(member, connection)
            return
        upstream = next(each for each in self.upstreams if each.port == connection.address[1])
        match self._lost_kind(member.host, upstream):
            case None:
                member.connections.append((upstream, connection.accept()))
            case CutKind.RESET | CutKind.KEPT:
                connection.fail(ConnectionRefusedError())
            case CutKind.SILENT | CutKind.ONE_WAY:
                if now_ms - begun_ms >= connection.timeout_s * 1_000:
                    connection.fail(TimeoutError())
                else:
                    member.pending.append((begun_ms, connection))

    def _connect_to_peer(self, member: FleetMember, connection: PendingConnection) -> None:
        host = HostId(f"host-{connection.address[1] - RELAY_PORT}")
        peer = self.members.get(host)
        if peer is None or {host, member.host} & self.cut:
            connection.fail(ConnectionRefusedError())
            return
        end = peer.harness.gateway.paths.tunnels.buildProtocol(None)
        end.makeConnection(RecordingTransport())
        member.tunnels.append((connection.accept(), host, end))

    def _pass_on(self, member: FleetMember) -> None:
        """Carry bytes between both ends of the tunnels of a gateway, and their closes."""
        open_tunnels, member.tunnels = member.tunnels, []
        for near, host, end in open_tunnels:
            if host not in self.members:
                # The kernel closes the sockets of a process that was killed.
                near.close(reset=end.transport.resets_on_close)
                continue
            data = near.received()
            if data:
                end.dataReceived(data)
            data = end.transport.value()
            end.transport.clear()
            if data and not near.transport.disconnecting:
                near.send(data)
            if near.transport.disconnecting:
                end.connectionLost(Failure(ConnectionLost()))
            elif end.transport.disconnecting:
                near.close(reset=end.transport.aborted)
            else:
                member.tunnels.append((near, host, end))

    def _drop_dead_connections(self, member: FleetMember, now_ms: int) -> None:
        for upstream in self.upstreams:
            lost = self.lost_paths.get((member.host, upstream.name))
            if lost is None or lost[0] not in (CutKind.SILENT, CutKind.ONE_WAY):
                continue
            if now_ms - lost[1] >= _DEAD_CONNECTION_MS:
                self._reset_connections(member, upstream)
