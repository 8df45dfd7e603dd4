"""Stand-in for the platform's log service."""

from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import LogOutage, LogRateLimited, MessageError
from skylarkmoor_standins.faults import merge_faults
from skylarkmoor_standins.log_model import LogModel, Page
from skylarkmoor_standins.server import (
    answer,
    answer_malformed,
    drop_connection,
    number_argument,
    reactor,
    read_body,
    sleep_ms,
)

__all__ = ["LogService"]

_MAX_LIMIT = 1_000
_MAX_WAIT_MS = 30_000


class LogService:
    """HTTP adapter of the log model.

    Parameters
    ----------
    model : LogModel
        State of the log.
    clock : Clock
        Source of the records' times, epoch milliseconds.
    """

    app = Klein()

    def __init__(self, model: LogModel, clock: Clock) -> None:
        self._model = model
        self._clock = clock
        self._waiting: dict[str, list[Deferred[None]]] = {}

    @app.handle_errors(MessageError)
    def malformed(self, request: Any, failure: Failure) -> bytes:
        """Answer a request of the wrong shape."""
        return answer_malformed(request, failure)

    @app.handle_errors(LogOutage)
    def down(self, request: Any, failure: Failure) -> bytes:
        """Answer in an outage."""
        return answer(request, {"error": str(failure.value)}, 503)

    @app.handle_errors(LogRateLimited)
    def limited(self, request: Any, failure: Failure) -> bytes:
        """Answer over the rate limit."""
        return answer(request, {"error": str(failure.value)}, 429)

    @app.route("/streams/<stream>/records", methods=["POST"])
    async def append(self, request: Any, stream: str) -> bytes:
        """Append the record in the body."""
        data = read_body(request, msgspec.Raw)
        appended = self._model.append(stream, bytes(data), self._clock.wall_ms())
        self._wake(stream)
        await self._delay()
        if not appended.answered:
            await drop_connection(request)
        return answer(request, {"offset": appended.offset})

    @app.route("/streams/<stream>/records", methods=["GET"])
    async def read(self, request: Any, stream: str) -> bytes:
        """Return records; with `wait_ms`, wait for the first one."""
        start = number_argument(request, "from", 0)
        limit = min(max(1, number_argument(request, "limit", _MAX_LIMIT)), _MAX_LIMIT)
        wait_ms = min(number_argument(request, "wait_ms", 0), _MAX_WAIT_MS)
        until_ms = self._clock.now_ms() + wait_ms
        page = self._read(stream, start, limit)
        while not page.records and self._clock.now_ms() < until_ms:
            await self._next_change(stream, until_ms - self._clock.now_ms())
            page = self._read(stream, start, limit)
        await self._delay()
        return answer(request, page)

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Change fault switches."""
        changes = read_body(request, dict[str, Any])
        self._model.faults = merge_faults(self._model.faults, changes)
        for stream in list(self._waiting):
            self._wake(stream)
        return answer(request, self._model.faults)

    def _read(self, stream: str, start: int, limit: int) -> Page:
        return self._model.read(stream, start, limit, self._clock.wall_ms())

    async def _delay(self) -> None:
        if self._model.faults.delay_ms:
            await sleep_ms(self._model.faults.delay_ms)

    async def _next_change(self, stream: str, timeout_ms: int) -> None:
        changed: Deferred[None] = Deferred()
        waiting = self._waiting.setdefault(stream, [])
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
        for changed in self._waiting.pop(stream, []):
            changed.callback(None)
