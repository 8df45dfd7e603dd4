"""Asking side of the claim protocol: decides when a non-idempotent call is dispatched."""

from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import Protocol

from automat import TypeMachineBuilder

from skylarkmoor_core.ids import ClaimId, HostId, Incarnation
from skylarkmoor_core.messages import (
    ClaimRequest,
    ClaimResult,
    ClaimStatus,
    OutcomeAnswer,
    OutcomeQuery,
    ReleaseRequest,
)
from skylarkmoor_core.outcome import ErrorCode, Outcome
from skylarkmoor_policy.actions import Send

__all__ = [
    "DISPATCH_LIMIT_MS",
    "AnswerCaller",
    "ClaimRequester",
    "ClaimState",
    "DispatchCall",
    "HolderDecision",
    "QueryOutcome",
    "SendClaimRequest",
    "SendReleaseRequest",
]

# Longest time from the claim request to the dispatch; a daemon that was paused for longer does
# not dispatch. It is far below EXPIRY_MARGIN_MS, so no claim expires before its dispatch.
DISPATCH_LIMIT_MS = 5_000

# A won claim cannot have expired within this time after it was requested. After that, another
# copy of the call may have run, so the outcome NOT_RUN can no longer be guaranteed.
_CLAIM_VALID_MS = 30_000

_RETRY_INTERVAL_MS = 500
# Delay before the next request after NOT_OWNER, until the membership names the new owner.
_NOT_OWNER_RETRY_MS = 100
# Release requests may be lost, and an unreleased key stays held for the dedup window.
_MAX_RELEASE_ATTEMPTS = 5
_MAX_WAITING_QUERIES = 64


class ClaimState(Enum):
    """State of a claim at the daemon that requested it."""

    REQUESTED = "asked"
    WON = "won"
    DISPATCHING = "dispatching"
    DONE = "done"
    RELEASED = "released"
    LOST = "lost"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SendClaimRequest:
    """Send the claim request to the current owner of the partition."""

    request: ClaimRequest


@dataclass(frozen=True, slots=True)
class SendReleaseRequest:
    """Send the release request to the current owner of the partition."""

    request: ReleaseRequest


@dataclass(frozen=True, slots=True)
class DispatchCall:
    """Dispatch the call: send its first byte at once, without waiting for anything first."""


@dataclass(frozen=True, slots=True)
class QueryOutcome:
    """Query `host` for the outcome of `claim`; report if that incarnation has ended."""

    host: HostId
    incarnation: Incarnation
    claim: ClaimId


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Answer the caller, with an error if `code` is set, else with the upstream's response."""

    outcome: Outcome
    code: ErrorCode | None = None
    status_code: int = 0
    body: bytes = b""


HolderDecision = (
    SendClaimRequest | SendReleaseRequest | DispatchCall | QueryOutcome | AnswerCaller | Send
)
_Decisions = list[HolderDecision]


@dataclass(slots=True)
class _Call:
    """Data of the state machine: the claim request, the response and waiting queries."""

    request: ClaimRequest
    status_code: int = 0
    body: bytes = b""
    answered: bool = False
    waiting: list[tuple[HostId, int]] = field(default_factory=list)

    def answer(self, answer: AnswerCaller) -> _Decisions:
        """Return `answer` unless the caller has already been answered."""
        if self.answered:
            return []
        self.answered = True
        return [answer]

    def release_request(self) -> SendReleaseRequest:
        """Return the decision to request the release of this claim."""
        return SendReleaseRequest(ReleaseRequest(self.request.claim, self.request.key_hash))

    def reply(self, to: HostId, query: int, outcome: Outcome, done: bool = True) -> Send:
        """Return the reply to an outcome query."""
        claim = self.request.claim
        return Send(to, OutcomeAnswer(claim, query, done, outcome, self.status_code, self.body))

    def reply_to_waiting(self, outcome: Outcome) -> _Decisions:
        """Return the replies to all queries that wait for the call to end, and clear them."""
        waiting, self.waiting = self.waiting, []
        return [self.reply(host, query, outcome) for host, query in waiting]


class _Inputs(Protocol):
    def state(self) -> ClaimState: ...
    def win(self) -> _Decisions: ...
    def lose(self, result: ClaimResult, still_valid: bool) -> _Decisions: ...
    def give_up(self, code: ErrorCode, still_valid: bool) -> _Decisions: ...
    def dispatch(self) -> _Decisions: ...
    def nothing_sent(self) -> _Decisions: ...
    def finish(self, status_code: int, body: bytes) -> _Decisions: ...
    def fail(self) -> _Decisions: ...
    def learn(self, answer: AnswerCaller) -> _Decisions: ...
    def query(self, sender: HostId, query: int) -> _Decisions: ...


