"""At-most-once calls: claims keys for callers and records claims as a partition owner."""

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

__all__ = ["PARTITIONS", "ClaimLog", "ClaimingContext", "ClaimedCall", "Claiming"]

# Number of claim streams. Must be the same on all daemons; otherwise they would look for a key
# in different streams.
PARTITIONS = 16
# Longest dedup window of any service. Owners keep claims in their index for at least this long.
_DEDUP_WINDOW_MS = 600_000
_POLL_INTERVAL_MS = 50
_OUTCOME_QUERY_INTERVAL_MS = 500
# Claims kept so that resends get the result of the first call. Above this number, the oldest
# finished claims are discarded and their resends get the outcome `unknown`.
_MAX_RETAINED_CLAIMS = 20_000
_READ_PAGE_RECORDS = 1_000
# Stands for a record that cannot be decoded, so that offsets have no gaps.
_UNDECODABLE_RECORD = AuditEntry(who="", what="", before="", after="", at_ms=0)

_log = part_logger("claims")


class ClaimLog(Protocol):
    """The operations of the log client that `Claiming` uses."""

    async def append(self, stream: str, record: Record) -> Offset:
        """Append a record to a stream and return its offset."""

    async def read(
        self, stream: str, from_offset: Offset, limit: int = 100, wait_ms: int = 0
    ) -> LogPage:
        """Return a page of records from `from_offset` on, waiting up to `wait_ms` for the first."""


