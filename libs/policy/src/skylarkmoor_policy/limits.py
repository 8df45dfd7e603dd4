"""Request rates of customers."""

from collections.abc import Mapping

from skylarkmoor_core.document import Customer, ServiceDocument
from skylarkmoor_core.ids import CustomerId

__all__ = ["CustomerLimits", "TokenBucket"]


class TokenBucket:
    """Tokens that accrue at a rate up to a bound.

    Parameters
    ----------
    per_s : float
        Tokens that accrue in a second.
    size : float
        Most tokens held.
    tokens : float, optional
        Tokens at the start; by default the bucket is full.
    """

    def __init__(self, per_s: float, size: float, tokens: float | None = None) -> None:
        self._per_s = per_s
        self._size = size
        self._tokens = size if tokens is None else tokens
        self._at_ms: int | None = None

    def resize(self, per_s: float, size: float) -> None:
        """Change rate and bound and keep what has accrued."""
        self._per_s = per_s
        self._size = size
        self._tokens = min(self._tokens, size)

    def add(self, tokens: float) -> None:
        """Add tokens up to the bound."""
        self._tokens = min(self._size, self._tokens + tokens)

    def take(self, now_ms: int, tokens: float = 1) -> bool:
        """Take tokens and return whether there were enough."""
        self._accrue(now_ms)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def remove(self, tokens: float) -> None:
        """Take tokens that are spent already, below zero if need be."""
        self._tokens -= tokens

    def scale(self, part: float) -> None:
        """Keep a part of the tokens; what is owed stays owed."""
        if self._tokens > 0:
            self._tokens *= part

    def wait_ms(self, tokens: float = 1) -> int:
        """Return the time until there are enough tokens."""
        missing = max(0.0, tokens - self._tokens)
        return round(1_000 * missing / self._per_s) if self._per_s > 0 else 1_000

    def _accrue(self, now_ms: int) -> None:
        if self._at_ms is not None and now_ms > self._at_ms:
            self.add((now_ms - self._at_ms) * self._per_s / 1_000)
        self._at_ms = now_ms if self._at_ms is None else max(now_ms, self._at_ms)


class CustomerLimits:
    """The part of each customer's request rate that this daemon may admit.

    Notes
    -----
    A limit is divided evenly among the live daemons, because the load balancer spreads
    callers over them. Each daemon may admit a whole second of the limit in a burst, so that
    a customer whose callers meet on one daemon for a moment is not refused.
    """

    def __init__(self, document: ServiceDocument, daemons: int = 1) -> None:
        self._daemons = max(1, daemons)
        self._buckets: dict[CustomerId, TokenBucket] = {}
        self._customers: Mapping[CustomerId, Customer] = {}
        self.set_document(document)

    def set_document(self, document: ServiceDocument) -> None:
        """Put a document's limits in force."""
        self._customers = {customer.name: customer for customer in document.customers}
        self._resize()

    def set_daemons(self, daemons: int) -> None:
        """Set the number of live daemons."""
        self._daemons = max(1, daemons)
        self._resize()

    def admit(self, customer: CustomerId, now_ms: int) -> int | None:
        """Count a request.

        Returns
        -------
        int or None
            None if the request is within the limit, else milliseconds until one would be.
            Customers that the document does not name have no limit here.
        """
        bucket = self._buckets.get(customer)
        if bucket is None or bucket.take(now_ms):
            return None
        return bucket.wait_ms()

    def max_waiting(self, customer: CustomerId) -> int | None:
        """Return the most requests that a customer may have waiting, None for no bound."""
        known = self._customers.get(customer)
        return None if known is None else known.max_waiting

    def share(self, customer: CustomerId) -> int:
        """Return a customer's share of the service."""
        known = self._customers.get(customer)
        return 1 if known is None else known.share

    def _resize(self) -> None:
        buckets = {}
        for name, customer in self._customers.items():
            per_s = customer.requests_per_s / self._daemons
            bucket = self._buckets.get(name) or TokenBucket(per_s, customer.requests_per_s)
            bucket.resize(per_s, customer.requests_per_s)
            buckets[name] = bucket
        self._buckets = buckets
