"""HTTP server that simulates the platform's store of model weights."""

from typing import Any

from klein import Klein
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import MessageError
from skylarkmoor_standins.fault_settings import merge_faults
from skylarkmoor_standins.server import (
    json_response,
    malformed_response,
    read_body,
    sleep_ms,
)
from skylarkmoor_standins.weights_model import WeightModel

__all__ = ["WeightService"]

_CHUNK_BYTES = 16_384
_MIN_WAIT_MS = 5
_OUTAGE_POLL_MS = 100


class WeightService:
    """Serves downloads of model weights over HTTP at a limited total rate.

    Parameters
    ----------
    model : WeightModel
        Rate limiter, sizes and fault settings.
    clock : Clock
        Its monotonic time drives the rate limiter.
    """

    app = Klein()

    def __init__(self, model: WeightModel, clock: Clock) -> None:
        self._model = model
        self._clock = clock

    @app.handle_errors(MessageError)
    def handle_malformed_request(self, request: Any, failure: Failure) -> bytes:
        """Answer 400 to a request that cannot be decoded."""
        return malformed_response(request, failure)

    @app.route("/weights/<version>", methods=["GET"])
    async def weights(self, request: Any, version: str) -> bytes:
        """Send the weights of a version, as zero bytes, at the shared rate."""
        if self._model.faults.delay_ms:
            await sleep_ms(self._model.faults.delay_ms)
        if self._model.faults.outage:
            return json_response(request, {"error": "the weight store is down"}, 503)
        if not self._model.has_version(version):
            return json_response(request, {"error": f"no version is called {version!r}"}, 404)
        request.setHeader(b"Content-Type", b"application/octet-stream")
        request.setHeader(b"Content-Length", b"%d" % self._model.size_bytes)
        remaining_bytes = self._model.size_bytes
        while remaining_bytes > 0:
            # The rate limiter never grants more than one second of its rate at once.
            count = min(remaining_bytes, _CHUNK_BYTES, self._model.bytes_per_s)
            await self._wait_for_quota(count)
            request.write(bytes(count))
            remaining_bytes -= count
        return b""

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Update the fault settings."""
        changes = read_body(request, dict[str, Any])
        self._model.faults = merge_faults(self._model.faults, changes)
        return json_response(request, self._model.faults)

    async def _wait_for_quota(self, count: int) -> None:
        while not self._model.take(self._clock.now_ms(), count):
            if self._model.faults.outage:
                await sleep_ms(_OUTAGE_POLL_MS)
            else:
                wait_ms = self._model.wait_ms(self._clock.now_ms(), count)
                await sleep_ms(max(wait_ms, _MIN_WAIT_MS))
