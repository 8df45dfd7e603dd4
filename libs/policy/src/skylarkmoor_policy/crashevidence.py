"""Finds the parts of prompts that crash the engines which begin to answer them.

Requests share the parts of their prompts. One part may crash every engine that begins an answer on
it (a poison pill), while no two of the requests are alike and sound ones share all other parts with
them. This module weighs which parts were about to be answered when an engine crashed against which
parts have begun an answer elsewhere.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field

from skylarkmoor_core.ids import PromptPart, RequestId, UpstreamId
from skylarkmoor_core.messages import CrashedRequest, CrashEvidence, CrashReport, PartTrial

__all__ = ["CrashEvidenceTable", "Suspicion"]

# Weights of a crash against the parts that it is blamed on, and the sum from which a part is
# blocked. One crash suffices against the last new part of the only request that was about to be
# answered; two are needed against its other parts, and three if there is no such request.
_BLOCK_WEIGHT = 6
_LAST_NEW_PART_WEIGHT = 6
_OTHER_PART_WEIGHT = 3
_AMBIGUOUS_WEIGHT = 2
# Time after a crash until a blocked part is tried again with one request; each further crash
# multiplies it. A sound part that was blamed for an unrelated crash is back after the first.
_FIRST_TRIAL_MS = 10_000
_TRIAL_FACTOR = 3
_MAX_TRIAL_DELAY_MS = 900_000
# Time for a trial to begin its answer or to crash the engine; longer than callers wait for one.
_TRIAL_TIMEOUT_MS = 10_000
# A crash is forgotten after twice the longest delay of a trial, so that a part that is tried and
# crashes again stays known.
_CRASH_EXPIRY_MS = 2 * _MAX_TRIAL_DELAY_MS
# How long a crash is repeated to the peers, which may have been cut off when it was reported.
_REPEAT_PERIOD_MS = 60_000
# Bounds of the memory. A site uses some hundred parts at a time.
_MAX_STARTED_PARTS = 8_192
_MAX_CRASHES = 64
_MAX_REQUESTS_PER_CRASH = 16
_MAX_TRIALS = 256
_MAX_PARTS = 64

_CrashKey = tuple[UpstreamId, int]


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A part that is blocked.

    Attributes
    ----------
    crashes : int
        Number of crashes that it is blamed for.
    last_crash_ms : int
        Time of the last one.
    """

    part: PromptPart
    crashes: int
    last_crash_ms: int

    @property
    def trial_ms(self) -> int:
        """Time from which one request with this part may be tried."""
        delay_ms = int(_FIRST_TRIAL_MS * _TRIAL_FACTOR ** min(self.crashes - 1, 10))
        return self.last_crash_ms + min(_MAX_TRIAL_DELAY_MS, delay_ms)


@dataclass(slots=True)
class _Crash:
    """A crash of one instance, and the requests whose answers had not begun there."""

    at_ms: int
    is_own: bool
    requests: dict[RequestId, CrashedRequest] = field(default_factory=dict)


