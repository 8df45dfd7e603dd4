"""Quarantine of requests that are suspected of crashing upstreams."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from skylarkmoor_core.ids import Fingerprint, Incarnation, UpstreamId
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_policy.facts import SUSPECT_LIFETIME_MS

__all__ = ["QuarantineState", "SuspectTable", "Suspicion"]

_QUARANTINE_CRASHES = 2
_MAX_SUSPICIONS = 10_000


class QuarantineState(Enum):
    """Quarantine state of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Record that a request was in flight when an incarnation of an upstream crashed.

    Examples
    --------
    >>> Suspicion(Fingerprint(255), UpstreamId("u1"), Incarnation(7)).subject
    '00000000000000ff/7/u1'
    """

    fingerprint: Fingerprint
    upstream: UpstreamId
    incarnation: Incarnation

    @property
    def subject(self) -> str:
        """Subject of the facts about this suspicion: fingerprint, incarnation and upstream."""
        return f"{self.fingerprint:016x}/{self.incarnation}/{self.upstream}"

    @classmethod
    def from_subject(cls, subject: str) -> "Suspicion":
        """Parse the subject of a fact.

        Raises
        ------
        ValueError
            If `subject` is not of the form `fingerprint/incarnation/upstream`.
        """
        parts = subject.split("/", 2)
        if len(parts) != 3:
            raise ValueError(
                f"suspicion subject must be fingerprint/incarnation/upstream, got {subject!r}"
            )
        fingerprint, incarnation, upstream = parts
        return cls(
            Fingerprint(int(fingerprint, 16)), UpstreamId(upstream), Incarnation(int(incarnation))
        )


class SuspectTable:
    """Suspicions against requests, built from SUSPECT and SUSPECT_CLEARED facts.

    Notes
    -----
    A SUSPECT_CLEARED fact names the suspicion that it clears. A cleared suspicion therefore
    stays cleared in whatever order the facts arrive, while a later crash is a new suspicion.

    A request with two crashes is quarantined. A request that shares its only crash with a
    quarantined request is no longer a suspect, because the crash is attributed to the
    quarantined one. The crash still counts if another one follows.

    Incarnation 0 means that the reporting daemon did not know the incarnation. If another
    report on the same upstream has the incarnation, both are counted as one crash.
    """

    def __init__(self) -> None:
        # Wall-clock time at which each suspicion was raised or cleared.
        self._suspected_at_ms: dict[Suspicion, int] = {}
        self._cleared_at_ms: dict[Suspicion, int] = {}
        self._suspicions_by_request: dict[Fingerprint, set[Suspicion]] = {}
        self._suspects_by_crash: dict[tuple[UpstreamId, Incarnation], set[Fingerprint]] = {}
        self._cleared_by_crash: dict[tuple[UpstreamId, Incarnation], set[Fingerprint]] = {}

    def record_crash(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        in_flight: Iterable[Fingerprint],
        now_wall_ms: int,
    ) -> list[Fact]:
        """Add suspicions against the requests that were in flight on a crashed upstream.

        Parameters
        ----------
        incarnation : int
            The incarnation that crashed.

        Returns
        -------
        list of Fact
            The new facts. Send them to all peers at once and put them into the fact store before
            any of the callers is answered or any of the requests is retried.
        """
        facts = []
        for fingerprint in sorted(set(in_flight)):
            suspicion = Suspicion(fingerprint, upstream, incarnation)
            if self._add_suspicion(suspicion, now_wall_ms):
                facts.append(Fact(FactKind.SUSPECT, suspicion.subject, (now_wall_ms,)))
        return facts

    def record_completion(self, fingerprint: Fingerprint, now_wall_ms: int) -> list[Fact]:
        """Clear all suspicions against a completed request and return the facts."""
        suspicions = sorted(
            self._suspicions_by_request.get(fingerprint, ()),
            key=lambda suspicion: suspicion.subject,
        )
        for suspicion in suspicions:
            self._clear_suspicion(suspicion, now_wall_ms)
        return [
            Fact(FactKind.SUSPECT_CLEARED, suspicion.subject, (now_wall_ms,))
            for suspicion in suspicions
        ]

    def apply(self, facts: Iterable[Fact]) -> None:
        """Apply facts that are new in the fact store.

        Notes
        -----
        Facts of other kinds and facts with a malformed subject are ignored.
        """
        for fact in facts:
            if fact.kind not in (FactKind.SUSPECT, FactKind.SUSPECT_CLEARED):
                continue
            try:
                suspicion = Suspicion.from_subject(fact.subject)
            except ValueError:
                continue
            if fact.kind is FactKind.SUSPECT:
                self._add_suspicion(suspicion, fact.value[0])
            else:
                self._clear_suspicion(suspicion, fact.value[0])

    def expire(self, now_wall_ms: int) -> None:
        """Remove expired suspicions and clearings; call it in each gossip round.

        Notes
        -----
        A clearing is kept for twice as long as a suspicion, as in the fact store.
        """
        for suspicion, at_ms in list(self._suspected_at_ms.items()):
            if now_wall_ms - at_ms >= SUSPECT_LIFETIME_MS:
                self._remove_suspicion(suspicion)
        for suspicion, at_ms in list(self._cleared_at_ms.items()):
            if now_wall_ms - at_ms >= 2 * SUSPECT_LIFETIME_MS:
                self._remove_clearing(suspicion)

    def quarantine_state(self, fingerprint: Fingerprint) -> QuarantineState:
        """Return the quarantine state of a request."""
        suspicions = self._suspicions_by_request.get(fingerprint, ())
        if self._count_crashes(fingerprint) >= _QUARANTINE_CRASHES:
            return QuarantineState.QUARANTINED
        if any(not self._is_attributed_elsewhere(suspicion) for suspicion in suspicions):
            return QuarantineState.SUSPECT
        return QuarantineState.CLEAR

    def was_in_crash(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request was in flight at a crash, even if attributed elsewhere."""
        return fingerprint in self._suspicions_by_request

    def may_run(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        running: Iterable[Fingerprint],
        *,
        running_copies: int = 0,
        usable: Sequence[UpstreamId] = (),
    ) -> bool:
        """Return whether a request may be sent to `upstream` now.

        Parameters
        ----------
        running : iterable of int
            Fingerprints of the requests that run on `upstream`.
        running_copies : int
            Number of requests with the same fingerprint that run on any upstream. A suspect runs
            one copy at a time, because several copies could crash more than two upstreams at
            once.
        usable : sequence of UpstreamId
            Upstreams that can run the request. A suspect is sent to an upstream that crashed with
            it only if there is no other: a second crash there may be the upstream's fault.

        Notes
        -----
        A daemon knows only its own requests on an upstream, so two daemons could run two
        suspects of the same crash on one upstream, and a second crash would count against both.
        Each suspect of a crash is therefore assigned an upstream of its own by its index among
        all suspects of the crash. If there are more suspects than upstreams, the remaining ones
        wait until the ones before them are cleared or quarantined.
        """
        match self.quarantine_state(fingerprint):
            case QuarantineState.CLEAR:
                return True
            case QuarantineState.QUARANTINED:
                return False
            case QuarantineState.SUSPECT:
                pass
        if running_copies:
            return False
        if not self._is_assigned(fingerprint, upstream, usable):
            return False
        return all(
            self.quarantine_state(other) is QuarantineState.CLEAR
            for other in running
            if other != fingerprint
        )

    def _is_assigned(
        self, fingerprint: Fingerprint, upstream: UpstreamId, usable: Sequence[UpstreamId]
    ) -> bool:
        suspicions = self._suspicions_by_request[fingerprint]
        crashed = {suspicion.upstream for suspicion in suspicions}
        if not usable:
            return upstream not in crashed
        candidates = sorted(set(usable) - crashed) or sorted(usable)
        # All daemons must choose the same one of several crashes.
        chosen = max(suspicions, key=lambda each: (each.incarnation, each.upstream))
        crash = (chosen.upstream, chosen.incarnation)
        # Cleared requests keep their index; otherwise the assignment of the others would change
        # while some of them run.
        ordered_suspects = sorted(
            self._suspects_by_crash[crash] | self._cleared_by_crash.get(crash, set())
        )
        suspect_index = ordered_suspects.index(fingerprint)
        predecessors = ordered_suspects[: suspect_index - suspect_index % len(candidates)]
        if any(self.quarantine_state(each) is QuarantineState.SUSPECT for each in predecessors):
            return False
        return upstream == candidates[suspect_index % len(candidates)]

    def _is_attributed_elsewhere(self, suspicion: Suspicion) -> bool:
        others = self._suspects_by_crash[suspicion.upstream, suspicion.incarnation]
        return any(
            self._count_crashes(other) >= _QUARANTINE_CRASHES
            for other in others
            if other != suspicion.fingerprint
        )

    def _count_crashes(self, fingerprint: Fingerprint) -> int:
        suspicions = self._suspicions_by_request.get(fingerprint, ())
        known_upstreams = {each.upstream for each in suspicions if each.incarnation}
        return sum(
            bool(each.incarnation) or each.upstream not in known_upstreams for each in suspicions
        )

    def _add_suspicion(self, suspicion: Suspicion, at_ms: int) -> bool:
        if suspicion in self._cleared_at_ms:
            return False
        if suspicion in self._suspected_at_ms:
            self._suspected_at_ms[suspicion] = max(self._suspected_at_ms[suspicion], at_ms)
            return False
        if len(self._suspected_at_ms) >= _MAX_SUSPICIONS:
            self._remove_suspicion(next(iter(self._suspected_at_ms)))
        self._suspected_at_ms[suspicion] = at_ms
        self._suspicions_by_request.setdefault(suspicion.fingerprint, set()).add(suspicion)
        crash = (suspicion.upstream, suspicion.incarnation)
        self._suspects_by_crash.setdefault(crash, set()).add(suspicion.fingerprint)
        return True

    def _clear_suspicion(self, suspicion: Suspicion, at_ms: int) -> None:
        self._cleared_at_ms[suspicion] = max(self._cleared_at_ms.get(suspicion, 0), at_ms)
        crash = (suspicion.upstream, suspicion.incarnation)
        self._cleared_by_crash.setdefault(crash, set()).add(suspicion.fingerprint)
        if len(self._cleared_at_ms) > _MAX_SUSPICIONS:
            self._remove_clearing(next(iter(self._cleared_at_ms)))
        if suspicion in self._suspected_at_ms:
            self._remove_suspicion(suspicion)

    def _remove_clearing(self, suspicion: Suspicion) -> None:
        del self._cleared_at_ms[suspicion]
        crash = (suspicion.upstream, suspicion.incarnation)
        self._cleared_by_crash[crash].discard(suspicion.fingerprint)
        if not self._cleared_by_crash[crash]:
            del self._cleared_by_crash[crash]

    def _remove_suspicion(self, suspicion: Suspicion) -> None:
        del self._suspected_at_ms[suspicion]
        requests = self._suspicions_by_request[suspicion.fingerprint]
        requests.discard(suspicion)
        if not requests:
            del self._suspicions_by_request[suspicion.fingerprint]
        crash = (suspicion.upstream, suspicion.incarnation)
        self._suspects_by_crash[crash].discard(suspicion.fingerprint)
        if not self._suspects_by_crash[crash]:
            del self._suspects_by_crash[crash]
