"""Guards against more requests to an upstream than the limit that its answers name (LIMIT)."""

import pytest

from adapter_harness import answer, chunk, request, stream_head
from limit_windows import WINDOW_MS, allowed
from skylarkmoor_core.messages import GatewayState, NamedLimit, NamedLimits, SlotGrant

EVENT_1 = b"id: 1\ndata: a\n\n"


class LimitedUpstream:
    """Answers every connection of a harness at once, and names a limit."""

    def __init__(self, harness, limit_per_s):
        self.harness = harness
        self.limit_per_s = limit_per_s
        self.received_ms = []
        self.open = []

    def serve(self):
        """Answer the requests that have arrived since the last call."""
        while self.harness.pending_connections():
            self.open.append(self.harness.accept())
        for connection in self.open:
            data = connection.received()
            if not data:
                continue
            self.received_ms.append(self.harness.clock.now_ms())
            name = data.partition(b"Skylarkmoor-Request-Id: ")[2].partition(b"\r\n")[0].decode()
            headers = {"Skylarkmoor_Request_Id": name}
            if self.limit_per_s is not None:
                headers["Server_Limit"] = str(self.limit_per_s)
            if b" /answer/" in data.partition(b"\r\n")[0]:
                connection.send(stream_head(**headers) + chunk(EVENT_1) + chunk(b""))
            else:
                connection.send(answer(**headers))

    def most_in_a_window(self, since_ms=0):
        """Return the largest number of requests in a window that begins after a time."""
        times_ms = [each for each in self.received_ms if each >= since_ms]
        return max(
            (
                sum(start_ms <= each < start_ms + WINDOW_MS for each in times_ms)
                for start_ms in times_ms
            ),
            default=0,
        )


