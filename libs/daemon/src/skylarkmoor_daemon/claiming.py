"""Entry side and owner side of at-most-once calls."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from skylarkmoor_clients.logservice import LogEntry, LogPage
from skylarkmoor_core.errors import LogRateLimited, PlatformError, RequestRefused
from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import ClaimId, HostId, Incarnation, Offset, ServiceName
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import (
    ClaimRequest,
    ClaimResult,
    Message,
    OutcomeAnswer,
    OutcomeQuery,
    ReleaseRequest,
)
from skylarkmoor_core.outcome import ErrorCode, Outcome
from skylarkmoor_core.records import AuditEntry, Record
from skylarkmoor_daemon.context import DaemonContext
from skylarkmoor_daemon.http import CallAnswer, Incoming
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.claims import (
    AnswerCaller,
    AppendBatch,
    ClaimOwner,
    ClaimRequester,
    ClaimState,
    DispatchCall,
    HolderDecision,
    IssueTimeStatus,
    LogRecord,
    OwnerDecision,
    QueryOutcome,
    ReadStream,
    SendClaimRequest,
    SendReleaseRequest,
    check_issue_time,
    claim_id,
    claim_stream,
)
from skylarkmoor_process.tasks import Tasks

__all__ = ["PARTITIONS", "ClaimLog", "ClaimPeers", "ClaimedCall", "Claiming"]

# Fixed for the fleet: daemons that disagreed would look for a key in different streams.
PARTITIONS = 16
# Longest dedup window of any service; claims are kept in the index for at least this long.
_WINDOW_MS = 600_000
_POLL_MS = 50
_ASK_OUTCOME_MS = 500
# Ended claims kept to answer resends; with more, the oldest ended ones are forgotten and
# their resends get `unknown`.
_MAX_KEPT = 20_000
_PAGE = 1_000
# A placeholder for records that cannot be decoded, so that offsets stay without gaps.
_NOTHING = AuditEntry(who="", what="", before="", after="", at_ms=0)

_log = part_logger("claims")


class ClaimLog(Protocol):
    """What claiming needs of the log client."""

    async def append(self, stream: str, record: Record) -> Offset:
        """Append a record."""

    async def read(
        self, stream: str, from_offset: Offset, limit: int = 100, wait_ms: int = 0
    ) -> LogPage:
        """Read a page."""


class ClaimPeers(DaemonContext, Protocol):
    """What claiming needs of the daemon."""

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer or to this daemon."""

    def owner_of(self, key: str) -> HostId | None:
        """Return the rendezvous owner of `key` among the live daemons."""

    def is_gone(self, host: HostId, incarnation: Incarnation) -> bool:
        """Return whether this incarnation of `host` has ended."""


class ClaimedCall(Protocol):
    """The call that is run once its key is claimed."""

    async def run(self, may_send: Callable[[], bool]) -> CallAnswer:
        """Run the call; `may_send` is asked right before the first byte."""

    def abandon(self) -> None:
        """Give up a call that was not sent."""


@dataclass(slots=True)
class _Claim:
    """A claim of this daemon."""

    holder: ClaimRequester
    stream: str
    call: ClaimedCall | None
    deadline_ms: int
    until_ms: int
    answer: Deferred[CallAnswer] = field(default_factory=Deferred)
    started: bool = False
    message: str = ""
    code: ErrorCode | None = None
    query: QueryOutcome | None = None
    query_number: int = 0
    query_at_ms: int = 0


