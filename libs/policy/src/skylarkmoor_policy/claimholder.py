"""The holder of a claim: decides when a non-idempotent call may be dispatched."""

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
    "Answer",
    "AskOwner",
    "AskRelease",
    "ClaimHolder",
    "ClaimState",
    "Go",
    "HolderDecision",
    "QueryHolder",
]

# A holder that was paused for longer does not dispatch. It is far below the expiry margin, so
# no claim expires while its holder may still dispatch.
DISPATCH_LIMIT_MS = 5_000

# For so long after it was asked for, a claim that was won cannot have expired. Later than that
# another copy may have run, and the holder cannot prove that none did.
_PROOF_MS = 30_000

_ASK_AGAIN_MS = 500
# The membership soon names another owner than the daemon that said it is not the one.
_ASK_OTHER_MS = 100
# Requests for release may be lost; without a release the key stays held for the window.
_RELEASE_TRIES = 5
_MAX_WAITING = 64


class ClaimState(Enum):
    """State of a claim at the daemon that asked for it."""

    ASKED = "asked"
    WON = "won"
    DISPATCHING = "dispatching"
    DONE = "done"
    RELEASED = "released"
    LOST = "lost"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AskOwner:
    """Send the request to the partition's owner as of now."""

    request: ClaimRequest


@dataclass(frozen=True, slots=True)
class AskRelease:
    """Send the release to the partition's owner as of now."""

    request: ReleaseRequest


@dataclass(frozen=True, slots=True)
class Go:
    """Send the call's first byte now, without waiting for anything before."""


@dataclass(frozen=True, slots=True)
class QueryHolder:
    """Ask `host` for the outcome of `claim`; report if that incarnation of it is gone."""

    host: HostId
    incarnation: Incarnation
    claim: ClaimId


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the caller; without `code` it is the answer of the call itself."""

    outcome: Outcome
    code: ErrorCode | None = None
    status_code: int = 0
    body: bytes = b""


HolderDecision = AskOwner | AskRelease | Go | QueryHolder | Answer | Send
_Decisions = list[HolderDecision]


@dataclass(slots=True)
class _Call:
    """Data of the claim's state machine."""

    request: ClaimRequest
    status_code: int = 0
    body: bytes = b""
    answered: bool = False
    waiting: list[tuple[HostId, int]] = field(default_factory=list)

    def answer(self, answer: Answer) -> _Decisions:
        """Return `answer` unless the caller has got one."""
        if self.answered:
            return []
        self.answered = True
        return [answer]

    def ask_release(self) -> AskRelease:
        """Return the request for this claim's release."""
        return AskRelease(ReleaseRequest(self.request.claim, self.request.key_hash))

    def tell(self, to: HostId, query: int, outcome: Outcome, done: bool = True) -> Send:
        """Return the answer to one query."""
        claim = self.request.claim
        return Send(to, OutcomeAnswer(claim, query, done, outcome, self.status_code, self.body))

    def tell_waiting(self, outcome: Outcome) -> _Decisions:
        """Return the answers to all queries that wait for the end."""
        waiting, self.waiting = self.waiting, []
        return [self.tell(host, query, outcome) for host, query in waiting]


class _Inputs(Protocol):
    def state(self) -> ClaimState: ...
    def win(self) -> _Decisions: ...
    def lose(self, result: ClaimResult, proven: bool) -> _Decisions: ...
    def give_up(self, code: ErrorCode, proven: bool) -> _Decisions: ...
    def dispatch(self) -> _Decisions: ...
    def nothing_sent(self) -> _Decisions: ...
    def finish(self, status_code: int, body: bytes) -> _Decisions: ...
    def fail(self) -> _Decisions: ...
    def learn(self, answer: Answer) -> _Decisions: ...
    def query(self, sender: HostId, query: int) -> _Decisions: ...


_builder = TypeMachineBuilder(_Inputs, _Call)
_asked = _builder.state("asked")
_won = _builder.state("won")
_dispatching = _builder.state("dispatching")
_done = _builder.state("done")
_released = _builder.state("released")
_lost = _builder.state("lost")
_unknown = _builder.state("unknown")

