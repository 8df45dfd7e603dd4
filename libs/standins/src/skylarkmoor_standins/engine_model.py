"""Discrete-event model of an inference engine with continuous batching and a prefix cache."""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from skylarkmoor_core.hashing import hash64
from skylarkmoor_standins.engine_cache import PrefixCache
from skylarkmoor_standins.engine_text import (
    BLOCK_TOKENS,
    answer_tokens,
    answer_word,
    block_hashes,
    original_prompt,
)
from skylarkmoor_standins.engine_types import (
    AttemptOutcome,
    AttemptRecord,
    EngineFaults,
    EngineSettings,
    GenerateRequest,
    KvHandle,
    LoadReport,
    Order,
    OrderKind,
    VersionFaults,
)
from skylarkmoor_standins.errors import (
    AttemptExists,
    AttemptFailed,
    StaleFencingToken,
    UnknownAttempt,
    UpstreamLeaving,
    VersionNotLoaded,
)

__all__ = ["Attempt", "EngineModel"]


@dataclass(slots=True, eq=False)
class Attempt:
    """State of an attempt that is waiting, running or has ended."""

    served: AttemptRecord
    original_prompt_hash: int
    words: Sequence[str]
    hashes: tuple[int, ...]
    slow_factor: float = 1.0
    prefill_remaining: int = 0
    decode_progress: float = 0.0
    detached_ms: float | None = None

    @property
    def id(self) -> str:
        """Attempt id assigned by the daemon."""
        return self.served.attempt

    @property
    def ended(self) -> bool:
        """Whether the attempt has ended, for whatever reason."""
        return self.served.end is not None

    @property
    def kv_used_tokens(self) -> int:
        """KV cache tokens that the attempt occupies now."""
        return len(self.words) + self.served.position - self.served.start_position

    @property
    def kv_reserved_tokens(self) -> int:
        """KV cache tokens that the attempt will occupy at the end of its answer."""
        return len(self.words) + max(0, self.served.total - self.served.start_position)

    def word_at(self, position: int) -> str:
        """Return the answer token at `position`."""
        return answer_word(self.original_prompt_hash, position)


@dataclass(slots=True)
class _Step:
    """Batch step that ends at `end_ms`, with the prompt tokens computed for each prefill."""

    end_ms: float
    decoding: list[Attempt] = field(default_factory=list)
    prefilling: list[tuple[Attempt, int]] = field(default_factory=list)


