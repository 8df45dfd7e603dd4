"""Stand-in for a plain service."""

import os
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import MessageError
from skylarkmoor_standins.faults import merge_faults
from skylarkmoor_standins.plain_model import CallEnd, CallRecord, PlainModel
from skylarkmoor_standins.refusals import Leaving
from skylarkmoor_standins.server import (
    CRASH_EXIT_CODE,
    Timer,
    answer,
    answer_leaving,
    answer_malformed,
    drop_connection,
    reactor,
    read_body,
    sleep_ms,
)

__all__ = ["PlainService"]


class _Call(msgspec.Struct):
    attempt: str
    route: str
    body: Any = None


class PlainService:
    """HTTP adapter of the plain model.

    Parameters
    ----------
    model : PlainModel
        State of the service.
    clock : Clock
        Source of times, epoch milliseconds.
    versions : tuple of str
        Versions named in the report.
    """

    app = Klein()

    def __init__(self, model: PlainModel, clock: Clock, versions: tuple[str, ...]) -> None:
        self._model = model
        self._clock = clock
        self._versions = versions
        self._incarnation = clock.wall_ms()
        self._callers: dict[int, Deferred[CallRecord]] = {}
        self._timer = Timer(reactor, self._advance)

    @app.handle_errors(MessageError)
    def malformed(self, request: Any, failure: Failure) -> bytes:
        """Answer a request of the wrong shape."""
        return answer_malformed(request, failure)

    @app.handle_errors(Leaving)
    def leaving(self, request: Any, failure: Failure) -> bytes:
        """Answer when the service takes no new work."""
        return answer_leaving(request)

    @app.route("/call", methods=["POST"])
    async def call(self, request: Any) -> bytes:
        """Run a call and answer with its result."""
        body = read_body(request, _Call)
        number = self._model.arrive(body.attempt, body.route, body.body)
        done = self._callers[number] = Deferred(lambda _: self._abandon(number))
        self._advance()
        record = await done
        if self._model.faults.delay_ms:
            await sleep_ms(self._model.faults.delay_ms)
        if record.end is CallEnd.LOST:
            await drop_connection(request)
        if record.end is CallEnd.ERROR:
            return answer(request, {"attempt": body.attempt, "error": "the call failed"}, 500)
        result = {"route": body.route, "call": number, "body_hash": record.body_hash}
        return answer(request, {"attempt": body.attempt, "result": result})

    @app.route("/report", methods=["GET"])
    def report(self, request: Any) -> bytes:
        """Return the load, in the fields of an engine's report."""
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
        return answer(request, report)

    @app.route("/calls", methods=["GET"])
    def calls(self, request: Any) -> bytes:
        """Return every call that was run."""
        return answer(request, {"calls": self._model.calls})

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Change fault switches."""
        changes = read_body(request, dict[str, Any])
        self._model.faults = merge_faults(self._model.faults, changes)
        self._advance()
        return answer(request, self._model.faults)

    def _abandon(self, number: int) -> None:
        self._callers.pop(number, None)
        self._model.abandon(number)

    def _advance(self) -> None:
        for record in self._model.advance(self._clock.wall_ms()):
            if record.end is CallEnd.CRASH:
                os._exit(CRASH_EXIT_CODE)
            done = self._callers.pop(record.call, None)
            if done is not None:
                done.callback(record)
        next_ms = self._model.next_ms()
        self._timer.set(None if next_ms is None else next_ms - self._clock.wall_ms())