class ClaimingContext(DaemonContext, Protocol):
    """The operations of the daemon that `Claiming` uses."""

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to the daemon on host `to`, which may be this one."""

    def owner_of(self, key: str) -> HostId | None:
        """Return the rendezvous owner of `key` among the live daemons."""

    def has_ended(self, host: HostId, incarnation: Incarnation) -> bool:
        """Return whether this incarnation of `host` has ended."""


class ClaimedCall(Protocol):
    """A call that runs once its key is claimed."""

    async def run(self, may_send: Callable[[], bool]) -> CallAnswer:
        """Run the call and return its answer.

        `may_send` is checked immediately before the first byte is sent.
        """

    def abandon(self) -> None:
        """Drop a call of which nothing was sent."""


@dataclass(slots=True)
class _Claim:
    """A claim that this daemon requested for a caller, with the call that depends on it."""

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
    query_id: int = 0
    next_query_ms: int = 0


class Claiming:
    """Claims keys for this daemon's callers and serves the partitions that it owns.

    Parameters
    ----------
    daemon : ClaimingContext
        The daemon: its clock, metrics, peers and partition owners.
    log : ClaimLog
        Log client for the claim streams.
    tasks : Tasks
        Runs calls, appends and reads in the background.
    """

    def __init__(self, daemon: ClaimingContext, log: ClaimLog, tasks: Tasks) -> None:
        self._daemon = daemon
        self._log = log
        self._tasks = tasks
        self._claim_counter = 0
        self._query_counter = 0
        self._claims: dict[ClaimId, _Claim] = {}
        # Claims whose callers still wait for an answer.
        self._unanswered: dict[ClaimId, _Claim] = {}
        self._queries: dict[int, _Claim] = {}
        self._retained: deque[ClaimId] = deque()
        self._owners: dict[int, ClaimOwner] = {}

    def start(self) -> None:
        """Start the periodic work on claims and on the partitions that this daemon owns."""
        self._tasks.every(_POLL_INTERVAL_MS, self.tick)

    def held(self) -> int:
        """Return how many calls wait for a claim or for the answer of an earlier copy."""
        return sum(not claim.started for claim in self._unanswered.values())

    def busy_partitions(self) -> int:
        """Return how many partitions have claims or releases not yet appended or answered."""
        return sum(not owner.idle for owner in self._owners.values())

    async def run_claimed_call(
        self, service: ServiceName, incoming: Incoming, window_ms: int, call: ClaimedCall
    ) -> CallAnswer:
        """Claim the key of a call, run it if the claim is won, and return its answer.

        Raises
        ------
        RequestRefused
            If the key is missing, expired, reused or cannot be claimed, or if the call fails.
            Its outcome tells whether the call ran.
        """
        key = incoming.key
        if key is None:
            raise RequestRefused(ErrorCode.KEY_REQUIRED, "the call has no key")
        clock = self._daemon.clock
        _check_key_issue_time(key.issued_wall_ms, clock.wall_ms(), min(window_ms, _DEDUP_WINDOW_MS))
        self._claim_counter += 1
        request = ClaimRequest(
            claim=claim_id(self._daemon.host, self._daemon.incarnation, self._claim_counter),
            key_hash=hash64(service, incoming.customer, key.key),
            body_hash=hash64(incoming.route.name, incoming.body),
            issued_wall_ms=key.issued_wall_ms,
        )
        claim = _Claim(
            holder=ClaimRequester(request, clock.now_ms(), incoming.deadline_ms),
            stream=claim_stream(_partition(request)),
            call=call,
            deadline_ms=incoming.deadline_ms,
            until_ms=clock.now_ms() + 2 * _DEDUP_WINDOW_MS,
        )
        self._retain(claim)
        self._apply_decisions(claim, [SendClaimRequest(request)])
        return await claim.answer

    def tick(self) -> None:
        """Resend and time out claim requests and outcome queries, and poll the owned partitions."""
        now_ms = self._daemon.clock.now_ms()
        for claim in list(self._unanswered.values()):
            self._apply_decisions(claim, claim.holder.tick(now_ms))
            self._answer_if_deadline_passed(claim, now_ms)
            self._send_outcome_query(claim, now_ms)
        for partition in range(PARTITIONS):
            owned = self._daemon.owner_of(claim_stream(partition)) == self._daemon.host
            owner = self._partition_owner(partition) if owned else self._owners.get(partition)
            if owner is None:
                continue
            if not owned and owner.idle:
                # The new owner reads the window from the stream, so this index is not needed.
                del self._owners[partition]
                continue
            self._poll_owner(partition, owner)

    def handle_message(self, sender: HostId, incarnation: Incarnation, message: Message) -> bool:
        """Handle a message about claims; return False for any other message."""
        match message:
            case ClaimRequest():
                self._handle_claim_request(sender, incarnation, message)
            case ReleaseRequest():
                self._handle_release_request(message)
            case ClaimResult(claim=claim):
                self._handle_claim_result(claim, message)
            case OutcomeQuery(claim=claim):
                self._handle_outcome_query(sender, claim, message)
            case OutcomeAnswer(query=query):
                self._handle_outcome_answer(query, message)
            case _:
                return False
        return True

    def stop(self) -> None:
        """Answer every waiting caller with an error that tells whether its call may have run."""
        now_ms = self._daemon.clock.now_ms()
        for claim in list(self._unanswered.values()):
            claim.message = "the daemon was stopped"
            if claim.holder.state is ClaimState.DISPATCHING:
                self._apply_decisions(claim, claim.holder.fail())
            else:
                self._apply_decisions(claim, claim.holder.refuse(ErrorCode.DRAINING, now_ms))

    def _retain(self, claim: _Claim) -> None:
        claim_id = claim.holder.request.claim
        self._claims[claim_id] = self._unanswered[claim_id] = claim
        self._retained.append(claim_id)
        now_ms = self._daemon.clock.now_ms()
        while self._retained:
            oldest = self._retained[0]
            discardable = (
                self._claims[oldest].until_ms <= now_ms
                or len(self._retained) > _MAX_RETAINED_CLAIMS
            )
            if not discardable or oldest in self._unanswered:
                return
            del self._claims[self._retained.popleft()]

    def _apply_decisions(self, claim: _Claim, decisions: Iterable[HolderDecision]) -> None:
        for decision in decisions:
            match decision:
                case SendClaimRequest(request=request):
                    self._send_to_owner(claim.stream, request)
                case SendReleaseRequest(request=request):
                    self._send_to_owner(claim.stream, request)
                case DispatchCall():
                    # Handled by `_dispatch_if_allowed`, the only place that requests a dispatch.
                    pass
                case QueryOutcome():
                    self._start_outcome_query(claim, decision)
                case AnswerCaller():
                    self._answer_caller(claim, decision)
                case Send(to=to, message=message):
                    self._daemon.send(to, message)

    def _send_to_owner(self, stream: str, message: Message) -> None:
        owner = self._daemon.owner_of(stream) or self._daemon.host
        self._daemon.send(owner, message)

    def _answer_caller(self, claim: _Claim, answer: AnswerCaller) -> None:
        self._unanswered.pop(claim.holder.request.claim, None)
        if claim.query is not None:
            self._queries.pop(claim.query_id, None)
        call, claim.call = claim.call, None
        if claim.answer.called:
            return
        if answer.code is None:
            claim.answer.callback(CallAnswer(answer.status_code, answer.body))
            return
        code = claim.code if answer.code is ErrorCode.UPSTREAM_FAILED else None
        message = claim.message or _ERROR_MESSAGES.get(answer.code, "the call has no result")
        claim.answer.errback(RequestRefused(code or answer.code, message, answer.outcome))
        if call is not None and claim.holder.state is ClaimState.RELEASED:
            call.abandon()

    def _answer_if_deadline_passed(self, claim: _Claim, now_ms: int) -> None:
        """Answer the caller of a running call at its deadline; a resend may get the result."""
        if claim.holder.state is not ClaimState.DISPATCHING or now_ms < claim.deadline_ms:
            return
        self._unanswered.pop(claim.holder.request.claim, None)
        if not claim.answer.called:
            message = _ERROR_MESSAGES[ErrorCode.DEADLINE_PASSED]
            code = ErrorCode.DEADLINE_PASSED
            claim.answer.errback(RequestRefused(code, message, Outcome.UNKNOWN))

    def _handle_claim_result(self, claim_id: ClaimId, result: ClaimResult) -> None:
        self._daemon.metrics.claimed(result.status.name.lower())
        claim = self._claims.get(claim_id)
        if claim is None:
            return
        now_ms = self._daemon.clock.now_ms()
        self._apply_decisions(claim, claim.holder.handle_result(result, now_ms))
        if claim.holder.state is ClaimState.WON and not claim.started:
            claim.started = True
            self._tasks.spawn(self._run_call(claim))

    async def _run_call(self, claim: _Claim) -> None:
        call = claim.call
        if call is None:
            return
        holder = claim.holder
        try:
            answer = await call.run(lambda: self._dispatch_if_allowed(claim))
        except RequestRefused as error:
            claim.message, claim.code = error.message, error.code
            if holder.state is ClaimState.DISPATCHING:
                self._apply_decisions(claim, holder.fail())
            else:
                self._apply_decisions(claim, holder.refuse(error.code, self._daemon.clock.now_ms()))
            return
        self._apply_decisions(claim, holder.finish(answer.status_code, answer.body))

    def _dispatch_if_allowed(self, claim: _Claim) -> bool:
        decisions = claim.holder.dispatch(self._daemon.clock.now_ms())
        self._apply_decisions(claim, decisions)
        return any(isinstance(decision, DispatchCall) for decision in decisions)

    def _start_outcome_query(self, claim: _Claim, query: QueryOutcome) -> None:
        self._query_counter += 1
        claim.query = query
        claim.query_id = self._query_counter
        self._queries[claim.query_id] = claim
        self._send_outcome_query(claim, self._daemon.clock.now_ms())

    def _send_outcome_query(self, claim: _Claim, now_ms: int) -> None:
        query = claim.query
        if query is None or claim.answer.called or now_ms < claim.next_query_ms:
            return
        claim.next_query_ms = now_ms + _OUTCOME_QUERY_INTERVAL_MS
        if self._daemon.has_ended(query.host, query.incarnation):
            claim.message = "the daemon that runs the call has gone"
            self._apply_decisions(claim, claim.holder.handle_holder_ended())
            return
        self._daemon.send(query.host, OutcomeQuery(query.claim, claim.query_id))

    def _handle_outcome_query(self, sender: HostId, claim_id: ClaimId, query: OutcomeQuery) -> None:
        claim = self._claims.get(claim_id)
        if claim is None:
            unknown = OutcomeAnswer(claim_id, query.query, True, Outcome.UNKNOWN, 0, b"")
            self._daemon.send(sender, unknown)
            return
        self._apply_decisions(claim, claim.holder.handle_query(sender, query))

    def _handle_outcome_answer(self, query: int, answer: OutcomeAnswer) -> None:
        claim = self._queries.get(query)
        if claim is None or claim.query is None or claim.query.claim != answer.claim:
            return
        if answer.done:
            claim.message = "the call with this key has no known result"
        self._apply_decisions(claim, claim.holder.handle_outcome(answer))

    def _handle_claim_request(
        self, sender: HostId, incarnation: Incarnation, request: ClaimRequest
    ) -> None:
        partition = _partition(request)
        stream = claim_stream(partition)
        now_ms = self._daemon.clock.now_ms()
        owner = self._partition_owner(partition)
        sends = owner.handle_request(
            sender, request, incarnation, now_ms, self._daemon.owner_of(stream)
        )
        self._apply_owner_decisions(partition, owner, sends)
        self._poll_owner(partition, owner)

    def _handle_release_request(self, request: ReleaseRequest) -> None:
        partition = _partition(request)
        owner = self._partition_owner(partition)
        owner.handle_release(request)
        self._poll_owner(partition, owner)

    def _partition_owner(self, partition: int) -> ClaimOwner:
        owner = self._owners.get(partition)
        if owner is None:
            owner = self._owners[partition] = ClaimOwner(self._daemon.host, _DEDUP_WINDOW_MS)
        return owner

    def _poll_owner(self, partition: int, owner: ClaimOwner) -> None:
        self._apply_owner_decisions(partition, owner, owner.poll(self._daemon.clock.now_ms()))

    def _apply_owner_decisions(
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
            _log.warning(
                "append to a claim stream failed, its effect is unknown",
                extra={"error": str(error)},
            )
            owner.append_uncertain(self._daemon.clock.now_ms())
        else:
            owner.append_succeeded(offset)
        self._poll_owner(partition, owner)

    async def _read(self, partition: int, owner: ClaimOwner, start: Offset) -> None:
        try:
            records, first, next_offset = await self._read_to_end(partition, start)
            sends = owner.handle_read(records, first, next_offset)
        except PlatformError as error:
            _log.warning("read of a claim stream failed", extra={"error": str(error)})
            sends = owner.read_failed(self._daemon.clock.now_ms())
        self._apply_owner_decisions(partition, owner, sends)
        self._poll_owner(partition, owner)

    async def _read_to_end(
        self, partition: int, start: Offset
    ) -> tuple[list[LogRecord], Offset, Offset]:
        """Read until a page is empty; a short page need not be the last one."""
        records: list[LogRecord] = []
        first, next_offset = Offset(0), start
        while True:
            page = await self._log.read(claim_stream(partition), next_offset, _READ_PAGE_RECORDS)
            first, next_offset = page.first, page.next
            records += [_log_record(entry) for entry in page.records]
            if not page.records:
                return records, first, next_offset


_ERROR_MESSAGES: Mapping[ErrorCode, str] = {
    ErrorCode.KEY_REUSED: "the key was used with another body",
    ErrorCode.LOG_UNAVAILABLE: "the key could not be claimed",
    ErrorCode.DEADLINE_PASSED: "the deadline has passed",
    ErrorCode.UPSTREAM_FAILED: "the upstream failed",
}


def _check_key_issue_time(issued_wall_ms: int, now_wall_ms: int, window_ms: int) -> None:
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
    # Requesters and owners must agree, and the owner receives only the hash of the key.
    return request.key_hash % PARTITIONS


def _log_record(entry: LogEntry) -> LogRecord:
    return LogRecord(entry.offset, entry.at_ms, entry.record or _UNDECODABLE_RECORD)
