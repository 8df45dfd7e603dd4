"""Guards against timeouts that are reported as something else."""

import pytest
import pytest_twisted
from klein import Klein
from twisted.internet.defer import Deferred

from skylarkmoor_clients.httpclient import PlatformHttp
from skylarkmoor_core.errors import PlatformError


def stall_before_the_head(request):
    return Deferred()


def stall_in_the_body(request):
    request.write(b"w")
    return Deferred()


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("answer", [stall_before_the_head, stall_in_the_body])
async def test_request_that_is_not_answered_in_time_says_so(serve, answer):
    """A silent log was reported as `no answer: CancelledError`, as if a task had been stopped."""
    app = Klein()

    @app.route("/slow")
    def slow(request):
        return answer(request)

    client = PlatformHttp(serve(app))
    with pytest.raises(PlatformError, match="GET .*/slow: no complete answer within 50 ms"):
        await client.request("GET", "/slow", timeout_ms=50, max_bytes=100)
