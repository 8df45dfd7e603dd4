"""Drives the attempts of one request: streams through the relay, and calls."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import RequestRefused, UpstreamError
from skylarkmoor_core.ids import AttemptId, Incarnation, RequestId, UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.outcome import Outcome
from skylarkmoor_daemon.answers import AnswerSink, Usage
from skylarkmoor_daemon.upstreams import (
    GenerateCall,
    LineStream,
    UpstreamClient,
    UpstreamLeaving,
    UpstreamRejected,
    UpstreamStalled,
    attempt_result,
)
from skylarkmoor_policy.actions import Dispatch
from skylarkmoor_policy.relay import Complete, Drop, Emit, Resume, StartNewAttempt, StreamRelay
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request

__all__ = ["CallRun", "ChatRun", "Run", "Surroundings"]

# An engine that sends nothing for this long between two tokens is asked to resume.
_STALL_MS = 2_000
# The caller's deadline is the service's to enforce; this keeps the two timers apart.
_ANSWER_GRACE_MS = 500
# How long after its deadline the result of a call that must not run twice is waited for, so
# that a resend can get it.
_LATE_RESULT_MS = 20_000
# Results after which the upstream may still run the attempt.
_NEEDS_CANCEL = (AttemptResult.FAILED, AttemptResult.PREEMPTED, AttemptResult.ABANDONED)

_log = part_logger("streams")


class Surroundings(Protocol):
    """What a run needs of the service."""

    @property
    def clock(self) -> Clock:
        """Source of times."""

    def client(self, upstream: UpstreamId) -> UpstreamClient | None:
        """Return the client of an upstream that is in use."""

    def incarnation(self, upstream: UpstreamId) -> Incarnation | None:
        """Return the incarnation that an upstream last reported."""

    def progressed(self, attempt: AttemptId, position: int) -> None:
        """Note that an attempt's answer has reached `position`."""

    def first_token(self, request: Request) -> None:
        """Note that a request got its first token."""

    def refused_leaving(self, upstream: UpstreamId) -> None:
        """Note that an upstream refused work because it is leaving."""

    def ended(self, end: AttemptEnd, incarnation: Incarnation | None) -> None:
        """Note the end of an attempt that began in this incarnation of its upstream."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` and log what it raises."""


class _Line(msgspec.Struct, frozen=True):
    """A line of a stream: a chunk, or the end marker if `end` is set."""

    attempt: str
    position: int = -1
    text: str = ""
    end: bool = False
    total: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0


@dataclass(slots=True)
class _Attempt:
    """One attempt and what was measured of it; times are monotonic milliseconds."""

    dispatch: Dispatch
    started_ms: int
    incarnation: Incarnation | None
    stream: LineStream | None = None
    decision: Resume | StartNewAttempt | None = None
    ended: bool = False
    first_ms: int | None = None
    last_ms: int | None = None
    # When reading went on after a pause, or the upstream was asked to resume.
    resumed_ms: int = 0
    tokens: int = 0
    paused: bool = False
    was_paused: bool = False
    prefill_tokens: int = 0
    cached_tokens: int = 0
    # Whether an earlier attempt may have left a byte.
    sent_before: bool = False


class Run(Protocol):
    """A request that is waiting or running."""

    request: Request

    @property
    def outcome(self) -> Outcome:
        """What can be said now about whether the request ran."""

    def start(self, dispatch: Dispatch) -> None:
        """Start an attempt."""

    def cancel(self, attempt: AttemptId, result: AttemptResult) -> None:
        """End the attempt with `result`, if it is the current one."""

    def refuse(self, error: RequestRefused) -> None:
        """End the request with an error."""

    def finished(self) -> bool:
        """Return whether the request has its answer."""

    def must_go_on(self) -> bool:
        """Return whether the request is to be finished even after its deadline."""

    def check_stall(self, now_ms: int) -> None:
        """Act on an attempt that makes no progress."""

    def upstream_silent(self, upstream: UpstreamId) -> None:
        """Act on an upstream that no longer answers reports."""


