"""HTTP server that simulates the platform's log service."""

from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import LogOutage, LogRateLimited, MessageError
from skylarkmoor_standins.fault_settings import merge_faults
from skylarkmoor_standins.log_model import LogModel, RecordPage
from skylarkmoor_standins.server import (
    drop_connection,
    json_response,
    malformed_response,
    reactor,
    read_body,
    read_query_int,
    sleep_ms,
)

__all__ = ["LogService"]

_MAX_PAGE_RECORDS = 1_000
_MAX_WAIT_MS = 30_000


class LogService:
    """Serves a `LogModel` over HTTP, with long polling for reads.

    Parameters
    ----------
    model : LogModel
        Streams and fault settings.
    clock : Clock
        Wall time stamps records and expires them; monotonic time bounds long polls.
    """

    app = Klein()

    def __init__(self, model: LogModel, clock: Clock) -> None:
        self._model = model
        self._clock = clock
        self._waiters: dict[str, list[Deferred[None]]] = {}

    @app.handle_errors(MessageError)
    def handle_malformed_request(self, request: Any, failure: Failure) -> bytes:
        """Answer 400 to a request that cannot be decoded."""
        return malformed_response(request, failure)

    @app.handle_errors(LogOutage)
    def handle_outage(self, request: Any, failure: Failure) -> bytes:
        """Answer 503 during a simulated outage."""
        return json_response(request, {"error": str(failure.value)}, 503)

    @app.handle_errors(LogRateLimited)
    def handle_rate_limited(self, request: Any, failure: Failure) -> bytes:
        """Answer 429 to an append above the rate limit."""
        return json_response(request, {"error": str(failure.value)}, 429)

    @app.route("/streams/<stream>/records", methods=["POST"])
    async def append(self, request: Any, stream: str) -> bytes:
        """Append the JSON body as a record and wake the readers of the stream."""
        data = read_body(request, msgspec.Raw)
        result = self._model.append(stream, bytes(data), self._clock.wall_ms())
        self._wake(stream)
        await self._apply_delay()
        if not result.answered:
            await drop_connection(request)
        return json_response(request, {"offset": result.offset})

    @app.route("/streams/<stream>/records", methods=["GET"])
    async def read(self, request: Any, stream: str) -> bytes:
        """Return a page of records; with `wait_ms`, wait up to that long for the first record."""
        start = read_query_int(request, "from", 0)
        limit = min(max(1, read_query_int(request, "limit", _MAX_PAGE_RECORDS)), _MAX_PAGE_RECORDS)
        wait_ms = min(read_query_int(request, "wait_ms", 0), _MAX_WAIT_MS)
        deadline_ms = self._clock.now_ms() + wait_ms
        page = self._read(stream, start, limit)
        while not page.records and self._clock.now_ms() < deadline_ms:
            await self._wait_for_change(stream, deadline_ms - self._clock.now_ms())
            page = self._read(stream, start, limit)
        await self._apply_delay()
        return json_response(request, page)

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Update the fault settings and wake all waiting readers."""
        changes = read_body(request, dict[str, Any])
        self._model.faults = merge_faults(self._model.faults, changes)
        for stream in list(self._waiters):
            self._wake(stream)
        return json_response(request, self._model.faults)

    def _read(self, stream: str, start: int, limit: int) -> RecordPage:
        return self._model.read(stream, start, limit, self._clock.wall_ms())

    async def _apply_delay(self) -> None:
        if self._model.faults.delay_ms:
            await sleep_ms(self._model.faults.delay_ms)

    async def _wait_for_change(self, stream: str, timeout_ms: int) -> None:
        changed: Deferred[None] = Deferred()
        waiting = self._waiters.setdefault(stream, [])
        waiting.append(changed)
        timer = reactor.callLater(timeout_ms / 1000, changed.callback, None)
        try:
            await changed
        finally:
            if timer.active():
                timer.cancel()
            if changed in waiting:
                waiting.remove(changed)

    def _wake(self, stream: str) -> None:
        for changed in self._waiters.pop(stream, []):
            changed.callback(None)
