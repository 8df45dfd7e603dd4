"""Assigns free engine slots to the queued requests of all daemons, most urgent first."""

from collections.abc import Iterator
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId, Incarnation, UpstreamId
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.urgencyqueue import QueuedRequest, UrgencyQueue
from skylarkmoor_policy.versionrules import VersionRule

__all__ = ["Dispatcher", "SlotOffer", "SlotRequirements", "Ticket"]

# Queued requests without a usable free slot after which a round ends.
_MAX_SKIPS = 3


@dataclass(frozen=True, slots=True)
class Ticket:
    """Identifies a queued request by its daemon, a number of the daemon and its incarnation."""

    host: HostId
    number: int
    incarnation: Incarnation = Incarnation(0)


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """Requirements of a queued request on an upstream.

    Attributes
    ----------
    group : SlotGroup
        The engines that may run the request.
    max_event_gap_ms : int
        Maximum gap between events that streams of the route tolerate; 0 for no limit.
    output_tokens : int
        Expected number of output tokens.
    deadline_ms : int
        Time by which the answer has to be complete.
    exclude : frozenset of UpstreamId
        Upstreams to exclude because they failed the request before.
    version_rule : VersionRule or None
        Versions of the upstreams that may run the request; None for all.
    """

    ticket: Ticket
    group: SlotGroup
    prompt_tokens: int
    max_event_gap_ms: int
    output_tokens: int
    deadline_ms: int
    exclude: frozenset[UpstreamId] = frozenset()
    version_rule: VersionRule | None = None


@dataclass(frozen=True, slots=True)
class SlotOffer:
    """A slot at an upstream, assigned to a queued request."""

    ticket: Ticket
    upstream: UpstreamId
    prompt_tokens: int
    # Whether the upstream has named a limit, and a permit was used up.
    under_limit: bool = False


class Dispatcher:
    """Queues requests by slot group and assigns free slots to them.

    Parameters
    ----------
    placement : Placement
        The upstreams with the loads of all daemons. The caller has to add each offer to the
        loads before it takes the next one.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self._queues: dict[SlotGroup, UrgencyQueue[SlotRequirements]] = {}
        self._needs: dict[Ticket, SlotRequirements] = {}

    def __len__(self) -> int:
        return len(self._needs)

    def enqueue(self, waiting: QueuedRequest[SlotRequirements]) -> None:
        """Queue a request; it replaces an earlier one with the same ticket."""
        need = waiting.item
        self.cancel(need.ticket)
        self._needs[need.ticket] = need
        self._queues.setdefault(need.group, UrgencyQueue()).add(waiting)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request from its queue."""
        need = self._needs.pop(ticket, None)
        if need is not None:
            self._queues[need.group].remove(need)

    def remove_host(self, host: HostId) -> None:
        """Remove all requests of a daemon that has left."""
        for ticket in [each for each in self._needs if each.host == host]:
            self.cancel(ticket)

    def offers(
        self, now_ms: int, exclude: frozenset[UpstreamId] = frozenset()
    ) -> Iterator[SlotOffer]:
        """Yield offers until no queued request fits a free slot; expired requests are removed.

        Parameters
        ----------
        exclude : frozenset of UpstreamId
            Upstreams with a limit for which another daemon issues the permits.
        """
        for group, queue in self._queues.items():
            for need in queue.expired(now_ms):
                self._needs.pop(need.ticket, None)
            # Offers are computed for each report of a peer. Under overload most reports free no
            # slot, so the queue is sorted only if there is room.
            if not len(queue) or not self._placement.has_capacity(group, now_ms):
                continue
            skipped = 0
            for waiting in queue.ordered(now_ms):
                need = waiting.item
                if need.ticket not in self._needs:
                    continue
                choice = self._placement.choose(
                    group.service,
                    need.prompt_tokens,
                    now_ms,
                    need.exclude | exclude,
                    only_with_capacity=True,
                    max_event_gap_ms=need.max_event_gap_ms,
                    output_tokens=need.output_tokens,
                    remaining_ms=need.deadline_ms - now_ms,
                    group=group,
                    version_rule=need.version_rule,
                    slack_ms=waiting.latest_start_ms - now_ms,
                    waiting_ahead=skipped,
                )
                if choice is None:
                    skipped += 1
                    if skipped >= _MAX_SKIPS:
                        break
                    continue
                self.cancel(need.ticket)
                under_limit = self._placement.issue_permit(choice.upstream, now_ms)
                yield SlotOffer(need.ticket, choice.upstream, need.prompt_tokens, under_limit)
