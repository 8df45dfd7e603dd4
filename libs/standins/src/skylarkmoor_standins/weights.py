"""Stand-in for the platform's weight store."""

from typing import Any

from klein import Klein
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import MessageError
from skylarkmoor_standins.faults import merge_faults
from skylarkmoor_standins.server import (
    answer,
    answer_malformed,
    read_body,
    sleep_ms,
)
from skylarkmoor_standins.weights_model import WeightModel

__all__ = ["WeightService"]

_PIECE_BYTES = 16_384
_SHORTEST_WAIT_MS = 5
_OUTAGE_WAIT_MS = 100


class WeightService:
    """HTTP adapter of the weight store model.

    Parameters
    ----------
    model : WeightModel
        State of the store.
    clock : Clock
        Source of times.
    """

    app = Klein()

    def __init__(self, model: WeightModel, clock: Clock) -> None:
        self._model = model
        self._clock = clock

    @app.handle_errors(MessageError)
    def malformed(self, request: Any, failure: Failure) -> bytes:
        """Answer a request of the wrong shape."""
        return answer_malformed(request, failure)

    @app.route("/weights/<version>", methods=["GET"])
    async def weights(self, request: Any, version: str) -> bytes:
        """Send the bytes of a version."""
        if self._model.faults.delay_ms:
            await sleep_ms(self._model.faults.delay_ms)
        if self._model.faults.outage:
            return answer(request, {"error": "the weight store is down"}, 503)
        if not self._model.has(version):
            return answer(request, {"error": f"no version is called {version!r}"}, 404)
        request.setHeader(b"Content-Type", b"application/octet-stream")
        request.setHeader(b"Content-Length", b"%d" % self._model.size_bytes)
        left = self._model.size_bytes
        while left > 0:
            # A piece above one second's worth would never be allowed.
            count = min(left, _PIECE_BYTES, self._model.bytes_per_s)
            await self._allowed(count)
            request.write(bytes(count))
            left -= count
        return b""

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Change fault switches."""
        changes = read_body(request, dict[str, Any])
        self._model.faults = merge_faults(self._model.faults, changes)
        return answer(request, self._model.faults)

    async def _allowed(self, count: int) -> None:
        while not self._model.take(self._clock.now_ms(), count):
            if self._model.faults.outage:
                await sleep_ms(_OUTAGE_WAIT_MS)
            else:
                wait_ms = self._model.wait_ms(self._clock.now_ms(), count)
                await sleep_ms(max(wait_ms, _SHORTEST_WAIT_MS))