def load(harness, upstream, path, duration_ms, gap_ms=50):
    """Send a request each `gap_ms`, and return the callers."""
    callers = []
    for number in range(duration_ms // gap_ms):
        caller = harness.caller()
        headers = {"Skylarkmoor_Request_Id": f"n{number}", "Skylarkmoor_Deadline_Ms": "12000"}
        caller.send(request(path, "POST", b"x%d" % number, **headers))
        callers.append(caller)
        upstream.serve()
        harness.advance(gap_ms)
        upstream.serve()
    return callers


@pytest.mark.parametrize("limit_per_s", [0, 0.4, 2.1, 10])
@pytest.mark.parametrize("path", ["/order/1", "/stock/1", "/answer/1"])
def test_one_gateway_keeps_to_the_limit(harness, path, limit_per_s):
    service = "assistant" if path == "/answer/1" else "orders"
    harness.add_upstream("u1", service, 1)
    upstream = LimitedUpstream(harness, limit_per_s)
    load(harness, upstream, path, 12_000)
    # From contact_ms after the first answer on, as the pages say.
    assert upstream.most_in_a_window(since_ms=4_000) <= allowed(limit_per_s)


LIMITED = {"Server_Limit": "0"}


def limit_peer(gateway, limit_per_s, heard_ms, sent_ms):
    """Have a peer tell of the limit of the only upstream."""
    limit = NamedLimit("u1", 1, limit_per_s, heard_ms, 0)
    gateway.fleet._on_message("peer", 1, NamedLimits(sent_ms, (limit,)))


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
def test_a_request_that_waits_for_a_connection_needs_a_permit_too(harness, path):
    service = "assistant" if path == "/answer/1" else "orders"
    harness.add_upstream("u1", service, 1)
    for _ in range(2):
        harness.caller().send(request(path, "POST", b"x"))
    harness.accept().send(answer(EVENT_1, **LIMITED))
    assert harness.accept().received() == b""


def test_a_kept_connection_is_not_used_without_a_permit(harness):
    harness.add_upstream("u1", "orders", 1)
    harness.caller().send(request())
    upstream = harness.accept()
    upstream.received()
    upstream.send(answer(**LIMITED))
    harness.caller().send(request())
    harness.advance(100)
    assert upstream.received() == b""
    assert harness.pending_connections() == 0


def test_a_retry_needs_a_permit_too(harness):
    harness.add_upstream("u1", "orders", 1)
    harness.caller().send(request())
    harness.accept().send(answer(Connection="close", **LIMITED))
    harness.add_upstream("u2", "orders", 2)
    caller = harness.caller()
    caller.send(request())
    assert harness.reactor.tcpClients[harness.next_connection][1] == 2
    harness.accept().close(reset=True)
    harness.advance(400)
    assert harness.pending_connections() == 0
    assert caller.received()[:13] == b"HTTP/1.1 502 "


def test_a_slot_that_was_granted_without_regard_to_the_limit_is_declined(harness):
    """The dispatcher has not heard of the limit, and is told."""
    harness.add_upstream("u1", "assistant", 1)
    harness.caller().send(request("/answer/1", "POST", b"x"))
    harness.accept().send(answer(EVENT_1, Connection="close", **LIMITED))
    sent = []
    gateway = harness.gateway
    gateway.fleet._transport.send = lambda to, message: sent.append((to, message))
    harness.caller().send(request("/answer/1", "POST", b"y"))
    exchange = next(iter(gateway._exchanges.values()))
    number = exchange.wait_number
    gateway.fleet._on_message("peer", 1, SlotGrant(number, "u1", 1))
    assert harness.pending_connections() == 0
    assert exchange.wait_number == number
    (to, message), (reported_to, report) = sent
    assert (to, reported_to) == ("peer", "peer")
    assert message.limits[0].limit_per_s == 0
    # The slot is not used, and does not count until the next state.
    assert (report.loads, report.taken) == ({}, 1)
    gateway.fleet._on_message("peer", 1, SlotGrant(number, "u1", 2, under_limit=True))
    assert harness.pending_connections() == 1


def test_peers_are_compared_by_the_age_of_what_they_have_heard(harness):
    """A message that was held up brings an older limit after a newer one."""
    harness.add_upstream("u1", "orders", 1)
    placement = harness.gateway.placement
    harness.advance(1_000)
    now_ms = harness.clock.now_ms()
    limit_peer(harness.gateway, 2.0, heard_ms=90, sent_ms=100)
    assert placement.upstreams["u1"].limit_per_s == 2.0
    harness.advance(1_000)
    limit_peer(harness.gateway, 3.0, heard_ms=1_095, sent_ms=1_100)
    limit_peer(harness.gateway, 4.0, heard_ms=600, sent_ms=650)
    assert placement.limit(("u1", 1)) == (3.0, now_ms + 995)
    limit_peer(harness.gateway, None, heard_ms=1_096, sent_ms=1_100)
    assert placement.upstreams["u1"].limit_per_s is None


def test_a_peer_with_an_older_value_is_told_the_newer_one(harness):
    harness.add_upstream("u1", "orders", 1)
    limit_peer(harness.gateway, 2.0, heard_ms=90, sent_ms=100)
    sent = []
    harness.gateway.fleet._transport.send = lambda to, message: sent.append((to, message))
    limit_peer(harness.gateway, None, heard_ms=50, sent_ms=100)
    ((to, message),) = sent
    assert (to, message.limits[0].limit_per_s) == ("peer", 2.0)


def test_a_peer_that_starts_is_told_the_limits(harness):
    harness.add_upstream("u1", "orders", 1)
    limit_peer(harness.gateway, 2.0, heard_ms=90, sent_ms=100)
    sent = []
    harness.gateway.fleet._transport.send = lambda to, message: sent.append(message)
    state = GatewayState("10.0.0.2:7600", False, -1, {}, {}, {}, {})
    harness.gateway.fleet._on_message("other", 7, state)
    assert [each.limits[0].limit_per_s for each in sent] == [2.0]


def test_another_instance_has_no_limit(harness):
    harness.add_upstream("u1", "orders", 1)
    limit_peer(harness.gateway, 0.0, heard_ms=90, sent_ms=100)
    harness.add_upstream("u1", "orders", 1, started_wall_ms=2)
    harness.caller().send(request())
    assert harness.pending_connections() == 1


def test_the_limit_outlasts_the_entry(harness):
    harness.add_upstream("u1", "orders", 1)
    limit_peer(harness.gateway, 0.0, heard_ms=90, sent_ms=100)
    harness.gateway.remove_upstream("u1")
    harness.add_upstream("u1", "orders", 1)
    harness.caller().send(request())
    harness.advance(100)
    assert harness.pending_connections() == 0
