"""Hashes that are stable across hosts and processes."""

from collections.abc import Iterable

import xxhash

from skylarkmoor_core.ids import Fingerprint

__all__ = ["bucket", "fingerprint", "hash64", "rendezvous_order", "rendezvous_owner"]

# Separates the parts of a hashed key; it cannot occur in an id.
_SEPARATOR = b"\x00"


def hash64(*parts: str | bytes) -> int:
    """Return a 64-bit hash of `parts` in order.

    Examples
    --------
    >>> hash64("a", "b") == hash64("ab")
    False
    """
    encoded = [part.encode() if isinstance(part, str) else part for part in parts]
    return int(xxhash.xxh3_64_intdigest(_SEPARATOR.join(encoded)))


def bucket(buckets: int, *parts: str | bytes) -> int:
    """Return the bucket of `parts`, from 0 to ``buckets - 1``.

    Raises
    ------
    ValueError
        If `buckets` is not positive.
    """
    if buckets <= 0:
        raise ValueError(f"buckets must be positive, got {buckets}")
    return hash64(*parts) % buckets


def fingerprint(customer: str, route: str, body: bytes) -> Fingerprint:
    """Return the hash that identifies identical requests of one customer."""
    return Fingerprint(hash64(customer, route, body))


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` in descending order of rendezvous weight for `key`.

    Parameters
    ----------
    key : str
        Key to assign an owner to.
    members : iterable of str
        Ids of the candidates.

    Returns
    -------
    list of str
        The first is the owner, the next its successor, and so on.

    Notes
    -----
    Time is O(n log n). Removing a member changes the owner of only the keys that it owned.

    References
    ----------
    .. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
       rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return sorted(members, key=lambda member: (-hash64(key, member), member))


def rendezvous_owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest rendezvous weight, or None without members."""
    return min(members, key=lambda member: (-hash64(key, member), member), default=None)