class ChatRun:
    """One chat completion: its attempts feed the relay, the relay feeds the caller.

    Parameters
    ----------
    request : Request
        The request as the scheduler sees it.
    prompt : str
        Text of the conversation.
    sink : AnswerSink
        Where the answer goes.
    surroundings : Surroundings
        The service.
    """

    def __init__(
        self, request: Request, prompt: str, sink: AnswerSink, surroundings: Surroundings
    ) -> None:
        self.request = request
        self._prompt = prompt
        self._sink = sink
        self._env = surroundings
        self._relay = StreamRelay()
        self._attempt: _Attempt | None = None
        self._sent = False
        self._finished = False
        sink.on_room = self._resume_reading

    @property
    def outcome(self) -> Outcome:
        """Return `RAN` once a token came, `UNKNOWN` once a byte may have left."""
        if self._relay.position:
            return Outcome.RAN
        return Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN

    def start(self, dispatch: Dispatch) -> None:
        """Start an attempt at the position that the caller has reached."""
        now_ms = self._env.clock.now_ms()
        attempt = _Attempt(dispatch, now_ms, self._env.incarnation(dispatch.upstream))
        self._relay.start(dispatch.attempt, self._relay.position)
        self._attempt = attempt
        self._env.spawn(self._drive(attempt))

    def cancel(self, attempt: AttemptId, result: AttemptResult) -> None:
        """End the attempt with `result`, if it is the current one."""
        current = self._attempt
        if current is not None and current.dispatch.attempt == attempt:
            self._end(current, result)

    def refuse(self, error: RequestRefused) -> None:
        """End the answer with an error."""
        if not self._finished:
            self._finished = True
            self._sink.refused(error)

    def finished(self) -> bool:
        """Return whether the caller has the answer or an error."""
        return self._finished

    def must_go_on(self) -> bool:
        """Return False; a late answer is of no use."""
        return False

    def check_stall(self, now_ms: int) -> None:
        """Ask the upstream to resume if tokens stopped coming."""
        attempt = self._attempt
        if attempt is None or attempt.ended or attempt.paused or attempt.last_ms is None:
            return
        if now_ms - max(attempt.last_ms, attempt.resumed_ms) >= _STALL_MS:
            attempt.resumed_ms = now_ms
            self._abort(attempt)

    def upstream_silent(self, upstream: UpstreamId) -> None:
        """Ask an upstream that answers no reports to resume; it is given up if it does not."""
        attempt = self._attempt
        if attempt is not None and attempt.dispatch.upstream == upstream:
            self._abort(attempt)

    async def _drive(self, attempt: _Attempt) -> None:
        dispatch = attempt.dispatch
        client = self._env.client(dispatch.upstream)
        if client is None:
            self._end(attempt, AttemptResult.NOT_STARTED)
            return
        call = GenerateCall(
            attempt=dispatch.attempt,
            version=dispatch.version,
            prompt=f"{self._prompt} {self._relay.text}" if self._relay.text else self._prompt,
            max_tokens=self.request.max_output_tokens,
            start_position=self._relay.position,
        )
        try:
            stream = await client.generate(
                call,
                lambda line: self._line(attempt, line),
                deadline_wall_ms=_wall_deadline_ms(self.request, self._env.clock),
                may_send=lambda: self._may_send(attempt),
            )
        except UpstreamError as error:
            self._sent = self._sent or _took(error)
            _log.info("an attempt failed", extra=_extra(dispatch, error))
            self._end(attempt, attempt_result(error))
            return
        self._sent = True
        await self._follow(attempt, client, stream)

    async def _follow(self, attempt: _Attempt, client: UpstreamClient, stream: LineStream) -> None:
        while True:
            self._attach(attempt, stream)
            try:
                await stream.finished
            except UpstreamError as error:
                _log.info("a stream broke", extra=_extra(attempt.dispatch, error))
            if attempt.ended:
                return
            decision = attempt.decision or self._relay.connection_lost(attempt.dispatch.attempt)
            attempt.decision = None
            if not isinstance(decision, Resume):
                self._end(attempt, AttemptResult.FAILED)
                return
            try:
                stream = await client.resume(
                    decision.attempt,
                    decision.position,
                    lambda line: self._line(attempt, line),
                )
            except UpstreamError as error:
                result = await self._resume_failed(attempt, client, error)
                self._relay.resume_unavailable(attempt.dispatch.attempt)
                self._end(attempt, result)
                return

    async def _resume_failed(
        self, attempt: _Attempt, client: UpstreamClient, error: UpstreamError
    ) -> AttemptResult:
        """Tell a crash from an upstream that has only forgotten the attempt."""
        if isinstance(error, UpstreamLeaving):
            return AttemptResult.LEAVING
        if isinstance(error, UpstreamStalled):
            return AttemptResult.FAILED
        result = attempt_result(error)
        if result in (AttemptResult.CRASHED, AttemptResult.NOT_STARTED) and not _took(error):
            return AttemptResult.CRASHED
        try:
            report, _ = await client.report()
        except UpstreamError as silent:
            return AttemptResult.FAILED if silent.sent else AttemptResult.CRASHED
        known = attempt.incarnation
        restarted = known is not None and report.incarnation > known
        return AttemptResult.CRASHED if restarted else AttemptResult.FAILED

    def _attach(self, attempt: _Attempt, stream: LineStream) -> None:
        attempt.stream = stream
        if attempt.ended:
            stream.abort()
        elif self._sink.full():
            self._pause_reading(attempt)

    def _may_send(self, attempt: _Attempt) -> bool:
        return not attempt.ended and self._env.clock.now_ms() < self.request.deadline_ms

    def _line(self, attempt: _Attempt, data: bytes) -> bool:
        """Take a line of an attempt's stream and return whether to read on."""
        if attempt.ended or attempt.decision is not None:
            return False
        try:
            line = msgspec.json.decode(data, type=_Line)
        except msgspec.DecodeError as error:
            _log.warning("invalid line", extra=_extra(attempt.dispatch, error))
            return False
        source = AttemptId(line.attempt)
        if line.end:
            if source == attempt.dispatch.attempt:
                attempt.prefill_tokens = line.prefill_tokens
                attempt.cached_tokens = line.cached_tokens
            return self._decide(attempt, self._relay.handle_end(source, line.total))
        return self._decide(attempt, self._relay.handle_token(source, line.position, line.text))

    def _decide(
        self, attempt: _Attempt, decision: Emit | Drop | Resume | StartNewAttempt | Complete
    ) -> bool:
        match decision:
            case Emit(text=text):
                self._emit(attempt, text)
            case Drop(reason=reason):
                _log.debug("dropped a line", extra={"reason": reason})
            case Resume() | StartNewAttempt():
                attempt.decision = decision
                return False
            case Complete(total=total):
                self._complete(attempt, total)
        return True

    def _emit(self, attempt: _Attempt, text: str) -> None:
        now_ms = self._env.clock.now_ms()
        if self._relay.position == 1:
            self._env.first_token(self.request)
        if attempt.first_ms is None:
            attempt.first_ms = now_ms
        attempt.last_ms = now_ms
        attempt.tokens += 1
        self._sink.text(text)
        self._env.progressed(attempt.dispatch.attempt, self._relay.position)
        if self._sink.full():
            self._pause_reading(attempt)

    def _complete(self, attempt: _Attempt, total: int) -> None:
        self._finished = True
        self._sink.done(Usage(self.request.prompt_tokens, total))
        self._end(attempt, AttemptResult.COMPLETED)

    def _pause_reading(self, attempt: _Attempt) -> None:
        attempt.paused = attempt.was_paused = True
        if attempt.stream is not None:
            attempt.stream.pause()

    def _resume_reading(self) -> None:
        attempt = self._attempt
        if attempt is None or not attempt.paused:
            return
        attempt.paused = False
        attempt.resumed_ms = self._env.clock.now_ms()
        if attempt.stream is not None:
            attempt.stream.resume()

    def _abort(self, attempt: _Attempt) -> None:
        if attempt.stream is not None and not attempt.ended:
            attempt.stream.abort()

    def _end(self, attempt: _Attempt, result: AttemptResult) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        if self._attempt is attempt:
            self._attempt = None
        if attempt.stream is not None and result is not AttemptResult.COMPLETED:
            attempt.stream.abort()
        client = self._env.client(attempt.dispatch.upstream)
        if client is not None and result in _NEEDS_CANCEL:
            self._env.spawn(_cancel(client, attempt.dispatch.attempt))
        self._env.ended(_attempt_end(attempt, result, self._relay.position), attempt.incarnation)


