"""HTTP server that simulates an inference engine."""

import math
import os
import random
from typing import Any

import msgspec
import treq
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure
from twisted.web.client import ResponseFailed

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import MessageError
from skylarkmoor_standins.answer_stream import LineWriter
from skylarkmoor_standins.engine_model import Attempt, EngineModel
from skylarkmoor_standins.engine_types import GenerateRequest, KvHandle, Order
from skylarkmoor_standins.errors import (
    AttemptExists,
    AttemptFailed,
    StaleFencingToken,
    UnknownAttempt,
    UpstreamLeaving,
    VersionNotLoaded,
)
from skylarkmoor_standins.fault_settings import merge_faults
from skylarkmoor_standins.server import (
    CRASH_EXIT_CODE,
    Timer,
    json_response,
    leaving_response,
    malformed_response,
    reactor,
    read_body,
    read_query_int,
    sleep_ms,
)

__all__ = ["EngineService"]

_DEFAULT_CROSSED_ATTEMPT = "another-attempt"
_LOAD_RETRY_MS = 500


class _ResumeRequest(msgspec.Struct):
    attempt: str
    position: int


class _AttemptReference(msgspec.Struct):
    attempt: str


class _Connection:
    """HTTP connection on which the answer of an attempt is streamed."""

    def __init__(self, request: Any, writer: LineWriter) -> None:
        self.request = request
        self.writer = writer
        # Fires when the stream ends; true if the connection must be broken.
        self.done: Deferred[bool] = Deferred()


