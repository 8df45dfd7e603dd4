"""Request scheduler of one service on one daemon."""

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
from skylarkmoor_policy.capacity import bounds_from_report
from skylarkmoor_policy.credit import OWNER_SETTLE_MS, CreditTable
from skylarkmoor_policy.estimation import PerformanceEstimator
from skylarkmoor_policy.prefixes import PrefixIndex
from skylarkmoor_policy.ratelimits import CustomerLimits
from skylarkmoor_policy.requestqueue import FairRequestQueue, QueuedRequest
from skylarkmoor_policy.requests import (
    AttemptEnd,
    AttemptResult,
    LoadReport,
    Request,
    UpstreamInfo,
)
from skylarkmoor_policy.retries import RetryAllowance, RetryBudget, decide_retry
from skylarkmoor_policy.routing import Candidate, choose_candidate
from skylarkmoor_policy.upstreams import Attempt, Upstream, WaitingPlan

__all__ = ["Scheduler", "SchedulerStatus"]

# Maximum requests of a tier skipped in one dispatch round because they cannot run now.
_MAX_SKIPPED_REQUESTS = 8
# A new lower-tier request starts only if its predicted time fits this many times before its
# deadline. It may be preempted, and work that was started just in time was mostly wasted.
_DEADLINE_MARGIN_FACTOR = 2
# Maximum rounds of dispatching and requesting credit for one event.
_MAX_SCHEDULING_ROUNDS = 3
# With more upstreams than this, a daemon prefers those in its own failure domain.
_LOCAL_PREFERENCE_THRESHOLD = 16
# The waiting cost of a tier and version is assigned in at most this many parts per upstream.
_MAX_PARTS_PER_UPSTREAM = 4
# A preempted attempt counts as ended if its end is not reported within this time.
_PREEMPTION_TIMEOUT_MS = 5_000
# Minimum interval between two assignments of the waiting cost to the upstreams.
_MIN_COST_ASSIGNMENT_INTERVAL_MS = 10
# Minimum interval between unsolicited grants for an owned upstream.
_MIN_REGRANT_INTERVAL_MS = 40
# Higher tiers may exceed an engine's estimated capacity, but not its limit, by this percentage
# while lower tiers shrink as their attempts end.
_OVERFILL_PERCENT = 10
_RETRY_AFTER_MS = 1_000
# A longer interval between two ticks means that the process was paused.
_PAUSE_THRESHOLD_MS = 1_000
# Requests that still wait this long after a drain began are refused.
_DRAIN_TIMEOUT_MS = 10_000
# A higher tier may exceed the queue limit up to this factor while lower tiers still run.
_QUEUE_OVERFLOW_FACTOR = 4


@dataclass(frozen=True, slots=True)
class SchedulerStatus:
    """Request and token counts by tier, the highest tier first.

    Attributes
    ----------
    running, waiting : tuple of int
        Requests that are running and requests that are waiting.
    refusals, preemptions : tuple of int
        Requests refused and attempts preempted since the scheduler was created.
    prefill_tokens, wasted_prefill_tokens : tuple of int
        Prompt tokens computed since the scheduler was created, in all attempts and in those
        that did not complete.
    """

    running: tuple[int, ...]
    waiting: tuple[int, ...]
    refusals: tuple[int, ...]
    preemptions: tuple[int, ...]
    prefill_tokens: tuple[int, ...]
    wasted_prefill_tokens: tuple[int, ...]


@dataclass(slots=True)
class _RequestState:
    """State of a request that has not ended."""

    request: Request
    attempts: int = 0
    failures: int = 0
    position: int = 0
    running: Attempt | None = None
    # Upstream on which the request was preempted; it still caches the prompt and output so far.
    cached_at: UpstreamId | None = None
    # Upstreams on which an attempt of the request failed.
    avoided_upstreams: set[UpstreamId] = field(default_factory=set)