_builder = TypeMachineBuilder(_Inputs, _Call)
_requested = _builder.state("asked")
_won = _builder.state("won")
_dispatching = _builder.state("dispatching")
_done = _builder.state("done")
_released = _builder.state("released")
_lost = _builder.state("lost")
_unknown = _builder.state("unknown")

_STATES = MappingProxyType(
    {
        ClaimState.REQUESTED: _requested,
        ClaimState.WON: _won,
        ClaimState.DISPATCHING: _dispatching,
        ClaimState.DONE: _done,
        ClaimState.RELEASED: _released,
        ClaimState.LOST: _lost,
        ClaimState.UNKNOWN: _unknown,
    }
)
for _name, _state in _STATES.items():
    _state.upon(_Inputs.state).loop().returns(_name)


@_requested.upon(_Inputs.win).to(_won)
def _start_holding(inputs: _Inputs, call: _Call) -> _Decisions:
    return []


@_requested.upon(_Inputs.lose).to(_lost)
def _query_holder(
    inputs: _Inputs, call: _Call, result: ClaimResult, still_valid: bool
) -> _Decisions:
    if result.holder_body_hash != call.request.body_hash:
        outcome = Outcome.NOT_RUN if still_valid else Outcome.UNKNOWN
        return call.answer(AnswerCaller(outcome, ErrorCode.KEY_REUSED))
    if (
        result.holder_host is None
        or result.holder_incarnation is None
        or result.holder_claim is None
    ):
        return call.answer(AnswerCaller(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED))
    return [QueryOutcome(result.holder_host, result.holder_incarnation, result.holder_claim)]


# It is not known whether the claim was appended to the log, so an earlier copy may have run.
@_requested.upon(_Inputs.give_up).to(_released)
def _abandon_request(
    inputs: _Inputs, call: _Call, code: ErrorCode, still_valid: bool
) -> _Decisions:
    return [*call.answer(AnswerCaller(Outcome.UNKNOWN, code)), call.release_request()]


# A valid claim implies that no earlier copy was dispatched. The caller is answered before the
# release is requested, because a later copy may run once the claim is released.
@_won.upon(_Inputs.give_up).to(_released)
def _release_undispatched(
    inputs: _Inputs, call: _Call, code: ErrorCode, still_valid: bool
) -> _Decisions:
    outcome = Outcome.NOT_RUN if still_valid else Outcome.UNKNOWN
    return [
        *call.answer(AnswerCaller(outcome, code)),
        *call.reply_to_waiting(outcome),
        call.release_request(),
    ]


@_won.upon(_Inputs.dispatch).to(_dispatching)
def _start_dispatch(inputs: _Inputs, call: _Call) -> _Decisions:
    return [DispatchCall()]


@_dispatching.upon(_Inputs.nothing_sent).to(_won)
def _return_to_won(inputs: _Inputs, call: _Call) -> _Decisions:
    return []


@_dispatching.upon(_Inputs.finish).to(_done)
def _complete_call(inputs: _Inputs, call: _Call, status_code: int, body: bytes) -> _Decisions:
    call.status_code = status_code
    call.body = body
    answer = AnswerCaller(Outcome.RAN, None, status_code, body)
    return [*call.answer(answer), *call.reply_to_waiting(Outcome.RAN)]


@_dispatching.upon(_Inputs.fail).to(_unknown)
def _fail_call(inputs: _Inputs, call: _Call) -> _Decisions:
    answer = AnswerCaller(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED)
    return [*call.answer(answer), *call.reply_to_waiting(Outcome.UNKNOWN)]


@_lost.upon(_Inputs.learn).loop()
def _forward_outcome(inputs: _Inputs, call: _Call, answer: AnswerCaller) -> _Decisions:
    return call.answer(answer)


@_lost.upon(_Inputs.give_up).loop()
def _stop_waiting_for_outcome(
    inputs: _Inputs, call: _Call, code: ErrorCode, still_valid: bool
) -> _Decisions:
    return call.answer(AnswerCaller(Outcome.UNKNOWN, code))


# The claim was given up or lost, but a late append by another owner made it hold the key. It
# is never dispatched, so it is released.
@_lost.upon(_Inputs.win).loop()
@_released.upon(_Inputs.win).loop()
def _release_late_win(inputs: _Inputs, call: _Call) -> _Decisions:
    return [call.release_request()]


@_requested.upon(_Inputs.query).loop()
@_won.upon(_Inputs.query).loop()
@_dispatching.upon(_Inputs.query).loop()
def _defer_query(inputs: _Inputs, call: _Call, sender: HostId, query: int) -> _Decisions:
    if len(call.waiting) < _MAX_WAITING_QUERIES and (sender, query) not in call.waiting:
        call.waiting.append((sender, query))
    return [call.reply(sender, query, Outcome.UNKNOWN, done=False)]


