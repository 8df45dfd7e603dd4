"""Simulated inference engine with continuous batching and a prefix cache."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from skylarkmoor_core.ids import AttemptId, Incarnation, UpstreamId, VersionId
from skylarkmoor_measure.workload import BLOCK_TOKENS
from skylarkmoor_policy.requests import LoadReport

__all__ = ["EngineSpeed", "FakeEngine", "Sequence", "StepResult"]


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Cost model of one hardware generation.

    A step takes ``base_ms + per_sequence_ms * batch`` plus the time of its prefill chunk, which
    is at most `max_chunk_ms`.
    """

    prefill_tokens_per_s: int
    base_ms: float
    per_sequence_ms: float
    max_chunk_ms: float
    max_batch: int
    kv_capacity_tokens: int


@dataclass(slots=True)
class Sequence:
    """State of one attempt that waits or runs on an engine."""

    attempt: AttemptId
    version: VersionId
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    arrived_ms: float
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    generated_tokens: int = 0
    # Steps per generated token; above 1 on a slow version.
    slowdown: float = 1.0
    steps_to_skip: float = 0.0
    first_token_ms: float | None = None
    last_token_ms: float = 0.0
    max_gap_ms: float = 0.0

    @property
    def kv_tokens(self) -> int:
        """Return the KV cache tokens that the sequence occupies once it is complete."""
        return self.prompt_tokens + self.output_tokens


@dataclass(slots=True)
class StepResult:
    """Sequences that got a token in a step, split into unfinished and completed ones."""

    progressed: list[Sequence] = field(default_factory=list)
    completed: list[Sequence] = field(default_factory=list)


