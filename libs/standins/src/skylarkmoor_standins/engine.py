"""Stand-in for a model engine."""

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
from skylarkmoor_standins.engine_model import Attempt, EngineModel
from skylarkmoor_standins.engine_types import Generate, KvHandle, Order
from skylarkmoor_standins.engine_wire import LineWriter
from skylarkmoor_standins.faults import merge_faults
from skylarkmoor_standins.refusals import (
    AttemptExists,
    GenerateFailed,
    Leaving,
    OldFencing,
    UnknownAttempt,
    VersionNotLoaded,
)
from skylarkmoor_standins.server import (
    CRASH_EXIT_CODE,
    Timer,
    answer,
    answer_leaving,
    answer_malformed,
    number_argument,
    reactor,
    read_body,
    sleep_ms,
)

__all__ = ["EngineService"]

_OTHER_ATTEMPT = "another-attempt"
_LOAD_RETRY_MS = 500


class _Resume(msgspec.Struct):
    attempt: str
    position: int


class _AttemptName(msgspec.Struct):
    attempt: str


class _Connection:
    """A connection on which an attempt's answer is written."""

    def __init__(self, request: Any, writer: LineWriter) -> None:
        self.request = request
        self.writer = writer
        # Fires with whether the connection is to be broken.
        self.done: Deferred[bool] = Deferred()


