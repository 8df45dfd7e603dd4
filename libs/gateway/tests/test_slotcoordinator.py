"""Guards against requests stuck without a slot or started twice, and slots granted twice."""

import random

import pytest

from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.hashing import rendezvous_owner
from skylarkmoor_core.messages import SlotGrant, SlotRefusal, SlotRequest, SlotWithdrawal
from skylarkmoor_gateway.slotcoordinator import SlotClient, SlotCoordinator
from skylarkmoor_policy.dispatcher import SlotRequirements, Ticket
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.trackedupstream import RegisteredUpstream
from skylarkmoor_policy.urgencyqueue import QueuedRequest

HOSTS = ["host-a", "host-b"]
OWNER = rendezvous_owner("assistant", HOSTS)
NON_OWNER = next(host for host in HOSTS if host != OWNER)


class RecordingClient(SlotClient):
    """Records the outcome of a wait and occupies the granted slot."""

    def __init__(self, placement):
        self.placement = placement
        self.service = "assistant"
        self.upstreams = []
        self.asked_groups = []
        self.timeouts = 0

    def slot_granted(self, choice, now_ms):
        self.upstreams.append(choice.upstream)
        self.asked_groups.append(choice.asked_groups)
        self.placement.record_start(choice.upstream, 100)

    def wait_timed_out(self):
        self.timeouts += 1


class Node:
    """One gateway's slot coordinator, connected to a simulated network."""

    def __init__(self, network, host, slots, engines, incarnation=0):
        self.network = network
        self.host = host
        self.incarnation = incarnation
        self.live = list(HOSTS)
        self.placement = Placement(random.Random(1))
        for engine in engines:
            self.placement.set_upstream(
                RegisteredUpstream(
                    engine,
                    "assistant",
                    ("10.0.0.1", 80),
                    slots=slots,
                    version="v1",
                    started_wall_ms=1,
                )
            )
        self.slot_coordinator = SlotCoordinator(
            host,
            incarnation,
            network.clock,
            self.placement,
            lambda to, message: network.queue.append((host, to, message)),
            lambda: list(self.live),
            lambda host: True,
            network.later,
            lambda dispatcher, upstream: None,
        )

    def wait(self, queue_deadline_ms=2_000):
        client = RecordingClient(self.placement)
        need = SlotRequirements(Ticket("", 0), SlotGroup("assistant"), 100, 0, 10, 10_000)
        number = self.slot_coordinator.wait(
            client, QueuedRequest(need, 0, 0, 0, 400, queue_deadline_ms)
        )
        return client, number


class Network:
    """Gateways whose messages are delivered explicitly or dropped."""

    def __init__(self, slots=1, engines=("engine",)):
        self.clock = ManualClock()
        self.queue = []
        self.delayed = []
        self.nodes = {host: Node(self, host, slots, engines) for host in HOSTS}

    def deliver(self):
        while self.queue:
            self.deliver_next()

    def deliver_next(self):
        sender, to, message = self.queue.pop(0)
        slot_coordinator = self.nodes[to].slot_coordinator
        incarnation = self.nodes[sender].incarnation
        match message:
            case SlotRequest():
                slot_coordinator.handle_slot_request(sender, incarnation, message)
            case SlotWithdrawal():
                slot_coordinator.handle_slot_withdrawal(sender, incarnation, message)
            case SlotGrant():
                slot_coordinator.handle_slot_grant(sender, message)

    def later(self, delay_ms, call):
        if delay_ms:
            self.delayed.append((self.clock.now_ms() + delay_ms, call))
        else:
            call()

    def tick(self, elapsed_ms):
        self.clock.advance(elapsed_ms)
        for due_ms, call in list(self.delayed):
            if due_ms <= self.clock.now_ms():
                self.delayed.remove((due_ms, call))
                call()
        for node in self.nodes.values():
            node.slot_coordinator.tick()


@pytest.fixture
def network():
    return Network()


def test_dispatcher_grants_a_slot(network):
    client, _ = network.nodes[NON_OWNER].wait()
    network.deliver()
    assert client.upstreams == ["engine"]


def test_lost_slot_request_is_repeated(network):
    client, _ = network.nodes[NON_OWNER].wait()
    network.queue.clear()
    network.tick(500)
    network.deliver()
    assert client.upstreams == ["engine"]


def test_lost_grant_is_repeated_and_used_once(network):
    client, _ = network.nodes[NON_OWNER].wait()
    message = network.queue.pop(0)[2]
    network.nodes[OWNER].slot_coordinator.handle_slot_request(NON_OWNER, 0, message)
    network.queue.clear()
    network.tick(500)
    network.deliver()
    assert client.upstreams == ["engine"]


def test_duplicate_grant_starts_the_request_once(network):
    """Unless the second grant is acknowledged too, the dispatcher keeps counting it as load."""
    node = network.nodes[NON_OWNER]
    client, number = node.wait()
    for grant in (1, 2):
        node.slot_coordinator.handle_slot_grant(OWNER, SlotGrant(number, "engine", grant))
    assert client.upstreams == ["engine"]
    assert node.slot_coordinator.last_grants == {OWNER: 2}