class Claiming:
    """Claims keys for this daemon's callers and owns partitions for all daemons.

    Parameters
    ----------
    daemon : ClaimPeers
        The daemon.
    log : ClaimLog
        Client of the log.
    tasks : Tasks
        Runs appends and reads.
    """

    def __init__(self, daemon: ClaimPeers, log: ClaimLog, tasks: Tasks) -> None:
        self._daemon = daemon
        self._log = log
        self._tasks = tasks
        self._counter = 0
        self._query_counter = 0
        self._claims: dict[ClaimId, _Claim] = {}
        # Claims whose callers wait for an answer.
        self._open: dict[ClaimId, _Claim] = {}
        self._queries: dict[int, _Claim] = {}
        self._kept: deque[ClaimId] = deque()
        self._owners: dict[int, ClaimOwner] = {}

    def start(self) -> None:
        """Begin to follow the partitions that this daemon owns."""
        self._tasks.every(_POLL_MS, self.tick)

    def held(self) -> int:
        """Return how many calls with a key wait for a claim or another copy's answer."""
        return sum(not claim.started for claim in self._open.values())

    def owed(self) -> int:
        """Return how many owned partitions have claims or releases to answer or append."""
        return sum(not owner.idle for owner in self._owners.values())

    async def call(
        self, service: ServiceName, incoming: Incoming, window_ms: int, call: ClaimedCall
    ) -> CallAnswer:
        """Claim the key of a call, run it if the claim is won, and return its answer.

        Raises
        ------
        RequestRefused
            With a truthful outcome.
        """
        key = incoming.key
        if key is None:
            raise RequestRefused(ErrorCode.KEY_REQUIRED, "the call has no key")
        clock = self._daemon.clock
        _check_key(key.issued_wall_ms, clock.wall_ms(), min(window_ms, _WINDOW_MS))
        self._counter += 1
        request = ClaimRequest(
            claim=claim_id(self._daemon.host, self._daemon.incarnation, self._counter),
            key_hash=hash64(service, incoming.customer, key.key),
            body_hash=hash64(incoming.route.name, incoming.body),
            issued_wall_ms=key.issued_wall_ms,
        )
        claim = _Claim(
            holder=ClaimRequester(request, clock.now_ms(), incoming.deadline_ms),
            stream=claim_stream(_partition(request)),
            call=call,
            deadline_ms=incoming.deadline_ms,
            until_ms=clock.now_ms() + 2 * _WINDOW_MS,
        )
        self._keep(claim)
        self._carry_out(claim, [SendClaimRequest(request)])
        return await claim.answer

    def tick(self) -> None:
        """Act on time that has passed, for own claims and owned partitions."""
        now_ms = self._daemon.clock.now_ms()
        for claim in list(self._open.values()):
            self._carry_out(claim, claim.holder.tick(now_ms))
            self._check_deadline(claim, now_ms)
            self._ask_outcome(claim, now_ms)
        for partition in range(PARTITIONS):
            owned = self._daemon.owner_of(claim_stream(partition)) == self._daemon.host
            owner = self._owner(partition) if owned else self._owners.get(partition)
            if owner is None:
                continue
            if not owned and owner.idle:
                # The next owner has the window; this index would only cost memory.
                del self._owners[partition]
                continue
            self._poll(partition, owner)

    def take(self, sender: HostId, incarnation: Incarnation, message: Message) -> bool:
        """Take a message about claims and return whether it was one."""
        match message:
            case ClaimRequest():
                self._requested(sender, incarnation, message)
            case ReleaseRequest():
                self._release_requested(message)
            case ClaimResult(claim=claim):
                self._result(claim, message)
            case OutcomeQuery(claim=claim):
                self._queried(sender, claim, message)
            case OutcomeAnswer(query=query):
                self._learnt(query, message)
            case _:
                return False
        return True

    def stop(self) -> None:
        """Answer every caller that still waits, truthfully."""
        now_ms = self._daemon.clock.now_ms()
        for claim in list(self._open.values()):
            claim.message = "the daemon was stopped"
            if claim.holder.state is ClaimState.DISPATCHING:
                self._carry_out(claim, claim.holder.fail())
            else:
                self._carry_out(claim, claim.holder.refuse(ErrorCode.DRAINING, now_ms))

    def _keep(self, claim: _Claim) -> None:
        claim_id = claim.holder.request.claim
        self._claims[claim_id] = self._open[claim_id] = claim
        self._kept.append(claim_id)
        now_ms = self._daemon.clock.now_ms()
        while self._kept:
            oldest = self._kept[0]
            overdue = self._claims[oldest].until_ms <= now_ms or len(self._kept) > _MAX_KEPT
            if not overdue or oldest in self._open:
                return
            del self._claims[self._kept.popleft()]

    def _carry_out(self, claim: _Claim, decisions: Iterable[HolderDecision]) -> None:
        for decision in decisions:
            match decision:
                case SendClaimRequest(request=request):
                    self._to_owner(claim.stream, request)
                case SendReleaseRequest(request=request):
                    self._to_owner(claim.stream, request)
                case DispatchCall():
                    # Only `_may_send` asks for it and looks for it.
                    pass
                case QueryOutcome():
                    self._begin_query(claim, decision)
                case AnswerCaller():
                    self._answer(claim, decision)
                case Send(to=to, message=message):
                    self._daemon.send(to, message)

    def _to_owner(self, stream: str, message: Message) -> None:
        owner = self._daemon.owner_of(stream) or self._daemon.host
        self._daemon.send(owner, message)

    def _answer(self, claim: _Claim, answer: AnswerCaller) -> None:
        self._open.pop(claim.holder.request.claim, None)
        if claim.query is not None:
            self._queries.pop(claim.query_number, None)
        call, claim.call = claim.call, None
        if claim.answer.called:
            return
        if answer.code is None:
            claim.answer.callback(CallAnswer(answer.status_code, answer.body))
            return
        code = claim.code if answer.code is ErrorCode.UPSTREAM_FAILED else None
        message = claim.message or _MESSAGES.get(answer.code, "the call has no result")
        claim.answer.errback(RequestRefused(code or answer.code, message, answer.outcome))
        if call is not None and claim.holder.state is ClaimState.RELEASED:
            call.abandon()

    def _check_deadline(self, claim: _Claim, now_ms: int) -> None:
        """Answer the caller of a call that goes on; a resend may still get the result."""
        if claim.holder.state is not ClaimState.DISPATCHING or now_ms < claim.deadline_ms:
            return
        self._open.pop(claim.holder.request.claim, None)
        if not claim.answer.called:
            message = _MESSAGES[ErrorCode.DEADLINE_PASSED]
            code = ErrorCode.DEADLINE_PASSED
            claim.answer.errback(RequestRefused(code, message, Outcome.UNKNOWN))

    def _result(self, claim_id: ClaimId, result: ClaimResult) -> None:
        self._daemon.metrics.claimed(result.status.name.lower())
        claim = self._claims.get(claim_id)
        if claim is None:
            return
        now_ms = self._daemon.clock.now_ms()
        self._carry_out(claim, claim.holder.handle_result(result, now_ms))
        if claim.holder.state is ClaimState.WON and not claim.started:
            claim.started = True
            self._tasks.spawn(self._run(claim))

    async def _run(self, claim: _Claim) -> None:
        call = claim.call
        if call is None:
            return
        holder = claim.holder
        try:
            answer = await call.run(lambda: self._may_send(claim))
        except RequestRefused as error:
            claim.message, claim.code = error.message, error.code
            if holder.state is ClaimState.DISPATCHING:
                self._carry_out(claim, holder.fail())
            else:
                self._carry_out(claim, holder.refuse(error.code, self._daemon.clock.now_ms()))
            return
        self._carry_out(claim, holder.finish(answer.status_code, answer.body))

    def _may_send(self, claim: _Claim) -> bool:
        decisions = claim.holder.dispatch(self._daemon.clock.now_ms())
        self._carry_out(claim, decisions)
        return any(isinstance(decision, DispatchCall) for decision in decisions)

    def _begin_query(self, claim: _Claim, query: QueryOutcome) -> None:
        self._query_counter += 1
        claim.query = query
        claim.query_number = self._query_counter
        self._queries[claim.query_number] = claim
        self._ask_outcome(claim, self._daemon.clock.now_ms())

    def _ask_outcome(self, claim: _Claim, now_ms: int) -> None:
        query = claim.query
        if query is None or claim.answer.called or now_ms < claim.query_at_ms:
            return
        claim.query_at_ms = now_ms + _ASK_OUTCOME_MS
        if self._daemon.is_gone(query.host, query.incarnation):
            claim.message = "the daemon that runs the call has gone"
            self._carry_out(claim, claim.holder.handle_holder_ended())
            return
        self._daemon.send(query.host, OutcomeQuery(query.claim, claim.query_number))

    def _queried(self, sender: HostId, claim_id: ClaimId, query: OutcomeQuery) -> None:
        claim = self._claims.get(claim_id)
        if claim is None:
            unknown = OutcomeAnswer(claim_id, query.query, True, Outcome.UNKNOWN, 0, b"")
            self._daemon.send(sender, unknown)
            return
        self._carry_out(claim, claim.holder.handle_query(sender, query))

    def _learnt(self, query: int, answer: OutcomeAnswer) -> None:
        claim = self._queries.get(query)
        if claim is None or claim.query is None or claim.query.claim != answer.claim:
            return
        if answer.done:
            claim.message = "the call with this key has no known result"
        self._carry_out(claim, claim.holder.handle_outcome(answer))

    def _requested(self, sender: HostId, incarnation: Incarnation, request: ClaimRequest) -> None:
        partition = _partition(request)
        stream = claim_stream(partition)
        now_ms = self._daemon.clock.now_ms()
        owner = self._owner(partition)
        sends = owner.handle_request(
            sender, request, incarnation, now_ms, self._daemon.owner_of(stream)
        )
        self._decide(partition, owner, sends)
        self._poll(partition, owner)

    def _release_requested(self, request: ReleaseRequest) -> None:
        partition = _partition(request)
        owner = self._owner(partition)
        owner.handle_release(request)
        self._poll(partition, owner)

    def _owner(self, partition: int) -> ClaimOwner:
        owner = self._owners.get(partition)
        if owner is None:
            owner = self._owners[partition] = ClaimOwner(self._daemon.host, _WINDOW_MS)
        return owner

    def _poll(self, partition: int, owner: ClaimOwner) -> None:
        self._decide(partition, owner, owner.poll(self._daemon.clock.now_ms()))

    def _decide(
        self, partition: int, owner: ClaimOwner, decisions: Iterable[OwnerDecision]
    ) -> None:
        for decision in decisions:
            match decision:
                case AppendBatch():
                    self._tasks.spawn(self._append(partition, owner, decision))
                case ReadStream(start=start):
                    self._tasks.spawn(self._read(partition, owner, start))
                case Send(to=to, message=message):
                    self._daemon.send(to, message)

    async def _append(self, partition: int, owner: ClaimOwner, append: AppendBatch) -> None:
        try:
            offset = await self._log.append(claim_stream(partition), append.batch)
        except LogRateLimited:
            owner.append_rejected(self._daemon.clock.now_ms())
        except Exception as error:
            _log.warning("an append was lost", extra={"error": str(error)})
            owner.append_uncertain(self._daemon.clock.now_ms())
        else:
            owner.append_succeeded(offset)
        self._poll(partition, owner)

    async def _read(self, partition: int, owner: ClaimOwner, start: Offset) -> None:
        try:
            records, first, following = await self._read_to_end(partition, start)
            sends = owner.handle_read(records, first, following)
        except PlatformError as error:
            _log.warning("a read failed", extra={"error": str(error)})
            sends = owner.read_failed(self._daemon.clock.now_ms())
        self._decide(partition, owner, sends)
        self._poll(partition, owner)

    async def _read_to_end(
        self, partition: int, start: Offset
    ) -> tuple[list[LogRecord], Offset, Offset]:
        """Read until a page is empty; a short page may stand before the end."""
        records: list[LogRecord] = []
        first, following = Offset(0), start
        while True:
            page = await self._log.read(claim_stream(partition), following, _PAGE)
            first, following = page.first, page.next
            records += [_log_record(entry) for entry in page.records]
            if not page.records:
                return records, first, following