class Scheduler:
    """Decides which requests of a service run, when, and on which upstream.

    Parameters
    ----------
    host : HostId
        The host of this daemon.
    document : ServiceDocument
        The service's current configuration document.
    rng : random.Random
        Random number generator, used to break ties between upstreams.
    choose_version : callable, optional
        Returns the version that a request must run on; by default the document's version.
    blocked : callable, optional
        Returns whether a request must not be sent to an upstream; by default, every upstream
        is allowed.

    Notes
    -----
    Every submitted request ends in exactly one of three ways: a completed attempt, a `Refuse`
    action or a call to `cancel`. The scheduler reads no clock and does no I/O.
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
        self._queue = FairRequestQueue(self._tiers, self._limits.share)
        self._prefixes = PrefixIndex()
        self._states: dict[RequestId, _RequestState] = {}
        self._deadlines: list[tuple[int, RequestId]] = []
        # Waiting requests that the last dispatch found ineligible for some usable upstream.
        self._restricted: set[RequestId] = set()
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._domains: dict[HostId, FailureDomain] = {}
        self._estimator = PerformanceEstimator(self._engine, self._tiers)
        self._last_demands_ms = -_MIN_COST_ASSIGNMENT_INTERVAL_MS
        # Whether the queue was empty when its cost was last assigned to upstreams.
        self._divided_empty_queue = False
        self._last_tick_ms = 0
        # Whether demands are due at once, because an owner does not know what runs here.
        self._correction_pending = False
        self._drain_started_ms: int | None = None
        self._refusals = [0] * self._tiers
        self._preemptions = [0] * self._tiers

    def submit(self, request: Request, now_ms: int) -> list[Action]:
        """Admit a request and queue it.

        Parameters
        ----------
        request : Request
            The request; its id must be unique.
        now_ms : int
            Monotonic time.

        Returns
        -------
        list of Action
            Actions to carry out in this order. The request is dispatched or refused, or it
            waits.
        """
        self._retries.count_request(request.customer)
        state = _RequestState(request)
        self._states[request.request] = state
        heapq.heappush(self._deadlines, (request.deadline_ms, request.request))
        refusal = self._check_admission(state, now_ms)
        if refusal is not None:
            return [refusal]
        self._enqueue(state)
        actions = self._shed_excess(now_ms)
        # The first waiting request of a tier must not wait for the next tick before credit is
        # requested for it.
        first_in_tier = self._queue.count(request.tier) == 1
        return actions + self._schedule(now_ms, force_demands=first_in_tier)

    def cancel(self, request_id: RequestId, now_ms: int) -> list[Action]:
        """Remove a request whose client has disconnected.

        Parameters
        ----------
        request_id : RequestId
            The request; one that is unknown or has ended is ignored.
        now_ms : int
            Monotonic time.

        Returns
        -------
        list of Action
            A `Preempt` if an attempt is running. Its end must be reported like any other; it
            occupies capacity until then, but for at most about 5 s.
        """
        state = self._states.pop(request_id, None)
        if state is None:
            return []
        if state.running is None:
            self._queue.remove(request_id)
            return []
        return self._preempt_attempt(state.running, now_ms)

    def record_attempt_progress(
        self, attempt: AttemptId, position_tokens: int, now_ms: int
    ) -> None:
        """Record the output position that an attempt has reached.

        Parameters
        ----------
        attempt : AttemptId
            The attempt; one that has ended is ignored.
        position_tokens : int
            Tokens of the whole answer, including those of earlier attempts.
        now_ms : int
            Monotonic time.
        """
        state = self._state_of_attempt(attempt)
        if state is None or state.running is None:
            return
        running = state.running
        if position_tokens <= running.position:
            return
        upstream = self._upstreams[running.upstream]
        tier = self._tier_of_rank(running.request.tier)
        if self._estimator.record_progress(running, upstream, position_tokens, tier, now_ms):
            self._prefixes.add(running.upstream, running.request.prefix_hashes)
        upstream.clear_failures()
        running.position = position_tokens
        state.position = max(state.position, position_tokens)

    def record_attempt_end(self, end: AttemptEnd, now_ms: int) -> list[Action]:
        """Handle the end of an attempt.

        Parameters
        ----------
        end : AttemptEnd
            How the attempt ended. The end of an unknown attempt is ignored.
        now_ms : int
            Monotonic time.

        Returns
        -------
        list of Action
            Actions to carry out in this order. The request is complete, queued or dispatched
            again, or refused. A request that is not idempotent is retried only if nothing of
            it was executed.
        """
        state = self._state_of_attempt(end.attempt)
        attempt = self._remove_attempt(end.upstream, end.attempt, now_ms)
        if attempt is None:
            return []
        tier = self._tier_of_rank(attempt.request.tier)
        self._estimator.record_end(end, attempt, self._upstreams[end.upstream], tier, now_ms)
        actions: list[Action] = []
        if state is not None:
            state.running = None
            state.position = max(state.position, end.position_tokens)
            actions = self._resolve_attempt_end(state, end, now_ms)
        return actions + self._schedule(now_ms)

    def receive(self, sender: HostId, message: Demand | Grant, now_ms: int) -> list[Action]:
        """Handle a message of another daemon.

        Parameters
        ----------
        sender : HostId
            The host of the other daemon.
        message : Demand or Grant
            The message; it is ignored if its upstream is unknown or if a newer one has been
            received.
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
                actions = self._handle_demand(sender, upstream, message, now_ms)
            case Grant():
                if not self._accept_grant(sender, upstream, message, now_ms):
                    return []
                actions = []
        return actions + self._schedule(now_ms)

    def set_document(self, document: ServiceDocument) -> None:
        """Apply a new service document; tiers are added but never removed."""
        self._document = document
        self._limits.set_document(document)
        self._retries.set_percent(document.limits.retry_budget_percent)
        added_tiers = len(document.tiers) - self._tiers
        if added_tiers <= 0:
            return
        self._tiers += added_tiers
        self._queue.set_tiers(self._tiers)
        self._estimator.add_tiers(added_tiers)
        for counts in (self._refusals, self._preemptions):
            counts.extend([0] * added_tiers)
        for upstream in self._upstreams.values():
            upstream.account.set_tiers(self._tiers)
            if upstream.credit_table is not None:
                upstream.credit_table.set_tiers(self._tiers)

    def set_upstreams(self, infos: Sequence[UpstreamInfo]) -> None:
        """Set the service's upstreams from the host list."""
        listed = {info.upstream: info for info in infos}
        for name, upstream in list(self._upstreams.items()):
            upstream.listed = name in listed
            if not upstream.listed and not upstream.attempts:
                del self._upstreams[name]
                self._prefixes.remove_upstream(name)
        for name, info in listed.items():
            known = self._upstreams.get(name)
            if known is None:
                self._upstreams[name] = Upstream(info, self._engine, self._tiers)
            else:
                known.info = info
                known.leaving = known.leaving or info.leaving
        self._assign_owners()

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Set the live daemons, including this one, and their failure domains."""
        self._domains = dict(domains)
        self._limits.set_daemons(len(domains))
        self._assign_owners()

    def record_load_report(self, report: LoadReport) -> None:
        """Record a load report of an upstream; a report older than the last one is ignored."""
        upstream = self._upstreams.get(report.upstream)
        if upstream is None:
            return
        if upstream.report is not None and report.as_of_ms < upstream.report.as_of_ms:
            return
        if upstream.incarnation is not None and report.incarnation > upstream.incarnation:
            self._prefixes.remove_upstream(report.upstream)
            upstream.leaving = False
            upstream.clear_failures()
        upstream.incarnation = report.incarnation
        upstream.report = report
        upstream.leaving = upstream.leaving or report.leaving
        bounds = bounds_from_report(report, self._engine)
        upstream.capacity.set_bounds(bounds)
        upstream.account.set_bounds(bounds)
        calls = report.running + report.waiting
        used = (
            max(report.kv_used_tokens, calls * bounds.min_request_cost) if self._engine else calls
        )
        upstream.load.set_report(report, used)

    def record_cache_event(
        self, upstream: UpstreamId, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Record prefix blocks that an upstream has cached or evicted."""
        if upstream in self._upstreams:
            self._prefixes.add(upstream, added)
            self._prefixes.remove(upstream, removed)

    def mark_leaving(self, upstream: UpstreamId) -> None:
        """Send no new attempts to an upstream that is shutting down."""
        if upstream in self._upstreams:
            self._upstreams[upstream].leaving = True

    def drain(self, now_ms: int) -> None:
        """Refuse new requests from now on; waiting requests get a limited time to start."""
        if self._drain_started_ms is None:
            self._drain_started_ms = now_ms

    def tick(self, now_ms: int) -> list[Action]:
        """Apply timeouts, renew credit and dispatch waiting requests.

        Parameters
        ----------
        now_ms : int
            Monotonic time. Call this about every 20 ms; an interval of 1 s or more counts as
            a pause of the process.

        Returns
        -------
        list of Action
            What to do now.
        """
        if now_ms - self._last_tick_ms >= _PAUSE_THRESHOLD_MS:
            self._reset_credit_tables()
        self._last_tick_ms = now_ms
        actions = self._expire_deadlines(now_ms)
        actions += self._remove_unreported_attempts(now_ms)
        if (
            self._drain_started_ms is not None
            and now_ms - self._drain_started_ms >= _DRAIN_TIMEOUT_MS
        ):
            actions += self._refuse_waiting(ErrorCode.DRAINING, "the daemon is draining")
        actions += self._shed_excess(now_ms)
        for upstream in self._upstreams.values():
            actions += self._regrant(upstream, now_ms)
        return actions + self._schedule(now_ms, force_demands=True)

    def status(self) -> SchedulerStatus:
        """Return the current counts by tier."""
        running = [0] * self._tiers
        for state in self._states.values():
            running[state.request.tier] += state.running is not None
        return SchedulerStatus(
            tuple(running),
            tuple(self._queue.count(tier) for tier in range(self._tiers)),
            tuple(self._refusals),
            tuple(self._preemptions),
            tuple(self._estimator.prefill_tokens),
            tuple(self._estimator.wasted_prefill_tokens),
        )

    def _check_admission(self, state: _RequestState, now_ms: int) -> Refuse | None:
        request = state.request
        if self._drain_started_ms is not None:
            return self._refuse(state, ErrorCode.DRAINING, "the daemon is draining")
        if request.deadline_ms <= now_ms:
            return self._refuse(state, ErrorCode.DEADLINE_PASSED, "the deadline has passed")
        wait_ms = self._limits.admit(request.customer, now_ms)
        if wait_ms is not None:
            message = f"customer {request.customer!r} is over its request rate"
            return self._refuse(state, ErrorCode.CUSTOMER_LIMIT, message, wait_ms)
        waiting_limit = self._limits.max_waiting(request.customer)
        if (
            waiting_limit is not None
            and self._queue.customer_count(request.customer) >= waiting_limit
        ):
            message = f"customer {request.customer!r} has {waiting_limit} requests waiting"
            return self._refuse(state, ErrorCode.CUSTOMER_LIMIT, message, _RETRY_AFTER_MS)
        return None

    def _shed_excess(self, now_ms: int) -> list[Action]:
        """Shed waiting requests beyond the queue limit, the lowest tier first."""
        actions: list[Action] = []
        queue_bound = self._document.limits.max_waiting
        while len(self._queue) > queue_bound:
            item = self._queue.shed_candidate()
            if item is None:
                break
            # Preempted requests of lower tiers that have started an answer cannot be shed. They
            # must not cause requests of a higher tier to be shed instead.
            waiting = len(self._queue) - self._queue.count_started_below(item.request.tier)
            over_hard_limit = waiting > queue_bound * _QUEUE_OVERFLOW_FACTOR
            if waiting <= queue_bound or (
                not over_hard_limit and self._can_displace(item.request.tier, now_ms)
            ):
                break
            self._queue.remove(item.request.request)
            state = self._states[item.request.request]
            message = f"{queue_bound} requests wait already"
            actions.append(self._refuse(state, ErrorCode.OVERLOADED, message, _RETRY_AFTER_MS))
        return actions

    def _can_displace(self, tier: int, now_ms: int) -> bool:
        """Return whether a tier may be able to displace lower-tier cost on a usable upstream."""
        return any(
            upstream.account.may_preempt_lower_tiers(tier, now_ms)
            for upstream in self._upstreams.values()
            if upstream.usable(now_ms)
        )

    def _refuse(
        self, state: _RequestState, code: ErrorCode, message: str, retry_after_ms: int | None = None
    ) -> Refuse:
        self._states.pop(state.request.request, None)
        self._refusals[state.request.tier] += 1
        return Refuse(state.request.request, code, message, retry_after_ms)

    def _refuse_waiting(self, code: ErrorCode, message: str) -> list[Action]:
        actions: list[Action] = []
        while (item := self._queue.shed_candidate()) is not None:
            self._queue.remove(item.request.request)
            actions.append(self._refuse(self._states[item.request.request], code, message))
        return actions

    def _enqueue(self, state: _RequestState) -> None:
        request = state.request
        cost = 1
        if self._engine:
            cost = max(1, request.prompt_tokens + self._estimator.expected_output_tokens(request))
        version = self._choose_version(request)
        self._queue.add(QueuedRequest(request, cost, version, started=state.position > 0))

    def _expire_deadlines(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, name = heapq.heappop(self._deadlines)
            state = self._states.get(name)
            if state is None:
                continue
            if state.running is None:
                self._queue.remove(name)
                actions.append(self._deadline_passed(state))
            elif state.request.idempotent:
                # The answer would be too late, and another request can use the capacity. A
                # request that is not idempotent keeps running, so that its outcome is known.
                actions.append(self._deadline_passed(state))
                actions += self._preempt_attempt(state.running, now_ms)
        return actions

    def _deadline_passed(self, state: _RequestState) -> Refuse:
        return self._refuse(state, ErrorCode.DEADLINE_PASSED, "the deadline has passed")

    def _remove_unreported_attempts(self, now_ms: int) -> list[Action]:
        """Remove preempted attempts whose end was not reported in time, and requeue requests."""
        actions: list[Action] = []
        unreported = [
            attempt
            for upstream in self._upstreams.values()
            for attempt in upstream.attempts.values()
            if attempt.stopped_ms is not None
            and now_ms - attempt.stopped_ms > _PREEMPTION_TIMEOUT_MS
        ]
        for attempt in unreported:
            state = self._state_of_attempt(attempt.attempt)
            self._remove_attempt(attempt.upstream, attempt.attempt, now_ms)
            if state is not None:
                state.running = None
                actions += self._requeue(state, now_ms)
        return actions

    def _state_of_attempt(self, attempt: AttemptId) -> _RequestState | None:
        state = self._states.get(RequestId(attempt.rpartition(".")[0]))
        if state is None or state.running is None or state.running.attempt != attempt:
            return None
        return state

    def _remove_attempt(self, name: UpstreamId, attempt: AttemptId, now_ms: int) -> Attempt | None:
        upstream = self._upstreams.get(name)
        ended = None if upstream is None else upstream.attempts.pop(attempt, None)
        if upstream is None or ended is None:
            return None
        upstream.account.record_end(ended.request.tier, ended.cost, ended.stopped_ms is not None)
        upstream.load.add_change(-ended.cost, now_ms)
        self._correction_pending = (
            self._correction_pending or upstream.account.has_unreported_change
        )
        return ended

    def _resolve_attempt_end(
        self, state: _RequestState, end: AttemptEnd, now_ms: int
    ) -> list[Action]:
        upstream = self._upstreams[end.upstream]
        request = state.request
        match end.result:
            case AttemptResult.COMPLETED:
                upstream.clear_failures()
                del self._states[request.request]
                return []
            case AttemptResult.ABANDONED:
                return [self._deadline_passed(state)]
            case AttemptResult.LEAVING:
                upstream.leaving = True
            case AttemptResult.NOT_STARTED:
                upstream.start_cooldown(now_ms)
                state.avoided_upstreams.add(end.upstream)
            case AttemptResult.CRASHED:
                upstream.start_cooldown(now_ms)
                state.avoided_upstreams.add(end.upstream)
                state.failures += 1
            case AttemptResult.FAILED:
                state.avoided_upstreams.add(end.upstream)
                state.failures += 1
            case AttemptResult.PREEMPTED:
                state.cached_at = end.upstream
        retry = decide_retry(end.result, request.idempotent, state.failures)
        charged = retry is RetryAllowance.CHARGED
        if retry is RetryAllowance.NEVER or (
            charged and not self._retries.take(request.customer, now_ms)
        ):
            message = f"upstream {end.upstream} ended the attempt as {end.result.value}"
            return [self._refuse(state, ErrorCode.UPSTREAM_FAILED, message)]
        return self._requeue(state, now_ms)

    def _requeue(self, state: _RequestState, now_ms: int) -> list[Action]:
        if state.request.deadline_ms <= now_ms:
            return [self._deadline_passed(state)]
        self._enqueue(state)
        return []

    def _tier_of_rank(self, rank: TierRank) -> Tier:
        tiers = sorted(self._document.tiers, key=lambda tier: tier.rank)
        return tiers[min(rank, len(tiers) - 1)]

    def _assign_owners(self) -> None:
        for name, upstream in self._upstreams.items():
            domain = upstream.info.failure_domain
            local_hosts = [host for host, each in self._domains.items() if each == domain]
            owner = rendezvous_owner(name, local_hosts or self._domains)
            upstream.account.set_members(
                None if owner is None else HostId(owner), self._host, tuple(self._domains)
            )
            upstream.owned = owner == self._host
            if not upstream.owned:
                upstream.credit_table = None

    def _owned_credit_table(self, upstream: Upstream, now_ms: int) -> CreditTable | None:
        """Return the credit table of an upstream, None if this daemon does not own it."""
        if upstream.owned and upstream.credit_table is None:
            settle_ms = OWNER_SETTLE_MS if len(self._domains) > 1 else 0
            name = upstream.info.upstream
            upstream.credit_table = CreditTable(name, self._tiers, now_ms + settle_ms)
            if upstream.account.has_learnt_capacity:
                upstream.capacity.adopt(upstream.account.capacity)
        return upstream.credit_table

    def _reset_credit_tables(self) -> None:
        """Discard the demands for owned upstreams after a pause of the process.

        Another daemon may have been the owner in the meantime.
        """
        for upstream in self._upstreams.values():
            upstream.credit_table = None

    def _handle_demand(
        self, sender: HostId, upstream: Upstream, demand: Demand, now_ms: int
    ) -> list[Action]:
        table = self._owned_credit_table(upstream, now_ms)
        if table is None or not table.update_demand(sender, demand, now_ms):
            return []
        upstream.capacity.observe(demand.pressure_percent, table.running, now_ms)
        return self._make_grants(upstream, table, now_ms, sender)

    def _regrant(self, upstream: Upstream, now_ms: int) -> list[Action]:
        """Grant capacity gained by a raised estimate, expired leases or reclaimed credit."""
        table = self._owned_credit_table(upstream, now_ms)
        if table is None or not table.contended:
            return []
        if (
            not table.reclaim_finished(now_ms)
            and now_ms - upstream.last_grant_ms < _MIN_REGRANT_INTERVAL_MS
        ):
            return []
        return self._make_grants(upstream, table, now_ms)

    def _make_grants(
        self, upstream: Upstream, table: CreditTable, now_ms: int, answer: HostId | None = None
    ) -> list[Action]:
        upstream.last_grant_ms = now_ms
        bounds = upstream.account.bounds
        actions: list[Action] = []
        capacity = upstream.capacity.value
        preemption_threshold = capacity
        if self._engine:
            preemption_threshold += max(
                bounds.min_request_cost, capacity * _OVERFILL_PERCENT // 100
            )
            preemption_threshold = max(capacity, min(preemption_threshold, bounds.limit))
        for host, grant in table.grants(
            capacity, preemption_threshold, bounds.min_request_cost, now_ms, answer
        ):
            if host == self._host:
                self._accept_grant(host, upstream, grant, now_ms)
            else:
                actions.append(Send(host, grant))
        return actions

    def _accept_grant(self, sender: HostId, upstream: Upstream, grant: Grant, now_ms: int) -> bool:
        accepted = upstream.account.apply_grant(sender, grant, now_ms)
        self._correction_pending = (
            self._correction_pending or upstream.account.has_unreported_change
        )
        return accepted

    def _schedule(self, now_ms: int, *, force_demands: bool = False) -> list[Action]:
        """Dispatch, preempt and request credit, repeated while demands are sent."""
        actions: list[Action] = []
        for _ in range(_MAX_SCHEDULING_ROUNDS):
            actions += self._dispatch_waiting(now_ms)
            actions += self._preempt_excess(now_ms)
            demands = self._send_demands(now_ms, force_demands)
            if demands is None:
                break
            actions += demands
            force_demands = False
        return actions

    def _dispatch_waiting(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        if len(self._queue) == 0:
            return actions
        available = [each for each in self._upstreams.values() if each.usable(now_ms)]
        for tier in range(self._tiers):
            skip: set[RequestId] = set()
            while len(skip) < _MAX_SKIPPED_REQUESTS:
                available = [each for each in available if each.has_room(tier, now_ms)]
                # A lower tier never has more room than a higher one.
                if not available:
                    return actions
                item = self._queue.peek(tier, skip)
                if item is None:
                    break
                action = self._try_start(item, available, now_ms)
                if action is None:
                    skip.add(item.request.request)
                else:
                    actions.append(action)
        return actions

    def _try_start(
        self, item: QueuedRequest, available: list[Upstream], now_ms: int
    ) -> Action | None:
        """Start a waiting request if it fits on an upstream.

        Otherwise the eligible upstream with the most reachable capacity is removed from
        `available`, so that later requests do not use the credit that this one waits for.
        """
        request = item.request
        state = self._states[request.request]
        version = self._choose_version(request)
        if version != item.version:
            self._queue.replace(item, version)
        eligible = self._eligible_upstreams(state, version, now_ms)
        if len(eligible) < sum(each.usable(now_ms) for each in self._upstreams.values()):
            self._restricted.add(request.request)
        fitting = [
            each
            for each in eligible
            if each in available
            and each.account.startable_cost(request.tier, now_ms) >= self._cost(state, each)
        ]
        if not fitting:
            if eligible:
                best = max(
                    eligible,
                    key=lambda each: (
                        each.account.attainable_costs(now_ms)[request.tier] / each.account.capacity
                    ),
                )
                if best in available:
                    available.remove(best)
            return None
        return self._start_attempt(state, version, self._prefer_local(fitting), now_ms)

    def _start_attempt(
        self, state: _RequestState, version: VersionId, fitting: list[Upstream], now_ms: int
    ) -> Action:
        request = state.request
        self._rng.shuffle(fitting)
        prompt = request.prompt_tokens + state.position
        output = self._estimator.expected_output_tokens(request)
        candidates = [self._candidate(each, state, prompt) for each in fitting]
        cost = self._cost(state, fitting[0])
        candidate, predicted_ms = choose_candidate(candidates, prompt, output, cost)
        if now_ms > self._latest_start_ms(state, predicted_ms) and self._may_refuse_early(
            state, now_ms
        ):
            self._queue.remove(request.request)
            message = f"{predicted_ms:.0f} ms are needed and the deadline leaves no margin"
            return self._refuse(state, ErrorCode.OVERLOADED, message, _RETRY_AFTER_MS)
        upstream = self._upstreams[candidate.upstream]
        self._queue.take(request.request)
        state.attempts += 1
        attempt = Attempt(
            AttemptId(f"{request.request}.{state.attempts}"),
            request,
            candidate.upstream,
            self._cost(state, upstream),
            prompt - candidate.cached_tokens,
            state.position,
            now_ms,
            state.position,
        )
        state.running = attempt
        upstream.attempts[attempt.attempt] = attempt
        upstream.account.record_start(request.tier, attempt.cost, now_ms)
        upstream.load.add_change(attempt.cost, now_ms)
        return Dispatch(
            request.request, attempt.attempt, candidate.upstream, version, state.position
        )

    def _latest_start_ms(self, state: _RequestState, predicted_ms: float) -> float:
        """Return the latest start time that meets the deadline, with a margin for new requests."""
        margin = 1 if state.attempts else _DEADLINE_MARGIN_FACTOR
        return state.request.deadline_ms - margin * predicted_ms

    def _may_refuse_early(self, state: _RequestState, now_ms: int) -> bool:
        """Return whether a request may be refused because it would miss its deadline.

        This applies only to lower tiers under load, not while the tier could displace running
        requests of tiers below it, and only with an estimate of the route's output length.
        """
        tier = state.request.tier
        if len(self._queue) <= 1 or not self._estimator.knows_output_length(state.request.route):
            return False
        is_lowest_tier = tier == self._tiers - 1
        return is_lowest_tier or (tier > 0 and not self._can_displace(tier, now_ms))

    def _candidate(self, upstream: Upstream, state: _RequestState, prompt: int) -> Candidate:
        name = upstream.info.upstream
        request = state.request
        cached = self._prefixes.cached_tokens(name, request.prefix_hashes, request.prompt_tokens)
        return Candidate(
            name,
            upstream.load.used_cost(),
            upstream.account.capacity,
            prompt if state.cached_at == name else min(cached, prompt),
            upstream.speed.prefill_ms,
            upstream.speed.decode_ms,
        )

    def _eligible_upstreams(
        self, state: _RequestState, version: VersionId, now_ms: int
    ) -> list[Upstream]:
        eligible = [
            each
            for name, each in self._upstreams.items()
            if each.usable(now_ms)
            and each.serves(version)
            and not self._blocked(state.request, name)
        ]
        untried = [each for each in eligible if each.info.upstream not in state.avoided_upstreams]
        return untried or eligible

    def _prefer_local(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams in this daemon's failure domain, if any, once there are many."""
        if len(self._upstreams) <= _LOCAL_PREFERENCE_THRESHOLD:
            return upstreams
        domain = self._domains.get(self._host)
        return [each for each in upstreams if each.info.failure_domain == domain] or upstreams

    def _cost(self, state: _RequestState, upstream: Upstream) -> int:
        """Return the cost of a request on an upstream, at most the upstream's capacity.

        The bound lets a request of any size run on an upstream that is otherwise idle.
        """
        if not self._engine:
            return 1
        request = state.request
        output = max(self._estimator.expected_output_tokens(request), state.position)
        cost = max(upstream.account.bounds.min_request_cost, request.prompt_tokens + output)
        return min(cost, upstream.account.capacity)

    def _preempt_excess(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for upstream in self._upstreams.values():
            if not upstream.attempts:
                continue
            freed = 0
            for tier, excess in upstream.account.excess(now_ms):
                for attempt in self._preemption_candidates(upstream, tier, now_ms):
                    if freed >= excess:
                        break
                    freed += attempt.cost
                    self._preemptions[attempt.request.tier] += 1
                    actions += self._preempt_attempt(attempt, now_ms)
        return actions

    def _preemption_candidates(self, upstream: Upstream, tier: int, now_ms: int) -> list[Attempt]:
        """Return the preemptible attempts, the lowest tier and fewest computed tokens first."""
        prefill_ms = upstream.speed.prefill_ms
        return sorted(
            (
                attempt
                for attempt in upstream.attempts.values()
                if attempt.request.tier >= tier
                and attempt.request.idempotent
                and attempt.stopped_ms is None
            ),
            key=lambda each: (-each.request.tier, each.computed_tokens(prefill_ms, now_ms)),
        )

    def _preempt_attempt(self, attempt: Attempt, now_ms: int) -> list[Action]:
        if attempt.stopped_ms is not None:
            return []
        attempt.stopped_ms = now_ms
        account = self._upstreams[attempt.upstream].account
        account.record_preemption(attempt.request.tier, attempt.cost)
        return [Preempt(attempt.attempt, attempt.upstream)]

    def _send_demands(self, now_ms: int, force_demands: bool) -> list[Action] | None:
        """Send the demands that are due; return None if none was due."""
        if (
            not force_demands
            and now_ms - self._last_demands_ms < _MIN_COST_ASSIGNMENT_INTERVAL_MS
            and not self._correction_pending
        ):
            return None
        self._correction_pending = False
        self._last_demands_ms = now_ms
        self._assign_waiting_cost(now_ms)
        actions: list[Action] = []
        any_due = False
        for upstream in self._upstreams.values():
            owner = upstream.account.owner
            if owner is None or not upstream.account.is_demand_due(now_ms):
                continue
            any_due = True
            demand = upstream.account.next_demand(upstream.pressure.percent(), now_ms)
            upstream.pressure.clear()
            if owner == self._host:
                actions += self._handle_demand(owner, upstream, demand, now_ms)
            else:
                actions.append(Send(owner, demand))
        return actions if any_due else None

    def _assign_restricted_cost(self, plans: Mapping[UpstreamId, WaitingPlan], now_ms: int) -> None:
        """Assign restricted requests to upstreams where they may run.

        Otherwise the whole waiting cost could be assigned to an upstream that such a request
        must avoid, and the request would wait for credit elsewhere until its deadline.
        """
        restricted, self._restricted = self._restricted, set()
        for name in restricted:
            state = self._states.get(name)
            if state is None or state.running is not None:
                continue
            tier = state.request.tier
            eligible = self._eligible_upstreams(state, self._choose_version(state.request), now_ms)
            candidate_plans = [
                plans[each.info.upstream] for each in eligible if each.info.upstream in plans
            ]
            if candidate_plans and not any(plan.waiting[tier] for plan in candidate_plans):
                best = max(candidate_plans, key=lambda plan: plan.reachable_fraction(tier))
                best.add(tier, self._cost(state, eligible[0]), 1)

    def _assign_waiting_cost(self, now_ms: int) -> None:
        """Assign the waiting cost to the upstreams with the most reachable capacity.

        The assigned parts add up to the waiting cost. Demanding the whole cost from every
        upstream would preempt several times as much lower-tier cost as needed.
        """
        queue_empty = len(self._queue) == 0
        if queue_empty and self._divided_empty_queue:
            return
        self._divided_empty_queue = queue_empty
        usable = [each for each in self._upstreams.values() if each.usable(now_ms)]
        plans = {each.info.upstream: WaitingPlan(each, now_ms) for each in usable}
        for tier in range(self._tiers):
            for version, (count, cost) in self._queue.counts_by_version(tier).items():
                eligible = self._prefer_local([each for each in usable if each.serves(version)])
                if not eligible:
                    continue
                candidate_plans = [plans[each.info.upstream] for each in eligible]
                parts = min(count, _MAX_PARTS_PER_UPSTREAM * len(candidate_plans))
                for _ in range(parts):
                    best = max(candidate_plans, key=lambda plan: plan.reachable_fraction(tier))
                    best.add(tier, cost // count, count / parts)
        self._assign_restricted_cost(plans, now_ms)
        zero_costs = (0,) * self._tiers
        for name, each in self._upstreams.items():
            plan = plans.get(name)
            if plan is None:
                each.account.set_waiting(zero_costs, zero_costs)
            else:
                each.account.set_waiting(tuple(plan.waiting), tuple(plan.next_request_costs))
