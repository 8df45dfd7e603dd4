"""Request rate limits of customers."""

from collections.abc import Mapping

from skylarkmoor_core.document import Customer, ServiceDocument
from skylarkmoor_core.ids import CustomerId

__all__ = ["CustomerLimits", "TokenBucket"]


class TokenBucket:
    """Token bucket for rate limiting.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    size : float
        Maximum number of tokens.
    tokens : float, optional
        Initial number of tokens; by default the bucket is full.
    """

    def __init__(self, rate_per_s: float, size: float, tokens: float | None = None) -> None:
        self._rate_per_s = rate_per_s
        self._size = size
        self._tokens = size if tokens is None else tokens
        self._updated_ms: int | None = None

    @property
    def tokens(self) -> float:
        """Number of tokens at the time of the last call with a time."""
        return self._tokens

    def resize(self, rate_per_s: float, size: float) -> None:
        """Change the rate and the size and keep the tokens, up to the new size."""
        self._rate_per_s = rate_per_s
        self._size = size
        self._tokens = min(self._tokens, size)

    def add(self, tokens: float) -> None:
        """Add tokens, up to the size of the bucket."""
        self._tokens = min(self._size, self._tokens + tokens)

    def take(self, now_ms: int, tokens: float = 1) -> bool:
        """Take tokens if there are enough and return whether there were."""
        self.accrue(now_ms)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def has(self, now_ms: int, tokens: float = 1) -> bool:
        """Return whether there are enough tokens."""
        self.accrue(now_ms)
        return self._tokens >= tokens

    def remove(self, tokens: float, at_least: float | None = None) -> None:
        """Remove tokens that have been spent already; the number may become negative.

        Parameters
        ----------
        at_least : float, optional
            Number below which it does not fall.
        """
        left = self._tokens - tokens
        self._tokens = left if at_least is None else min(self._tokens, max(left, at_least))

    def scale(self, fraction: float) -> None:
        """Multiply a positive number of tokens by `fraction`; a negative number stays."""
        if self._tokens > 0:
            self._tokens *= fraction

    def wait_ms(self, tokens: float = 1) -> int:
        """Return the milliseconds until there are enough tokens."""
        missing = max(0.0, tokens - self._tokens)
        return round(1_000 * missing / self._rate_per_s) if self._rate_per_s > 0 else 1_000

    def accrue(self, now_ms: int) -> None:
        """Add the tokens of the time since the last call; the first call only sets the time."""
        if self._updated_ms is not None and now_ms > self._updated_ms:
            self.add((now_ms - self._updated_ms) * self._rate_per_s / 1_000)
        self._updated_ms = now_ms if self._updated_ms is None else max(now_ms, self._updated_ms)


class CustomerLimits:
    """The part of each customer's request rate limit that applies at this daemon.

    Notes
    -----
    A limit is divided evenly among the live daemons, because the load balancer spreads
    clients over them. The burst size of each daemon is one second of the whole limit, so that
    a customer whose clients briefly reach a single daemon is not refused.
    """

    def __init__(self, document: ServiceDocument, daemons: int = 1) -> None:
        self._daemons = max(1, daemons)
        self._buckets: dict[CustomerId, TokenBucket] = {}
        self._customers: Mapping[CustomerId, Customer] = {}
        self.set_document(document)

    def set_document(self, document: ServiceDocument) -> None:
        """Apply the limits of a service document."""
        self._customers = {customer.name: customer for customer in document.customers}
        self._resize()

    def set_daemons(self, daemons: int) -> None:
        """Set the number of live daemons."""
        self._daemons = max(1, daemons)
        self._resize()

    def admit(self, customer: CustomerId, now_ms: int) -> int | None:
        """Count a request against its customer's rate limit.

        Returns
        -------
        int or None
            None if the request is admitted, else the milliseconds until a request can be.
            Customers that the document does not list are not limited here.
        """
        bucket = self._buckets.get(customer)
        if bucket is None or bucket.take(now_ms):
            return None
        return bucket.wait_ms()

    def max_waiting(self, customer: CustomerId) -> int | None:
        """Return the maximum number of waiting requests of a customer, None if not limited."""
        config = self._customers.get(customer)
        return None if config is None else config.max_waiting

    def share(self, customer: CustomerId) -> int:
        """Return a customer's weight in fair queueing; 1 if the document does not list it."""
        config = self._customers.get(customer)
        return 1 if config is None else config.share

    def _resize(self) -> None:
        buckets = {}
        for name, customer in self._customers.items():
            rate_per_s = customer.requests_per_s / self._daemons
            bucket = self._buckets.get(name) or TokenBucket(rate_per_s, customer.requests_per_s)
            bucket.resize(rate_per_s, customer.requests_per_s)
            buckets[name] = bucket
        self._buckets = buckets
