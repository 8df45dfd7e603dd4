"""Request queue: by tier, then deficit round robin over customers, then earliest deadline."""

import bisect
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from skylarkmoor_core.ids import CustomerId, RequestId, VersionId
from skylarkmoor_policy.requests import Request

__all__ = ["FairRequestQueue", "QueuedRequest"]

# A customer's deficit is bounded below by this multiple of the cost of its last request.
_MAX_DEBT_FACTOR = 8


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A waiting request, its cost and the model version that it must run on."""

    request: Request
    cost: int
    version: VersionId
    # Part of the answer has been sent to the client, so the request must not be shed.
    started: bool = False

    @property
    def sort_key(self) -> tuple[int, RequestId]:
        """Sort key among the waiting requests of a customer."""
        return self.request.deadline_ms, self.request.request


class _TierQueue:
    """The waiting requests of one tier."""

    def __init__(self) -> None:
        self.customers: dict[CustomerId, list[QueuedRequest]] = {}
        self.round_robin: deque[CustomerId] = deque()
        self.deficits: dict[CustomerId, int] = {}
        self.counts_by_version: dict[VersionId, tuple[int, int]] = {}
        self.count = 0
        self.cost = 0


class FairRequestQueue:
    """Requests that wait at this daemon.

    Parameters
    ----------
    tiers : int
        Number of tiers.
    share : callable
        Returns a customer's weight in the round robin.

    Notes
    -----
    At its turn, a customer's deficit grows by its share times the largest cost among the
    customers' first requests. Unless the customer is in debt, this covers its first request.
    """

    def __init__(self, tiers: int, share: Callable[[CustomerId], int]) -> None:
        self._tier_queues = [_TierQueue() for _ in range(tiers)]
        self._share = share
        self._by_request: dict[RequestId, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request: RequestId) -> bool:
        return request in self._by_request

    def set_tiers(self, tiers: int) -> None:
        """Extend the queue to `tiers` tiers; it never shrinks."""
        while len(self._tier_queues) < tiers:
            self._tier_queues.append(_TierQueue())

    def add(self, item: QueuedRequest) -> None:
        """Insert a request."""
        tier_queue = self._tier_queues[item.request.tier]
        customer = item.request.customer
        if customer not in tier_queue.customers:
            tier_queue.customers[customer] = []
            tier_queue.round_robin.append(customer)
            tier_queue.deficits[customer] = 0
        bisect.insort(tier_queue.customers[customer], item, key=lambda each: each.sort_key)
        tier_queue.count += 1
        tier_queue.cost += item.cost
        count, cost = tier_queue.counts_by_version.get(item.version, (0, 0))
        tier_queue.counts_by_version[item.version] = (count + 1, cost + item.cost)
        self._by_request[item.request.request] = item

    def remove(self, request: RequestId) -> QueuedRequest | None:
        """Remove a request without charging its customer; return None if it is not queued."""
        item = self._by_request.pop(request, None)
        if item is None:
            return None
        tier_queue = self._tier_queues[item.request.tier]
        customer = item.request.customer
        items = tier_queue.customers[customer]
        del items[bisect.bisect_left(items, item.sort_key, key=lambda each: each.sort_key)]
        tier_queue.count -= 1
        tier_queue.cost -= item.cost
        count, cost = tier_queue.counts_by_version.pop(item.version)
        if count > 1:
            tier_queue.counts_by_version[item.version] = (count - 1, cost - item.cost)
        if not items:
            del tier_queue.customers[customer]
            del tier_queue.deficits[customer]
            tier_queue.round_robin.remove(customer)
        return item

    def replace(self, item: QueuedRequest, version: VersionId) -> None:
        """Change the version that a waiting request must run on."""
        if self.remove(item.request.request) is not None:
            self.add(replace(item, version=version))

    def peek(self, tier: int, skip: Collection[RequestId] = ()) -> QueuedRequest | None:
        """Return the request of a tier that is next to run, without removing it.

        Parameters
        ----------
        tier : int
            Rank of the tier, 0 for the highest.
        skip : collection of RequestId
            Requests that cannot run now. The first other request in round-robin order is
            returned, and the customer whose turn it is keeps its turn.
        """
        tier_queue = self._tier_queues[tier]
        if not tier_queue.round_robin:
            return None
        if not skip:
            return self._advance_round_robin(tier_queue)
        heads = (
            _first_not_skipped(tier_queue.customers[customer], skip)
            for customer in tier_queue.round_robin
        )
        return next((head for head in heads if head is not None), None)

    def take(self, request: RequestId) -> QueuedRequest | None:
        """Remove a request to run it and charge its customer; return None if it is not queued."""
        item = self._by_request.get(request)
        if item is None:
            return None
        deficits = self._tier_queues[item.request.tier].deficits
        customer = item.request.customer
        # A customer whose requests run out of turn goes into debt. The bound limits how long it
        # is locked out after its requests ran in place of another customer's large request
        # that did not fit.
        deficits[customer] = max(deficits[customer] - item.cost, -_MAX_DEBT_FACTOR * item.cost)
        return self.remove(request)

    def count(self, tier: int) -> int:
        """Return the number of waiting requests of a tier."""
        return self._tier_queues[tier].count

    def cost(self, tier: int) -> int:
        """Return the total cost of the waiting requests of a tier."""
        return self._tier_queues[tier].cost

    def customer_count(self, customer: CustomerId) -> int:
        """Return the number of waiting requests of a customer in all tiers."""
        return sum(len(tier_queue.customers.get(customer, ())) for tier_queue in self._tier_queues)

    def counts_by_version(self, tier: int) -> dict[VersionId, tuple[int, int]]:
        """Return the count and total cost of a tier's waiting requests by version."""
        return dict(self._tier_queues[tier].counts_by_version)

    def count_started_below(self, tier: int) -> int:
        """Return the number of waiting requests in lower tiers that have started an answer.

        Such requests cannot be shed.
        """
        return sum(
            item.started
            for tier_queue in self._tier_queues[tier + 1 :]
            for items in tier_queue.customers.values()
            for item in items
        )

    def shed_candidate(self) -> QueuedRequest | None:
        """Return the request to shed first under overload.

        Among the requests of which nothing has been sent, it is taken from the lowest tier,
        there from the customer with the most waiting requests relative to its share, and is
        that customer's request with the latest deadline.
        """
        for tier_queue in reversed(self._tier_queues):
            ranked = sorted(
                tier_queue.customers,
                key=lambda customer: len(tier_queue.customers[customer]) / self._share(customer),
                reverse=True,
            )
            for customer in ranked:
                for item in reversed(tier_queue.customers[customer]):
                    if not item.started:
                        return item
        return None

    def _advance_round_robin(self, tier_queue: _TierQueue) -> QueuedRequest:
        quantum = max(items[0].cost for items in tier_queue.customers.values())
        while True:
            customer = tier_queue.round_robin[0]
            head = tier_queue.customers[customer][0]
            if tier_queue.deficits[customer] >= head.cost:
                return head
            tier_queue.round_robin.rotate(-1)
            tier_queue.deficits[tier_queue.round_robin[0]] += quantum * self._share(
                tier_queue.round_robin[0]
            )


def _first_not_skipped(
    items: Iterable[QueuedRequest], skip: Collection[RequestId]
) -> QueuedRequest | None:
    return next((item for item in items if item.request.request not in skip), None)