@_done.upon(_Inputs.query).loop()
def _reply_ran(inputs: _Inputs, call: _Call, sender: HostId, query: int) -> _Decisions:
    return [call.reply(sender, query, Outcome.RAN)]


@_unknown.upon(_Inputs.query).loop()
def _reply_unknown(inputs: _Inputs, call: _Call, sender: HostId, query: int) -> _Decisions:
    return [call.reply(sender, query, Outcome.UNKNOWN)]


# Such a query means that the release is not in the log yet; its request may have been lost.
@_released.upon(_Inputs.query).loop()
@_lost.upon(_Inputs.query).loop()
def _reply_not_run(inputs: _Inputs, call: _Call, sender: HostId, query: int) -> _Decisions:
    return [call.reply(sender, query, Outcome.NOT_RUN), call.release_request()]


def _no_decisions(inputs: _Inputs, call: _Call, *args: object) -> _Decisions:
    return []


def _ignore_input(name: str, *states: ClaimState) -> None:
    for state in states:
        _STATES[state].upon(getattr(_Inputs, name)).loop()(_no_decisions)


_BEFORE_DISPATCH = (ClaimState.REQUESTED, ClaimState.WON)
_ENDED = (ClaimState.DONE, ClaimState.RELEASED, ClaimState.UNKNOWN)

_ignore_input("win", ClaimState.WON, ClaimState.DISPATCHING, ClaimState.DONE, ClaimState.UNKNOWN)
_ignore_input("lose", ClaimState.WON, ClaimState.DISPATCHING, ClaimState.LOST, *_ENDED)
_ignore_input("give_up", ClaimState.DISPATCHING, *_ENDED)
_ignore_input("dispatch", ClaimState.REQUESTED, ClaimState.DISPATCHING, ClaimState.LOST, *_ENDED)
_ignore_input("nothing_sent", *_BEFORE_DISPATCH, ClaimState.LOST, *_ENDED)
_ignore_input("finish", *_BEFORE_DISPATCH, ClaimState.LOST, *_ENDED)
_ignore_input("fail", *_BEFORE_DISPATCH, ClaimState.LOST, *_ENDED)
_ignore_input("learn", *_BEFORE_DISPATCH, ClaimState.DISPATCHING, *_ENDED)

_Machine = _builder.build()