def test_gateway_without_live_peers_dispatches_for_itself(network):
    node = network.nodes[NON_OWNER]
    client, _ = node.wait()
    network.queue.clear()
    node.live = [NON_OWNER]
    network.tick(25)
    assert client.upstreams == ["engine"]


def test_withdrawn_request_gets_no_grant():
    """When a slot becomes free, a request that was withdrawn must not start."""
    network = Network(slots=1)
    node = network.nodes[NON_OWNER]
    for _ in range(2):
        node.wait()
    withdrawn_requester, number = node.wait()
    network.deliver()
    node.slot_coordinator.withdraw(number)
    network.deliver()
    network.nodes[OWNER].placement.set_peer_load(NON_OWNER, {}, last_grant=99)
    network.tick(25)
    network.deliver()
    assert withdrawn_requester.upstreams == []


def test_wait_times_out():
    """Only the request without a slot times out; the engine accepts one more than its slots."""
    network = Network(slots=1)
    requesters = [network.nodes[NON_OWNER].wait(queue_deadline_ms=100)[0] for _ in range(3)]
    network.deliver()
    network.tick(100)
    assert [each.timeouts for each in requesters] == [0, 0, 1]


def test_new_dispatcher_takes_over_waiting_requests():
    """Requests left at the earlier dispatcher would wait while the new one grants the slots."""
    network = Network(slots=1)
    node = network.nodes[NON_OWNER]
    node.live = [NON_OWNER]
    requesters = [node.wait()[0] for _ in range(3)]
    assert [len(each.upstreams) for each in requesters] == [1, 1, 0]
    node.live = list(HOSTS)
    network.tick(25)
    network.deliver()
    # The new dispatcher does not know the running requests yet, so it grants one slot too many; the
    # engine queues the excess request.
    assert [len(each.upstreams) for each in requesters] == [1, 1, 1]


@pytest.fixture
def four_groups():
    """Two gateways with enough engines for four groups; each dispatches at least one group."""
    network_of_four_groups = Network(engines=tuple(f"engine-{number}" for number in range(20)))
    slot_coordinator = network_of_four_groups.nodes[NON_OWNER].slot_coordinator
    owners = {
        slot_coordinator.dispatcher_of(SlotGroup("assistant", number, 4)) for number in range(4)
    }
    assert owners == set(HOSTS)
    return network_of_four_groups


def test_dispatcher_grants_only_slots_of_the_requested_group(four_groups):
    """If two dispatchers granted slots of the same engines, a free slot would be assigned twice."""
    waits = [four_groups.nodes[NON_OWNER].wait() for _ in range(8)]
    slot_coordinator = four_groups.nodes[NON_OWNER].slot_coordinator
    # Waits that the gateway dispatched itself have been granted already.
    groups = {
        number: wait.requests[number].group for number, wait in slot_coordinator._waits.items()
    }
    assert groups
    granted = []
    while four_groups.queue:
        _, to, message = four_groups.queue[0]
        if isinstance(message, SlotGrant):
            granted.append(four_groups.nodes[to].placement.group_of(message.upstream))
            assert granted[-1] == groups[message.ticket]
        four_groups.deliver_next()
    assert len(granted) == len(groups)
    assert all(len(client.upstreams) == 1 for client, _ in waits)


def test_request_moves_to_another_group_if_its_dispatcher_is_silent(four_groups):
    """Requests to a failed or slow dispatcher used to wait until they timed out."""
    requesters = [four_groups.nodes[NON_OWNER].wait(queue_deadline_ms=10_000)[0] for _ in range(4)]
    for _ in range(10):
        # All messages to and from the other dispatcher are lost.
        four_groups.queue.clear()
        four_groups.tick(500)
    assert all(len(client.upstreams) == 1 for client in requesters)


def test_grant_of_an_earlier_dispatcher_withdraws_the_request_at_the_later_one(four_groups):
    """Otherwise the later dispatcher grants a slot that stays unused."""
    node = four_groups.nodes[NON_OWNER]
    _, number = node.wait()
    node.slot_coordinator._waits[number].requests[number].dispatcher = OWNER
    four_groups.queue.clear()
    node.slot_coordinator.handle_slot_grant("host-gone", SlotGrant(number, "engine-1", 1))
    assert four_groups.queue == [(NON_OWNER, OWNER, SlotWithdrawal(number, True))]


def test_request_without_a_slot_is_queued_at_all_of_four_groups_and_started_once(four_groups):
    """A request that waited at one group only did so while others had free slots."""
    node = four_groups.nodes[NON_OWNER]
    full = dict.fromkeys(node.placement.upstreams, (2, 0))
    for each in four_groups.nodes.values():
        each.placement.set_peer_load("other", full)
    client, number = node.wait()
    for _ in range(4):
        four_groups.tick(25)
    requests = node.slot_coordinator._waits[number].requests
    assert {request.group.number for request in requests.values()} == {0, 1, 2, 3}
    four_groups.deliver()
    assert sum(each.slot_coordinator.queued() for each in four_groups.nodes.values()) == 4
    for each in four_groups.nodes.values():
        each.placement.set_peer_load("other", {})
    four_groups.tick(25)
    four_groups.deliver()
    assert len(client.upstreams) == 1
    assert client.asked_groups == [4]
    assert sum(each.slot_coordinator.queued() for each in four_groups.nodes.values()) == 0


