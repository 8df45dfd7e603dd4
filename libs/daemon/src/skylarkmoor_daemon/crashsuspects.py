"""Attribution of upstream crashes to requests, and quarantine of the requests that cause them."""

from collections.abc import Sequence

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import RequestRefused
from skylarkmoor_core.hashing import rendezvous_owner
from skylarkmoor_core.ids import Fingerprint, HostId, Incarnation, RequestId, UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_daemon.shared import SharedState
from skylarkmoor_policy.quarantine import QuarantineState, SuspectTable, Suspicion
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request

__all__ = ["CrashSuspects"]

# A suspect waits this long before its next attempt, so that simultaneous crashes caused by copies
# of it on other daemons are known by then.
_SUSPECT_DELAY_MS = 200
# Copies of a suspect on other daemons wait for that next attempt to end. Running at the same
# time, they could crash a third upstream.
_PEER_COPY_DELAY_MS = 2_000
# A request that was in flight at a crash avoids an upstream for this long after a crash there. The
# attempts in flight at one crash end one after another, and a request that started between two of
# these ends would be counted as in flight at a second crash. Load reports are requested every
# second, so by then a crashed upstream is known to be down.
_AVOID_CRASHED_UPSTREAM_MS = 1_000

_log = part_logger("quarantine")


class CrashSuspects:
    """Tracks the requests in flight on each upstream and suspects those that crash it.

    Parameters
    ----------
    host : str
        Host of this daemon.
    shared : SharedState
        Shares suspicions with the other daemons.
    clock : Clock
        Monotonic and wall-clock time.
    """

    def __init__(self, host: HostId, shared: SharedState, clock: Clock) -> None:
        self._host = host
        self._shared = shared
        self._clock = clock
        self._table = SuspectTable()
        # Monotonic time until which attempts of a suspect are delayed.
        self._delayed_until_ms: dict[Fingerprint, int] = {}
        # Monotonic time until which requests that were in flight at a crash avoid an upstream.
        self._avoid_until_ms: dict[UpstreamId, int] = {}
        # Subjects of the suspicions that this daemon reported for the latest crash it saw.
        self._last_reported_subjects: set[str] = set()
        self._in_flight: dict[UpstreamId, dict[RequestId, Fingerprint]] = {}

    def refuse_quarantined(self, request: Request) -> None:
        """Refuse a quarantined request.

        Raises
        ------
        RequestRefused
            With code `quarantined`.
        """
        if self.is_quarantined(request.fingerprint):
            message = "equal requests have crashed two upstreams"
            raise RequestRefused(ErrorCode.QUARANTINED, message)

    def was_in_crash(self, fingerprint: Fingerprint) -> bool:
        """Return whether `fingerprint` was in flight at a crash and may not run everywhere."""
        return self._table.was_in_crash(fingerprint)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether requests with `fingerprint` are refused by every daemon."""
        return self._table.quarantine_state(fingerprint) is QuarantineState.QUARANTINED

    def is_blocked(
        self, request: Request, upstream: UpstreamId, usable: Sequence[UpstreamId]
    ) -> bool:
        """Return whether a request must not be dispatched to an upstream now.

        Parameters
        ----------
        usable : sequence of UpstreamId
            Upstreams that could run the request.
        """
        if not self.was_in_crash(request.fingerprint):
            return False
        now_ms = self._clock.now_ms()
        # This also applies to a request cleared because another one was found to cause its crash.
        if self._avoid_until_ms.get(upstream, 0) > now_ms:
            return True
        if self._table.quarantine_state(request.fingerprint) is QuarantineState.CLEAR:
            return False
        if self._delayed_until_ms.get(request.fingerprint, 0) > now_ms:
            return True
        copies = sum(
            fingerprint == request.fingerprint
            for requests in self._in_flight.values()
            for fingerprint in requests.values()
        )
        return not self._table.may_run(
            request.fingerprint,
            upstream,
            self._in_flight.get(upstream, {}).values(),
            running_copies=copies,
            usable=usable,
        )

    def attempt_started(self, request: Request, upstream: UpstreamId) -> None:
        """Record that an attempt of a request started on an upstream."""
        self._in_flight.setdefault(upstream, {})[request.request] = request.fingerprint

    def attempt_ended(
        self, request: Request, end: AttemptEnd, incarnation: Incarnation | None
    ) -> None:
        """Record the end of an attempt; suspicions from a crash are sent to all peers at once."""
        in_flight = self._in_flight.get(end.upstream, {})
        match end.result:
            case AttemptResult.CRASHED:
                suspects = [*in_flight.values(), request.fingerprint]
                self._handle_crash(end.upstream, incarnation or Incarnation(0), suspects)
            case AttemptResult.COMPLETED:
                facts = self._table.record_completion(request.fingerprint, self._clock.wall_ms())
                self._shared.publish_facts(facts)
        in_flight.pop(request.request, None)

    def apply_facts(self, facts: Sequence[Fact]) -> None:
        """Add newly merged facts to the suspect table."""
        self._table.apply(facts)

    def delay_peer_suspects(self, sender: HostId, facts: Sequence[Fact]) -> None:
        """Delay copies of requests that a peer suspects; called before the facts are merged.

        Notes
        -----
        When several daemons report the same crash, the first of them in rendezvous order retries
        its copy and the others delay theirs.
        """
        for fact in facts:
            if fact.kind is FactKind.SUSPECT:
                self._handle_peer_suspicion(sender, fact)

    def expire(self) -> None:
        """Remove delays that have passed and suspicions that have expired."""
        now_ms = self._clock.now_ms()
        self._delayed_until_ms = {
            fingerprint: until_ms
            for fingerprint, until_ms in self._delayed_until_ms.items()
            if until_ms > now_ms
        }
        self._avoid_until_ms = {
            upstream: until_ms
            for upstream, until_ms in self._avoid_until_ms.items()
            if until_ms > now_ms
        }
        self._table.expire(self._clock.wall_ms())

    def _handle_crash(
        self, upstream: UpstreamId, incarnation: Incarnation, suspects: Sequence[Fingerprint]
    ) -> None:
        self._avoid_until_ms[upstream] = self._clock.now_ms() + _AVOID_CRASHED_UPSTREAM_MS
        facts = self._table.record_crash(upstream, incarnation, suspects, self._clock.wall_ms())
        if facts:
            extra = {"upstream": upstream, "incarnation": incarnation, "suspects": len(facts)}
            until_ms = self._clock.now_ms() + _SUSPECT_DELAY_MS
            for fingerprint in suspects:
                self._delayed_until_ms.setdefault(fingerprint, until_ms)
            self._last_reported_subjects = {fact.subject for fact in facts}
            _log.warning("upstream crashed, requests in flight are suspected", extra=extra)
            self._shared.publish_facts(facts, at_once=True)

    def _handle_peer_suspicion(self, sender: HostId, fact: Fact) -> None:
        try:
            suspicion = Suspicion.from_subject(fact.subject)
        except ValueError:
            return
        if self._clock.wall_ms() - fact.value[0] >= _PEER_COPY_DELAY_MS:
            # Digest exchanges repeat old facts.
            return
        self._avoid_until_ms[suspicion.upstream] = self._clock.now_ms() + _AVOID_CRASHED_UPSTREAM_MS
        reported_here = fact.subject in self._last_reported_subjects
        if reported_here and rendezvous_owner(fact.subject, (self._host, sender)) == self._host:
            return
        until_ms = self._clock.now_ms() + _PEER_COPY_DELAY_MS
        self._delayed_until_ms[suspicion.fingerprint] = until_ms