class ClaimRequester:
    """A claim at the entry daemon that requested it, from the request to the final outcome.

    Parameters
    ----------
    request : ClaimRequest
        The claim request; its claim id must be unique.
    now_ms : int
        Current time of the monotonic clock, which all methods use.
    deadline_ms : int
        The caller's deadline.
    dispatch_limit_ms : int
        Time after `now_ms` within which the call may be dispatched.

    Notes
    -----
    A call is dispatched only after the claim was won and before its release is requested, and
    only before both the deadline and the dispatch limit. Once a byte may have been sent, the
    claim is kept and a failure has the outcome `unknown`. `not_run` is answered only by a daemon
    that holds the claim and never dispatches it. A copy whose claim was lost answers `unknown`
    even if the holder reports `not_run`, because a later copy may run before this answer
    arrives. The only exception is `key_reused`.

    Keep the object for the dedup window, so that queries from other daemons can be answered.
    """

    def __init__(
        self,
        request: ClaimRequest,
        now_ms: int,
        deadline_ms: int,
        dispatch_limit_ms: int = DISPATCH_LIMIT_MS,
    ) -> None:
        self._call = _Call(request)
        self._machine = _Machine(self._call)
        self._deadline_ms = deadline_ms
        self._dispatch_deadline_ms = min(deadline_ms, now_ms + dispatch_limit_ms)
        self._claim_valid_until_ms = now_ms + _CLAIM_VALID_MS
        self._last_request_ms = now_ms
        self._holder_query: QueryOutcome | None = None
        self._release_attempts = 0

    @property
    def state(self) -> ClaimState:
        """State of the claim."""
        return self._machine.state()

    @property
    def settled(self) -> bool:
        """Whether the caller has been answered and `tick` has no more work."""
        if self.state is ClaimState.RELEASED:
            return self._release_attempts >= _MAX_RELEASE_ATTEMPTS
        return self._call.answered

    @property
    def dispatch_deadline_ms(self) -> int:
        """Time from which the call may no longer be dispatched."""
        return self._dispatch_deadline_ms

    @property
    def request(self) -> ClaimRequest:
        """The claim request, which the caller of this class sends first."""
        return self._call.request

    def handle_result(self, result: ClaimResult, now_ms: int) -> _Decisions:
        """Handle a partition owner's answer to the claim request."""
        if result.claim != self._call.request.claim:
            return []
        match result.status:
            case ClaimStatus.WON:
                # A claim that is won after the dispatch limit is given up first, because it no
                # longer guarantees that no other copy has run.
                return [*self._give_up_if_late(now_ms), *self._machine.win()]
            case ClaimStatus.HELD:
                return self._handle_held(result, now_ms)
            case ClaimStatus.LOG_DOWN:
                if self.state is ClaimState.REQUESTED:
                    return self._give_up(ErrorCode.LOG_UNAVAILABLE, now_ms)
                return []
            case ClaimStatus.NOT_OWNER:
                self._last_request_ms = now_ms - _RETRY_INTERVAL_MS + _NOT_OWNER_RETRY_MS
                return []

    def tick(self, now_ms: int) -> _Decisions:
        """Return due timeouts and retries; call it at least every 100 ms until `settled`."""
        expired = self._give_up_if_late(now_ms)
        if expired or self.settled or now_ms - self._last_request_ms < _RETRY_INTERVAL_MS:
            return expired
        self._last_request_ms = now_ms
        return self._repeat_request()

    def dispatch(self, now_ms: int) -> _Decisions:
        """Return `DispatchCall` if the call's first byte may be sent now.

        Notes
        -----
        Read the clock and call this immediately before the first byte, for every upstream that
        is tried. Nothing may be sent unless the decisions contain `DispatchCall`.
        """
        if now_ms >= self._dispatch_deadline_ms:
            return self._give_up_if_late(now_ms)
        return self._machine.dispatch()

    def nothing_sent(self) -> _Decisions:
        """Record that the upstream certainly received no byte, so another one may be tried."""
        return self._machine.nothing_sent()

    def refuse(self, code: ErrorCode, now_ms: int) -> _Decisions:
        """End a call that was not dispatched, for instance because of overload."""
        return self._give_up(code, now_ms)

    def finish(self, status_code: int, body: bytes) -> _Decisions:
        """Record the upstream's response to the call."""
        return self._machine.finish(status_code, body)

    def fail(self) -> _Decisions:
        """Record a failure after a byte may have been sent."""
        return self._machine.fail()

    def handle_query(self, sender: HostId, query: OutcomeQuery) -> _Decisions:
        """Reply to a duplicate's outcome query, now and again when the call ends."""
        return self._machine.query(sender, query.query)

    def handle_outcome(self, answer: OutcomeAnswer) -> _Decisions:
        """Handle the outcome reported by the holder of the key."""
        if not answer.done:
            return []
        match answer.outcome:
            case Outcome.RAN:
                return self._machine.learn(
                    AnswerCaller(Outcome.RAN, None, answer.status_code, answer.body)
                )
            case Outcome.NOT_RUN | Outcome.UNKNOWN:
                return self._machine.learn(AnswerCaller(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED))

    def handle_holder_ended(self) -> _Decisions:
        """Record that the daemon incarnation that holds the key has ended."""
        return self._machine.learn(AnswerCaller(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED))

    def _give_up_if_late(self, now_ms: int) -> _Decisions:
        match self.state:
            case ClaimState.REQUESTED | ClaimState.WON if now_ms >= self._dispatch_deadline_ms:
                return self._give_up(self._timeout_code(now_ms), now_ms)
            case ClaimState.LOST if now_ms >= self._deadline_ms:
                return self._give_up(ErrorCode.DEADLINE_PASSED, now_ms)
            case _:
                return []

    def _handle_held(self, result: ClaimResult, now_ms: int) -> _Decisions:
        decisions = self._machine.lose(result, now_ms < self._claim_valid_until_ms)
        for decision in decisions:
            if isinstance(decision, QueryOutcome):
                self._holder_query = decision
        return decisions

    def _give_up(self, code: ErrorCode, now_ms: int) -> _Decisions:
        return self._machine.give_up(code, now_ms < self._claim_valid_until_ms)

    def _repeat_request(self) -> _Decisions:
        match self.state:
            case ClaimState.REQUESTED:
                return [SendClaimRequest(self._call.request)]
            case ClaimState.LOST if self._holder_query is not None:
                return [self._holder_query]
            case ClaimState.RELEASED:
                self._release_attempts += 1
                return [self._call.release_request()]
            case _:
                return []

    def _timeout_code(self, now_ms: int) -> ErrorCode:
        if now_ms >= self._deadline_ms:
            return ErrorCode.DEADLINE_PASSED
        if self.state is ClaimState.REQUESTED:
            return ErrorCode.LOG_UNAVAILABLE
        return ErrorCode.OVERLOADED
