"""Runs one service: schedules its requests and polls its upstreams."""

import random
from collections import deque
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from skylarkmoor_clients.hostlist import HostEntry
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.document import ServiceDocument, ServiceKind
from skylarkmoor_core.errors import RequestRefused, UpstreamError
from skylarkmoor_core.hashing import fingerprint
from skylarkmoor_core.ids import (
    AttemptId,
    FailureDomain,
    Fingerprint,
    HostId,
    Incarnation,
    RequestId,
    ServiceName,
    TierRank,
    UpstreamId,
    VersionId,
)
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import Demand, Grant, Message
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_core.settings import parse_address
from skylarkmoor_daemon.answers import AnswerSink
from skylarkmoor_daemon.calls import ChatBody
from skylarkmoor_daemon.claiming import ClaimedCall
from skylarkmoor_daemon.http import CallAnswer, Incoming
from skylarkmoor_daemon.metrics import Metrics
from skylarkmoor_daemon.prompts import block_hashes
from skylarkmoor_daemon.streams import CallRun, ChatRun, Run
from skylarkmoor_daemon.upstreams import CacheEventKind, UpstreamClient, UpstreamReport
from skylarkmoor_policy.actions import Action, Dispatch, Preempt, Refuse, Send
from skylarkmoor_policy.requests import (
    AttemptEnd,
    AttemptResult,
    LoadReport,
    Request,
    UpstreamInfo,
)
from skylarkmoor_policy.scheduler import Scheduler
from skylarkmoor_process.tasks import Tasks

__all__ = ["Service", "ServiceContext", "UpstreamState"]

_LOAD_REPORT_INTERVAL_MS = 1_000
# After this time without requests or credit messages, the scheduler is called only at the idle
# interval. Calling it every 20 ms took 1.4% of a core in an idle daemon.
_IDLE_AFTER_MS = 1_000
_IDLE_TICK_INTERVAL_MS = 100
# An upstream that misses this many consecutive load reports is treated as stalled.
_MISSED_REPORTS_UNTIL_STALLED = 2

_log = part_logger("service")


class ServiceContext(Protocol):
    """Operations of the daemon that a service uses."""

    @property
    def host(self) -> HostId:
        """Host that the daemon runs as."""

    @property
    def clock(self) -> Clock:
        """Source of monotonic and wall-clock time."""

    @property
    def reactor(self) -> Any:
        """Twisted reactor for connections and timers."""

    @property
    def metrics(self) -> Metrics:
        """Collectors to which the service reports."""

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer, or deliver it locally if `to` is this daemon."""

    def version_for(self, service: ServiceName, request: RequestId) -> VersionId:
        """Return the version that serves a request."""

    def is_stopped(self, service: ServiceName, version: VersionId) -> bool:
        """Return whether `version` is a new version whose move was stopped."""

    def is_blocked(self, request: Request, upstream: UpstreamId) -> bool:
        """Return whether a request suspected of a crash must not be sent to `upstream`."""

    def check_quarantine(self, request: Request) -> None:
        """Raise `RequestRefused` if requests with the same fingerprint crashed two upstreams."""

    def attempt_started(self, request: Request, upstream: UpstreamId, version: VersionId) -> None:
        """Record that an attempt of a request started on a version of an upstream."""

    def attempt_ended(
        self,
        service: ServiceName,
        request: Request,
        end: AttemptEnd,
        incarnation: Incarnation | None,
    ) -> None:
        """Record the end of an attempt for crash attribution; a crash is sent to the peers."""

    def upstream_reported(
        self, service: ServiceName, load: LoadReport, report: UpstreamReport
    ) -> None:
        """Process an upstream's load report."""

    def upstream_refused(self, upstream: UpstreamId) -> None:
        """Record that an upstream refused work because it is leaving."""

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is leaving and gets no new work."""

    async def claimed_call(
        self,
        service: ServiceName,
        incoming: Incoming,
        window_ms: int,
        call: ClaimedCall,
    ) -> CallAnswer:
        """Claim a call's idempotency key, run the call if the claim is won; return its answer."""


@dataclass(slots=True)
class UpstreamState:
    """An upstream in use, its client and its last load report."""

    entry: HostEntry
    client: UpstreamClient
    tasks: Tasks
    load: LoadReport | None = None
    report: UpstreamReport | None = None
    next_event: int = 0
    silent: int = 0