class CallRun:
    """One call to a plain service.

    Parameters
    ----------
    request : Request
        The request as the scheduler sees it.
    body : bytes
        JSON text of the call.
    surroundings : Surroundings
        The service.
    may_send : callable
        Asked right before the first byte of each attempt.

    Attributes
    ----------
    answer : Deferred
        Fires with the JSON result, or fails with `RequestRefused`.
    """

    def __init__(
        self,
        request: Request,
        body: bytes,
        surroundings: Surroundings,
        may_send: Callable[[], bool],
    ) -> None:
        self.request = request
        self.answer: Deferred[bytes] = Deferred()
        self._body = body
        self._env = surroundings
        self._allowed = may_send
        self._attempt: _Attempt | None = None
        self._sent = False
        self._ran = False

    @property
    def outcome(self) -> Outcome:
        """Return `NOT_RUN` only while no byte can have left."""
        if self._ran:
            return Outcome.RAN
        return Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN

    def start(self, dispatch: Dispatch) -> None:
        """Start an attempt.

        Raises
        ------
        RuntimeError
            If the call is not idempotent and a byte of it may have left.
        """
        if self._sent and not self.request.idempotent:
            raise RuntimeError(f"call {self.request.request!r} must not be dispatched again")
        now_ms = self._env.clock.now_ms()
        attempt = _Attempt(dispatch, now_ms, self._env.incarnation(dispatch.upstream))
        attempt.sent_before = self._sent
        self._attempt = attempt
        self._env.spawn(self._drive(attempt))

    def cancel(self, attempt: AttemptId, result: AttemptResult) -> None:
        """End the attempt with `result`, unless it must not be repeated."""
        current = self._attempt
        if current is None or current.dispatch.attempt != attempt:
            return
        if self._sent and not self.request.idempotent:
            return
        self._end(current, result)

    def refuse(self, error: RequestRefused) -> None:
        """End the call with an error; nothing of it is sent from now on."""
        if not self.answer.called:
            self.answer.errback(error)

    def finished(self) -> bool:
        """Return whether the call has its answer."""
        return bool(self.answer.called)

    def must_go_on(self) -> bool:
        """Return whether a resend may ask how the call ended."""
        return self._sent and not self.request.idempotent

    def check_stall(self, now_ms: int) -> None:
        """Do nothing; a call is bounded by its deadline."""

    def upstream_silent(self, upstream: UpstreamId) -> None:
        """Do nothing; a call is bounded by its deadline."""

    async def _drive(self, attempt: _Attempt) -> None:
        client = self._env.client(attempt.dispatch.upstream)
        if client is None:
            self._end(attempt, AttemptResult.NOT_STARTED)
            return
        left_ms = self.request.deadline_ms - self._env.clock.now_ms()
        grace_ms = _ANSWER_GRACE_MS if self.request.idempotent else _LATE_RESULT_MS
        try:
            result = await client.call(
                attempt.dispatch.attempt,
                self.request.route,
                self._body,
                timeout_ms=max(1, left_ms) + grace_ms,
                deadline_wall_ms=_wall_deadline_ms(self.request, self._env.clock),
                may_send=lambda: self._may_send(attempt),
            )
        except UpstreamError as error:
            self._failed(attempt, error)
            return
        self._ran = True
        # The duration of a call stands in for its first token.
        attempt.first_ms = self._env.clock.now_ms()
        if not self.answer.called:
            self.answer.callback(result)
        self._end(attempt, AttemptResult.COMPLETED)

    def _may_send(self, attempt: _Attempt) -> bool:
        if attempt.ended or self.answer.called:
            return False
        in_time = self._env.clock.now_ms() < self.request.deadline_ms
        allowed = in_time and self._allowed()
        # Set before the first byte, so that no path can forget it.
        self._sent = self._sent or allowed
        return allowed

    def _failed(self, attempt: _Attempt, error: UpstreamError) -> None:
        _log.info("an attempt failed", extra=_extra(attempt.dispatch, error))
        result = attempt_result(error)
        if isinstance(error, UpstreamLeaving):
            self._env.refused_leaving(attempt.dispatch.upstream)
        if isinstance(error, UpstreamRejected):
            # A plain service may answer with any error status after it ran the call.
            result = AttemptResult.FAILED
        elif result is AttemptResult.LEAVING and not self.request.idempotent:
            # A byte was sent, so no other upstream may get the call.
            result = AttemptResult.FAILED
        elif result in (AttemptResult.LEAVING, AttemptResult.NOT_STARTED):
            self._sent = attempt.sent_before
        self._end(attempt, result)

    def _end(self, attempt: _Attempt, result: AttemptResult) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self._attempt = None
        self._env.ended(_attempt_end(attempt, result, 0), attempt.incarnation)