def test_only_the_refusal_of_the_first_slot_request_ends_a_wait(four_groups):
    """A dispatcher of an older build may refuse a further one, while other groups have slots."""
    node = four_groups.nodes[NON_OWNER]
    node.placement.set_peer_load("other", dict.fromkeys(node.placement.upstreams, (2, 0)))
    client, number = node.wait()
    four_groups.tick(25)
    requests = node.slot_coordinator._waits[number].requests
    (further,) = requests.keys() - {number}
    for ticket, timeouts in ((further, 0), (number, 1)):
        refusal = SlotRefusal(ticket, 100, 0)
        node.slot_coordinator.handle_slot_refusal(requests[ticket].dispatcher, refusal)
        assert client.timeouts == timeouts


def test_request_stays_queued_once_when_the_groups_become_fewer(four_groups):
    """Its further slot requests would be granted slots of the same group."""
    node = four_groups.nodes[NON_OWNER]
    node.placement.set_peer_load("other", dict.fromkeys(node.placement.upstreams, (2, 0)))
    _, number = node.wait(queue_deadline_ms=10_000)
    for _ in range(4):
        four_groups.tick(25)
    for engine in list(node.placement.upstreams)[:15]:
        node.placement.remove(engine)
    four_groups.tick(500)
    requests = node.slot_coordinator._waits[number].requests
    assert {ticket: request.group.count for ticket, request in requests.items()} == {number: 1}


def test_an_error_in_the_check_of_the_waits_does_not_stop_the_grants(network):
    node = network.nodes[OWNER]
    for _ in range(2):
        node.wait()
    failing, _ = node.wait(queue_deadline_ms=100)
    failing.wait_timed_out = lambda: 1 / 0
    client, _ = node.wait()
    network.clock.advance(100)
    with pytest.raises(ZeroDivisionError):
        node.slot_coordinator.tick()
    node.placement.record_end("engine", 0, held_ms=None, fault=None)
    node.slot_coordinator.grant_free_slots()
    assert client.upstreams == ["engine"]


def restart(network, host, incarnation):
    """Replace the process of a gateway; messages that were sent to it reach the next one."""
    network.nodes[host] = Node(network, host, 1, ("engine",), incarnation)
    return network.nodes[host]


def grant_to_earlier_process(network):
    """Return the grant for a request whose process was replaced while it waited."""
    network.nodes[NON_OWNER].wait()
    while not isinstance(network.queue[0][2], SlotGrant):
        network.deliver_next()
    return network.queue.pop()[2]


@pytest.mark.parametrize("older_build", [False, True])
def test_grant_for_an_earlier_process_starts_no_request(network, older_build):
    """A process that had started again sent its requests to the service of the earlier ones."""
    grant = grant_to_earlier_process(network)
    if older_build:
        grant = SlotGrant(grant.ticket, grant.upstream, grant.grant)
    node = restart(network, NON_OWNER, 1_000)
    client, _ = node.wait()
    assert not node.slot_coordinator.handle_slot_grant(OWNER, grant)
    assert client.upstreams == []
    # The dispatcher has counted the grant as load.
    assert node.slot_coordinator.last_grants == {OWNER: grant.grant}


def test_grant_that_names_another_process_is_ignored(network):
    """Also if its number is one of this process, as after a clock was set back."""
    node = network.nodes[NON_OWNER]
    client, number = node.wait()
    grant = SlotGrant(number, "engine", 1, incarnation=999)
    assert not node.slot_coordinator.handle_slot_grant(OWNER, grant)
    assert client.upstreams == []


def test_dispatcher_names_the_process_that_has_asked(network):
    restart(network, NON_OWNER, 1_000).wait()
    while not isinstance(network.queue[0][2], SlotGrant):
        network.deliver_next()
    assert network.queue[0][2].incarnation == 1_000


def test_withdrawal_of_another_process_removes_no_request(network):
    node = network.nodes[NON_OWNER]
    for _ in range(3):
        _, number = node.wait()
    network.deliver()
    dispatcher = network.nodes[OWNER].slot_coordinator
    dispatcher.handle_slot_withdrawal(NON_OWNER, 7, SlotWithdrawal(number))
    assert dispatcher.queued() == 1
    dispatcher.handle_slot_withdrawal(NON_OWNER, 0, SlotWithdrawal(number))
    assert dispatcher.queued() == 0


def test_number_of_an_earlier_dispatcher_includes_no_grant(network):
    """A dispatcher that had started again took its grants for reported, and gave slots twice."""
    earlier = grant_to_earlier_process(network).grant
    node = restart(network, OWNER, 1_000)
    network.nodes[NON_OWNER].wait()
    network.deliver()
    assert node.slot_coordinator.own_grant(earlier) == 0
    newest = network.nodes[NON_OWNER].slot_coordinator.last_grants[OWNER]
    assert node.slot_coordinator.own_grant(newest) == newest