class Service:
    """Schedules and runs the requests of one service on its upstreams.

    Parameters
    ----------
    document : ServiceDocument
        The service document in force.
    daemon : ServiceContext
        Interface to the daemon.
    rng : random.Random
        Random number generator of the scheduler.
    """

    def __init__(
        self, document: ServiceDocument, daemon: ServiceContext, rng: random.Random
    ) -> None:
        self.name = document.service
        self.upstreams: dict[UpstreamId, UpstreamState] = {}
        self._document = document
        self._daemon = daemon
        self._tasks = Tasks(daemon.reactor)
        self._scheduler = Scheduler(
            daemon.host,
            document,
            rng,
            choose_version=lambda request: daemon.version_for(self.name, request.request),
            blocked=daemon.is_blocked,
        )
        self._runs: dict[RequestId, Run] = {}
        # An attempt can still run after its request was answered and removed from `_runs`.
        self._runs_by_attempt: dict[AttemptId, Run] = {}
        # Version of each request's latest attempt.
        self._last_versions: dict[RequestId, VersionId] = {}
        self._deadline_timers: dict[RequestId, Any] = {}
        self._pending_actions: deque[Action] = deque()
        self._executing = False
        # Times of the last request or credit message and of the last scheduler tick.
        self._last_active_ms = 0
        self._last_tick_ms = 0

    @property
    def document(self) -> ServiceDocument:
        """The service document in force."""
        return self._document

    @property
    def clock(self) -> Clock:
        """Source of monotonic and wall-clock time."""
        return self._daemon.clock

    def set_document(self, document: ServiceDocument) -> None:
        """Apply a new version of the service document."""
        self._document = document
        self._scheduler.set_document(document)

    def set_upstreams(self, entries: Iterable[HostEntry]) -> None:
        """Add, update and remove upstreams to match the entries of the host list."""
        wanted = {UpstreamId(entry.host): entry for entry in entries}
        for upstream, state in list(self.upstreams.items()):
            entry = wanted.get(upstream)
            if entry is None or entry.address != state.entry.address:
                self._remove_upstream(upstream, state)
        for upstream, entry in wanted.items():
            if upstream in self.upstreams:
                self.upstreams[upstream].entry = entry
            else:
                self._add_upstream(upstream, entry)
        self.refresh_upstreams()

    def refresh_upstreams(self) -> None:
        """Pass the current upstreams and their leaving states to the scheduler.

        Notes
        -----
        Stalled upstreams, which miss load reports, are left out, so that they get no new work.
        """
        upstream_infos = [
            UpstreamInfo(
                upstream=upstream,
                service=self.name,
                failure_domain=state.entry.failure_domain,
                leaving=self._daemon.is_leaving(upstream),
                checks_fencing=state.entry.checks_fencing,
            )
            for upstream, state in self.upstreams.items()
            if state.silent < _MISSED_REPORTS_UNTIL_STALLED
        ]
        self._scheduler.set_upstreams(upstream_infos)

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Set the live daemons and their failure domains."""
        self._scheduler.set_members(domains)

    def mark_leaving(self, upstream: UpstreamId) -> None:
        """Stop dispatching new work to an upstream."""
        self._scheduler.mark_leaving(upstream)

    def usable_upstreams(self) -> list[UpstreamId]:
        """Return the upstreams that are neither leaving nor stalled."""
        return [
            upstream
            for upstream, state in self.upstreams.items()
            if not self._daemon.is_leaving(upstream)
            and state.silent < _MISSED_REPORTS_UNTIL_STALLED
        ]

    def refuse_quarantined(self, is_quarantined: Callable[[Fingerprint], bool]) -> None:
        """End requests whose fingerprint crashed two upstreams, as seen here or by peers."""
        for request_id, run in list(self._runs.items()):
            if is_quarantined(run.request.fingerprint):
                message = "equal requests have crashed two upstreams"
                run.refuse(_run_error(run, ErrorCode.QUARANTINED, message))
                self._execute(self._scheduler.cancel(request_id, self._now()))
                self._remove_run(request_id)

    def receive(self, sender: HostId, message: Demand | Grant) -> None:
        """Process a credit message of a daemon about one of the service's upstreams."""
        self._last_active_ms = self._now()
        self._execute(self._scheduler.receive(sender, message, self._now()))

    def tick(self) -> None:
        """Run the scheduler's timed work, at a lower rate while the service is idle."""
        now_ms = self._now()
        if self._runs or self._runs_by_attempt:
            self._last_active_ms = now_ms
        if (
            now_ms - self._last_active_ms > _IDLE_AFTER_MS
            and now_ms - self._last_tick_ms < _IDLE_TICK_INTERVAL_MS
        ):
            return
        self._last_tick_ms = now_ms
        self._execute(self._scheduler.tick(now_ms))

    def check_stalls(self) -> None:
        """Check all current requests for stalled attempts."""
        now_ms = self._now()
        for run in list(self._runs.values()):
            run.check_stall(now_ms)

    def drain(self) -> None:
        """Stop accepting new requests."""
        self._scheduler.drain(self._now())

    def held(self) -> int:
        """Return the number of requests that wait, run or have an attempt still running."""
        requests = {run.request.request for run in self._runs_by_attempt.values()}
        return len(requests.union(self._runs))

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(self._scheduler.status().waiting)

    def stop(self) -> None:
        """Refuse the remaining requests, each with its actual outcome, and stop polling."""
        for request_id, run in list(self._runs.items()):
            run.refuse(_run_error(run, ErrorCode.DRAINING, "the daemon was stopped"))
            self._execute(self._scheduler.cancel(request_id, self._now()))
        for upstream, state in list(self.upstreams.items()):
            self._remove_upstream(upstream, state)
        self._tasks.stop()

    def status(self) -> dict[str, object]:
        """Return the service's state for ``/admin/status`` and update the request gauges."""
        counts = self._scheduler.status()
        waiting, running = sum(counts.waiting), sum(counts.running)
        self._daemon.metrics.held(self.name, waiting, running)
        return {
            "version": self._document.version,
            "held": self.held(),
            "waiting": list(counts.waiting),
            "running": list(counts.running),
            "refusals": list(counts.refusals),
            "preemptions": list(counts.preemptions),
            "prefill_tokens": list(counts.prefill_tokens),
            "wasted_prefill_tokens": list(counts.wasted_prefill_tokens),
            "upstreams": {
                upstream: self._upstream_status(state)
                for upstream, state in sorted(self.upstreams.items())
            },
        }

    def chat(self, incoming: Incoming, chat: ChatBody, sink: AnswerSink) -> None:
        """Start a completion that writes its text to `sink`."""
        prompt = chat.prompt()
        words = prompt.split()
        limit = incoming.route.max_output_tokens
        request = self._build_request(
            incoming,
            prompt_tokens=len(words),
            max_output_tokens=min(chat.max_tokens or limit, limit),
            prefix_hashes=block_hashes(words),
        )
        self._daemon.check_quarantine(request)
        self._submit(ChatRun(request, prompt, sink, self))

    def abandon(self, request: RequestId) -> None:
        """Cancel a request whose caller disconnected."""
        run = self._runs.get(request)
        if run is None:
            return
        run.refuse(_run_error(run, ErrorCode.DEADLINE_PASSED, "the caller has gone"))
        self._execute(self._scheduler.cancel(request, self._now()))
        self._remove_run(request)

    async def call(self, incoming: Incoming) -> CallAnswer:
        """Run a call on a plain service.

        Raises
        ------
        RequestRefused
            If the call has no result.
        """
        if incoming.route.idempotent:
            return await self.run_call(incoming, _always_true)
        window_ms = self._document.limits.dedup_window_ms
        call = _KeyedCall(self, incoming)
        return await self._daemon.claimed_call(self.name, incoming, window_ms, call)

    async def run_call(self, incoming: Incoming, may_send: Callable[[], bool]) -> CallAnswer:
        """Run a call that is idempotent or whose key this daemon has claimed.

        Raises
        ------
        RequestRefused
            If the call has no result.
        """
        request = self._build_request(incoming)
        self._daemon.check_quarantine(request)
        run = CallRun(request, incoming.body, self, may_send)
        self._submit(run)
        result = await run.answer
        return CallAnswer(200, _encode_call_result(incoming.request, result))

    def client(self, upstream: UpstreamId) -> UpstreamClient | None:
        """Return the client of an upstream, or None if the upstream is not in use."""
        state = self.upstreams.get(upstream)
        return None if state is None else state.client

    def incarnation(self, upstream: UpstreamId) -> Incarnation | None:
        """Return the incarnation in an upstream's last load report, or None before the first."""
        state = self.upstreams.get(upstream)
        return None if state is None or state.load is None else state.load.incarnation

    def progressed(self, attempt: AttemptId, position: int) -> None:
        """Record that an attempt's output has reached `position`."""
        self._scheduler.record_attempt_progress(attempt, position, self._now())

    def first_token(self, request: Request) -> None:
        """Record the time from a request's arrival to its first token."""
        elapsed_ms = self._now() - request.arrived_ms
        self._daemon.metrics.first_token(self.name, request.tier, elapsed_ms)

    def refused_leaving(self, upstream: UpstreamId) -> None:
        """Record that an upstream refused work because it is leaving."""
        self._daemon.upstream_refused(upstream)
        self._scheduler.mark_leaving(upstream)

    def ended(self, end: AttemptEnd, incarnation: Incarnation | None) -> None:
        """Record the end of an attempt and apply the scheduler's resulting actions."""
        run = self._runs_by_attempt.pop(end.attempt, None)
        self._record_attempt_metrics(end, run)
        if end.result is AttemptResult.LEAVING:
            self._daemon.upstream_refused(end.upstream)
        if run is not None:
            # Report a crash to the peers before the caller is answered.
            self._daemon.attempt_ended(self.name, run.request, end, incarnation)
        self._execute(self._scheduler.record_attempt_end(end, self._now()))
        if run is not None and run.finished():
            self._remove_run(end.request)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` in the background and log its exceptions."""
        self._tasks.spawn(work)

    def _build_request(
        self,
        incoming: Incoming,
        prompt_tokens: int = 0,
        max_output_tokens: int = 1,
        prefix_hashes: tuple[int, ...] = (),
    ) -> Request:
        route = incoming.route
        tier = self._document.tier(route.tier)
        return Request(
            request=incoming.request,
            customer=incoming.customer,
            route=route.name,
            tier=TierRank(0) if tier is None else tier.rank,
            fingerprint=fingerprint(incoming.customer, route.name, incoming.body),
            arrived_ms=incoming.arrived_ms,
            deadline_ms=incoming.deadline_ms,
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            prefix_hashes=prefix_hashes,
            idempotent=route.idempotent,
        )

    def _submit(self, run: Run) -> None:
        request = run.request
        self._runs[request.request] = run
        delay_s = max(0, request.deadline_ms - self._now()) / 1000
        self._deadline_timers[request.request] = self._daemon.reactor.callLater(
            delay_s, self._on_deadline, request.request
        )
        self._execute(self._scheduler.submit(request, self._now()))

    def _on_deadline(self, request_id: RequestId) -> None:
        run = self._runs.get(request_id)
        if run is None or run.continues_after_deadline():
            return
        run.refuse(_run_error(run, ErrorCode.DEADLINE_PASSED, "the deadline has passed"))
        self._execute(self._scheduler.cancel(request_id, self._now()))
        self._remove_run(request_id)

    def _execute(self, actions: Iterable[Action]) -> None:
        self._pending_actions.extend(actions)
        if self._executing:
            return
        self._executing = True
        try:
            while self._pending_actions:
                self._apply_action(self._pending_actions.popleft())
        finally:
            self._executing = False

    def _apply_action(self, action: Action) -> None:
        match action:
            case Dispatch():
                self._dispatch(action)
            case Preempt(attempt=attempt):
                self._preempt(attempt)
            case Refuse():
                self._refuse_request(action)
            case Send(to=to, message=message):
                self._daemon.send(to, message)

    def _dispatch(self, dispatch: Dispatch) -> None:
        run = self._runs.get(dispatch.request)
        if run is None or run.finished():
            # The request ended between the scheduler's decision and this dispatch.
            self._end_undispatched(dispatch, AttemptResult.NOT_STARTED)
            return
        if self._daemon.is_blocked(run.request, dispatch.upstream):
            # An earlier action of the same batch dispatched another suspect to this upstream.
            idempotent = run.request.idempotent
            result = AttemptResult.PREEMPTED if idempotent else AttemptResult.NOT_STARTED
            self._end_undispatched(dispatch, result)
            return
        self._runs_by_attempt[dispatch.attempt] = run
        self._last_versions[dispatch.request] = dispatch.version
        self._daemon.attempt_started(run.request, dispatch.upstream, dispatch.version)
        run.start(dispatch)

    def _end_undispatched(self, dispatch: Dispatch, result: AttemptResult) -> None:
        end = AttemptEnd(
            request=dispatch.request,
            attempt=dispatch.attempt,
            upstream=dispatch.upstream,
            version=dispatch.version,
            result=result,
            position_tokens=dispatch.start_position,
        )
        self._execute(self._scheduler.record_attempt_end(end, self._now()))

    def _preempt(self, attempt: AttemptId) -> None:
        run = self._runs_by_attempt.get(attempt)
        if run is not None:
            is_finished = run.finished()
            run.cancel(attempt, AttemptResult.ABANDONED if is_finished else AttemptResult.PREEMPTED)

    def _refuse_request(self, refuse: Refuse) -> None:
        run = self._runs.get(refuse.request)
        if run is None:
            return
        code = refuse.code
        version = self._last_versions.get(refuse.request)
        if code is ErrorCode.UPSTREAM_FAILED and version is not None:
            stopped = self._daemon.is_stopped(self.name, version)
            code = ErrorCode.VERSION_FAILED if stopped else code
        run.refuse(_run_error(run, code, refuse.message, refuse.retry_after_ms))
        self._daemon.metrics.answered(self.name, run.request.route, code.value)
        self._remove_run(refuse.request)

    def _remove_run(self, request_id: RequestId) -> None:
        self._runs.pop(request_id, None)
        self._last_versions.pop(request_id, None)
        timer = self._deadline_timers.pop(request_id, None)
        if timer is not None and timer.active():
            timer.cancel()

    def _record_attempt_metrics(self, end: AttemptEnd, run: Run | None) -> None:
        metrics = self._daemon.metrics
        metrics.attempted(self.name, end.result.value)
        completed = end.result is AttemptResult.COMPLETED
        wasted = 0 if completed else end.prefill_tokens
        metrics.prefilled(self.name, end.prefill_tokens, end.cached_tokens, wasted)
        if run is None:
            return
        if end.between_tokens_ms is not None:
            metrics.between_tokens(self.name, run.request.tier, end.between_tokens_ms)
        if completed:
            metrics.answered(self.name, run.request.route, "ok")

    def _add_upstream(self, upstream: UpstreamId, entry: HostEntry) -> None:
        reactor = self._daemon.reactor
        address = parse_address(entry.address)
        client = UpstreamClient(upstream, address, reactor, self.clock)
        state = UpstreamState(entry, client, Tasks(reactor))
        self.upstreams[upstream] = state
        state.tasks.repeat(_LOAD_REPORT_INTERVAL_MS, lambda: self._poll_load_report(state))

    def _remove_upstream(self, upstream: UpstreamId, state: UpstreamState) -> None:
        state.tasks.stop()
        state.client.close()
        del self.upstreams[upstream]

    async def _poll_load_report(self, state: UpstreamState) -> None:
        try:
            load, report = await state.client.report()
        except UpstreamError:
            self._on_missed_report(state)
            return
        was_stalled, state.silent = state.silent >= _MISSED_REPORTS_UNTIL_STALLED, 0
        if was_stalled:
            self.refresh_upstreams()
        if state.load is not None and load.incarnation != state.load.incarnation:
            state.next_event = 0
        state.load, state.report = load, report
        self._scheduler.record_load_report(load)
        self._daemon.upstream_reported(self.name, load, report)
        if self._document.kind is ServiceKind.ENGINE:
            await self._poll_cache_events(state)

    async def _poll_cache_events(self, state: UpstreamState) -> None:
        try:
            page = await state.client.events(state.next_event)
        except UpstreamError:
            return
        state.next_event = page.next
        for event in page.events:
            is_stored = event.kind is CacheEventKind.STORED
            added = event.blocks if is_stored else ()
            removed = () if is_stored else event.blocks
            self._scheduler.record_cache_event(state.client.upstream, added, removed)

    def _on_missed_report(self, state: UpstreamState) -> None:
        state.silent += 1
        if state.silent == _MISSED_REPORTS_UNTIL_STALLED:
            _log.warning(
                "upstream stopped answering load report requests",
                extra={"upstream": state.client.upstream},
            )
            self.refresh_upstreams()
            for run in list(self._runs.values()):
                run.handle_silent_upstream(state.client.upstream)

    def _upstream_status(self, state: UpstreamState) -> dict[str, object]:
        load = state.load
        return {
            "failure_domain": state.entry.failure_domain,
            "leaving": self._daemon.is_leaving(state.client.upstream),
            "silent_reports": state.silent,
            "incarnation": None if load is None else load.incarnation,
            "versions": [] if load is None else list(load.versions),
        }

    def _now(self) -> int:
        return self._daemon.clock.now_ms()


class _KeyedCall:
    """A call that runs once its idempotency key is claimed."""

    def __init__(self, service: Service, incoming: Incoming) -> None:
        self._service = service
        self._incoming = incoming

    async def run(self, may_send: Callable[[], bool]) -> CallAnswer:
        """Run the call; `may_send` is asked before the call is sent."""
        return await self._service.run_call(self._incoming, may_send)

    def abandon(self) -> None:
        """Cancel the call."""
        self._service.abandon(self._incoming.request)


def _always_true() -> bool:
    return True


def _run_error(
    run: Run, code: ErrorCode, message: str, retry_after_ms: int | None = None
) -> RequestRefused:
    return RequestRefused(code, message, run.outcome, retry_after_ms)


def _encode_call_result(request: RequestId, result: bytes) -> bytes:
    return b'{"request_id":"' + request.encode() + b'","result":' + result + b"}"
