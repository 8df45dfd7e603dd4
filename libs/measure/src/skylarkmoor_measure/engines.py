"""A fake model engine with continuous batching on a simulated clock."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from skylarkmoor_core.ids import AttemptId, Incarnation, UpstreamId, VersionId
from skylarkmoor_measure.workload import BLOCK_TOKENS
from skylarkmoor_policy.requests import LoadReport

__all__ = ["EngineSpeed", "FakeEngine", "Sequence", "StepResult"]


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Cost model of one generation of hardware.

    A step takes ``base_ms + per_sequence_ms * batch`` and the time of its prefill chunk, which
    is at most `chunk_ms`.
    """

    prefill_tokens_per_s: int
    base_ms: float
    per_sequence_ms: float
    chunk_ms: float
    max_batch: int
    kv_capacity_tokens: int


@dataclass(slots=True)
class Sequence:
    """One attempt on an engine."""

    attempt: AttemptId
    version: VersionId
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    arrived_ms: float
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    generated_tokens: int = 0
    # Steps that a token takes, more than one on a slow version.
    slowdown: float = 1.0
    steps_owed: float = 0.0
    first_token_ms: float | None = None
    last_token_ms: float = 0.0
    worst_gap_ms: float = 0.0

    @property
    def kv_tokens(self) -> int:
        """Return the KV cache that the sequence takes when it is complete."""
        return self.prompt_tokens + self.output_tokens


@dataclass(slots=True)
class StepResult:
    """What happened in a step: sequences with a new token, and those that ended."""

    progressed: list[Sequence] = field(default_factory=list)
    completed: list[Sequence] = field(default_factory=list)


class FakeEngine:
    """An engine that admits requests as they arrive and knows no priorities."""

    def __init__(self, upstream: UpstreamId, speed: EngineSpeed) -> None:
        self.upstream = upstream
        self.speed = speed
        self.incarnation = Incarnation(1)
        self.slow_factor = 1.0
        self.down = False
        self.stepping = False
        self.epoch = 0
        self.waiting: deque[Sequence] = deque()
        self.running: list[Sequence] = []
        self.kv_used_tokens = 0
        self.prefill_tokens = 0
        self.versions = {VersionId("v1"), VersionId("v2")}
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.added_blocks: list[int] = []
        self.removed_blocks: list[int] = []

    def admit(self, sequence: Sequence) -> None:
        """Put a sequence at the end of the waiting line."""
        self.waiting.append(sequence)

    def cancel(self, attempt: AttemptId) -> Sequence | None:
        """Take an attempt out and return it, or None if it is not here."""
        for sequence in self.running:
            if sequence.attempt == attempt:
                self._leave(sequence)
                return sequence
        for sequence in self.waiting:
            if sequence.attempt == attempt:
                self.waiting.remove(sequence)
                return sequence
        return None

    def kill(self) -> list[Sequence]:
        """Lose all sequences and the prefix cache, and return the lost sequences."""
        lost = self.running + list(self.waiting)
        self.running = []
        self.waiting.clear()
        self.kv_used_tokens = 0
        self._blocks.clear()
        self.added_blocks.clear()
        self.removed_blocks.clear()
        self.down = True
        self.stepping = False
        self.epoch += 1
        return lost

    def restart(self) -> None:
        """Come back with a new incarnation."""
        self.incarnation = Incarnation(self.incarnation + 1)
        self.down = False

    def begin_step(self) -> float | None:
        """Admit what fits and return the length of the next step, or None if idle."""
        self._admit_waiting()
        if not self.running:
            return None
        chunk_tokens = self._prefill()
        step_ms = self.speed.base_ms + self.speed.per_sequence_ms * len(self.running)
        return self.slow_factor * (step_ms + 1_000 * chunk_tokens / self.speed.prefill_tokens_per_s)

    def end_step(self, now_ms: float) -> StepResult:
        """Generate a token for each sequence whose prefill is complete."""
        result = StepResult()
        for sequence in list(self.running):
            if sequence.cached_tokens + sequence.prefilled_tokens < sequence.prompt_tokens:
                continue
            if sequence.steps_owed >= 1:
                sequence.steps_owed -= 1
                continue
            sequence.steps_owed += sequence.slowdown - 1
            if sequence.first_token_ms is None:
                sequence.first_token_ms = now_ms
                self._cache(sequence.prefix_hashes)
            else:
                gap_ms = now_ms - sequence.last_token_ms
                sequence.worst_gap_ms = max(sequence.worst_gap_ms, gap_ms)
            sequence.last_token_ms = now_ms
            sequence.generated_tokens += 1
            if sequence.generated_tokens >= sequence.output_tokens:
                self._leave(sequence)
                result.completed.append(sequence)
            else:
                result.progressed.append(sequence)
        return result

    def report(self, now_ms: int) -> LoadReport:
        """Return the load as it is now."""
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

    def take_cache_events(self) -> tuple[list[int], list[int]]:
        """Return the blocks added and removed since the last call."""
        events = (self.added_blocks, self.removed_blocks)
        self.added_blocks, self.removed_blocks = [], []
        return events

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
        """Spend the step's prefill chunk on the oldest sequences; return the tokens computed."""
        budget = math.floor(self.speed.chunk_ms * self.speed.prefill_tokens_per_s / 1_000)
        left = budget
        for sequence in self.running:
            if left == 0:
                break
            todo = sequence.prompt_tokens - sequence.cached_tokens - sequence.prefilled_tokens
            tokens = min(left, todo)
            sequence.prefilled_tokens += tokens
            left -= tokens
        self.prefill_tokens += budget - left
        return budget - left

    def _cached_tokens(self, sequence: Sequence) -> int:
        blocks = 0
        for block in sequence.prefix_hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            blocks += 1
        return min(blocks * BLOCK_TOKENS, sequence.prompt_tokens - 1)

    def _cache(self, blocks: tuple[int, ...]) -> None:
        for block in blocks:
            if block not in self._blocks:
                self.added_blocks.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        # Half of the KV memory may hold prefixes that no running sequence uses.
        limit = self.speed.kv_capacity_tokens // (2 * BLOCK_TOKENS)
        while len(self._blocks) > limit:
            block, _ = self._blocks.popitem(last=False)
            self.removed_blocks.append(block)

    def _leave(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        self.kv_used_tokens -= sequence.kv_tokens