_STATES = MappingProxyType(
    {
        ClaimState.ASKED: _asked,
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


@_asked.upon(_Inputs.win).to(_won)
def _start_holding(inputs: _Inputs, call: _Call) -> _Decisions:
    return []


@_asked.upon(_Inputs.lose).to(_lost)
def _ask_holder(inputs: _Inputs, call: _Call, result: ClaimResult, proven: bool) -> _Decisions:
    if result.holder_body_hash != call.request.body_hash:
        outcome = Outcome.NOT_RUN if proven else Outcome.UNKNOWN
        return call.answer(Answer(outcome, ErrorCode.KEY_REUSED))
    if (
        result.holder_host is None
        or result.holder_incarnation is None
        or result.holder_claim is None
    ):
        return call.answer(Answer(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED))
    return [QueryHolder(result.holder_host, result.holder_incarnation, result.holder_claim)]


# Whether the claim came into the log is not known: an earlier copy may have run.
@_asked.upon(_Inputs.give_up).to(_released)
def _stop_asking(inputs: _Inputs, call: _Call, code: ErrorCode, proven: bool) -> _Decisions:
    return [*call.answer(Answer(Outcome.UNKNOWN, code)), call.ask_release()]


# The claim proves that no earlier copy was dispatched. The caller is answered before the
# release is asked for, because after it a later copy may run.
@_won.upon(_Inputs.give_up).to(_released)
def _let_go(inputs: _Inputs, call: _Call, code: ErrorCode, proven: bool) -> _Decisions:
    outcome = Outcome.NOT_RUN if proven else Outcome.UNKNOWN
    return [
        *call.answer(Answer(outcome, code)),
        *call.tell_waiting(outcome),
        call.ask_release(),
    ]


@_won.upon(_Inputs.dispatch).to(_dispatching)
def _go(inputs: _Inputs, call: _Call) -> _Decisions:
    return [Go()]


@_dispatching.upon(_Inputs.nothing_sent).to(_won)
def _hold_again(inputs: _Inputs, call: _Call) -> _Decisions:
    return []


@_dispatching.upon(_Inputs.finish).to(_done)
def _end(inputs: _Inputs, call: _Call, status_code: int, body: bytes) -> _Decisions:
    call.status_code = status_code
    call.body = body
    answer = Answer(Outcome.RAN, None, status_code, body)
    return [*call.answer(answer), *call.tell_waiting(Outcome.RAN)]


@_dispatching.upon(_Inputs.fail).to(_unknown)
def _break(inputs: _Inputs, call: _Call) -> _Decisions:
    answer = Answer(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED)
    return [*call.answer(answer), *call.tell_waiting(Outcome.UNKNOWN)]


@_lost.upon(_Inputs.learn).loop()
def _pass_on(inputs: _Inputs, call: _Call, answer: Answer) -> _Decisions:
    return call.answer(answer)


@_lost.upon(_Inputs.give_up).loop()
def _stop_waiting(inputs: _Inputs, call: _Call, code: ErrorCode, proven: bool) -> _Decisions:
    return call.answer(Answer(Outcome.UNKNOWN, code))


# Another owner's append brought the claim into the log after all. Nobody will dispatch it.
@_lost.upon(_Inputs.win).loop()
@_released.upon(_Inputs.win).loop()
def _release_late(inputs: _Inputs, call: _Call) -> _Decisions:
    return [call.ask_release()]


@_asked.upon(_Inputs.query).loop()
@_won.upon(_Inputs.query).loop()
@_dispatching.upon(_Inputs.query).loop()
def _let_wait(inputs: _Inputs, call: _Call, sender: HostId, query: int) -> _Decisions:
    if len(call.waiting) < _MAX_WAITING and (sender, query) not in call.waiting:
        call.waiting.append((sender, query))
    return [call.tell(sender, query, Outcome.UNKNOWN, done=False)]


@_done.upon(_Inputs.query).loop()
def _tell_end(inputs: _Inputs, call: _Call, sender: HostId, query: int) -> _Decisions:
    return [call.tell(sender, query, Outcome.RAN)]


@_unknown.upon(_Inputs.query).loop()
def _tell_unknown(inputs: _Inputs, call: _Call, sender: HostId, query: int) -> _Decisions:
    return [call.tell(sender, query, Outcome.UNKNOWN)]


# The query shows that the log lacks the release, whose request may have been lost.
@_released.upon(_Inputs.query).loop()
@_lost.upon(_Inputs.query).loop()
def _tell_release(inputs: _Inputs, call: _Call, sender: HostId, query: int) -> _Decisions:
    return [call.tell(sender, query, Outcome.NOT_RUN), call.ask_release()]


def _nothing(inputs: _Inputs, call: _Call, *args: object) -> _Decisions:
    return []


def _ignore(name: str, *states: ClaimState) -> None:
    for state in states:
        _STATES[state].upon(getattr(_Inputs, name)).loop()(_nothing)


_BEFORE = (ClaimState.ASKED, ClaimState.WON)
_FINAL = (ClaimState.DONE, ClaimState.RELEASED, ClaimState.UNKNOWN)

_ignore("win", ClaimState.WON, ClaimState.DISPATCHING, ClaimState.DONE, ClaimState.UNKNOWN)
_ignore("lose", ClaimState.WON, ClaimState.DISPATCHING, ClaimState.LOST, *_FINAL)
_ignore("give_up", ClaimState.DISPATCHING, *_FINAL)
_ignore("dispatch", ClaimState.ASKED, ClaimState.DISPATCHING, ClaimState.LOST, *_FINAL)
_ignore("nothing_sent", *_BEFORE, ClaimState.LOST, *_FINAL)
_ignore("finish", *_BEFORE, ClaimState.LOST, *_FINAL)
_ignore("fail", *_BEFORE, ClaimState.LOST, *_FINAL)
_ignore("learn", *_BEFORE, ClaimState.DISPATCHING, *_FINAL)

_Machine = _builder.build()


class ClaimHolder:
    """One claim at the entry daemon that asked for it.

    Parameters
    ----------
    request : ClaimRequest
        Its claim id is never used again.
    now_ms : int
        Monotonic clock, as everywhere in this class.
    deadline_ms : int
        The caller's deadline.
    dispatch_limit_ms : int
        How long after `now_ms` the call may be dispatched.

    Notes
    -----
    A call is dispatched only between winning the claim and asking for its release, and only
    before both limits. Once a byte may have left, the claim is kept and the outcome of a failure
    is unknown. `not_run` is answered only by a daemon that holds the claim and never dispatches
    it; a copy that lost answers `unknown` even if the holder says `not_run`, because a later
    copy may run by the time that this answer arrives. The one exception is `key_reused`.

    A holder is to be kept for the dedup window, to answer queries.
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
        self._limit_ms = min(deadline_ms, now_ms + dispatch_limit_ms)
        self._proof_ms = now_ms + _PROOF_MS
        self._asked_ms = now_ms
        self._query: QueryHolder | None = None
        self._release_tries = 0

    @property
    def state(self) -> ClaimState:
        """State of the claim."""
        return self._machine.state()

    @property
    def settled(self) -> bool:
        """Whether the caller has its answer and `tick` has nothing left to do."""
        if self.state is ClaimState.RELEASED:
            return self._release_tries >= _RELEASE_TRIES
        return self._call.answered

    @property
    def limit_ms(self) -> int:
        """When the call may no longer be dispatched."""
        return self._limit_ms

    @property
    def request(self) -> ClaimRequest:
        """The request for the claim, to be sent first of all."""
        return self._call.request

    def result(self, result: ClaimResult, now_ms: int) -> _Decisions:
        """Take an owner's answer."""
        if result.claim != self._call.request.claim:
            return []
        match result.status:
            case ClaimStatus.WON:
                # An answer that comes after the limit proves nothing any more.
                return [*self._expire(now_ms), *self._machine.win()]
            case ClaimStatus.HELD:
                return self._lose(result, now_ms)
            case ClaimStatus.LOG_DOWN:
                if self.state is ClaimState.ASKED:
                    return self._give_up(ErrorCode.LOG_UNAVAILABLE, now_ms)
                return []
            case ClaimStatus.NOT_OWNER:
                self._asked_ms = now_ms - _ASK_AGAIN_MS + _ASK_OTHER_MS
                return []

    def tick(self, now_ms: int) -> _Decisions:
        """Return what is due; call it at least each 100 ms until `settled`."""
        expired = self._expire(now_ms)
        if expired or self.settled or now_ms - self._asked_ms < _ASK_AGAIN_MS:
            return expired
        self._asked_ms = now_ms
        return self._ask_again()

    def dispatch(self, now_ms: int) -> _Decisions:
        """Return `Go` if the call's first byte may be sent now.

        Notes
        -----
        To be called with a fresh reading of the clock right before the first byte, for every
        upstream tried. Without `Go` among the decisions nothing may be sent.
        """
        if now_ms >= self._limit_ms:
            return self._expire(now_ms)
        return self._machine.dispatch()

    def nothing_sent(self) -> _Decisions:
        """Take note that the upstream provably got no byte; another one may be tried."""
        return self._machine.nothing_sent()

    def refuse(self, code: ErrorCode, now_ms: int) -> _Decisions:
        """End a call that was not dispatched, for instance for lack of room."""
        return self._give_up(code, now_ms)

    def finish(self, status_code: int, body: bytes) -> _Decisions:
        """Take the call's answer."""
        return self._machine.finish(status_code, body)

    def fail(self) -> _Decisions:
        """Take note of a failure after a byte may have left."""
        return self._machine.fail()

    def query(self, sender: HostId, query: OutcomeQuery) -> _Decisions:
        """Answer a resend's question for the outcome, and again when the call ends."""
        return self._machine.query(sender, query.query)

    def learn(self, answer: OutcomeAnswer) -> _Decisions:
        """Take the outcome of the copy that holds the key."""
        if not answer.done:
            return []
        match answer.outcome:
            case Outcome.RAN:
                return self._machine.learn(
                    Answer(Outcome.RAN, None, answer.status_code, answer.body)
                )
            case Outcome.NOT_RUN | Outcome.UNKNOWN:
                return self._machine.learn(Answer(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED))

    def holder_gone(self) -> _Decisions:
        """Take note that the incarnation that holds the key has ended."""
        return self._machine.learn(Answer(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED))

    def _expire(self, now_ms: int) -> _Decisions:
        match self.state:
            case ClaimState.ASKED | ClaimState.WON if now_ms >= self._limit_ms:
                return self._give_up(self._late_code(now_ms), now_ms)
            case ClaimState.LOST if now_ms >= self._deadline_ms:
                return self._give_up(ErrorCode.DEADLINE_PASSED, now_ms)
            case _:
                return []

    def _lose(self, result: ClaimResult, now_ms: int) -> _Decisions:
        decisions = self._machine.lose(result, now_ms < self._proof_ms)
        for decision in decisions:
            if isinstance(decision, QueryHolder):
                self._query = decision
        return decisions

    def _give_up(self, code: ErrorCode, now_ms: int) -> _Decisions:
        return self._machine.give_up(code, now_ms < self._proof_ms)

    def _ask_again(self) -> _Decisions:
        match self.state:
            case ClaimState.ASKED:
                return [AskOwner(self._call.request)]
            case ClaimState.LOST if self._query is not None:
                return [self._query]
            case ClaimState.RELEASED:
                self._release_tries += 1
                return [self._call.ask_release()]
            case _:
                return []

    def _late_code(self, now_ms: int) -> ErrorCode:
        if now_ms >= self._deadline_ms:
            return ErrorCode.DEADLINE_PASSED
        if self.state is ClaimState.ASKED:
            return ErrorCode.LOG_UNAVAILABLE
        return ErrorCode.OVERLOADED
