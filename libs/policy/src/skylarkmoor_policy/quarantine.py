"""Which requests are suspected of crashing upstreams, and which are refused for it."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from skylarkmoor_core.ids import Fingerprint, Incarnation, UpstreamId
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_policy.facts import SUSPECT_LIFETIME_MS

__all__ = ["Standing", "SuspectTable", "Suspicion"]

_CRASHES_TO_QUARANTINE = 2
_MAX_SUSPICIONS = 10_000


class Standing(Enum):
    """How a request is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A request was in flight when an upstream crashed.

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
        """Subject of the facts about this suspicion."""
        return f"{self.fingerprint:016x}/{self.incarnation}/{self.upstream}"

    @classmethod
    def from_subject(cls, subject: str) -> "Suspicion":
        """Read a fact's subject.

        Raises
        ------
        ValueError
            If `subject` does not have the form of `subject`.
        """
        parts = subject.split("/", 2)
        if len(parts) != 3:
            raise ValueError(f"not the subject of a suspicion: {subject!r}")
        fingerprint, incarnation, upstream = parts
        return cls(
            Fingerprint(int(fingerprint, 16)), UpstreamId(upstream), Incarnation(int(incarnation))
        )


class SuspectTable:
    """Suspicions against requests, from facts of the kinds SUSPECT and SUSPECT_CLEARED.

    Notes
    -----
    A clearing names the suspicions that it clears, so an old suspicion stays cleared in
    whatever order the facts arrive, and a later crash counts anew.

    A request with two crashes is quarantined. One that shares its only crash with a quarantined
    request is no longer a suspect, because that crash is explained; the crash still counts
    when another one follows.

    Incarnation 0 stands for one that the reporting daemon does not know. Beside a report with
    the incarnation it is taken for the same crash.
    """

    def __init__(self) -> None:
        # Wall-clock time of each suspicion and each clearing.
        self._suspected: dict[Suspicion, int] = {}
        self._cleared: dict[Suspicion, int] = {}
        self._by_request: dict[Fingerprint, set[Suspicion]] = {}
        self._by_crash: dict[tuple[UpstreamId, Incarnation], set[Fingerprint]] = {}
        self._cleared_by_crash: dict[tuple[UpstreamId, Incarnation], set[Fingerprint]] = {}

    def crash(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        in_flight: Iterable[Fingerprint],
        now_wall_ms: int,
    ) -> list[Fact]:
        """Suspect the requests that were in flight on a crashed upstream.

        Parameters
        ----------
        incarnation : int
            The one that crashed.

        Returns
        -------
        list of Fact
            To be sent to all peers at once and put into the store, before any of the callers is
            answered or any of the requests is tried again.
        """
        facts = []
        for fingerprint in sorted(set(in_flight)):
            suspicion = Suspicion(fingerprint, upstream, incarnation)
            if self._suspect(suspicion, now_wall_ms):
                facts.append(Fact(FactKind.SUSPECT, suspicion.subject, (now_wall_ms,)))
        return facts

    def completed(self, fingerprint: Fingerprint, now_wall_ms: int) -> list[Fact]:
        """Clear a request that an upstream has run to its end and return the facts."""
        suspicions = sorted(
            self._by_request.get(fingerprint, ()), key=lambda suspicion: suspicion.subject
        )
        for suspicion in suspicions:
            self._clear(suspicion, now_wall_ms)
        return [
            Fact(FactKind.SUSPECT_CLEARED, suspicion.subject, (now_wall_ms,))
            for suspicion in suspicions
        ]

    def apply(self, facts: Iterable[Fact]) -> None:
        """Take facts that are new in the store.

        Notes
        -----
        Other kinds and subjects that name no suspicion are passed over.
        """
        for fact in facts:
            if fact.kind not in (FactKind.SUSPECT, FactKind.SUSPECT_CLEARED):
                continue
            try:
                suspicion = Suspicion.from_subject(fact.subject)
            except ValueError:
                continue
            if fact.kind is FactKind.SUSPECT:
                self._suspect(suspicion, fact.value[0])
            else:
                self._clear(suspicion, fact.value[0])

    def expire(self, now_wall_ms: int) -> None:
        """Forget old suspicions; call it in each gossip round.

        Notes
        -----
        A clearing is remembered for twice as long as a suspicion, as in the store.
        """
        for suspicion, at_ms in list(self._suspected.items()):
            if now_wall_ms - at_ms >= SUSPECT_LIFETIME_MS:
                self._forget(suspicion)
        for suspicion, at_ms in list(self._cleared.items()):
            if now_wall_ms - at_ms >= 2 * SUSPECT_LIFETIME_MS:
                self._forget_cleared(suspicion)

    def standing(self, fingerprint: Fingerprint) -> Standing:
        """Return how a request is treated."""
        suspicions = self._by_request.get(fingerprint, ())
        if self._crashes(fingerprint) >= _CRASHES_TO_QUARANTINE:
            return Standing.QUARANTINED
        if any(not self._is_explained(suspicion) for suspicion in suspicions):
            return Standing.SUSPECT
        return Standing.CLEAR

    def was_in_crash(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request was in flight at a crash, explained or not."""
        return fingerprint in self._by_request

    def may_run(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        running: Iterable[Fingerprint],
        *,
        copies_running: int = 0,
        usable: Sequence[UpstreamId] = (),
    ) -> bool:
        """Return whether a request may be sent to `upstream` now.

        Parameters
        ----------
        running : iterable of int
            Fingerprints of the requests that run on `upstream`.
        copies_running : int
            Requests with the same fingerprint that run anywhere. A suspect runs one copy at a
            time, or its copies could crash more than two upstreams at once.
        usable : sequence of UpstreamId
            Upstreams that can run the request. If there are others, a suspect is not sent to
            the upstream that crashed with it: a second crash there may be the upstream's fault.

        Notes
        -----
        A daemon sees only its own requests on an upstream, so two daemons could try two
        suspects of a crash beside each other, and a second crash would look like both
        requests' fault. Each suspect of a crash therefore has one upstream to itself, by its
        place in the order of all of them. If there are more suspects than upstreams, the next
        ones wait until the ones before are cleared or quarantined.
        """
        match self.standing(fingerprint):
            case Standing.CLEAR:
                return True
            case Standing.QUARANTINED:
                return False
            case Standing.SUSPECT:
                pass
        if copies_running:
            return False
        if not self._has_turn(fingerprint, upstream, usable):
            return False
        return all(
            self.standing(other) is Standing.CLEAR for other in running if other != fingerprint
        )

    def _has_turn(
        self, fingerprint: Fingerprint, upstream: UpstreamId, usable: Sequence[UpstreamId]
    ) -> bool:
        suspicions = self._by_request[fingerprint]
        crashed = {suspicion.upstream for suspicion in suspicions}
        if not usable:
            return upstream not in crashed
        places = sorted(set(usable) - crashed) or sorted(usable)
        # Of several crashes, all daemons have to look at the same one.
        one = max(suspicions, key=lambda each: (each.incarnation, each.upstream))
        crash = (one.upstream, one.incarnation)
        # Cleared requests keep their place, or the others' would change while some of them run.
        order = sorted(self._by_crash[crash] | self._cleared_by_crash.get(crash, set()))
        place = order.index(fingerprint)
        before = order[: place - place % len(places)]
        if any(self.standing(each) is Standing.SUSPECT for each in before):
            return False
        return upstream == places[place % len(places)]

    def _is_explained(self, suspicion: Suspicion) -> bool:
        others = self._by_crash[suspicion.upstream, suspicion.incarnation]
        return any(
            self._crashes(other) >= _CRASHES_TO_QUARANTINE
            for other in others
            if other != suspicion.fingerprint
        )

    def _crashes(self, fingerprint: Fingerprint) -> int:
        suspicions = self._by_request.get(fingerprint, ())
        known = {each.upstream for each in suspicions if each.incarnation}
        return sum(bool(each.incarnation) or each.upstream not in known for each in suspicions)

    def _suspect(self, suspicion: Suspicion, at_ms: int) -> bool:
        if suspicion in self._cleared:
            return False
        if suspicion in self._suspected:
            self._suspected[suspicion] = max(self._suspected[suspicion], at_ms)
            return False
        if len(self._suspected) >= _MAX_SUSPICIONS:
            self._forget(next(iter(self._suspected)))
        self._suspected[suspicion] = at_ms
        self._by_request.setdefault(suspicion.fingerprint, set()).add(suspicion)
        crash = (suspicion.upstream, suspicion.incarnation)
        self._by_crash.setdefault(crash, set()).add(suspicion.fingerprint)
        return True

    def _clear(self, suspicion: Suspicion, at_ms: int) -> None:
        self._cleared[suspicion] = max(self._cleared.get(suspicion, 0), at_ms)
        crash = (suspicion.upstream, suspicion.incarnation)
        self._cleared_by_crash.setdefault(crash, set()).add(suspicion.fingerprint)
        if len(self._cleared) > _MAX_SUSPICIONS:
            self._forget_cleared(next(iter(self._cleared)))
        if suspicion in self._suspected:
            self._forget(suspicion)

    def _forget_cleared(self, suspicion: Suspicion) -> None:
        del self._cleared[suspicion]
        crash = (suspicion.upstream, suspicion.incarnation)
        self._cleared_by_crash[crash].discard(suspicion.fingerprint)
        if not self._cleared_by_crash[crash]:
            del self._cleared_by_crash[crash]

    def _forget(self, suspicion: Suspicion) -> None:
        del self._suspected[suspicion]
        requests = self._by_request[suspicion.fingerprint]
        requests.discard(suspicion)
        if not requests:
            del self._by_request[suspicion.fingerprint]
        crash = (suspicion.upstream, suspicion.incarnation)
        self._by_crash[crash].discard(suspicion.fingerprint)
        if not self._by_crash[crash]:
            del self._by_crash[crash]