class FakeEngine:
    """Simulated engine that admits requests first come, first served, without priorities."""

    def __init__(self, upstream: UpstreamId, speed: EngineSpeed) -> None:
        self.upstream = upstream
        self.speed = speed
        self.incarnation = Incarnation(1)
        self.step_time_factor = 1.0
        self.down = False
        self.stepping = False
        self.epoch = 0
        self.waiting: deque[Sequence] = deque()
        self.running: list[Sequence] = []
        self.kv_used_tokens = 0
        self.prefill_tokens = 0
        self.versions = {VersionId("v1"), VersionId("v2")}
        self._cached_blocks: OrderedDict[int, None] = OrderedDict()
        self.added_blocks: list[int] = []
        self.removed_blocks: list[int] = []

    def admit(self, sequence: Sequence) -> None:
        """Append a sequence to the waiting queue."""
        self.waiting.append(sequence)

    def cancel(self, attempt: AttemptId) -> Sequence | None:
        """Remove an attempt and return its sequence, or None if the engine does not hold it."""
        for sequence in self.running:
            if sequence.attempt == attempt:
                self._release(sequence)
                return sequence
        for sequence in self.waiting:
            if sequence.attempt == attempt:
                self.waiting.remove(sequence)
                return sequence
        return None

    def kill(self) -> list[Sequence]:
        """Crash the engine: drop all sequences and the prefix cache; return the sequences."""
        lost_sequences = self.running + list(self.waiting)
        self.running = []
        self.waiting.clear()
        self.kv_used_tokens = 0
        self._cached_blocks.clear()
        self.added_blocks.clear()
        self.removed_blocks.clear()
        self.down = True
        self.stepping = False
        self.epoch += 1
        return lost_sequences

    def restart(self) -> None:
        """Bring the engine back up under a new incarnation."""
        self.incarnation = Incarnation(self.incarnation + 1)
        self.down = False

    def begin_step(self) -> float | None:
        """Admit waiting sequences that fit; return the next step's duration, or None if idle."""
        self._admit_waiting()
        if not self.running:
            return None
        chunk_tokens = self._prefill()
        step_ms = self.speed.base_ms + self.speed.per_sequence_ms * len(self.running)
        return self.step_time_factor * (
            step_ms + 1_000 * chunk_tokens / self.speed.prefill_tokens_per_s
        )

    def end_step(self, now_ms: float) -> StepResult:
        """Generate a token for each sequence whose prefill is complete."""
        result = StepResult()
        for sequence in list(self.running):
            if sequence.cached_tokens + sequence.prefilled_tokens < sequence.prompt_tokens:
                continue
            if sequence.steps_to_skip >= 1:
                sequence.steps_to_skip -= 1
                continue
            sequence.steps_to_skip += sequence.slowdown - 1
            if sequence.first_token_ms is None:
                sequence.first_token_ms = now_ms
                self._cache_prefix(sequence.prefix_hashes)
            else:
                gap_ms = now_ms - sequence.last_token_ms
                sequence.max_gap_ms = max(sequence.max_gap_ms, gap_ms)
            sequence.last_token_ms = now_ms
            sequence.generated_tokens += 1
            if sequence.generated_tokens >= sequence.output_tokens:
                self._release(sequence)
                result.completed.append(sequence)
            else:
                result.progressed.append(sequence)
        return result

    def report(self, now_ms: int) -> LoadReport:
        """Return a load report of the current state."""
        return LoadReport(
            upstream=self.upstream,
            incarnation=self.incarnation,
            as_of_ms=now_ms,
            running=len(self.running),
            waiting=len(self.waiting),
            kv_used_tokens=self.kv_used_tokens,
            kv_capacity_tokens=self.speed.kv_capacity_tokens,
            max_batch=self.speed.max_batch,
            versions=tuple(sorted(self.versions)),
        )

    def drain_cache_events(self) -> tuple[list[int], list[int]]:
        """Return the cache blocks added and removed since the last call."""
        cache_events = (self.added_blocks, self.removed_blocks)
        self.added_blocks, self.removed_blocks = [], []
        return cache_events

    def _admit_waiting(self) -> None:
        while self.waiting and len(self.running) < self.speed.max_batch:
            sequence = self.waiting[0]
            if self.running and (
                self.kv_used_tokens + sequence.kv_tokens > self.speed.kv_capacity_tokens
            ):
                return
            self.waiting.popleft()
            sequence.cached_tokens = self._cached_tokens(sequence)
            self.kv_used_tokens += sequence.kv_tokens
            self.running.append(sequence)

    def _prefill(self) -> int:
        """Prefill the oldest sequences within the step's chunk; return the tokens computed."""
        budget_tokens = math.floor(
            self.speed.max_chunk_ms * self.speed.prefill_tokens_per_s / 1_000
        )
        remaining_tokens = budget_tokens
        for sequence in self.running:
            if remaining_tokens == 0:
                break
            uncomputed_tokens = (
                sequence.prompt_tokens - sequence.cached_tokens - sequence.prefilled_tokens
            )
            tokens = min(remaining_tokens, uncomputed_tokens)
            sequence.prefilled_tokens += tokens
            remaining_tokens -= tokens
        self.prefill_tokens += budget_tokens - remaining_tokens
        return budget_tokens - remaining_tokens

    def _cached_tokens(self, sequence: Sequence) -> int:
        prefix_blocks = 0
        for block in sequence.prefix_hashes:
            if block not in self._cached_blocks:
                break
            self._cached_blocks.move_to_end(block)
            prefix_blocks += 1
        return min(prefix_blocks * BLOCK_TOKENS, sequence.prompt_tokens - 1)

    def _cache_prefix(self, prefix_blocks: tuple[int, ...]) -> None:
        for block in prefix_blocks:
            if block not in self._cached_blocks:
                self.added_blocks.append(block)
            self._cached_blocks[block] = None
            self._cached_blocks.move_to_end(block)
        # The prefix cache may take up to half of the KV memory; beyond that, LRU eviction.
        max_cached_blocks = self.speed.kv_capacity_tokens // (2 * BLOCK_TOKENS)
        while len(self._cached_blocks) > max_cached_blocks:
            block, _ = self._cached_blocks.popitem(last=False)
            self.removed_blocks.append(block)

    def _release(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        self.kv_used_tokens -= sequence.kv_tokens
