"""Runs the attempts of one request: streamed chat completions and calls to plain services."""

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

__all__ = ["CallRun", "ChatRun", "Run", "RunContext"]

# If no token follows another for this long, the stream is aborted and the engine is asked to
# resume it.
_STALL_TIMEOUT_MS = 2_000
# Added to the timeout of idempotent calls, so that the service, which enforces the caller's
# deadline, acts before the HTTP client times out.
_IDEMPOTENT_RESULT_GRACE_MS = 500
# How long after the deadline the result of a call that must not run twice is awaited, so that a
# resend can get it.
_LATE_RESULT_GRACE_MS = 20_000
# Results after which the upstream may still run the attempt and is told to cancel it.
_CANCEL_UPSTREAM_RESULTS = (AttemptResult.FAILED, AttemptResult.PREEMPTED, AttemptResult.ABANDONED)

_log = part_logger("streams")


class RunContext(Protocol):
    """The operations of the service that a run uses."""

    @property
    def clock(self) -> Clock:
        """Monotonic and wall-clock time."""

    def client(self, upstream: UpstreamId) -> UpstreamClient | None:
        """Return the client of an upstream, or None if the upstream is not in use."""

    def incarnation(self, upstream: UpstreamId) -> Incarnation | None:
        """Return the incarnation in the latest report of an upstream."""

    def progressed(self, attempt: AttemptId, position: int) -> None:
        """Record that an attempt's answer has reached `position`, in tokens."""

    def first_token(self, request: Request) -> None:
        """Record that a request got its first token."""

    def refused_leaving(self, upstream: UpstreamId) -> None:
        """Record that an upstream refused an attempt because it is leaving."""

    def ended(self, end: AttemptEnd, incarnation: Incarnation | None) -> None:
        """Record the end of an attempt and the upstream incarnation in which it started."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` in the background and log any exception."""


class _StreamLine(msgspec.Struct, frozen=True):
    """A line of an engine's stream: one token, or the end marker if `end` is set."""

    attempt: str
    position: int = -1
    text: str = ""
    end: bool = False
    total: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0


@dataclass(slots=True)
class _Attempt:
    """State and measurements of one attempt; times are monotonic milliseconds."""

    dispatch: Dispatch
    started_ms: int
    incarnation: Incarnation | None
    stream: LineStream | None = None
    decision: Resume | StartNewAttempt | None = None
    ended: bool = False
    first_ms: int | None = None
    last_ms: int | None = None
    # When reading continued after a pause or the upstream was asked to resume, whichever is later.
    resumed_ms: int = 0
    tokens: int = 0
    paused: bool = False
    was_paused: bool = False
    prefill_tokens: int = 0
    cached_tokens: int = 0
    # Whether an earlier attempt may have sent a byte.
    may_have_sent_before: bool = False


class Run(Protocol):
    """A waiting or running request, as the service controls it."""

    request: Request

    @property
    def outcome(self) -> Outcome:
        """Whether the request ran, did not run, or may have run."""

    def start(self, dispatch: Dispatch) -> None:
        """Start an attempt."""

    def cancel(self, attempt: AttemptId, result: AttemptResult) -> None:
        """End the attempt with `result`, if it is the current one."""

    def refuse(self, error: RequestRefused) -> None:
        """End the request with an error."""

    def finished(self) -> bool:
        """Return whether the request has its answer."""

    def continues_after_deadline(self) -> bool:
        """Return whether the request continues even after its deadline."""

    def check_stall(self, now_ms: int) -> None:
        """Recover the current attempt if it has made no progress for too long."""

    def handle_silent_upstream(self, upstream: UpstreamId) -> None:
        """Recover the current attempt if it runs on `upstream`, which no longer sends reports."""


