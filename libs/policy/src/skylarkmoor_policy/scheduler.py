"""The composition of the scheduling decisions of one service on one daemon."""

import heapq
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from skylarkmoor_core.document import ServiceDocument, ServiceKind, Tier
from skylarkmoor_core.hashing import rendezvous_owner
from skylarkmoor_core.ids import (
    AttemptId,
    FailureDomain,
    HostId,
    RequestId,
    TierRank,
    UpstreamId,
    VersionId,
)
from skylarkmoor_core.messages import Demand, Grant
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_policy.actions import Action, Dispatch, Preempt, Refuse, Send
from skylarkmoor_policy.capacity import bounds_of
from skylarkmoor_policy.credit import SETTLE_MS, CreditTable
from skylarkmoor_policy.learning import Learner
from skylarkmoor_policy.limits import CustomerLimits
from skylarkmoor_policy.prefixes import PrefixIndex
from skylarkmoor_policy.queueing import Queue, Waiting
from skylarkmoor_policy.requests import (
    AttemptEnd,
    AttemptResult,
    LoadReport,
    Request,
    UpstreamInfo,
)
from skylarkmoor_policy.retrying import Retry, RetryBudget, decide_retry
from skylarkmoor_policy.routing import Candidate, choose
from skylarkmoor_policy.upstreams import Attempt, Upstream, WaitingPlan

__all__ = ["Scheduler", "SchedulerStatus"]

# Requests of a tier that are passed over in one round because they cannot run now.
_MAX_SKIPS = 8
# A lower tier's request starts only with this multiple of its predicted time left, because it
# may be preempted. Work started at the last moment was mostly lost.
_START_MARGIN = 2
# Rounds of dispatching and asking for credit in one step.
_MAX_ROUNDS = 3
# With more upstreams than this a daemon prefers those of its own failure domain.
_MANY_UPSTREAMS = 16
# Waiting cost is spread over the upstreams in at most this many parts for each.
_PARTS = 4
# A preempted attempt whose end is not reported for this long is taken to have ended.
_STOP_TIMEOUT_MS = 5_000
# Least time between two divisions of the waiting cost among the upstreams.
_DIVIDE_EVERY_MS = 10
# Least time between two looks at an owned upstream's grants that no demand asked for.
_REGRANT_MS = 40
# Higher-tier work may go beyond an engine's learnt capacity, but not its limit, by this part
# while lower tiers give way as their attempts end.
_OVERFILL_PERCENT = 10
_RETRY_AFTER_MS = 1_000
# Ticks further apart than this mean that the process was paused.
_PAUSE_MS = 1_000
# Time for waiting requests after a drain begins.
_DRAIN_MS = 10_000
# A higher tier may exceed the queue's bound by this factor while lower-tier work still runs.
_QUEUE_SLACK = 4


@dataclass(frozen=True, slots=True)
class SchedulerStatus:
    """Counts by tier, the highest tier first.

    Attributes
    ----------
    running, waiting : tuple of int
        Requests that run or wait now.
    refusals, preemptions : tuple of int
        Requests refused and attempts preempted since the start.
    prefill_tokens, wasted_prefill_tokens : tuple of int
        Prompt tokens computed since the start, and those of attempts that did not complete.
    """

    running: tuple[int, ...]
    waiting: tuple[int, ...]
    refusals: tuple[int, ...]
    preemptions: tuple[int, ...]
    prefill_tokens: tuple[int, ...]
    wasted_prefill_tokens: tuple[int, ...]


@dataclass(slots=True)
class _Entry:
    """A request that has not ended."""

    request: Request
    attempts: int = 0
    failures: int = 0
    position: int = 0
    running: Attempt | None = None
    # Where the request was preempted; its prompt and answer so far are still cached there.
    cached_at: UpstreamId | None = None
    # Upstreams that failed the request.
    avoid: set[UpstreamId] = field(default_factory=set)


