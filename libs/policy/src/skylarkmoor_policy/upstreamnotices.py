"""What upstreams say of themselves in their answers, kept for each instance."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from skylarkmoor_core.ids import UpstreamId

__all__ = ["AnswerNotices", "InstanceId", "NoticeChange", "NoticeKind", "NoticeTable"]

# A list of upstreams may show an instance again that it had dropped. Its notices are kept for as
# long as the entries of upstreams that have left.
_MAX_UNLISTED_MS = 600_000


class InstanceId(NamedTuple):
    """An instance of an upstream, which a restart under the same id replaces."""

    upstream: UpstreamId
    started_wall_ms: int


class NoticeKind(Enum):
    """What a notice is about; the values appear in metrics and logs."""

    LEAVING = "leaving"
    RETRY_AFTER = "retry after"
    LIMIT = "limit"
    BRITTLE = "brittle"


@dataclass(frozen=True, slots=True)
class AnswerNotices:
    """What one answer says of the upstream that sent it.

    Attributes
    ----------
    leaving : bool
        Whether the upstream is leaving.
    retry_after_ms : int or None
        Time in which it wants no request from this host; None if the answer gives none.
    max_requests_per_s : float or None
        Requests per second that it accepts from all hosts together; None for no limit.
    max_refusals_per_s : float or None
        Refusals per second, to all hosts together, that it bears; None for any number.
    invalid : tuple of (NoticeKind, str)
        Values that cannot be read. They change nothing.
    """

    leaving: bool = False
    retry_after_ms: int | None = None
    max_requests_per_s: float | None = None
    max_refusals_per_s: float | None = None
    invalid: tuple[tuple[NoticeKind, str], ...] = ()


@dataclass(frozen=True, slots=True)
class NoticeChange:
    """A notice of an instance that began, changed or ended.

    Attributes
    ----------
    value : float or None
        1 for an instance that is leaving, else the milliseconds until it wants requests again, or
        its limit in requests or refusals per second; None at the end of the notice.
    """

    instance: InstanceId
    kind: NoticeKind
    value: float | None


@dataclass(slots=True)
class _InstanceNotices:
    listed_ms: int
    leaving: bool = False
    # Until when it wants no request from this host.
    paused_until_ms: int = 0
    max_requests_per_s: float | None = None
    max_refusals_per_s: float | None = None
    # When the head of the answer arrived that was the last one to say so, at any host; None if no
    # answer is known.
    limit_heard_ms: int | None = None
    invalid_kinds: set[NoticeKind] = field(default_factory=set)


class NoticeTable:
    """The notices of all known instances.

    Notes
    -----
    They outlast the entry of the instance in the list of upstreams, which may drop it and show it
    again. An instance that starts anew under the same id has none.
    """

    def __init__(self) -> None:
        self._instances: dict[InstanceId, _InstanceNotices] = {}
        self._limited: set[InstanceId] = set()
        self._brittle: set[InstanceId] = set()
        # When the last pause ends, and when the instances were listed last.
        self._last_pause_end_ms = 0
        self._listed_ms = 0

    def record_answer(
        self, instance: InstanceId, notices: AnswerNotices, arrived_ms: int, now_ms: int
    ) -> list[NoticeChange]:
        """Record what an answer says, and return what has changed.

        Parameters
        ----------
        arrived_ms : int
            When the head of the answer arrived, before `now_ms` if it was read late.
        """
        known = self._known(instance, now_ms)
        changes = []
        if notices.leaving and not known.leaving:
            known.leaving = True
            changes.append(NoticeChange(instance, NoticeKind.LEAVING, 1))
        if notices.retry_after_ms is not None:
            until_ms = arrived_ms + notices.retry_after_ms
            if known.paused_until_ms <= now_ms < until_ms:
                value = float(notices.retry_after_ms)
                changes.append(NoticeChange(instance, NoticeKind.RETRY_AFTER, value))
            known.paused_until_ms = max(known.paused_until_ms, until_ms)
            self._last_pause_end_ms = max(self._last_pause_end_ms, until_ms)
        invalid = {kind for kind, _ in notices.invalid}
        kinds = (NoticeKind.LIMIT, NoticeKind.BRITTLE)
        if invalid.issuperset(kinds):
            return changes
        before = (known.max_requests_per_s, known.max_refusals_per_s)
        named = (notices.max_requests_per_s, notices.max_refusals_per_s)
        limits = [
            old_value if kind in invalid else value
            for kind, value, old_value in zip(kinds, named, before, strict=True)
        ]
        if self.record_limit(instance, limits[0], arrived_ms, now_ms, limits[1]):
            changes += [
                NoticeChange(instance, kind, value)
                for kind, value, old_value in zip(kinds, limits, before, strict=True)
                if value != old_value
            ]
        return changes

    def record_limit(
        self,
        instance: InstanceId,
        limit_per_s: float | None,
        heard_ms: int,
        now_ms: int,
        max_refusals_per_s: float | None = None,
    ) -> bool:
        """Record the limits that an answer named, unless a later one is known.

        Parameters
        ----------
        limit_per_s : float or None
            Requests per second; None if the answer named no limit.
        heard_ms : int
            When the head of the answer arrived, here or at a peer.
        max_refusals_per_s : float or None
            Refusals per second that the upstream bears; None if the answer named no bound.

        Returns
        -------
        bool
            Whether a limit has changed.
        """
        known = self._known(instance, now_ms)
        if known.limit_heard_ms is not None and heard_ms < known.limit_heard_ms:
            return False
        limits = (limit_per_s, max_refusals_per_s)
        is_changed = limits != (known.max_requests_per_s, known.max_refusals_per_s)
        known.max_requests_per_s, known.max_refusals_per_s = limits
        known.limit_heard_ms = heard_ms
        if max_refusals_per_s is None:
            self._brittle.discard(instance)
        else:
            self._brittle.add(instance)
        if limit_per_s is None:
            self._limited.discard(instance)
        else:
            self._limited.add(instance)
        return is_changed

    def limit(self, instance: InstanceId) -> tuple[float | None, int | None]:
        """Return the limit of an instance and when it was heard; both may be None."""
        known = self._instances.get(instance)
        return (None, None) if known is None else (known.max_requests_per_s, known.limit_heard_ms)

    def max_refusals_per_s(self, instance: InstanceId) -> float | None:
        """Return the refusals per second that an instance bears, None for any number."""
        known = self._instances.get(instance)
        return None if known is None else known.max_refusals_per_s

    def brittle(self) -> frozenset[InstanceId]:
        """Return the instances that bear few refusals."""
        return frozenset(self._brittle)

    def limited(self) -> frozenset[InstanceId]:
        """Return the instances that have named a limit."""
        return frozenset(self._limited)

    def has_limits(self) -> bool:
        """Return whether any instance has named a limit or is brittle."""
        return bool(self._limited or self._brittle)

    def has_pauses(self, now_ms: int) -> bool:
        """Return whether any instance wants no request from this host now."""
        return self._last_pause_end_ms > now_ms

    def record_leaving(self, instance: InstanceId, now_ms: int) -> bool:
        """Record that an instance is leaving, and return whether that was not known."""
        known = self._known(instance, now_ms)
        is_new = not known.leaving
        known.leaving = True
        return is_new

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether an instance is leaving; it does not become ready again."""
        known = self._instances.get(instance)
        return known is not None and known.leaving

    def leaving_since(self, listed_ms: int) -> list[InstanceId]:
        """Return the instances that are leaving and have been listed at or after a time."""
        return [
            instance
            for instance, known in self._instances.items()
            if known.leaving and known.listed_ms >= listed_ms
        ]

    def paused_until_ms(self, instance: InstanceId) -> int:
        """Return until when an instance wants no request from this host."""
        known = self._instances.get(instance)
        return 0 if known is None else known.paused_until_ms

    def is_first_invalid(self, instance: InstanceId, kind: NoticeKind, now_ms: int) -> bool:
        """Return whether this is the first invalid value of its kind from an instance."""
        kinds = self._known(instance, now_ms).invalid_kinds
        is_first = kind not in kinds
        kinds.add(kind)
        return is_first

    def expire(self, listed: Iterable[InstanceId], now_ms: int) -> list[NoticeChange]:
        """Forget instances that have not been listed for long, and return the pauses that ended."""
        self._listed_ms = now_ms
        for instance in listed:
            if instance in self._instances:
                self._instances[instance].listed_ms = now_ms
        changes = []
        for instance, known in list(self._instances.items()):
            if 0 < known.paused_until_ms <= now_ms:
                known.paused_until_ms = 0
                changes.append(NoticeChange(instance, NoticeKind.RETRY_AFTER, None))
            if now_ms - known.listed_ms > _MAX_UNLISTED_MS:
                del self._instances[instance]
                self._limited.discard(instance)
                self._brittle.discard(instance)
        return changes

    def counts(self, now_ms: int) -> dict[NoticeKind, int]:
        """Return the number of instances that are listed, with a notice of each kind."""
        notices = [each for each in self._instances.values() if each.listed_ms >= self._listed_ms]
        return {
            NoticeKind.LEAVING: sum(each.leaving for each in notices),
            NoticeKind.RETRY_AFTER: sum(each.paused_until_ms > now_ms for each in notices),
            NoticeKind.LIMIT: sum(each.max_requests_per_s is not None for each in notices),
            NoticeKind.BRITTLE: sum(each.max_refusals_per_s is not None for each in notices),
        }

    def _known(self, instance: InstanceId, now_ms: int) -> _InstanceNotices:
        known = self._instances.get(instance)
        if known is None:
            known = self._instances[instance] = _InstanceNotices(now_ms)
        return known