def _attempt_end(attempt: _Attempt, result: AttemptResult, position: int) -> AttemptEnd:
    dispatch = attempt.dispatch
    first_ms = None if attempt.first_ms is None else attempt.first_ms - attempt.started_ms
    between_ms = None
    if attempt.tokens > 1 and not attempt.was_paused:
        elapsed_ms = (attempt.last_ms or 0) - (attempt.first_ms or 0)
        between_ms = elapsed_ms // (attempt.tokens - 1)
    return AttemptEnd(
        request=RequestId(dispatch.request),
        attempt=dispatch.attempt,
        upstream=dispatch.upstream,
        version=dispatch.version,
        result=result,
        position_tokens=position,
        prefill_tokens=attempt.prefill_tokens,
        cached_tokens=attempt.cached_tokens,
        first_token_ms=first_ms,
        between_tokens_ms=between_ms,
    )


def _wall_deadline_ms(request: Request, clock: Clock) -> int:
    return request.deadline_ms - clock.now_ms() + clock.wall_ms()


def _took(error: UpstreamError) -> bool:
    """Return whether the upstream may have run something of the request."""
    return error.sent and attempt_result(error) is not AttemptResult.NOT_STARTED


async def _cancel(client: UpstreamClient, attempt: AttemptId) -> None:
    try:
        await client.cancel(attempt)
    except UpstreamError as error:
        # The upstream ends an attempt without a connection by itself.
        _log.debug("a cancel failed", extra={"attempt": attempt, "error": str(error)})


def _extra(dispatch: Dispatch, error: Exception) -> dict[str, str]:
    return {
        "attempt": dispatch.attempt,
        "upstream": dispatch.upstream,
        "error": str(error),
    }