class Scheduler:
    """Decides which requests of a service run, when and on which upstream.

    Parameters
    ----------
    host : HostId
        This daemon.
    document : ServiceDocument
        The service's document in force.
    rng : random.Random
        Source of random choices.
    choose_version : callable, optional
        Gives the version a request must run on; by default the document's version.
    blocked : callable, optional
        Tells whether a request must not go to an upstream; by default none is blocked.

    Notes
    -----
    Every submitted request ends in exactly one of these: a completed attempt, a `Refuse`, or
    the caller's `cancel`. Nothing here reads a clock or does I/O.
    """

    def __init__(
        self,
        host: HostId,
        document: ServiceDocument,
        rng: random.Random,
        *,
        choose_version: Callable[[Request], VersionId] | None = None,
        blocked: Callable[[Request, UpstreamId], bool] | None = None,
    ) -> None:
        self._host = host
        self._document = document
        self._rng = rng
        self._choose_version = choose_version or (lambda request: self._document.version)
        self._blocked = blocked or (lambda request, upstream: False)
        self._engine = document.kind is ServiceKind.ENGINE
        self._tiers = len(document.tiers)
        self._limits = CustomerLimits(document)
        self._retries = RetryBudget(document.limits.retry_budget_percent)
        self._queue = Queue(self._tiers, self._limits.share)
        self._prefixes = PrefixIndex()
        self._entries: dict[RequestId, _Entry] = {}
        self._deadlines: list[tuple[int, RequestId]] = []
        # Waiting requests that may not go to every upstream, as the last dispatch found them.
        self._restricted: set[RequestId] = set()
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._domains: dict[HostId, FailureDomain] = {}
        self._learner = Learner(self._engine, self._tiers)
        self._divided_ms = -_DIVIDE_EVERY_MS
        # The last division found nothing waiting.
        self._divided_empty = False
        self._tick_ms = 0
        # An owner has to hear at once of work that it did not know of.
        self._correcting = False
        self._drained_ms: int | None = None
        self._refusals = [0] * self._tiers
        self._preemptions = [0] * self._tiers

    def submit(self, request: Request, now_ms: int) -> list[Action]:
        """Take a request.

        Parameters
        ----------
        request : Request
            Its id must not have been used before.
        now_ms : int
            Monotonic time.

        Returns
        -------
        list of Action
            What to do now, in this order. The request is dispatched, refused or waits.
        """
        self._retries.count_request(request.customer)
        entry = _Entry(request)
        self._entries[request.request] = entry
        heapq.heappush(self._deadlines, (request.deadline_ms, request.request))
        refusal = self._admission_fault(entry, now_ms)
        if refusal is not None:
            return [refusal]
        self._enqueue(entry)
        actions = self._shed(now_ms)
        # The first request that waits in a tier must not wait for the next tick as well.
        first = self._queue.count(request.tier) == 1
        return actions + self._pump(now_ms, renew=first)

    def cancel(self, request_id: RequestId, now_ms: int) -> list[Action]:
        """Forget a request whose caller is gone.

        Parameters
        ----------
        request_id : RequestId
            An unknown or ended request is ignored.
        now_ms : int
            Monotonic time.

        Returns
        -------
        list of Action
            A `Preempt` if an attempt runs. Its end has to be reported as for any other; it
            holds its capacity until then, but for 5 s at most.
        """
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return []
        if entry.running is None:
            self._queue.remove(request_id)
            return []
        return self._stop(entry.running, now_ms)

    def attempt_progress(self, attempt: AttemptId, position_tokens: int, now_ms: int) -> None:
        """Note the position that an attempt's answer has reached.

        Parameters
        ----------
        attempt : AttemptId
            An attempt that has ended is ignored.
        position_tokens : int
            Tokens of the whole answer, with those of earlier attempts.
        now_ms : int
            Monotonic time.
        """
        entry = self._entry_of(attempt)
        if entry is None or entry.running is None:
            return
        running = entry.running
        if position_tokens <= running.position:
            return
        upstream = self._upstreams[running.upstream]
        tier = self._tier(running.request.tier)
        if self._learner.progress(running, upstream, position_tokens, tier, now_ms):
            self._prefixes.add(running.upstream, running.request.prefix_hashes)
        upstream.recover()
        running.position = position_tokens
        entry.position = max(entry.position, position_tokens)

    def attempt_ended(self, end: AttemptEnd, now_ms: int) -> list[Action]:
        """Note the end of an attempt.

        Parameters
        ----------
        end : AttemptEnd
            How it ended. The end of an unknown attempt is ignored.
        now_ms : int
            Monotonic time.

        Returns
        -------
        list of Action
            What to do now. The request is complete, waits again, is dispatched again or is
            refused. A call that is not idempotent runs again only if nothing of it was sent.
        """
        entry = self._entry_of(end.attempt)
        attempt = self._release(end.upstream, end.attempt, now_ms)
        if attempt is None:
            return []
        tier = self._tier(attempt.request.tier)
        self._learner.ended(end, attempt, self._upstreams[end.upstream], tier, now_ms)
        actions: list[Action] = []
        if entry is not None:
            entry.running = None
            entry.position = max(entry.position, end.position_tokens)
            actions = self._settle(entry, end, now_ms)
        return actions + self._pump(now_ms)

    def receive(self, sender: HostId, message: Demand | Grant, now_ms: int) -> list[Action]:
        """Take a message of another daemon.

        Parameters
        ----------
        sender : HostId
            The other daemon.
        message : Demand or Grant
            One for an upstream that this daemon does not know, or that is older than one
            received before, is ignored.
        now_ms : int
            Monotonic time.

        Returns
        -------
        list of Action
            What to do now.
        """
        upstream = self._upstreams.get(message.upstream)
        if upstream is None:
            return []
        match message:
            case Demand():
                actions = self._take_demand(sender, upstream, message, now_ms)
            case Grant():
                if not self._accept(sender, upstream, message, now_ms):
                    return []
                actions = []
        return actions + self._pump(now_ms)

    def set_document(self, document: ServiceDocument) -> None:
        """Put a new document in force."""
        self._document = document
        self._limits.set_document(document)
        self._retries.set_percent(document.limits.retry_budget_percent)
        more = len(document.tiers) - self._tiers
        if more <= 0:
            return
        self._tiers += more
        self._queue.set_tiers(self._tiers)
        self._learner.add_tiers(more)
        for counts in (self._refusals, self._preemptions):
            counts.extend([0] * more)
        for upstream in self._upstreams.values():
            upstream.account.set_tiers(self._tiers)
            if upstream.table is not None:
                upstream.table.set_tiers(self._tiers)

    def set_upstreams(self, infos: Sequence[UpstreamInfo]) -> None:
        """Set the service's upstreams as the host list names them."""
        listed = {info.upstream: info for info in infos}
        for name, upstream in list(self._upstreams.items()):
            upstream.listed = name in listed
            if not upstream.listed and not upstream.attempts:
                del self._upstreams[name]
                self._prefixes.forget(name)
        for name, info in listed.items():
            known = self._upstreams.get(name)
            if known is None:
                self._upstreams[name] = Upstream(info, self._engine, self._tiers)
            else:
                known.info = info
                known.leaving = known.leaving or info.leaving
        self._place_owners()

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Set the live daemons, this one among them, with their failure domains."""
        self._domains = dict(domains)
        self._limits.set_daemons(len(domains))
        self._place_owners()

    def report(self, report: LoadReport) -> None:
        """Note an upstream's own report of its load."""
        upstream = self._upstreams.get(report.upstream)
        if upstream is None:
            return
        if upstream.report is not None and report.as_of_ms < upstream.report.as_of_ms:
            return
        if upstream.incarnation is not None and report.incarnation > upstream.incarnation:
            self._prefixes.forget(report.upstream)
            upstream.leaving = False
            upstream.recover()
        upstream.incarnation = report.incarnation
        upstream.report = report
        upstream.leaving = upstream.leaving or report.leaving
        bounds = bounds_of(report, self._engine)
        upstream.capacity.set_bounds(bounds)
        upstream.account.set_bounds(bounds)
        calls = report.running + report.waiting
        used = max(report.kv_used_tokens, calls * bounds.unit) if self._engine else calls
        upstream.load.report(report, used)

    def cache_event(
        self, upstream: UpstreamId, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Note prefixes that an upstream has cached or dropped."""
        if upstream in self._upstreams:
            self._prefixes.add(upstream, added)
            self._prefixes.remove(upstream, removed)

    def mark_leaving(self, upstream: UpstreamId) -> None:
        """Give an upstream no new work from now on."""
        if upstream in self._upstreams:
            self._upstreams[upstream].leaving = True

    def drain(self, now_ms: int) -> None:
        """Take no new requests from now on; waiting ones get a bounded time to start."""
        if self._drained_ms is None:
            self._drained_ms = now_ms

    def tick(self, now_ms: int) -> list[Action]:
        """Apply deadlines, leases and renewals.

        Parameters
        ----------
        now_ms : int
            Monotonic time. Calls should be about 20 ms apart; a gap of a second is taken for
            a pause of the process.

        Returns
        -------
        list of Action
            What to do now.
        """
        if now_ms - self._tick_ms >= _PAUSE_MS:
            self._forget_demands()
        self._tick_ms = now_ms
        actions = self._expire(now_ms)
        actions += self._release_lost(now_ms)
        if self._drained_ms is not None and now_ms - self._drained_ms >= _DRAIN_MS:
            actions += self._refuse_waiting(ErrorCode.DRAINING, "the daemon is draining")
        actions += self._shed(now_ms)
        for upstream in self._upstreams.values():
            actions += self._review_capacity(upstream, now_ms)
        return actions + self._pump(now_ms, renew=True)

    def status(self) -> SchedulerStatus:
        """Return counts by tier."""
        running = [0] * self._tiers
        for entry in self._entries.values():
            running[entry.request.tier] += entry.running is not None
        return SchedulerStatus(
            tuple(running),
            tuple(self._queue.count(tier) for tier in range(self._tiers)),
            tuple(self._refusals),
            tuple(self._preemptions),
            tuple(self._learner.prefill_tokens),
            tuple(self._learner.wasted_prefill_tokens),
        )

    def _admission_fault(self, entry: _Entry, now_ms: int) -> Refuse | None:
        request = entry.request
        if self._drained_ms is not None:
            return self._refuse(entry, ErrorCode.DRAINING, "the daemon is draining")
        if request.deadline_ms <= now_ms:
            return self._refuse(entry, ErrorCode.DEADLINE_PASSED, "the deadline has passed")
        wait_ms = self._limits.admit(request.customer, now_ms)
        if wait_ms is not None:
            message = f"customer {request.customer!r} is over its request rate"
            return self._refuse(entry, ErrorCode.CUSTOMER_LIMIT, message, wait_ms)
        most = self._limits.max_waiting(request.customer)
        if most is not None and self._queue.customer_count(request.customer) >= most:
            message = f"customer {request.customer!r} has {most} requests waiting"
            return self._refuse(entry, ErrorCode.CUSTOMER_LIMIT, message, _RETRY_AFTER_MS)
        return None

    def _shed(self, now_ms: int) -> list[Action]:
        """Refuse waiting requests beyond the queue's bound, the lowest tier first."""
        actions: list[Action] = []
        bound = self._document.limits.max_waiting
        while len(self._queue) > bound:
            item = self._queue.shed_candidate()
            if item is None:
                break
            # Preempted streams of lower tiers must not push out a higher tier's requests.
            waiting = len(self._queue) - self._queue.started_below(item.request.tier)
            hard = waiting > bound * _QUEUE_SLACK
            if waiting <= bound or (not hard and self._displaces(item.request.tier, now_ms)):
                break
            self._queue.remove(item.request.request)
            entry = self._entries[item.request.request]
            message = f"{bound} requests wait already"
            actions.append(self._refuse(entry, ErrorCode.OVERLOADED, message, _RETRY_AFTER_MS))
        return actions

    def _displaces(self, tier: int, now_ms: int) -> bool:
        """Return whether lower-tier work may run whose capacity a tier could take."""
        return any(
            upstream.account.displaces(tier, now_ms)
            for upstream in self._upstreams.values()
            if upstream.usable(now_ms)
        )

    def _refuse(
        self, entry: _Entry, code: ErrorCode, message: str, retry_after_ms: int | None = None
    ) -> Refuse:
        self._entries.pop(entry.request.request, None)
        self._refusals[entry.request.tier] += 1
        return Refuse(entry.request.request, code, message, retry_after_ms)

    def _refuse_waiting(self, code: ErrorCode, message: str) -> list[Action]:
        actions: list[Action] = []
        while (item := self._queue.shed_candidate()) is not None:
            self._queue.remove(item.request.request)
            actions.append(self._refuse(self._entries[item.request.request], code, message))
        return actions

    def _enqueue(self, entry: _Entry) -> None:
        request = entry.request
        cost = 1
        if self._engine:
            cost = max(1, request.prompt_tokens + self._learner.expected_output(request))
        version = self._choose_version(request)
        self._queue.add(Waiting(request, cost, version, started=entry.position > 0))

    def _expire(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, name = heapq.heappop(self._deadlines)
            entry = self._entries.get(name)
            if entry is None:
                continue
            if entry.running is None:
                self._queue.remove(name)
                actions.append(self._deadline_passed(entry))
            elif entry.request.idempotent:
                # The answer would be late, and its capacity can serve another request. A
                # call that must not run twice goes on, so that its outcome becomes known.
                actions.append(self._deadline_passed(entry))
                actions += self._stop(entry.running, now_ms)
        return actions

    def _deadline_passed(self, entry: _Entry) -> Refuse:
        return self._refuse(entry, ErrorCode.DEADLINE_PASSED, "the deadline has passed")

    def _release_lost(self, now_ms: int) -> list[Action]:
        """End preempted attempts whose end was never reported."""
        actions: list[Action] = []
        lost = [
            attempt
            for upstream in self._upstreams.values()
            for attempt in upstream.attempts.values()
            if attempt.stopped_ms is not None and now_ms - attempt.stopped_ms > _STOP_TIMEOUT_MS
        ]
        for attempt in lost:
            entry = self._entry_of(attempt.attempt)
            self._release(attempt.upstream, attempt.attempt, now_ms)
            if entry is not None:
                entry.running = None
                actions += self._requeue(entry, now_ms)
        return actions

    def _entry_of(self, attempt: AttemptId) -> _Entry | None:
        entry = self._entries.get(RequestId(attempt.rpartition(".")[0]))
        if entry is None or entry.running is None or entry.running.attempt != attempt:
            return None
        return entry

    def _release(self, name: UpstreamId, attempt: AttemptId, now_ms: int) -> Attempt | None:
        upstream = self._upstreams.get(name)
        ended = None if upstream is None else upstream.attempts.pop(attempt, None)
        if upstream is None or ended is None:
            return None
        upstream.account.end(ended.request.tier, ended.cost, ended.stopped_ms is not None)
        upstream.load.change(-ended.cost, now_ms)
        self._correcting = self._correcting or upstream.account.must_correct
        return ended

    def _settle(self, entry: _Entry, end: AttemptEnd, now_ms: int) -> list[Action]:
        upstream = self._upstreams[end.upstream]
        request = entry.request
        match end.result:
            case AttemptResult.COMPLETED:
                upstream.recover()
                del self._entries[request.request]
                return []
            case AttemptResult.ABANDONED:
                return [self._deadline_passed(entry)]
            case AttemptResult.LEAVING:
                upstream.leaving = True
            case AttemptResult.NOT_STARTED:
                upstream.rest(now_ms)
                entry.avoid.add(end.upstream)
            case AttemptResult.CRASHED:
                upstream.rest(now_ms)
                entry.avoid.add(end.upstream)
                entry.failures += 1
            case AttemptResult.FAILED:
                entry.avoid.add(end.upstream)
                entry.failures += 1
            case AttemptResult.PREEMPTED:
                entry.cached_at = end.upstream
        retry = decide_retry(end.result, request.idempotent, entry.failures)
        charged = retry is Retry.CHARGED
        if retry is Retry.NEVER or (charged and not self._retries.take(request.customer, now_ms)):
            message = f"upstream {end.upstream} ended the attempt as {end.result.value}"
            return [self._refuse(entry, ErrorCode.UPSTREAM_FAILED, message)]
        return self._requeue(entry, now_ms)

    def _requeue(self, entry: _Entry, now_ms: int) -> list[Action]:
        if entry.request.deadline_ms <= now_ms:
            return [self._deadline_passed(entry)]
        self._enqueue(entry)
        return []

    def _tier(self, rank: TierRank) -> Tier:
        tiers = sorted(self._document.tiers, key=lambda tier: tier.rank)
        return tiers[min(rank, len(tiers) - 1)]

    def _place_owners(self) -> None:
        for name, upstream in self._upstreams.items():
            domain = upstream.info.failure_domain
            local = [host for host, each in self._domains.items() if each == domain]
            owner = rendezvous_owner(name, local or self._domains)
            upstream.account.set_members(
                None if owner is None else HostId(owner), self._host, tuple(self._domains)
            )
            upstream.owned = owner == self._host
            if not upstream.owned:
                upstream.table = None

    def _table(self, upstream: Upstream, now_ms: int) -> CreditTable | None:
        """Return the table of an upstream that this daemon owns."""
        if upstream.owned and upstream.table is None:
            settle_ms = SETTLE_MS if len(self._domains) > 1 else 0
            name = upstream.info.upstream
            upstream.table = CreditTable(name, self._tiers, now_ms + settle_ms)
            if upstream.account.learnt:
                upstream.capacity.adopt(upstream.account.capacity)
        return upstream.table

    def _forget_demands(self) -> None:
        """Start anew as owner after a pause, in which another daemon may have taken over."""
        for upstream in self._upstreams.values():
            upstream.table = None

    def _take_demand(
        self, sender: HostId, upstream: Upstream, demand: Demand, now_ms: int
    ) -> list[Action]:
        table = self._table(upstream, now_ms)
        if table is None or not table.take(sender, demand, now_ms):
            return []
        upstream.capacity.observe(demand.pressure_percent, table.running, now_ms)
        return self._grant(upstream, table, now_ms, sender)

    def _review_capacity(self, upstream: Upstream, now_ms: int) -> list[Action]:
        """Hand out capacity that was learnt, or that ended leases have given back."""
        table = self._table(upstream, now_ms)
        if table is None or not table.contended:
            return []
        if not table.returned(now_ms) and now_ms - upstream.granted_ms < _REGRANT_MS:
            return []
        return self._grant(upstream, table, now_ms)

    def _grant(
        self, upstream: Upstream, table: CreditTable, now_ms: int, answer: HostId | None = None
    ) -> list[Action]:
        upstream.granted_ms = now_ms
        bounds = upstream.account.bounds
        actions: list[Action] = []
        capacity = upstream.capacity.value
        hard = capacity
        if self._engine:
            hard += max(bounds.unit, capacity * _OVERFILL_PERCENT // 100)
            hard = max(capacity, min(hard, bounds.limit))
        for host, grant in table.grants(capacity, hard, bounds.unit, now_ms, answer):
            if host == self._host:
                self._accept(host, upstream, grant, now_ms)
            else:
                actions.append(Send(host, grant))
        return actions

    def _accept(self, sender: HostId, upstream: Upstream, grant: Grant, now_ms: int) -> bool:
        accepted = upstream.account.accept(sender, grant, now_ms)
        self._correcting = self._correcting or upstream.account.must_correct
        return accepted

    def _pump(self, now_ms: int, *, renew: bool = False) -> list[Action]:
        """Dispatch, preempt and demand credit until nothing changes any more."""
        actions: list[Action] = []
        for _ in range(_MAX_ROUNDS):
            actions += self._dispatch(now_ms)
            actions += self._preempt(now_ms)
            sent = self._send_demands(now_ms, renew)
            if sent is None:
                break
            actions += sent
            renew = False
        return actions

    def _dispatch(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        if len(self._queue) == 0:
            return actions
        free = [each for each in self._upstreams.values() if each.usable(now_ms)]
        for tier in range(self._tiers):
            skip: set[RequestId] = set()
            while len(skip) < _MAX_SKIPS:
                free = [each for each in free if each.has_room(tier, now_ms)]
                # Lower tiers have no more room than this one.
                if not free:
                    return actions
                item = self._queue.next(tier, skip)
                if item is None:
                    break
                action = self._place(item, free, now_ms)
                if action is None:
                    skip.add(item.request.request)
                else:
                    actions.append(action)
        return actions

    def _place(self, item: Waiting, free: list[Upstream], now_ms: int) -> Action | None:
        """Start a waiting request if it fits somewhere.

        If it does not, the upstream where it has the best prospects is taken off `free`, so
        that requests after it do not use up the credit that it waits for.
        """
        request = item.request
        entry = self._entries[request.request]
        version = self._choose_version(request)
        if version != item.version:
            self._queue.replace(item, version)
        able = self._eligible(entry, version, now_ms)
        if len(able) < sum(each.usable(now_ms) for each in self._upstreams.values()):
            self._restricted.add(request.request)
        fitting = [
            each
            for each in able
            if each in free and each.account.room(request.tier, now_ms) >= self._cost(entry, each)
        ]
        if not fitting:
            if able:
                best = max(
                    able,
                    key=lambda each: (
                        each.account.reach(now_ms)[request.tier] / each.account.capacity
                    ),
                )
                if best in free:
                    free.remove(best)
            return None
        return self._start(entry, version, self._near(fitting), now_ms)

    def _start(
        self, entry: _Entry, version: VersionId, fitting: list[Upstream], now_ms: int
    ) -> Action:
        request = entry.request
        self._rng.shuffle(fitting)
        prompt = request.prompt_tokens + entry.position
        output = self._learner.expected_output(request)
        candidates = [self._candidate(each, entry, prompt) for each in fitting]
        cost = self._cost(entry, fitting[0])
        candidate, time_ms = choose(candidates, prompt, output, cost)
        if now_ms > self._latest_start_ms(entry, time_ms) and self._may_reject(entry, now_ms):
            self._queue.remove(request.request)
            message = f"{time_ms:.0f} ms are needed and the deadline leaves no margin"
            return self._refuse(entry, ErrorCode.OVERLOADED, message, _RETRY_AFTER_MS)
        upstream = self._upstreams[candidate.upstream]
        self._queue.take(request.request)
        entry.attempts += 1
        attempt = Attempt(
            AttemptId(f"{request.request}.{entry.attempts}"),
            request,
            candidate.upstream,
            self._cost(entry, upstream),
            prompt - candidate.cached_tokens,
            entry.position,
            now_ms,
            entry.position,
        )
        entry.running = attempt
        upstream.attempts[attempt.attempt] = attempt
        upstream.account.start(request.tier, attempt.cost, now_ms)
        upstream.load.change(attempt.cost, now_ms)
        return Dispatch(
            request.request, attempt.attempt, candidate.upstream, version, entry.position
        )

    def _latest_start_ms(self, entry: _Entry, time_ms: float) -> float:
        """Return when a request has to start at the latest; one that has begun needs no margin."""
        margin = 1 if entry.attempts else _START_MARGIN
        return entry.request.deadline_ms - margin * time_ms

    def _may_reject(self, entry: _Entry, now_ms: int) -> bool:
        """Return whether a request may be refused for a deadline yet to come.

        One of a lower tier may under load, but not while work in tiers below it runs, and not
        before the length of its route's answers has been learnt.
        """
        tier = entry.request.tier
        if len(self._queue) <= 1 or not self._learner.knows_output(entry.request.route):
            return False
        lowest = tier == self._tiers - 1
        return lowest or (tier > 0 and not self._displaces(tier, now_ms))

    def _candidate(self, upstream: Upstream, entry: _Entry, prompt: int) -> Candidate:
        name = upstream.info.upstream
        request = entry.request
        cached = self._prefixes.cached_tokens(name, request.prefix_hashes, request.prompt_tokens)
        return Candidate(
            name,
            upstream.load.used(),
            upstream.account.capacity,
            prompt if entry.cached_at == name else min(cached, prompt),
            upstream.speed.prefill_ms,
            upstream.speed.decode_ms,
        )

    def _eligible(self, entry: _Entry, version: VersionId, now_ms: int) -> list[Upstream]:
        able = [
            each
            for name, each in self._upstreams.items()
            if each.usable(now_ms)
            and each.serves(version)
            and not self._blocked(entry.request, name)
        ]
        fresh = [each for each in able if each.info.upstream not in entry.avoid]
        return fresh or able

    def _near(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return those of this daemon's failure domain if there are very many upstreams."""
        if len(self._upstreams) <= _MANY_UPSTREAMS:
            return upstreams
        domain = self._domains.get(self._host)
        return [each for each in upstreams if each.info.failure_domain == domain] or upstreams

    def _cost(self, entry: _Entry, upstream: Upstream) -> int:
        """Return what a request costs on an upstream, where it has to fit when alone."""
        if not self._engine:
            return 1
        request = entry.request
        output = max(self._learner.expected_output(request), entry.position)
        cost = max(upstream.account.bounds.unit, request.prompt_tokens + output)
        return min(cost, upstream.account.capacity)

    def _preempt(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for upstream in self._upstreams.values():
            if not upstream.attempts:
                continue
            freed = 0
            for tier, excess in upstream.account.excess(now_ms):
                for attempt in self._victims(upstream, tier, now_ms):
                    if freed >= excess:
                        break
                    freed += attempt.cost
                    self._preemptions[attempt.request.tier] += 1
                    actions += self._stop(attempt, now_ms)
        return actions

    def _victims(self, upstream: Upstream, tier: int, now_ms: int) -> list[Attempt]:
        """Return what may be preempted, the lowest tier and the least computed work first."""
        prefill_ms = upstream.speed.prefill_ms
        return sorted(
            (
                attempt
                for attempt in upstream.attempts.values()
                if attempt.request.tier >= tier
                and attempt.request.idempotent
                and attempt.stopped_ms is None
            ),
            key=lambda each: (-each.request.tier, each.computed(prefill_ms, now_ms)),
        )

    def _stop(self, attempt: Attempt, now_ms: int) -> list[Action]:
        if attempt.stopped_ms is not None:
            return []
        attempt.stopped_ms = now_ms
        account = self._upstreams[attempt.upstream].account
        account.stop(attempt.request.tier, attempt.cost)
        return [Preempt(attempt.attempt, attempt.upstream)]

    def _send_demands(self, now_ms: int, renew: bool) -> list[Action] | None:
        """Send the demands that are due; None if none was."""
        if not renew and now_ms - self._divided_ms < _DIVIDE_EVERY_MS and not self._correcting:
            return None
        self._correcting = False
        self._divided_ms = now_ms
        self._divide_waiting(now_ms)
        actions: list[Action] = []
        told = False
        for upstream in self._upstreams.values():
            owner = upstream.account.owner
            if owner is None or not upstream.account.due(now_ms):
                continue
            told = True
            demand = upstream.account.demand(upstream.pressure.percent(), now_ms)
            upstream.pressure.clear()
            if owner == self._host:
                actions += self._take_demand(owner, upstream, demand, now_ms)
            else:
                actions.append(Send(owner, demand))
        return actions if told else None

    def _divide_restricted(self, plans: Mapping[UpstreamId, WaitingPlan], now_ms: int) -> None:
        """Ask for credit where a request may go that must avoid some upstreams.

        Without this the whole waiting cost could be asked of an upstream that failed the
        request, and the request would wait for credit elsewhere until its deadline.
        """
        restricted, self._restricted = self._restricted, set()
        for name in restricted:
            entry = self._entries.get(name)
            if entry is None or entry.running is not None:
                continue
            tier = entry.request.tier
            able = self._eligible(entry, self._choose_version(entry.request), now_ms)
            choices = [plans[each.info.upstream] for each in able if each.info.upstream in plans]
            if choices and not any(plan.waiting[tier] for plan in choices):
                best = max(choices, key=lambda plan: plan.prospect(tier))
                best.add(tier, self._cost(entry, able[0]), 1)

    def _divide_waiting(self, now_ms: int) -> None:
        """Divide the waiting cost among the upstreams by how much they may yet take.

        The parts add up to what waits. Demanding everything everywhere would preempt several
        times as much lower-tier work as is needed.
        """
        empty = len(self._queue) == 0
        if empty and self._divided_empty:
            return
        self._divided_empty = empty
        usable = [each for each in self._upstreams.values() if each.usable(now_ms)]
        plans = {each.info.upstream: WaitingPlan(each, now_ms) for each in usable}
        for tier in range(self._tiers):
            for version, (count, cost) in self._queue.groups(tier).items():
                able = self._near([each for each in usable if each.serves(version)])
                if not able:
                    continue
                choices = [plans[each.info.upstream] for each in able]
                parts = min(count, _PARTS * len(choices))
                for _ in range(parts):
                    best = max(choices, key=lambda plan: plan.prospect(tier))
                    best.add(tier, cost // count, count / parts)
        self._divide_restricted(plans, now_ms)
        none = (0,) * self._tiers
        for name, each in self._upstreams.items():
            plan = plans.get(name)
            if plan is None:
                each.account.wait(none, none)
            else:
                each.account.wait(tuple(plan.waiting), tuple(plan.units))