class ChatRun:
    """One chat completion; a relay merges the tokens of its attempts into one answer.

    Parameters
    ----------
    request : Request
        The request as the scheduler sees it.
    prompt : str
        Conversation as the engine receives it.
    sink : AnswerSink
        Writes the answer to the caller.
    context : RunContext
        The service that schedules the request.
    """

    def __init__(
        self, request: Request, prompt: str, sink: AnswerSink, context: RunContext
    ) -> None:
        self.request = request
        self._prompt = prompt
        self._sink = sink
        self._context = context
        self._relay = StreamRelay()
        self._attempt: _Attempt | None = None
        self._may_have_sent = False
        self._finished = False
        sink.on_writable = self._resume_reading

    @property
    def outcome(self) -> Outcome:
        """Return `RAN` once a token arrived, `UNKNOWN` once a byte may have been sent."""
        if self._relay.position:
            return Outcome.RAN
        return Outcome.UNKNOWN if self._may_have_sent else Outcome.NOT_RUN

    def start(self, dispatch: Dispatch) -> None:
        """Start an attempt that continues after the tokens already received."""
        now_ms = self._context.clock.now_ms()
        attempt = _Attempt(dispatch, now_ms, self._context.incarnation(dispatch.upstream))
        self._relay.start(dispatch.attempt, self._relay.position)
        self._attempt = attempt
        self._context.spawn(self._run_attempt(attempt))

    def cancel(self, attempt: AttemptId, result: AttemptResult) -> None:
        """End the attempt with `result`, if it is the current one."""
        current = self._attempt
        if current is not None and current.dispatch.attempt == attempt:
            self._end_attempt(current, result)

    def refuse(self, error: RequestRefused) -> None:
        """End the answer with an error, unless it has ended."""
        if not self._finished:
            self._finished = True
            self._sink.refused(error)

    def finished(self) -> bool:
        """Return whether the caller has the answer or an error."""
        return self._finished

    def continues_after_deadline(self) -> bool:
        """Return False: no one can use an answer that ends after the deadline."""
        return False

    def check_stall(self, now_ms: int) -> None:
        """Break and resume the stream if no token arrived within the stall timeout."""
        attempt = self._attempt
        if attempt is None or attempt.ended or attempt.paused or attempt.last_ms is None:
            return
        if now_ms - max(attempt.last_ms, attempt.resumed_ms) >= _STALL_TIMEOUT_MS:
            attempt.resumed_ms = now_ms
            self._abort_stream(attempt)

    def handle_silent_upstream(self, upstream: UpstreamId) -> None:
        """Break and resume the stream; the attempt ends if the upstream cannot resume it."""
        attempt = self._attempt
        if attempt is not None and attempt.dispatch.upstream == upstream:
            self._abort_stream(attempt)

    async def _run_attempt(self, attempt: _Attempt) -> None:
        dispatch = attempt.dispatch
        client = self._context.client(dispatch.upstream)
        if client is None:
            self._end_attempt(attempt, AttemptResult.NOT_STARTED)
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
                lambda line: self._handle_line(attempt, line),
                deadline_wall_ms=_wall_deadline_ms(self.request, self._context.clock),
                may_send=lambda: self._may_send(attempt),
            )
        except UpstreamError as error:
            self._may_have_sent = self._may_have_sent or _may_have_run(error)
            _log.info(
                "attempt failed before its stream started", extra=_log_fields(dispatch, error)
            )
            self._end_attempt(attempt, attempt_result(error))
            return
        self._may_have_sent = True
        await self._read_until_ended(attempt, client, stream)

    async def _read_until_ended(
        self, attempt: _Attempt, client: UpstreamClient, stream: LineStream
    ) -> None:
        while True:
            self._attach_stream(attempt, stream)
            try:
                await stream.finished
            except UpstreamError as error:
                _log.info(
                    "connection of a stream was lost", extra=_log_fields(attempt.dispatch, error)
                )
            if attempt.ended:
                return
            decision = attempt.decision or self._relay.connection_lost(attempt.dispatch.attempt)
            attempt.decision = None
            if not isinstance(decision, Resume):
                self._end_attempt(attempt, AttemptResult.FAILED)
                return
            try:
                stream = await client.resume(
                    decision.attempt,
                    decision.position,
                    lambda line: self._handle_line(attempt, line),
                )
            except UpstreamError as error:
                result = await self._classify_resume_failure(attempt, client, error)
                self._relay.resume_unavailable(attempt.dispatch.attempt)
                self._end_attempt(attempt, result)
                return

    async def _classify_resume_failure(
        self, attempt: _Attempt, client: UpstreamClient, error: UpstreamError
    ) -> AttemptResult:
        """Return the attempt's result: a crash only if the upstream is down or has restarted."""
        if isinstance(error, UpstreamLeaving):
            return AttemptResult.LEAVING
        if isinstance(error, UpstreamStalled):
            return AttemptResult.FAILED
        result = attempt_result(error)
        if result in (AttemptResult.CRASHED, AttemptResult.NOT_STARTED) and not _may_have_run(
            error
        ):
            return AttemptResult.CRASHED
        try:
            report, _ = await client.report()
        except UpstreamError as report_error:
            return AttemptResult.FAILED if report_error.sent else AttemptResult.CRASHED
        known = attempt.incarnation
        restarted = known is not None and report.incarnation > known
        return AttemptResult.CRASHED if restarted else AttemptResult.FAILED

    def _attach_stream(self, attempt: _Attempt, stream: LineStream) -> None:
        attempt.stream = stream
        if attempt.ended:
            stream.abort()
        elif self._sink.full():
            self._pause_reading(attempt)

    def _may_send(self, attempt: _Attempt) -> bool:
        return not attempt.ended and self._context.clock.now_ms() < self.request.deadline_ms

    def _handle_line(self, attempt: _Attempt, data: bytes) -> bool:
        """Handle a line of an attempt's stream and return whether to read on."""
        if attempt.ended or attempt.decision is not None:
            return False
        try:
            line = msgspec.json.decode(data, type=_StreamLine)
        except (msgspec.DecodeError, RecursionError) as error:
            _log.warning(
                "stream line from an upstream cannot be decoded",
                extra=_log_fields(attempt.dispatch, error),
            )
            return False
        source = AttemptId(line.attempt)
        if line.end:
            if source == attempt.dispatch.attempt:
                attempt.prefill_tokens = line.prefill_tokens
                attempt.cached_tokens = line.cached_tokens
            return self._apply_decision(attempt, self._relay.handle_end(source, line.total))
        return self._apply_decision(
            attempt, self._relay.handle_token(source, line.position, line.text)
        )

    def _apply_decision(
        self, attempt: _Attempt, decision: Emit | Drop | Resume | StartNewAttempt | Complete
    ) -> bool:
        match decision:
            case Emit(text=text):
                self._emit_token(attempt, text)
            case Drop(reason=reason):
                _log.debug("dropped a stream line", extra={"reason": reason})
            case Resume() | StartNewAttempt():
                attempt.decision = decision
                return False
            case Complete(total=total):
                self._finish_answer(attempt, total)
        return True

    def _emit_token(self, attempt: _Attempt, text: str) -> None:
        now_ms = self._context.clock.now_ms()
        if self._relay.position == 1:
            self._context.first_token(self.request)
        if attempt.first_ms is None:
            attempt.first_ms = now_ms
        attempt.last_ms = now_ms
        attempt.tokens += 1
        self._sink.text(text)
        self._context.progressed(attempt.dispatch.attempt, self._relay.position)
        if self._sink.full():
            self._pause_reading(attempt)

    def _finish_answer(self, attempt: _Attempt, total: int) -> None:
        self._finished = True
        self._sink.done(Usage(self.request.prompt_tokens, total))
        self._end_attempt(attempt, AttemptResult.COMPLETED)

    def _pause_reading(self, attempt: _Attempt) -> None:
        attempt.paused = attempt.was_paused = True
        if attempt.stream is not None:
            attempt.stream.pause()

    def _resume_reading(self) -> None:
        attempt = self._attempt
        if attempt is None or not attempt.paused:
            return
        attempt.paused = False
        attempt.resumed_ms = self._context.clock.now_ms()
        if attempt.stream is not None:
            attempt.stream.resume()

    def _abort_stream(self, attempt: _Attempt) -> None:
        if attempt.stream is not None and not attempt.ended:
            attempt.stream.abort()

    def _end_attempt(self, attempt: _Attempt, result: AttemptResult) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        if self._attempt is attempt:
            self._attempt = None
        if attempt.stream is not None and result is not AttemptResult.COMPLETED:
            attempt.stream.abort()
        client = self._context.client(attempt.dispatch.upstream)
        if client is not None and result in _CANCEL_UPSTREAM_RESULTS:
            self._context.spawn(_cancel_on_upstream(client, attempt.dispatch.attempt))
        self._context.ended(
            _attempt_end(attempt, result, self._relay.position), attempt.incarnation
        )