class EngineModel:
    """Simulates an engine in batch steps of one decoded token per attempt and a chunk of prefill.

    Parameters
    ----------
    settings : EngineSettings
        Capacity, speed and delays.
    versions : sequence of str
        Versions that are loaded at start.
    role : str
        Initial role in the load report.
    rng : random.Random
        Selects the attempts that fail and the cache events that are lost.
    now_ms : float
        Start time, which is also the incarnation number.

    Notes
    -----
    Attempts are admitted in order of arrival, without priorities.
    """

    def __init__(
        self,
        settings: EngineSettings,
        versions: Sequence[str],
        role: str,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self.faults = EngineFaults()
        self.served: list[AttemptRecord] = []
        self.crashed = False
        self.incarnation = int(now_ms)
        self._settings = settings
        self._rng = rng
        self._role = role
        self._versions = list(versions)
        self._loading: dict[str, float | None] = {}
        self._highest_fencing = -1
        self._request_counts: dict[str, int] = {}
        self._attempts: dict[str, Attempt] = {}
        self._waiting: deque[Attempt] = deque()
        self._running: list[Attempt] = []
        self._step: _Step | None = None
        self._load_samples: deque[tuple[float, int, int, int]] = deque([(now_ms, 0, 0, 0)])
        self._cache = PrefixCache(
            settings.cache_tokens // BLOCK_TOKENS,
            settings.event_delay_ms,
            settings.event_gap_rate,
            rng,
        )

    @property
    def cache(self) -> PrefixCache:
        """Prefix cache of the engine."""
        return self._cache

    @property
    def running(self) -> tuple[Attempt, ...]:
        """Attempts in the current batch."""
        return tuple(self._running)

    def generate(self, request: GenerateRequest, now_ms: float) -> Attempt:
        """Queue an attempt for admission to the batch.

        Raises
        ------
        UpstreamLeaving, VersionNotLoaded, AttemptExists
            If the attempt is refused; it does not run and is not recorded.
        AttemptFailed
            If an injected fault makes the attempt fail; it is recorded.
        """
        self.advance(now_ms)
        self._validate(request)
        attempt = self._make_attempt(request, now_ms)
        self.served.append(attempt.served)
        if self._apply_request_faults(request, attempt):
            self._end_attempt(attempt, AttemptOutcome.ERROR, now_ms)
            raise AttemptFailed("the attempt failed")
        self._attempts[attempt.id] = attempt
        self._waiting.append(attempt)
        self._sample_load(now_ms)
        if self._step is None:
            self._begin_step(now_ms)
        return attempt

    def get_attempt(self, attempt: str) -> Attempt:
        """Return an attempt that is waiting, running or recently ended.

        Raises
        ------
        UnknownAttempt
            If there is no such attempt.
        """
        found = self._attempts.get(attempt)
        if found is None:
            raise UnknownAttempt(f"no attempt {attempt!r}")
        return found

    def attach(self, attempt: Attempt) -> None:
        """Record that a connection reads the attempt, which stops its grace period."""
        attempt.detached_ms = None

    def detach(self, attempt: Attempt, now_ms: float) -> None:
        """Record that no connection reads the attempt any more, which starts its grace period."""
        attempt.detached_ms = now_ms

    def cancel(self, attempt: str, now_ms: float) -> bool:
        """Cancel an attempt; return whether it was waiting or running."""
        self.advance(now_ms)
        found = self._attempts.get(attempt)
        if found is None or found.ended:
            return False
        self._end_attempt(found, AttemptOutcome.CANCELLED, now_ms)
        return True

    def advance(self, now_ms: float) -> None:
        """Process all steps, version loads and expirations due by `now_ms`."""
        if self.faults.frozen:
            if self._step is not None:
                self._step.end_ms = max(self._step.end_ms, now_ms)
            return
        self._finish_version_loads(now_ms)
        while self._step is not None and self._step.end_ms <= now_ms and not self.crashed:
            step, self._step = self._step, None
            self._end_step(step)
            self._expire_attempts(step.end_ms)
            self._begin_step(step.end_ms)
        self._expire_attempts(now_ms)

    def next_event_ms(self) -> float | None:
        """Return when the next step or version load ends, or None if none is in progress."""
        if self.faults.frozen:
            return None
        times = [ready_ms for ready_ms in self._loading.values() if ready_ms is not None]
        if self._step is not None:
            times.append(self._step.end_ms)
        return min(times, default=None)

    def report(self, now_ms: float) -> LoadReport:
        """Return the load report at `now_ms`, with counts that are `report_lag_ms` old."""
        as_of_ms = now_ms - self._settings.report_lag_ms
        while len(self._load_samples) > 1 and self._load_samples[1][0] <= as_of_ms:
            self._load_samples.popleft()
        at_ms, running, waiting, kv_used = self._load_samples[0]
        return LoadReport(
            self.incarnation,
            int(max(at_ms, as_of_ms)),
            running,
            waiting,
            kv_used,
            self._settings.kv_capacity_tokens,
            self._settings.max_batch,
            tuple(self._versions),
            self._role,
            self.faults.leaving,
            tuple(self._loading),
        )

    def export_kv(self, attempt: str) -> KvHandle:
        """Return a handle to the cached blocks of the attempt.

        Raises
        ------
        UnknownAttempt
            If there is no such attempt.
        """
        hashes = self.get_attempt(attempt).hashes
        count = self._cache.match(hashes)
        return KvHandle(hashes[:count], count * BLOCK_TOKENS)

    def import_kv(self, handle: KvHandle, now_ms: float) -> None:
        """Store the blocks of a handle in the prefix cache.

        Raises
        ------
        UpstreamLeaving
            If the engine accepts no new work.
        """
        if self.faults.leaving:
            raise UpstreamLeaving("the engine is leaving")
        self._cache.store(handle.blocks, now_ms)

    def execute_order(self, order: Order, now_ms: float, load_ms: float | None) -> bool:
        """Execute a control order.

        Parameters
        ----------
        load_ms : float, optional
            Duration of a version load; None if `finish_version_load` reports its end.

        Returns
        -------
        bool
            Whether a version load has started.

        Raises
        ------
        StaleFencingToken
            If the fencing token is stale and this engine checks tokens.
        """
        if order.fencing < self._highest_fencing and self._settings.checks_fencing:
            raise StaleFencingToken(
                f"fencing token {order.fencing} is below {self._highest_fencing}"
            )
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        match order.order:
            case OrderKind.LOAD:
                if order.version in self._versions or order.version in self._loading:
                    return False
                self._loading[order.version] = None if load_ms is None else now_ms + load_ms
                return True
            case OrderKind.UNLOAD:
                self._loading.pop(order.version, None)
                if order.version in self._versions:
                    self._versions.remove(order.version)
            case OrderKind.ROLE:
                self._role = order.role
        return False

    def is_loading(self, version: str) -> bool:
        """Return whether `version` is being loaded."""
        return version in self._loading

    def finish_version_load(self, version: str) -> None:
        """Mark a loading version as loaded, unless it was unloaded in the meantime."""
        if version in self._loading:
            del self._loading[version]
            self._versions.append(version)

    def _validate(self, request: GenerateRequest) -> None:
        if self.faults.leaving:
            raise UpstreamLeaving("the engine is leaving")
        if request.version not in self._versions:
            raise VersionNotLoaded(f"version {request.version!r} is not loaded")
        if request.attempt in self._attempts:
            raise AttemptExists(f"attempt {request.attempt!r} was already taken")

    def _make_attempt(self, request: GenerateRequest, now_ms: float) -> Attempt:
        words = request.prompt.split()
        original = original_prompt(words, request.start_position)
        original_prompt_hash = hash64(" ".join(original))
        served = AttemptRecord(
            attempt=request.attempt,
            version=request.version,
            prompt_hash=hash64(request.prompt),
            prompt_tokens=len(words),
            start_position=request.start_position,
            position=request.start_position,
            total=answer_tokens(original, original_prompt_hash, request.max_tokens),
            arrived_ms=now_ms,
        )
        return Attempt(served, original_prompt_hash, words, block_hashes(words))

    def _apply_request_faults(self, request: GenerateRequest, attempt: Attempt) -> bool:
        count = self._request_counts.get(request.version, 0)
        self._request_counts[request.version] = count + 1
        faults = self.faults.versions.get(request.version, VersionFaults())
        affected = (
            count >= faults.after_requests
            and faults.route_text in request.prompt
            and len(self._running) >= faults.min_running
        )
        if affected:
            attempt.slow_factor = faults.slow_factor
        error_rate = max(self.faults.error_rate, faults.error_rate if affected else 0.0)
        return self._rng.random() < error_rate

    def _begin_step(self, now_ms: float) -> None:
        self._admit_waiting(now_ms)
        if not self._running or self.crashed:
            return
        step = _Step(now_ms)
        duration_ms = 0.0
        prefill_budget = self._settings.prefill_chunk_tokens
        for attempt in self._running:
            if attempt.prefill_remaining == 0:
                step.decoding.append(attempt)
            elif prefill_budget > 0:
                tokens = min(attempt.prefill_remaining, prefill_budget)
                prefill_budget -= tokens
                step.prefilling.append((attempt, tokens))
                seconds = tokens * attempt.slow_factor / self._settings.prefill_tokens_per_s
                duration_ms += seconds * 1000
        if step.decoding:
            duration_ms += self._settings.decode_ms
            duration_ms += self._settings.decode_ms_per_running * len(step.decoding)
        step.end_ms = now_ms + duration_ms * self.faults.slow_factor
        self._step = step

    def _end_step(self, step: _Step) -> None:
        for attempt, tokens in step.prefilling:
            if attempt.ended:
                continue
            attempt.prefill_remaining -= tokens
            attempt.served.prefill_tokens += tokens
            if attempt.prefill_remaining == 0:
                self._cache.store(attempt.hashes, step.end_ms)
                self._emit_token(attempt, step.end_ms)
        for attempt in step.decoding:
            if attempt.ended:
                continue
            attempt.decode_progress += 1 / attempt.slow_factor
            if attempt.decode_progress >= 1:
                attempt.decode_progress -= 1
                self._emit_token(attempt, step.end_ms)
        self._sample_load(step.end_ms)

    def _emit_token(self, attempt: Attempt, now_ms: float) -> None:
        served = attempt.served
        if served.position < served.total:
            served.position += 1
            if served.first_token_ms is None:
                served.first_token_ms = now_ms
        if served.position >= served.total:
            self._end_attempt(attempt, AttemptOutcome.DONE, now_ms)

    def _admit_waiting(self, now_ms: float) -> None:
        while self._waiting and len(self._running) < self._settings.max_batch:
            attempt = self._waiting[0]
            reserved = sum(other.kv_reserved_tokens for other in self._running)
            if (
                self._running
                and reserved + attempt.kv_reserved_tokens > self._settings.kv_capacity_tokens
            ):
                return
            self._waiting.popleft()
            self._running.append(attempt)
            if self.faults.crash_on and self.faults.crash_on in " ".join(attempt.words):
                self.crashed = True
                return
            cached = self._cache.match(attempt.hashes) * BLOCK_TOKENS
            # The last prompt token is never taken from the cache, because computing it yields the
            # first answer token.
            cached = min(cached, max(0, len(attempt.words) - 1) // BLOCK_TOKENS * BLOCK_TOKENS)
            attempt.served.cached_tokens = cached
            attempt.served.admitted_ms = now_ms
            attempt.prefill_remaining = max(1, len(attempt.words) - cached)
        self._sample_load(now_ms)

    def _end_attempt(self, attempt: Attempt, end: AttemptOutcome, now_ms: float) -> None:
        served = attempt.served
        served.end = end
        served.ended_ms = now_ms
        if attempt in self._waiting:
            self._waiting.remove(attempt)
        if attempt in self._running:
            self._running.remove(attempt)
            if attempt.prefill_remaining == 0:
                positions = range(served.start_position, served.position)
                answer = [attempt.word_at(position) for position in positions]
                attempt.hashes = block_hashes([*attempt.words, *answer])
                self._cache.store(attempt.hashes, now_ms)
        self._sample_load(now_ms)

    def _expire_attempts(self, now_ms: float) -> None:
        for attempt in list(self._attempts.values()):
            ended_ms = attempt.served.ended_ms
            if ended_ms is not None:
                if now_ms - ended_ms > self._settings.keep_ms:
                    del self._attempts[attempt.id]
            elif (
                attempt.detached_ms is not None
                and now_ms - attempt.detached_ms > self._settings.resume_grace_ms
            ):
                self._end_attempt(attempt, AttemptOutcome.ABANDONED, now_ms)

    def _finish_version_loads(self, now_ms: float) -> None:
        for version, ready_ms in list(self._loading.items()):
            if ready_ms is not None and ready_ms <= now_ms:
                self.finish_version_load(version)

    def _sample_load(self, now_ms: float) -> None:
        kv_used = sum(attempt.kv_used_tokens for attempt in self._running)
        self._load_samples.append((now_ms, len(self._running), len(self._waiting), kv_used))
        oldest_ms = now_ms - self._settings.report_lag_ms
        while len(self._load_samples) > 1 and self._load_samples[1][0] <= oldest_ms:
            self._load_samples.popleft()