_MESSAGES: Mapping[ErrorCode, str] = {
    ErrorCode.KEY_REUSED: "the key was used with another body",
    ErrorCode.LOG_UNAVAILABLE: "the key could not be claimed",
    ErrorCode.DEADLINE_PASSED: "the deadline has passed",
    ErrorCode.UPSTREAM_FAILED: "the upstream failed",
}


def _check_key(issued_wall_ms: int, now_wall_ms: int, window_ms: int) -> None:
    match check_issue_time(issued_wall_ms, now_wall_ms, window_ms):
        case IssueTimeStatus.EXPIRED:
            message = f"the key was issued more than {window_ms} ms ago"
            raise RequestRefused(ErrorCode.KEY_EXPIRED, message, Outcome.UNKNOWN)
        case IssueTimeStatus.FUTURE:
            message = f"the key's issue time {issued_wall_ms} is in the future"
            raise RequestRefused(ErrorCode.MALFORMED, message, Outcome.UNKNOWN)
        case IssueTimeStatus.FRESH:
            return


def _partition(request: ClaimRequest | ReleaseRequest) -> int:
    # The key's hash is all that the owner gets of the key.
    return request.key_hash % PARTITIONS


def _log_record(entry: LogEntry) -> LogRecord:
    return LogRecord(entry.offset, entry.at_ms, entry.record or _NOTHING)