class CallRun:
    """One call to a plain service.

    Parameters
    ----------
    request : Request
        The request as the scheduler sees it.
    body : bytes
        JSON body of the call.
    context : RunContext
        The service that schedules the request.
    may_send : callable
        Checked immediately before the first byte of each attempt.

    Attributes
    ----------
    answer : Deferred
        Fires with the JSON result, or fails with `RequestRefused`.
    """

    def __init__(
        self,
        request: Request,
        body: bytes,
        context: RunContext,
        may_send: Callable[[], bool],
    ) -> None:
        self.request = request
        self.answer: Deferred[bytes] = Deferred()
        self._body = body
        self._context = context
        self._caller_may_send = may_send
        self._attempt: _Attempt | None = None
        self._may_have_sent = False
        self._result_received = False

    @property
    def outcome(self) -> Outcome:
        """Return `RAN` with a result, `NOT_RUN` only while no byte can have been sent."""
        if self._result_received:
            return Outcome.RAN
        return Outcome.UNKNOWN if self._may_have_sent else Outcome.NOT_RUN

    def start(self, dispatch: Dispatch) -> None:
        """Start an attempt.

        Raises
        ------
        RuntimeError
            If the call is not idempotent and a byte of it may have been sent.
        """
        if self._may_have_sent and not self.request.idempotent:
            raise RuntimeError(f"call {self.request.request!r} must not be dispatched again")
        now_ms = self._context.clock.now_ms()
        attempt = _Attempt(dispatch, now_ms, self._context.incarnation(dispatch.upstream))
        attempt.may_have_sent_before = self._may_have_sent
        self._attempt = attempt
        self._context.spawn(self._run_attempt(attempt))

    def cancel(self, attempt: AttemptId, result: AttemptResult) -> None:
        """End the attempt with `result`, unless it may have been sent and must not be repeated."""
        current = self._attempt
        if current is None or current.dispatch.attempt != attempt:
            return
        if self._may_have_sent and not self.request.idempotent:
            return
        self._end_attempt(current, result)

    def refuse(self, error: RequestRefused) -> None:
        """End the call with an error, after which no attempt sends anything."""
        if not self.answer.called:
            self.answer.errback(error)

    def finished(self) -> bool:
        """Return whether the call has its answer."""
        return bool(self.answer.called)

    def continues_after_deadline(self) -> bool:
        """Return True once a non-idempotent call was sent, as a resend may ask for its result."""
        return self._may_have_sent and not self.request.idempotent

    def check_stall(self, now_ms: int) -> None:
        """Do nothing; a call is bounded by its deadline."""

    def handle_silent_upstream(self, upstream: UpstreamId) -> None:
        """Do nothing; a call is bounded by its deadline."""

    async def _run_attempt(self, attempt: _Attempt) -> None:
        client = self._context.client(attempt.dispatch.upstream)
        if client is None:
            self._end_attempt(attempt, AttemptResult.NOT_STARTED)
            return
        remaining_ms = self.request.deadline_ms - self._context.clock.now_ms()
        grace_ms = _IDEMPOTENT_RESULT_GRACE_MS if self.request.idempotent else _LATE_RESULT_GRACE_MS
        try:
            result = await client.call(
                attempt.dispatch.attempt,
                self.request.route,
                self._body,
                timeout_ms=max(1, remaining_ms) + grace_ms,
                deadline_wall_ms=_wall_deadline_ms(self.request, self._context.clock),
                may_send=lambda: self._may_send(attempt),
            )
        except UpstreamError as error:
            self._handle_failure(attempt, error)
            return
        self._result_received = True
        # A call has no tokens: its duration is reported as the time to the first token.
        attempt.first_ms = self._context.clock.now_ms()
        if not self.answer.called:
            self.answer.callback(result)
        self._end_attempt(attempt, AttemptResult.COMPLETED)

    def _may_send(self, attempt: _Attempt) -> bool:
        if attempt.ended or self.answer.called:
            return False
        in_time = self._context.clock.now_ms() < self.request.deadline_ms
        allowed = in_time and self._caller_may_send()
        # Set before the first byte is sent, so that a failure at any later point counts as sent.
        self._may_have_sent = self._may_have_sent or allowed
        return allowed

    def _handle_failure(self, attempt: _Attempt, error: UpstreamError) -> None:
        _log.info("attempt of a call failed", extra=_log_fields(attempt.dispatch, error))
        result = attempt_result(error)
        if isinstance(error, UpstreamLeaving):
            self._context.refused_leaving(attempt.dispatch.upstream)
        if isinstance(error, UpstreamRejected):
            # A plain service may return any error status after it ran the call.
            result = AttemptResult.FAILED
        elif result is AttemptResult.LEAVING and not self.request.idempotent:
            # A byte was sent, so no other upstream may get the call.
            result = AttemptResult.FAILED
        elif result in (AttemptResult.LEAVING, AttemptResult.NOT_STARTED):
            self._may_have_sent = attempt.may_have_sent_before
        self._end_attempt(attempt, result)

    def _end_attempt(self, attempt: _Attempt, result: AttemptResult) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self._attempt = None
        self._context.ended(_attempt_end(attempt, result, 0), attempt.incarnation)


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


def _may_have_run(error: UpstreamError) -> bool:
    """Return whether the upstream may have started to run the request."""
    return error.sent and attempt_result(error) is not AttemptResult.NOT_STARTED


async def _cancel_on_upstream(client: UpstreamClient, attempt: AttemptId) -> None:
    try:
        await client.cancel(attempt)
    except UpstreamError as error:
        # Not retried: the upstream ends attempts that have no connection.
        _log.debug(
            "cancelling an attempt on its upstream failed",
            extra={"attempt": attempt, "error": str(error)},
        )


def _log_fields(dispatch: Dispatch, error: Exception) -> dict[str, str]:
    return {
        "attempt": dispatch.attempt,
        "upstream": dispatch.upstream,
        "error": str(error),
    }