class EngineService:
    """Serves an `EngineModel` over HTTP.

    Parameters
    ----------
    model : EngineModel
        Attempts, versions, prefix cache and fault settings.
    clock : Clock
        Its wall time, in epoch milliseconds, drives the model.
    rng : random.Random
        Selects the chunks that are duplicated or crossed.
    load_ms : int
        Time to load a version when no weight store is configured.
    weights_url : str, optional
        Base URL of the weight store from which versions are loaded.
    """

    app = Klein()

    def __init__(
        self,
        model: EngineModel,
        clock: Clock,
        rng: random.Random,
        load_ms: int,
        weights_url: str | None = None,
    ) -> None:
        self._model = model
        self._clock = clock
        self._rng = rng
        self._load_ms = load_ms
        self._weights_url = weights_url
        self._connections: dict[str, _Connection] = {}
        self._frozen_requests: list[Deferred[None]] = []
        self._timer = Timer(reactor, self._advance)

    @app.handle_errors(MessageError)
    def handle_malformed_request(self, request: Any, failure: Failure) -> bytes:
        """Answer 400 to a request that cannot be decoded."""
        return malformed_response(request, failure)

    @app.handle_errors(UpstreamLeaving)
    def handle_leaving(self, request: Any, failure: Failure) -> bytes:
        """Answer 503 with the `X-Leaving` header while the engine refuses new work."""
        return leaving_response(request)

    @app.handle_errors(UnknownAttempt)
    def handle_unknown_attempt(self, request: Any, failure: Failure) -> bytes:
        """Answer 404 for an attempt that the engine does not have."""
        return json_response(request, {"error": str(failure.value)}, 404)

    @app.handle_errors(VersionNotLoaded, AttemptExists, StaleFencingToken)
    def handle_conflict(self, request: Any, failure: Failure) -> bytes:
        """Answer 409 when the engine's state does not allow the request."""
        return json_response(request, {"error": str(failure.value)}, 409)

    @app.handle_errors(AttemptFailed)
    def handle_attempt_failed(self, request: Any, failure: Failure) -> bytes:
        """Answer 500 when an injected fault makes an attempt fail."""
        return json_response(request, {"error": str(failure.value)}, 500)

    @app.route("/generate", methods=["POST"])
    async def generate(self, request: Any) -> bytes:
        """Start an attempt and stream its answer as NDJSON."""
        await self._wait_while_frozen()
        body = read_body(request, GenerateRequest)
        attempt = self._model.generate(body, self._now_ms())
        return await self._stream(request, attempt, body.start_position)

    @app.route("/resume", methods=["POST"])
    async def resume(self, request: Any) -> bytes:
        """Stream the answer of an existing attempt from a given position."""
        await self._wait_while_frozen()
        body = read_body(request, _ResumeRequest)
        attempt = self._model.get_attempt(body.attempt)
        if body.position < attempt.served.start_position:
            raise UnknownAttempt(f"position {body.position} is before the attempt's start")
        self._model.attach(attempt)
        return await self._stream(request, attempt, body.position)

    @app.route("/cancel", methods=["POST"])
    async def cancel(self, request: Any) -> bytes:
        """Cancel an attempt; its stream ends without an end marker."""
        await self._wait_while_frozen()
        cancelled = self._model.cancel(
            read_body(request, _AttemptReference).attempt, self._now_ms()
        )
        self._advance()
        return json_response(request, {"cancelled": cancelled})

    @app.route("/kv/export", methods=["POST"])
    async def export_kv(self, request: Any) -> bytes:
        """Return a handle to the cached blocks of an attempt."""
        await self._wait_while_frozen()
        return json_response(
            request, self._model.export_kv(read_body(request, _AttemptReference).attempt)
        )

    @app.route("/kv/import", methods=["POST"])
    async def import_kv(self, request: Any) -> bytes:
        """Store the blocks of a handle in the prefix cache."""
        await self._wait_while_frozen()
        self._model.import_kv(read_body(request, KvHandle), self._now_ms())
        return json_response(request, {})

    @app.route("/report", methods=["GET"])
    async def report(self, request: Any) -> bytes:
        """Return the load report, whose counts lag by `report_lag_ms`."""
        await self._wait_while_frozen()
        return json_response(request, self._model.report(self._now_ms()))

    @app.route("/events", methods=["GET"])
    async def events(self, request: Any) -> bytes:
        """Return the published prefix cache events from a sequence number on."""
        await self._wait_while_frozen()
        start = read_query_int(request, "from", 0)
        page = self._model.cache.events(start, self._now_ms(), self._model.incarnation)
        return json_response(request, page)

    @app.route("/orders", methods=["POST"])
    async def execute_order(self, request: Any) -> bytes:
        """Execute a control order, and start a download if it loads a version from the store."""
        await self._wait_while_frozen()
        order = read_body(request, Order)
        load_ms = self._load_ms if self._weights_url is None else None
        if (
            self._model.execute_order(order, self._now_ms(), load_ms)
            and self._weights_url is not None
        ):
            ensureDeferred(self._download_version(order.version))
        self._advance()
        return json_response(request, {"accepted": True})

    @app.route("/served", methods=["GET"])
    def served(self, request: Any) -> bytes:
        """Return the records of all attempts that were not refused."""
        return json_response(request, {"served": self._model.served})

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Update the fault settings; unfreezing releases the requests that wait."""
        changes = read_body(request, dict[str, Any])
        self._model.advance(self._now_ms())
        self._model.faults = merge_faults(self._model.faults, changes)
        if not self._model.faults.frozen:
            waiting, self._frozen_requests = self._frozen_requests, []
            for unfrozen in waiting:
                unfrozen.callback(None)
        self._advance()
        return json_response(request, self._model.faults)

    def _now_ms(self) -> int:
        return self._clock.wall_ms()

    async def _wait_while_frozen(self) -> None:
        while self._model.faults.frozen:
            unfrozen: Deferred[None] = Deferred(self._remove_frozen_request)
            self._frozen_requests.append(unfrozen)
            await unfrozen

    def _remove_frozen_request(self, unfrozen: Deferred[None]) -> None:
        if unfrozen in self._frozen_requests:
            self._frozen_requests.remove(unfrozen)

    async def _stream(self, request: Any, attempt: Attempt, position: int) -> bytes:
        connection = _Connection(request, LineWriter(attempt, position, self._rng))
        previous = self._connections.pop(attempt.id, None)
        self._connections[attempt.id] = connection
        if previous is not None:
            previous.done.callback(True)
        request.setHeader(b"Content-Type", b"application/x-ndjson")
        # Sends the response head at once, so that the daemon knows that the attempt was accepted.
        request.write(b"")
        self._advance()
        try:
            broken = await connection.done
        finally:
            self._close_connection(connection)
        if broken:
            # Unlike abortConnection, loseConnection first flushes the data written so far.
            request.transport.loseConnection()
            await Deferred()
        return b""

    def _close_connection(self, connection: _Connection) -> None:
        attempt = connection.writer.attempt
        if self._connections.get(attempt.id) is connection:
            del self._connections[attempt.id]
            self._model.detach(attempt, self._now_ms())

    def _advance(self) -> None:
        self._model.advance(self._now_ms())
        if self._model.crashed:
            os._exit(CRASH_EXIT_CODE)
        if not self._model.faults.frozen:
            for connection in list(self._connections.values()):
                self._write_lines(connection)
        next_event_ms = self._model.next_event_ms()
        # Rounded up, because a timer that fires before the step ends would have no effect.
        self._timer.set(
            None if next_event_ms is None else math.ceil(next_event_ms) - self._now_ms()
        )

    def _write_lines(self, connection: _Connection) -> None:
        attempt = connection.writer.attempt
        others = (other.id for other in self._model.running if other is not attempt)
        lines = connection.writer.next_lines(
            self._model.faults, next(others, _DEFAULT_CROSSED_ATTEMPT)
        )
        if lines.data:
            connection.request.write(lines.data)
        if (lines.finished or lines.broken) and not connection.done.called:
            connection.done.callback(lines.broken)

    async def _download_version(self, version: str) -> None:
        while self._model.is_loading(version):
            try:
                url = f"{self._weights_url}/weights/{version}"
                response = await treq.get(url, persistent=False)
                await treq.collect(response, lambda _: None)
            except (ConnectError, ResponseFailed):
                await sleep_ms(_LOAD_RETRY_MS)
                continue
            if response.code == 200:
                self._model.finish_version_load(version)
            else:
                await sleep_ms(_LOAD_RETRY_MS)
