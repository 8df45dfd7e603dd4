"""Guards against more requests to an upstream than the limit that its answers name (LIMIT)."""

import pytest

from adapter_harness import answer, chunk, request, stream_head

EVENT_1 = b"id: 1\ndata: a\n\n"
WINDOW_MS = 4_000


def allowed(limit_per_s):
    """Return how many requests may reach an upstream in a window."""
    return 1.5 * limit_per_s * WINDOW_MS / 1_000 + 5


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
