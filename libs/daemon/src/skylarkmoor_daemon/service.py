"""One service: its scheduler, its requests and its upstreams."""

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

__all__ = ["Service", "ServiceHost", "UpstreamState"]

_REPORT_MS = 1_000
# After this time without work or messages about credit the scheduler is called less often: every
# 20 ms, it took 1.4% of a core in an idle daemon.
_BUSY_MS = 1_000
_IDLE_TICK_MS = 100
# An upstream that misses this many reports in a row is taken to be stalled.
_SILENT_REPORTS = 2

_log = part_logger("service")


class ServiceHost(Protocol):
    """What a service needs of the daemon."""

    @property
    def host(self) -> HostId:
        """Host of the daemon."""

    @property
    def clock(self) -> Clock:
        """Source of times."""

    @property
    def reactor(self) -> Any:
        """Source of connections and timers."""

    @property
    def metrics(self) -> Metrics:
        """The daemon's metrics."""

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer or to this daemon."""

    def version_for(self, service: ServiceName, request: RequestId) -> VersionId:
        """Return the version that a request takes."""

    def is_stopped(self, service: ServiceName, version: VersionId) -> bool:
        """Return whether `version` is a new version that was stopped."""

    def is_blocked(self, request: Request, upstream: UpstreamId) -> bool:
        """Return whether a suspect must not go to an upstream."""

    def check_quarantine(self, request: Request) -> None:
        """Raise `RequestRefused` if equal requests have crashed two upstreams."""

    def attempt_started(self, request: Request, upstream: UpstreamId, version: VersionId) -> None:
        """Note that a request runs on a version of an upstream."""

    def attempt_ended(
        self,
        service: ServiceName,
        request: Request,
        end: AttemptEnd,
        incarnation: Incarnation | None,
    ) -> None:
        """Take an attempt's end as evidence; a crash is told to the peers."""

    def upstream_reported(
        self, service: ServiceName, load: LoadReport, report: UpstreamReport
    ) -> None:
        """Take an upstream's report."""

    def upstream_refused(self, upstream: UpstreamId) -> None:
        """Note that an upstream refused work because it is leaving."""

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream must get no new work."""

    async def claimed_call(
        self,
        service: ServiceName,
        incoming: Incoming,
        window_ms: int,
        call: ClaimedCall,
    ) -> CallAnswer:
        """Claim the key of a call, run it if the claim is won, and return its answer."""


@dataclass(slots=True)
class UpstreamState:
    """An upstream in use and what it last said."""

    entry: HostEntry
    client: UpstreamClient
    tasks: Tasks
    load: LoadReport | None = None
    report: UpstreamReport | None = None
    next_event: int = 0
    silent: int = 0


class Service:
    """The part of the daemon that serves one service document.

    Parameters
    ----------
    document : ServiceDocument
        The document in force.
    daemon : ServiceHost
        The daemon.
    rng : random.Random
        Source of random choices.
    """

    def __init__(self, document: ServiceDocument, daemon: ServiceHost, rng: random.Random) -> None:
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
        # An attempt may outlive its request, whose caller has been answered.
        self._attempts: dict[AttemptId, Run] = {}
        # Version of each request's last attempt.
        self._versions: dict[RequestId, VersionId] = {}
        self._timers: dict[RequestId, Any] = {}
        self._actions: deque[Action] = deque()
        self._executing = False
        # When there last was work or credit to manage, and when the scheduler was last called.
        self._busy_ms = 0
        self._ticked_ms = 0

    @property
    def document(self) -> ServiceDocument:
        """The document in force."""
        return self._document

    @property
    def clock(self) -> Clock:
        """Source of times."""
        return self._daemon.clock

    def set_document(self, document: ServiceDocument) -> None:
        """Put a new document in force."""
        self._document = document
        self._scheduler.set_document(document)

    def set_upstreams(self, entries: Iterable[HostEntry]) -> None:
        """Take the service's upstreams from the host list."""
        wanted = {UpstreamId(entry.host): entry for entry in entries}
        for upstream, state in list(self.upstreams.items()):
            entry = wanted.get(upstream)
            if entry is None or entry.address != state.entry.address:
                self._drop_upstream(upstream, state)
        for upstream, entry in wanted.items():
            if upstream in self.upstreams:
                self.upstreams[upstream].entry = entry
            else:
                self._add_upstream(upstream, entry)
        self.refresh_upstreams()

    def refresh_upstreams(self) -> None:
        """Tell the scheduler which upstreams there are and which of them are leaving.

        Notes
        -----
        An upstream that answers no reports is left out, so that it gets no new work.
        """
        infos = [
            UpstreamInfo(
                upstream=upstream,
                service=self.name,
                failure_domain=state.entry.failure_domain,
                leaving=self._daemon.is_leaving(upstream),
                checks_fencing=state.entry.checks_fencing,
            )
            for upstream, state in self.upstreams.items()
            if state.silent < _SILENT_REPORTS
        ]
        self._scheduler.set_upstreams(infos)

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Set the live daemons."""
        self._scheduler.set_members(domains)

    def mark_leaving(self, upstream: UpstreamId) -> None:
        """Give an upstream no new work from now on."""
        self._scheduler.mark_leaving(upstream)

    def usable_upstreams(self) -> list[UpstreamId]:
        """Return the upstreams that are not leaving and answer reports."""
        return [
            upstream
            for upstream, state in self.upstreams.items()
            if not self._daemon.is_leaving(upstream) and state.silent < _SILENT_REPORTS
        ]

    def refuse_quarantined(self, is_quarantined: Callable[[Fingerprint], bool]) -> None:
        """End requests that have crashed two upstreams, here or elsewhere."""
        for request_id, run in list(self._runs.items()):
            if is_quarantined(run.request.fingerprint):
                message = "equal requests have crashed two upstreams"
                run.refuse(_refusal(run, ErrorCode.QUARANTINED, message))
                self._execute(self._scheduler.cancel(request_id, self._now()))
                self._forget(request_id)

    def receive(self, sender: HostId, message: Demand | Grant) -> None:
        """Take a message about one of the service's upstreams."""
        self._busy_ms = self._now()
        self._execute(self._scheduler.receive(sender, message, self._now()))

    def tick(self) -> None:
        """Let the scheduler act on time that has passed; less often without work."""
        now_ms = self._now()
        if self._runs or self._attempts:
            self._busy_ms = now_ms
        if now_ms - self._busy_ms > _BUSY_MS and now_ms - self._ticked_ms < _IDLE_TICK_MS:
            return
        self._ticked_ms = now_ms
        self._execute(self._scheduler.tick(now_ms))

    def check_stalls(self) -> None:
        """Let running requests act on missing progress."""
        now_ms = self._now()
        for run in list(self._runs.values()):
            run.check_stall(now_ms)

    def drain(self) -> None:
        """Take no new requests."""
        self._scheduler.drain(self._now())

    def held(self) -> int:
        """Return how many requests wait or run, or have an attempt that still runs."""
        requests = {run.request.request for run in self._attempts.values()}
        return len(requests.union(self._runs))

    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(self._scheduler.status().waiting)

    def stop(self) -> None:
        """Refuse what is left with a truthful outcome and stop polling."""
        for request_id, run in list(self._runs.items()):
            run.refuse(_refusal(run, ErrorCode.DRAINING, "the daemon was stopped"))
            self._execute(self._scheduler.cancel(request_id, self._now()))
        for upstream, state in list(self.upstreams.items()):
            self._drop_upstream(upstream, state)
        self._tasks.stop()

    def status(self) -> dict[str, object]:
        """Return the state that operators see."""
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
        """Start a completion; its text goes to `sink`."""
        prompt = chat.prompt()
        words = prompt.split()
        limit = incoming.route.max_output_tokens
        request = self._request(
            incoming,
            prompt_tokens=len(words),
            max_output_tokens=min(chat.max_tokens or limit, limit),
            prefix_hashes=block_hashes(words),
        )
        self._daemon.check_quarantine(request)
        self._submit(ChatRun(request, prompt, sink, self))

    def abandon(self, request: RequestId) -> None:
        """Give up a request whose caller has gone."""
        run = self._runs.get(request)
        if run is None:
            return
        run.refuse(_refusal(run, ErrorCode.DEADLINE_PASSED, "the caller has gone"))
        self._execute(self._scheduler.cancel(request, self._now()))
        self._forget(request)

    async def call(self, incoming: Incoming) -> CallAnswer:
        """Run a call on a plain service.

        Raises
        ------
        RequestRefused
            If the call has no result.
        """
        if incoming.route.idempotent:
            return await self.run_call(incoming, _always)
        window_ms = self._document.limits.dedup_window_ms
        call = _KeyedCall(self, incoming)
        return await self._daemon.claimed_call(self.name, incoming, window_ms, call)

    async def run_call(self, incoming: Incoming, may_send: Callable[[], bool]) -> CallAnswer:
        """Run a call whose key is claimed, or that is idempotent.

        Raises
        ------
        RequestRefused
            If the call has no result.
        """
        request = self._request(incoming)
        self._daemon.check_quarantine(request)
        run = CallRun(request, incoming.body, self, may_send)
        self._submit(run)
        result = await run.answer
        return CallAnswer(200, _call_body(incoming.request, result))

    def client(self, upstream: UpstreamId) -> UpstreamClient | None:
        """Return the client of an upstream that is in use."""
        state = self.upstreams.get(upstream)
        return None if state is None else state.client

    def incarnation(self, upstream: UpstreamId) -> Incarnation | None:
        """Return the incarnation that an upstream last reported."""
        state = self.upstreams.get(upstream)
        return None if state is None or state.load is None else state.load.incarnation

    def progressed(self, attempt: AttemptId, position: int) -> None:
        """Note that an attempt's answer has reached `position`."""
        self._scheduler.record_attempt_progress(attempt, position, self._now())

    def first_token(self, request: Request) -> None:
        """Note that a request got its first token."""
        elapsed_ms = self._now() - request.arrived_ms
        self._daemon.metrics.first_token(self.name, request.tier, elapsed_ms)

    def refused_leaving(self, upstream: UpstreamId) -> None:
        """Note that an upstream refused work because it is leaving."""
        self._daemon.upstream_refused(upstream)
        self._scheduler.mark_leaving(upstream)

    def ended(self, end: AttemptEnd, incarnation: Incarnation | None) -> None:
        """Note the end of an attempt; the scheduler decides what comes next."""
        run = self._attempts.pop(end.attempt, None)
        self._count(end, run)
        if end.result is AttemptResult.LEAVING:
            self._daemon.upstream_refused(end.upstream)
        if run is not None:
            # Peers learn of a crash before the caller does.
            self._daemon.attempt_ended(self.name, run.request, end, incarnation)
        self._execute(self._scheduler.record_attempt_end(end, self._now()))
        if run is not None and run.finished():
            self._forget(end.request)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` and log what it raises."""
        self._tasks.spawn(work)

    def _request(
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
        self._timers[request.request] = self._daemon.reactor.callLater(
            delay_s, self._deadline, request.request
        )
        self._execute(self._scheduler.submit(request, self._now()))

    def _deadline(self, request_id: RequestId) -> None:
        run = self._runs.get(request_id)
        if run is None or run.must_go_on():
            return
        run.refuse(_refusal(run, ErrorCode.DEADLINE_PASSED, "the deadline has passed"))
        self._execute(self._scheduler.cancel(request_id, self._now()))
        self._forget(request_id)

    def _execute(self, actions: Iterable[Action]) -> None:
        self._actions.extend(actions)
        if self._executing:
            return
        self._executing = True
        try:
            while self._actions:
                self._carry_out(self._actions.popleft())
        finally:
            self._executing = False

    def _carry_out(self, action: Action) -> None:
        match action:
            case Dispatch():
                self._dispatch(action)
            case Preempt(attempt=attempt):
                self._preempt(attempt)
            case Refuse():
                self._refuse(action)
            case Send(to=to, message=message):
                self._daemon.send(to, message)

    def _dispatch(self, dispatch: Dispatch) -> None:
        run = self._runs.get(dispatch.request)
        if run is None or run.finished():
            # The caller went away between the decision and now.
            self._put_back(dispatch, AttemptResult.NOT_STARTED)
            return
        if self._daemon.is_blocked(run.request, dispatch.upstream):
            # Another suspect was sent there by the same round of decisions.
            idempotent = run.request.idempotent
            result = AttemptResult.PREEMPTED if idempotent else AttemptResult.NOT_STARTED
            self._put_back(dispatch, result)
            return
        self._attempts[dispatch.attempt] = run
        self._versions[dispatch.request] = dispatch.version
        self._daemon.attempt_started(run.request, dispatch.upstream, dispatch.version)
        run.start(dispatch)

    def _put_back(self, dispatch: Dispatch, result: AttemptResult) -> None:
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
        run = self._attempts.get(attempt)
        if run is not None:
            gone = run.finished()
            run.cancel(attempt, AttemptResult.ABANDONED if gone else AttemptResult.PREEMPTED)

    def _refuse(self, refuse: Refuse) -> None:
        run = self._runs.get(refuse.request)
        if run is None:
            return
        code = refuse.code
        version = self._versions.get(refuse.request)
        if code is ErrorCode.UPSTREAM_FAILED and version is not None:
            stopped = self._daemon.is_stopped(self.name, version)
            code = ErrorCode.VERSION_FAILED if stopped else code
        run.refuse(_refusal(run, code, refuse.message, refuse.retry_after_ms))
        self._daemon.metrics.answered(self.name, run.request.route, code.value)
        self._forget(refuse.request)

    def _forget(self, request_id: RequestId) -> None:
        self._runs.pop(request_id, None)
        self._versions.pop(request_id, None)
        timer = self._timers.pop(request_id, None)
        if timer is not None and timer.active():
            timer.cancel()

    def _count(self, end: AttemptEnd, run: Run | None) -> None:
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
        state.tasks.repeat(_REPORT_MS, lambda: self._poll(state))

    def _drop_upstream(self, upstream: UpstreamId, state: UpstreamState) -> None:
        state.tasks.stop()
        state.client.close()
        del self.upstreams[upstream]

    async def _poll(self, state: UpstreamState) -> None:
        try:
            load, report = await state.client.report()
        except UpstreamError:
            self._missed_report(state)
            return
        was_silent, state.silent = state.silent >= _SILENT_REPORTS, 0
        if was_silent:
            self.refresh_upstreams()
        if state.load is not None and load.incarnation != state.load.incarnation:
            state.next_event = 0
        state.load, state.report = load, report
        self._scheduler.record_load_report(load)
        self._daemon.upstream_reported(self.name, load, report)
        if self._document.kind is ServiceKind.ENGINE:
            await self._poll_events(state)

    async def _poll_events(self, state: UpstreamState) -> None:
        try:
            page = await state.client.events(state.next_event)
        except UpstreamError:
            return
        state.next_event = page.next
        for event in page.events:
            stored = event.kind is CacheEventKind.STORED
            added = event.blocks if stored else ()
            removed = () if stored else event.blocks
            self._scheduler.record_cache_event(state.client.upstream, added, removed)

    def _missed_report(self, state: UpstreamState) -> None:
        state.silent += 1
        if state.silent == _SILENT_REPORTS:
            _log.warning("an upstream is silent", extra={"upstream": state.client.upstream})
            self.refresh_upstreams()
            for run in list(self._runs.values()):
                run.upstream_silent(state.client.upstream)

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
    """A call that waits for its key to be claimed."""

    def __init__(self, service: Service, incoming: Incoming) -> None:
        self._service = service
        self._incoming = incoming

    async def run(self, may_send: Callable[[], bool]) -> CallAnswer:
        """Run the call."""
        return await self._service.run_call(self._incoming, may_send)

    def abandon(self) -> None:
        """Give up the call."""
        self._service.abandon(self._incoming.request)


def _always() -> bool:
    return True


def _refusal(
    run: Run, code: ErrorCode, message: str, retry_after_ms: int | None = None
) -> RequestRefused:
    return RequestRefused(code, message, run.outcome, retry_after_ms)


def _call_body(request: RequestId, result: bytes) -> bytes:
    return b'{"request_id":"' + request.encode() + b'","result":' + result + b"}"
