"""Guards weight downloads against incomplete, stalled and oversized transfers."""

import pytest
import pytest_twisted
from klein import Klein
from twisted.internet.defer import Deferred

from skylarkmoor_clients.weightstore import WeightStoreClient
from skylarkmoor_core.errors import PlatformError


def app_serving(answer):
    app = Klein()

    @app.route("/weights/<version>")
    def weights(request, version):
        return answer(request)

    return app


@pytest_twisted.ensureDeferred
async def test_download_passes_all_bytes_on(serve):
    chunks = []
    store = WeightStoreClient(serve(app_serving(lambda request: b"w" * 100_000)))
    assert await store.download("v2", chunks.append, max_bytes=100_000) == 100_000
    assert b"".join(chunks) == b"w" * 100_000


@pytest_twisted.ensureDeferred
async def test_download_over_the_size_limit_is_aborted(serve):
    chunks = []
    store = WeightStoreClient(serve(app_serving(lambda request: b"w" * 100_000)))
    with pytest.raises(PlatformError, match="exceed 50000 bytes"):
        await store.download("v2", chunks.append, max_bytes=50_000)
    assert len(b"".join(chunks)) <= 50_000


def stall(request):
    request.write(b"w")
    return Deferred()


def close_midway(request):
    request.write(b"w")
    request.transport.loseConnection()
    return Deferred()


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize(
    ("answer", "fault"), [(stall, "nothing received for 50 ms"), (close_midway, "no answer")]
)
async def test_partial_download_is_not_taken_for_a_whole_one(serve, answer, fault):
    store = WeightStoreClient(serve(app_serving(answer)), idle_timeout_ms=50)
    with pytest.raises(PlatformError, match=fault):
        await store.download("v2", lambda chunk: None, max_bytes=10)


@pytest_twisted.ensureDeferred
async def test_download_that_never_begins_is_reported_as_stalled(serve):
    """The operator read `no answer: CancelledError` when the timer ended the wait for the head."""
    store = WeightStoreClient(serve(app_serving(lambda request: Deferred())), idle_timeout_ms=50)
    with pytest.raises(PlatformError, match="nothing received for 50 ms"):
        await store.download("v2", lambda chunk: None, max_bytes=10)


@pytest_twisted.ensureDeferred
async def test_body_of_an_error_response_is_not_passed_on_as_weights(serve):
    def refuse(request):
        request.setResponseCode(429)
        return b"later"

    chunks = []
    store = WeightStoreClient(serve(app_serving(refuse)))
    with pytest.raises(PlatformError, match="429"):
        await store.download("v2", chunks.append, max_bytes=10)
    assert chunks == []