class EngineService:
    """HTTP adapter of the engine model.

    Parameters
    ----------
    model : EngineModel
        State of the engine.
    clock : Clock
        Source of times, epoch milliseconds.
    rng : random.Random
        Decides which chunks have faults.
    load_ms : int
        Time to load a version without a weight store.
    weights_url : str, optional
        Weight store from which versions are loaded.
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
        self._frozen: list[Deferred[None]] = []
        self._timer = Timer(reactor, self._advance)

    @app.handle_errors(MessageError)
    def malformed(self, request: Any, failure: Failure) -> bytes:
        """Answer a request of the wrong shape."""
        return answer_malformed(request, failure)

    @app.handle_errors(Leaving)
    def leaving(self, request: Any, failure: Failure) -> bytes:
        """Answer when the engine takes no new work."""
        return answer_leaving(request)

    @app.handle_errors(UnknownAttempt)
    def unknown(self, request: Any, failure: Failure) -> bytes:
        """Answer for an attempt that the engine does not have."""
        return answer(request, {"error": str(failure.value)}, 404)

    @app.handle_errors(VersionNotLoaded, AttemptExists, OldFencing)
    def conflict(self, request: Any, failure: Failure) -> bytes:
        """Answer when the engine's state does not allow the request."""
        return answer(request, {"error": str(failure.value)}, 409)

    @app.handle_errors(GenerateFailed)
    def failed(self, request: Any, failure: Failure) -> bytes:
        """Answer when a fault switch makes an attempt fail."""
        return answer(request, {"error": str(failure.value)}, 500)

    @app.route("/generate", methods=["POST"])
    async def generate(self, request: Any) -> bytes:
        """Run an attempt and stream its answer."""
        await self._thawed()
        body = read_body(request, Generate)
        attempt = self._model.generate(body, self._now())
        return await self._stream(request, attempt, body.start_position)

    @app.route("/resume", methods=["POST"])
    async def resume(self, request: Any) -> bytes:
        """Stream the answer of an attempt from a position on."""
        await self._thawed()
        body = read_body(request, _Resume)
        attempt = self._model.attempt(body.attempt)
        if body.position < attempt.served.start_position:
            raise UnknownAttempt(f"position {body.position} is before the attempt's start")
        self._model.attach(attempt)
        return await self._stream(request, attempt, body.position)

    @app.route("/cancel", methods=["POST"])
    async def cancel(self, request: Any) -> bytes:
        """End an attempt; its stream ends without an end marker."""
        await self._thawed()
        cancelled = self._model.cancel(read_body(request, _AttemptName).attempt, self._now())
        self._advance()
        return answer(request, {"cancelled": cancelled})

    @app.route("/kv/export", methods=["POST"])
    async def export_kv(self, request: Any) -> bytes:
        """Return a handle of an attempt's cache blocks."""
        await self._thawed()
        return answer(request, self._model.export_kv(read_body(request, _AttemptName).attempt))

    @app.route("/kv/import", methods=["POST"])
    async def import_kv(self, request: Any) -> bytes:
        """Store the cache blocks of a handle."""
        await self._thawed()
        self._model.import_kv(read_body(request, KvHandle), self._now())
        return answer(request, {})

    @app.route("/report", methods=["GET"])
    async def report(self, request: Any) -> bytes:
        """Return the load, as it was some time ago."""
        await self._thawed()
        return answer(request, self._model.report(self._now()))

    @app.route("/events", methods=["GET"])
    async def events(self, request: Any) -> bytes:
        """Return events of the prefix cache."""
        await self._thawed()
        start = number_argument(request, "from", 0)
        page = self._model.cache.events(start, self._now(), self._model.incarnation)
        return answer(request, page)

    @app.route("/orders", methods=["POST"])
    async def order(self, request: Any) -> bytes:
        """Load or unload a version, or change the role."""
        await self._thawed()
        order = read_body(request, Order)
        load_ms = self._load_ms if self._weights_url is None else None
        if self._model.order(order, self._now(), load_ms) and self._weights_url is not None:
            ensureDeferred(self._load(order.version))
        self._advance()
        return answer(request, {"accepted": True})

    @app.route("/served", methods=["GET"])
    def served(self, request: Any) -> bytes:
        """Return the record of every attempt."""
        return answer(request, {"served": self._model.served})

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Change fault switches."""
        changes = read_body(request, dict[str, Any])
        self._model.advance(self._now())
        self._model.faults = merge_faults(self._model.faults, changes)
        if not self._model.faults.frozen:
            waiting, self._frozen = self._frozen, []
            for thawed in waiting:
                thawed.callback(None)
        self._advance()
        return answer(request, self._model.faults)

    def _now(self) -> int:
        return self._clock.wall_ms()

    async def _thawed(self) -> None:
        while self._model.faults.frozen:
            thawed: Deferred[None] = Deferred(self._frozen_remove)
            self._frozen.append(thawed)
            await thawed

    def _frozen_remove(self, thawed: Deferred[None]) -> None:
        if thawed in self._frozen:
            self._frozen.remove(thawed)

    async def _stream(self, request: Any, attempt: Attempt, position: int) -> bytes:
        connection = _Connection(request, LineWriter(attempt, position, self._rng))
        earlier = self._connections.pop(attempt.id, None)
        self._connections[attempt.id] = connection
        if earlier is not None:
            earlier.done.callback(True)
        request.setHeader(b"Content-Type", b"application/x-ndjson")
        # Sends the head at once, so that the daemon knows that the attempt was taken.
        request.write(b"")
        self._advance()
        try:
            broken = await connection.done
        finally:
            self._close(connection)
        if broken:
            # Unlike an abort, this sends what was written before.
            request.transport.loseConnection()
            await Deferred()
        return b""

    def _close(self, connection: _Connection) -> None:
        attempt = connection.writer.attempt
        if self._connections.get(attempt.id) is connection:
            del self._connections[attempt.id]
            self._model.detach(attempt, self._now())

    def _advance(self) -> None:
        self._model.advance(self._now())
        if self._model.crashed:
            os._exit(CRASH_EXIT_CODE)
        if not self._model.faults.frozen:
            for connection in list(self._connections.values()):
                self._write(connection)
        next_ms = self._model.next_ms()
        # Rounded up, because a timer that fires before the end of a step has nothing to do.
        self._timer.set(None if next_ms is None else math.ceil(next_ms) - self._now())

    def _write(self, connection: _Connection) -> None:
        attempt = connection.writer.attempt
        others = (other.id for other in self._model.running if other is not attempt)
        lines = connection.writer.take(self._model.faults, next(others, _OTHER_ATTEMPT))
        if lines.data:
            connection.request.write(lines.data)
        if (lines.finished or lines.broken) and not connection.done.called:
            connection.done.callback(lines.broken)

    async def _load(self, version: str) -> None:
        while self._model.is_loading(version):
            try:
                url = f"{self._weights_url}/weights/{version}"
                response = await treq.get(url, persistent=False)
                await treq.collect(response, lambda _: None)
            except (ConnectError, ResponseFailed):
                await sleep_ms(_LOAD_RETRY_MS)
                continue
            if response.code == 200:
                self._model.finish_load(version)
            else:
                await sleep_ms(_LOAD_RETRY_MS)
