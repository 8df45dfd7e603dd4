"""The composition of the scheduling decisions of one service on one daemon."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from skylarkmoor_core.document import ServiceDocument, ServiceKind
from skylarkmoor_core.ids import (
    AttemptId,
    FailureDomain,
    HostId,
    RequestId,
    UpstreamId,
    VersionId,
)
from skylarkmoor_core.messages import Demand, Grant
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_policy.actions import Action, Dispatch, Preempt, Refuse
from skylarkmoor_policy.requests import (
    AttemptEnd,
    AttemptResult,
    LoadReport,
    Request,
    UpstreamInfo,
)

__all__ = ["Scheduler", "SchedulerStatus"]

_MAX_ATTEMPTS = 3
# Capacity of an upstream that has not reported yet, in requests of its largest batch.
_DEFAULT_BATCH = 16
_DEFAULT_KV_TOKENS = 65_536


@dataclass(frozen=True, slots=True)
class SchedulerStatus:
    """Counts since the start, by tier, the highest tier first.

    Attributes
    ----------
    running, waiting : tuple of int
        Requests that run or wait now.
    refusals, preemptions : tuple of int
        Requests refused and attempts preempted.
    prefill_tokens, wasted_prefill_tokens : tuple of int
        Prompt tokens computed, and those of attempts that did not complete.
    """

    running: tuple[int, ...]
    waiting: tuple[int, ...]
    refusals: tuple[int, ...]
    preemptions: tuple[int, ...]
    prefill_tokens: tuple[int, ...]
    wasted_prefill_tokens: tuple[int, ...]


@dataclass(slots=True)
class _Attempt:
    attempt: AttemptId
    upstream: UpstreamId
    cost: int


@dataclass(slots=True)
class _Entry:
    request: Request
    attempts: int = 0
    position: int = 0
    running: _Attempt | None = None
    avoid: set[UpstreamId] = field(default_factory=set)
    cancelled: bool = False


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
        self._entries: dict[RequestId, _Entry] = {}
        self._waiting: list[_Entry] = []
        self._upstreams: dict[UpstreamId, UpstreamInfo] = {}
        self._reports: dict[UpstreamId, LoadReport] = {}
        self._leaving: set[UpstreamId] = set()
        self._domains: dict[HostId, FailureDomain] = {}
        self._draining = False
        tiers = len(document.tiers)
        self._refusals = [0] * tiers
        self._prefill = [0] * tiers
        self._wasted = [0] * tiers

    def submit(self, request: Request, now_ms: int) -> list[Action]:
        """Take a request and return what to do now."""
        entry = _Entry(request)
        self._entries[request.request] = entry
        if self._draining:
            return [self._refuse(entry, ErrorCode.DRAINING, "the daemon is draining")]
        if len(self._waiting) >= self._document.limits.max_waiting:
            return [self._refuse(entry, ErrorCode.OVERLOADED, "the queue is full")]
        self._waiting.append(entry)
        return self._dispatch(now_ms)

    def cancel(self, request_id: RequestId, now_ms: int) -> list[Action]:
        """Forget a request whose caller is gone and cancel its attempt."""
        entry = self._entries.get(request_id)
        if entry is None:
            return []
        entry.cancelled = True
        if entry.running is not None:
            return [Preempt(entry.running.attempt, entry.running.upstream)]
        self._waiting.remove(entry)
        del self._entries[request_id]
        return []

    def attempt_progress(self, attempt: AttemptId, position_tokens: int, now_ms: int) -> None:
        """Note the position an attempt's answer has reached."""
        entry = self._entry_of(attempt)
        if entry is not None:
            entry.position = max(entry.position, position_tokens)

    def attempt_ended(self, end: AttemptEnd, now_ms: int) -> list[Action]:
        """Note the end of an attempt; complete, retry or refuse its request."""
        entry = self._entry_of(end.attempt)
        if entry is None:
            return []
        request = entry.request
        entry.running = None
        entry.position = max(entry.position, end.position_tokens)
        self._prefill[request.tier] += end.prefill_tokens
        if end.result is AttemptResult.COMPLETED or entry.cancelled:
            del self._entries[request.request]
            return self._dispatch(now_ms)
        self._wasted[request.tier] += end.prefill_tokens
        actions: list[Action] = []
        match end.result:
            case AttemptResult.NOT_STARTED | AttemptResult.LEAVING:
                if end.result is AttemptResult.LEAVING:
                    self._leaving.add(end.upstream)
                entry.avoid.add(end.upstream)
                self._waiting.append(entry)
            case AttemptResult.ABANDONED:
                actions.append(self._refuse(entry, ErrorCode.DEADLINE_PASSED, "deadline passed"))
            case AttemptResult.PREEMPTED if request.idempotent:
                self._waiting.append(entry)
            case _ if request.idempotent and entry.attempts < _MAX_ATTEMPTS:
                entry.avoid.add(end.upstream)
                self._waiting.append(entry)
            case _:
                message = f"upstream {end.upstream} failed: {end.result.value}"
                actions.append(self._refuse(entry, ErrorCode.UPSTREAM_FAILED, message))
        return actions + self._dispatch(now_ms)

    def receive(self, sender: HostId, message: Demand | Grant, now_ms: int) -> list[Action]:
        """Take a message of another daemon."""
        return []

    def set_document(self, document: ServiceDocument) -> None:
        """Put a new document in force."""
        self._document = document

    def set_upstreams(self, infos: Sequence[UpstreamInfo]) -> None:
        """Set the service's upstreams as the host list names them."""
        self._upstreams = {info.upstream: info for info in infos}
        self._leaving.update(info.upstream for info in infos if info.leaving)

    def set_members(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Set the live daemons, this one among them, with their failure domains."""
        self._domains = dict(domains)

    def report(self, report: LoadReport) -> None:
        """Note an upstream's own report of its load."""
        self._reports[report.upstream] = report
        if report.leaving:
            self._leaving.add(report.upstream)

    def cache_event(
        self, upstream: UpstreamId, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Note prefixes that an upstream has cached or dropped."""

    def mark_leaving(self, upstream: UpstreamId) -> None:
        """Give an upstream no new work from now on."""
        self._leaving.add(upstream)

    def drain(self, now_ms: int) -> None:
        """Take no new requests from now on."""
        self._draining = True

    def tick(self, now_ms: int) -> list[Action]:
        """Apply deadlines and leases; to be called about every 20 ms."""
        expired = [entry for entry in self._waiting if entry.request.deadline_ms <= now_ms]
        actions: list[Action] = []
        for entry in expired:
            self._waiting.remove(entry)
            actions.append(self._refuse(entry, ErrorCode.DEADLINE_PASSED, "deadline passed"))
        return actions + self._dispatch(now_ms)

    def status(self) -> SchedulerStatus:
        """Return counts by tier."""
        tiers = len(self._document.tiers)
        running = [0] * tiers
        waiting = [0] * tiers
        for entry in self._entries.values():
            counts = waiting if entry.running is None else running
            counts[entry.request.tier] += 1
        return SchedulerStatus(
            tuple(running),
            tuple(waiting),
            tuple(self._refusals),
            (0,) * tiers,
            tuple(self._prefill),
            tuple(self._wasted),
        )

    def _entry_of(self, attempt: AttemptId) -> _Entry | None:
        entry = self._entries.get(RequestId(attempt.rpartition(".")[0]))
        if entry is None or entry.running is None or entry.running.attempt != attempt:
            return None
        return entry

    def _refuse(self, entry: _Entry, code: ErrorCode, message: str) -> Refuse:
        del self._entries[entry.request.request]
        self._refusals[entry.request.tier] += 1
        return Refuse(entry.request.request, code, message)

    def _dispatch(self, now_ms: int) -> list[Action]:
        self._waiting.sort(key=lambda entry: (entry.request.tier, entry.request.deadline_ms))
        actions: list[Action] = []
        for entry in list(self._waiting):
            version = self._choose_version(entry.request)
            upstream = self._pick(entry, version)
            if upstream is None:
                continue
            self._waiting.remove(entry)
            entry.attempts += 1
            attempt = AttemptId(f"{entry.request.request}.{entry.attempts}")
            entry.running = _Attempt(attempt, upstream, self._cost(entry.request, upstream))
            actions.append(
                Dispatch(entry.request.request, attempt, upstream, version, entry.position)
            )
        return actions

    def _pick(self, entry: _Entry, version: VersionId) -> UpstreamId | None:
        able = [
            upstream
            for upstream in self._upstreams
            if upstream not in self._leaving
            and self._serves(upstream, version)
            and not self._blocked(entry.request, upstream)
            and self._used(upstream) + self._cost(entry.request, upstream)
            <= self._fallback(upstream)
        ]
        fresh = [upstream for upstream in able if upstream not in entry.avoid]
        return min(
            fresh or able,
            key=lambda upstream: (self._used(upstream), self._rng.random()),
            default=None,
        )

    def _serves(self, upstream: UpstreamId, version: VersionId) -> bool:
        report = self._reports.get(upstream)
        return report is None or not report.versions or version in report.versions

    def _used(self, upstream: UpstreamId) -> int:
        return sum(
            entry.running.cost
            for entry in self._entries.values()
            if entry.running is not None and entry.running.upstream == upstream
        )

    def _capacity(self, upstream: UpstreamId) -> tuple[int, int]:
        report = self._reports.get(upstream)
        batch = report.max_batch if report is not None else _DEFAULT_BATCH
        if self._document.kind is ServiceKind.PLAIN:
            return batch, 1
        tokens = report.kv_capacity_tokens if report is not None else _DEFAULT_KV_TOKENS
        return tokens, tokens // batch

    def _cost(self, request: Request, upstream: UpstreamId) -> int:
        capacity, unit = self._capacity(upstream)
        if self._document.kind is ServiceKind.PLAIN:
            return 1
        return min(capacity, max(unit, request.prompt_tokens + request.max_output_tokens))

    def _fallback(self, upstream: UpstreamId) -> int:
        capacity, unit = self._capacity(upstream)
        return max(unit, capacity // max(1, len(self._domains)))