class CrashEvidenceTable:
    """Crashes of engines, and the parts of prompts that have begun an answer.

    Notes
    -----
    An engine crashes when it begins the answer, so a request whose answer has begun is innocent,
    and so are all its parts. If the engine had sent the head of an answer and none of its events,
    that request alone was about to begin; otherwise all requests without an event are suspected.

    Of the parts of a suspected request, those that began an answer after the crash are innocent.
    Those that never began one, the new ones, are blamed first, and the last of them most: the
    more requests share a part, the nearer to the beginning of the prompt it stands.

    A harmful part is blocked after one crash if it is the last new part of its prompts, and after
    two if it is not, or was sound before. Several harmful parts are told apart, unless they crash
    the same engines. Crashes that happen before the report of the first one arrives come in
    addition, and as many for each daemon that no report reaches. While a part is blocked, one
    request at a time tries it, at growing intervals; an answer that begins unblocks it.

    The evaluation takes time proportional to the parts named in crashes, and happens when the
    evidence changes. Memory is bounded by the constants of this module.

    References
    ----------
    .. [1] R. Dorfman, "The detection of defective members of large populations", Annals of
       Mathematical Statistics 14(4), 1943.
    """

    def __init__(self) -> None:
        # Last start of an answer by part; the least recent first.
        self._own_starts_ms: dict[PromptPart, int] = {}
        # Only of parts that a crash names.
        self._peer_starts_ms: dict[PromptPart, int] = {}
        self._crashes: dict[_CrashKey, _Crash] = {}
        self._trials_ms: dict[PromptPart, int] = {}
        self._named_parts: set[PromptPart] = set()
        self._last_crash_ms = -1
        self._suspicions: dict[PromptPart, Suspicion] | None = {}

    def record_start(self, parts: Collection[PromptPart], now_ms: int) -> bool:
        """Record that an answer has begun; return whether the peers should hear of it."""
        is_news = any(
            part in self._named_parts and (self._last_start_ms(part) or 0) <= self._last_crash_ms
            for part in parts
        )
        was_suspected = is_news and any(self._suspicions_of(parts))
        for part in parts:
            self._own_starts_ms.pop(part, None)
            self._own_starts_ms[part] = now_ms
        while len(self._own_starts_ms) > _MAX_STARTED_PARTS:
            del self._own_starts_ms[next(iter(self._own_starts_ms))]
        if is_news:
            self._suspicions = None
        return was_suspected

    def record_crash(
        self,
        upstream: UpstreamId,
        started_wall_ms: int,
        requests: Iterable[CrashedRequest],
        now_ms: int,
    ) -> None:
        """Record a crash that this daemon has seen.

        Parameters
        ----------
        started_wall_ms : int
            Start time of the crashed instance, which tells it from others under the same id.
        requests : iterable of CrashedRequest
            The requests of this daemon that had no event yet.
        """
        self._add_crash((upstream, started_wall_ms), requests, now_ms, is_own=True)

    def merge(self, evidence: CrashEvidence, now_ms: int) -> bool:
        """Add the evidence of a peer; return whether this daemon knows a start that acquits a part.

        Notes
        -----
        The peer does not know of the start, so it should be told.
        """
        for report in evidence.crashes:
            key = (report.upstream, report.started_wall_ms)
            self._add_crash(key, report.requests, now_ms - report.age_ms, is_own=False)
        for part, age_ms in evidence.starts_age_ms.items():
            if part in self._named_parts:
                started_ms = max(now_ms - age_ms, self._peer_starts_ms.get(part, -1))
                self._peer_starts_ms[part] = started_ms
                self._suspicions = None
        for trial in evidence.trials:
            self._set_trial(trial.part, now_ms - trial.age_ms)
        return any(
            self._acquits(part, report.age_ms, evidence.starts_age_ms.get(part), now_ms)
            for report in evidence.crashes
            for request in report.requests
            for part in request.parts
        )

    def export(self, now_ms: int, *, only_own: bool = False) -> CrashEvidence:
        """Return the evidence for peers, with ages in place of times.

        Parameters
        ----------
        only_own : bool
            Whether to leave out the crashes that only peers have seen, and those that have been
            repeated for long enough.
        """
        crashes = [
            CrashReport(key[0], key[1], now_ms - crash.at_ms, tuple(crash.requests.values()))
            for key, crash in self._crashes.items()
            if not only_own or self._is_repeated(crash, now_ms)
        ]
        starts_ms = {part: self._last_start_ms(part) for part in self._named_parts}
        return CrashEvidence(
            tuple(crashes),
            {part: now_ms - at_ms for part, at_ms in starts_ms.items() if at_ms is not None},
            tuple(
                PartTrial(part, now_ms - at_ms)
                for part, at_ms in self._trials_ms.items()
                if now_ms - at_ms < _TRIAL_TIMEOUT_MS
            ),
        )

    def has_crashes(self) -> bool:
        """Return whether any crash is known."""
        return bool(self._crashes)

    def has_own(self, now_ms: int) -> bool:
        """Return whether this daemon has seen a crash lately, which it repeats to its peers."""
        return any(self._is_repeated(crash, now_ms) for crash in self._crashes.values())

    @staticmethod
    def _is_repeated(crash: _Crash, now_ms: int) -> bool:
        return crash.is_own and now_ms - crash.at_ms <= _REPEAT_PERIOD_MS

    def expire(self, now_ms: int) -> None:
        """Forget old crashes and trials."""
        old = [
            key for key, crash in self._crashes.items() if now_ms - crash.at_ms > _CRASH_EXPIRY_MS
        ]
        for key in old:
            del self._crashes[key]
        if old:
            self._crashes_changed()
        for part, at_ms in list(self._trials_ms.items()):
            if now_ms - at_ms >= _TRIAL_TIMEOUT_MS:
                del self._trials_ms[part]

    def blocked_parts(self, parts: Collection[PromptPart], now_ms: int) -> dict[PromptPart, int]:
        """Return the blocked parts of a prompt with the time in ms until each may be tried."""
        waits_ms = {}
        for suspicion in self._suspicions_of(parts):
            allowed_ms = suspicion.trial_ms
            trial_ms = self._trials_ms.get(suspicion.part)
            if trial_ms is not None and trial_ms > suspicion.last_crash_ms:
                allowed_ms = max(allowed_ms, trial_ms + _TRIAL_TIMEOUT_MS)
            if allowed_ms > now_ms:
                waits_ms[suspicion.part] = allowed_ms - now_ms
        return waits_ms

    def blocked_ms(self, parts: Collection[PromptPart], now_ms: int) -> int | None:
        """Return the time until a prompt may be tried again, None if it is not blocked."""
        return max(self.blocked_parts(parts, now_ms).values(), default=None)

    def begin_trial(self, parts: Collection[PromptPart], now_ms: int) -> bool:
        """Record that a prompt is sent; return whether it is a trial that the peers should know."""
        suspicions = list(self._suspicions_of(parts))
        for suspicion in suspicions:
            self._set_trial(suspicion.part, now_ms)
        return bool(suspicions)

    def suspicions(self) -> dict[PromptPart, Suspicion]:
        """Return the blocked parts, those that are due for a trial included."""
        if self._suspicions is None:
            self._suspicions = self._evaluate()
        return self._suspicions

    def _acquits(
        self, part: PromptPart, crash_age_ms: int, known_age_ms: int | None, now_ms: int
    ) -> bool:
        """Return whether an own start says more about a part than the last one a peer knows."""
        own_ms = self._own_starts_ms.get(part)
        if own_ms is None:
            return False
        return known_age_ms is None or now_ms - own_ms < crash_age_ms <= known_age_ms

    def _suspicions_of(self, parts: Collection[PromptPart]) -> Iterator[Suspicion]:
        if self._crashes and parts:
            suspicions = self.suspicions()
            yield from (suspicions[part] for part in parts if part in suspicions)

    def _evaluate(self) -> dict[PromptPart, Suspicion]:
        """Add up the crashes against each part that is blamed for one."""
        weights: dict[PromptPart, int] = {}
        crashes_ms: dict[PromptPart, list[int]] = {}
        for crash in self._crashes.values():
            for part, weight in self._blame(crash).items():
                weights[part] = weights.get(part, 0) + weight
                crashes_ms.setdefault(part, []).append(crash.at_ms)
        return {
            part: Suspicion(part, len(crashes_ms[part]), max(crashes_ms[part]))
            for part, weight in weights.items()
            if weight >= _BLOCK_WEIGHT
        }

    def _blame(self, crash: _Crash) -> dict[PromptPart, int]:
        """Return the weight of a crash against each part that may have caused it."""
        suspects = [each for each in crash.requests.values() if each.began]
        if len(suspects) == 1:
            new, known = self._blamed_parts(suspects[0], crash.at_ms)
            weights = dict.fromkeys(new or known, _OTHER_PART_WEIGHT)
            if new:
                weights[new[-1]] = _LAST_NEW_PART_WEIGHT
            return weights
        weights = {}
        for request in suspects or crash.requests.values():
            new, known = self._blamed_parts(request, crash.at_ms)
            weights.update(dict.fromkeys(new or known, _AMBIGUOUS_WEIGHT))
        return weights

    def _blamed_parts(
        self, request: CrashedRequest, crashed_ms: int
    ) -> tuple[list[PromptPart], list[PromptPart]]:
        """Return the parts that never began an answer, and those that did before the crash only."""
        new, known = [], []
        for part in request.parts:
            started_ms = self._last_start_ms(part)
            if started_ms is None:
                new.append(part)
            elif started_ms <= crashed_ms:
                known.append(part)
        return new, known

    def _last_start_ms(self, part: PromptPart) -> int | None:
        own_ms = self._own_starts_ms.get(part)
        peer_ms = self._peer_starts_ms.get(part)
        if own_ms is None or peer_ms is None:
            return peer_ms if own_ms is None else own_ms
        return max(own_ms, peer_ms)

    def _add_crash(
        self, key: _CrashKey, requests: Iterable[CrashedRequest], at_ms: int, *, is_own: bool
    ) -> None:
        crash = self._crashes.get(key)
        if crash is None:
            crash = _Crash(at_ms, is_own)
        crash.is_own = crash.is_own or is_own
        for request in requests:
            known = crash.requests.get(request.request)
            is_full = known is None and len(crash.requests) >= _MAX_REQUESTS_PER_CRASH
            if is_full and not request.began:
                continue
            if request.parts and (known is None or request.began > known.began):
                if is_full:
                    del crash.requests[min(crash.requests, key=lambda r: crash.requests[r].began)]
                crash.requests[request.request] = CrashedRequest(
                    request.request, request.began, request.parts[:_MAX_PARTS]
                )
        if not crash.requests:
            return
        self._crashes[key] = crash
        while len(self._crashes) > _MAX_CRASHES:
            del self._crashes[min(self._crashes, key=lambda each: self._crashes[each].at_ms)]
        self._crashes_changed()

    def _crashes_changed(self) -> None:
        self._named_parts = {
            part
            for crash in self._crashes.values()
            for request in crash.requests.values()
            for part in request.parts
        }
        self._last_crash_ms = max((each.at_ms for each in self._crashes.values()), default=-1)
        for part in self._peer_starts_ms.keys() - self._named_parts:
            del self._peer_starts_ms[part]
        self._suspicions = None

    def _set_trial(self, part: PromptPart, at_ms: int) -> None:
        self._trials_ms[part] = max(at_ms, self._trials_ms.pop(part, at_ms))
        while len(self._trials_ms) > _MAX_TRIALS:
            del self._trials_ms[next(iter(self._trials_ms))]
