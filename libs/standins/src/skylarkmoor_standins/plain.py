"""HTTP server that simulates a plain (non-engine) upstream."""

import os
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import MessageError
from skylarkmoor_standins.errors import UpstreamLeaving
from skylarkmoor_standins.fault_settings import merge_faults
from skylarkmoor_standins.plain_model import CallOutcome, CallRecord, PlainModel
from skylarkmoor_standins.server import (
    CRASH_EXIT_CODE,
    Timer,
    drop_connection,
    json_response,
    leaving_response,
    malformed_response,
    reactor,
    read_body,
    sleep_ms,
)

__all__ = ["PlainService"]


class _CallRequest(msgspec.Struct):
    attempt: str
    route: str
    body: Any = None


class PlainService:
    """Serves a `PlainModel` over HTTP.

    Parameters
    ----------
    model : PlainModel
        Queue, running calls and fault settings.
    clock : Clock
        Its wall time, in epoch milliseconds, drives the model.
    versions : tuple of str
        Versions listed in the load report.
    """

    app = Klein()

    def __init__(self, model: PlainModel, clock: Clock, versions: tuple[str, ...]) -> None:
        self._model = model
        self._clock = clock
        self._versions = versions
        self._incarnation = clock.wall_ms()
        self._pending_calls: dict[int, Deferred[CallRecord]] = {}
        self._timer = Timer(reactor, self._advance)

    @app.handle_errors(MessageError)
    def handle_malformed_request(self, request: Any, failure: Failure) -> bytes:
        """Answer 400 to a request that cannot be decoded."""
        return malformed_response(request, failure)

    @app.handle_errors(UpstreamLeaving)
    def handle_leaving(self, request: Any, failure: Failure) -> bytes:
        """Answer 503 with the `X-Leaving` header while the service refuses new calls."""
        return leaving_response(request)

    @app.route("/call", methods=["POST"])
    async def call(self, request: Any) -> bytes:
        """Queue a call, wait until it ends and answer with its result."""
        body = read_body(request, _CallRequest)
        number = self._model.enqueue(body.attempt, body.route, body.body)
        done = self._pending_calls[number] = Deferred(lambda _: self._abandon(number))
        self._advance()
        record = await done
        if self._model.faults.delay_ms:
            await sleep_ms(self._model.faults.delay_ms)
        if record.end is CallOutcome.LOST:
            await drop_connection(request)
        if record.end is CallOutcome.ERROR:
            return json_response(
                request, {"attempt": body.attempt, "error": "the call failed"}, 500
            )
        result = {"route": body.route, "call": number, "body_hash": record.body_hash}
        return json_response(request, {"attempt": body.attempt, "result": result})

    @app.route("/report", methods=["GET"])
    def report(self, request: Any) -> bytes:
        """Return the load report, in the format of an engine's report but without `loading`."""
        model = self._model
        report = {
            "incarnation": self._incarnation,
            "as_of_ms": self._clock.wall_ms(),
            "running": model.running,
            "waiting": model.waiting,
            "kv_used_tokens": 0,
            "kv_capacity_tokens": 0,
            "max_batch": model.capacity,
            "versions": self._versions,
            "role": "plain",
            "leaving": model.faults.leaving,
        }
        return json_response(request, report)

    @app.route("/calls", methods=["GET"])
    def calls(self, request: Any) -> bytes:
        """Return the record of every call that has started."""
        return json_response(request, {"calls": self._model.calls})

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Update the fault settings."""
        changes = read_body(request, dict[str, Any])
        self._model.faults = merge_faults(self._model.faults, changes)
        self._advance()
        return json_response(request, self._model.faults)

    def _abandon(self, number: int) -> None:
        self._pending_calls.pop(number, None)
        self._model.abandon(number)

    def _advance(self) -> None:
        for record in self._model.advance(self._clock.wall_ms()):
            if record.end is CallOutcome.CRASH:
                os._exit(CRASH_EXIT_CODE)
            done = self._pending_calls.pop(record.call, None)
            if done is not None:
                done.callback(record)
        next_event_ms = self._model.next_event_ms()
        self._timer.set(None if next_event_ms is None else next_event_ms - self._clock.wall_ms())
