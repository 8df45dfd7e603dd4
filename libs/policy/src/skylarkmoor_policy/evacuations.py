"""Orders of the operator to evacuate failure domains, and which of them are in force.

The orders are records of a log. Each gateway reads them, and passes on what it knows with the
positions of the records, so that a gateway that does not reach the log learns of them as well.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from skylarkmoor_core.ids import FailureDomain
from skylarkmoor_core.logposition import BEFORE_ALL, LogPosition

__all__ = ["EvacuationChange", "Evacuations"]

# Time after a restore of the log from an older copy within which the operator writes the records
# again that the copy lacks.
_REWRITE_MS = 2_500
# Orders that are no longer in force and still told to peers. A fleet has a dozen failure domains;
# a peer that still knows a forgotten one is told again that it has ended.
_MAX_ENDED_ORDERS = 64


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """An evacuation that has begun or ended.

    Attributes
    ----------
    in_force : bool
        Whether the failure domain is evacuated from now on.
    position : LogPosition
        Position of the record that says so, or of the end of the list that lacks the record.
    """

    failure_domain: FailureDomain
    in_force: bool
    position: LogPosition


@dataclass(frozen=True, slots=True)
class _Order:
    position: LogPosition
    in_force: bool


class Evacuations:
    """The failure domains that are evacuated, by the log and by what peers tell.

    Parameters
    ----------
    on_change : callable
        Called after the set of evacuated domains has changed, with the time.

    Attributes
    ----------
    in_force : frozenset of FailureDomain
        The domains that are evacuated.

    Notes
    -----
    Of two statements about a domain, the one with the later position holds. A restored log may lack
    an order that was given after the copy was made, so an order of an earlier era stays in force
    until a list that was read some time after the restore lacks it. An order that the copy has
    again, although it was taken back meanwhile, counts: in doubt, a domain is evacuated.
    """

    def __init__(self, on_change: Callable[[int], None] = lambda now_ms: None) -> None:
        self.in_force: frozenset[FailureDomain] = frozenset()
        self._on_change = on_change
        self._orders: dict[FailureDomain, _Order] = {}
        # Up to where all records have been applied here.
        self._read_to = BEFORE_ALL
        # When the era of that position was seen first, and whether the orders of earlier eras that
        # the log lacks are known to have ended.
        self._era_seen_ms = 0
        self._is_settled = False

    def apply_records(
        self,
        records: Mapping[FailureDomain, tuple[LogPosition, bool]],
        last: LogPosition,
        now_ms: int,
        *,
        is_complete: bool,
    ) -> list[EvacuationChange]:
        """Apply what a read of the log has shown, and return what has changed.

        Parameters
        ----------
        records : mapping
            By domain, the position of its last record, and whether it orders an evacuation.
        last : LogPosition
            Position up to which the log was read.
        is_complete : bool
            Whether the records are those of all domains; one without a record is not evacuated.
            Otherwise the read continues where the one before it ended.
        """
        self._observe_era(last, now_ms)
        for domain, (position, in_force) in records.items():
            if in_force or not self._may_be_rewritten(domain, position, now_ms):
                self._update(domain, _Order(position, in_force))
        if is_complete:
            missing = [
                domain
                for domain, known in self._orders.items()
                if known.in_force and domain not in records and known.position <= last
            ]
            for domain in missing:
                if not self._may_be_rewritten(domain, last, now_ms):
                    self._update(domain, _Order(last, in_force=False))
            if last.era == self._read_to.era and self._has_settled(now_ms):
                self._is_settled = True
        self._read_to = max(self._read_to, last)
        return self._publish(now_ms)

    def merge(
        self, orders: Mapping[FailureDomain, tuple[int, int, bool]], now_ms: int
    ) -> list[EvacuationChange]:
        """Take over what a peer knows, and return what has changed.

        Notes
        -----
        Of the records up to the position that was read here, the peer knows nothing more. What it
        takes for an order in force may have ended; the end is then told to it.
        """
        if not orders:
            return []
        for domain, (era, offset, in_force) in orders.items():
            order = _Order(LogPosition(era, offset), in_force)
            known = self._orders.get(domain)
            if not domain or (known is not None and known.position >= order.position):
                continue
            if in_force and self._is_past(order.position):
                self._update(domain, _Order(self._read_to, self._is_in_force(domain)))
            else:
                self._update(domain, order)
        return self._publish(now_ms)

    def export(self) -> dict[FailureDomain, tuple[int, int, bool]]:
        """Return era and offset of each order, and whether it is in force, for peers."""
        return {
            domain: (order.position.era, order.position.offset, order.in_force)
            for domain, order in self._orders.items()
        }

    def list_due_ms(self, now_ms: int) -> int | None:
        """Return in how many milliseconds a complete list is needed, None if none is.

        Notes
        -----
        Only a list ends an order of an earlier era that the restored log lacks.
        """
        if self._read_to == BEFORE_ALL or not any(
            order.in_force and order.position.era < self._read_to.era
            for order in self._orders.values()
        ):
            return None
        return max(0, self._era_seen_ms + _REWRITE_MS - now_ms)

    def _observe_era(self, last: LogPosition, now_ms: int) -> None:
        if last.era > self._read_to.era:
            # Nothing is known of the new era before a list of it is read.
            self._read_to = LogPosition(last.era, -1)
            self._era_seen_ms = now_ms
            self._is_settled = False

    def _has_settled(self, now_ms: int) -> bool:
        return now_ms - self._era_seen_ms >= _REWRITE_MS

    def _may_be_rewritten(self, domain: FailureDomain, position: LogPosition, now_ms: int) -> bool:
        """Return whether an order of an era before `position` may be written again yet."""
        known = self._orders.get(domain)
        is_earlier = known is not None and known.in_force and known.position.era < position.era
        return is_earlier and not self._has_settled(now_ms)

    def _is_past(self, position: LogPosition) -> bool:
        """Return whether the state of the log at a position is known here."""
        if position.era == self._read_to.era:
            return position <= self._read_to
        return position < self._read_to and self._is_settled

    def _is_in_force(self, domain: FailureDomain) -> bool:
        known = self._orders.get(domain)
        return known is not None and known.in_force

    def _update(self, domain: FailureDomain, order: _Order) -> None:
        known = self._orders.get(domain)
        if domain and (known is None or known.position < order.position):
            self._orders[domain] = order

    def _publish(self, now_ms: int) -> list[EvacuationChange]:
        ended = [each for each, order in self._orders.items() if not order.in_force]
        ended.sort(key=lambda each: self._orders[each].position)
        for domain in ended[: max(0, len(ended) - _MAX_ENDED_ORDERS)]:
            del self._orders[domain]
        before = self.in_force
        self.in_force = frozenset(each for each, order in self._orders.items() if order.in_force)
        changed = sorted(before ^ self.in_force)
        if changed:
            self._on_change(now_ms)
        return [
            EvacuationChange(
                each,
                each in self.in_force,
                self._orders[each].position if each in self._orders else self._read_to,
            )
            for each in changed
        ]
