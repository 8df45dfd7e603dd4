"""Which gateways hold the shares of the customers' limits."""

import heapq
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache

from skylarkmoor_core.hashing import bucket, hash64
from skylarkmoor_core.ids import HostId

__all__ = ["LimitShares", "limit_group"]

# Customers of one group have the same holders, so that a change of the fleet costs the same with
# any number of customers.
_GROUPS = 64
# More holders lose less of a limit with each host that is down or cut off; fewer need fewer
# messages for a request that is larger than what one holder has left.
_HOLDERS = 8
# Fleets and hosts whose holders and hashes are kept.
_CACHED_FLEETS = 2
_CACHED_HOSTS = 1_024


def limit_group(customer: str) -> int:
    """Return the group of a customer."""
    return bucket(_GROUPS, "limits", customer)


class LimitShares:
    """The hosts that each hold an equal share of the limits of a group of customers.

    Parameters
    ----------
    host : HostId
        Host ID of this gateway.

    Notes
    -----
    The holders of a group are the first hosts in rendezvous order. Hosts that are silent are
    members until they are removed: on both sides of a partition the same hosts hold the same
    shares, so that nobody grants what a silent holder may still grant.

    Examples
    --------
    >>> shares = LimitShares(HostId("b"))
    >>> shares.set_members(["a", "b"])
    >>> sorted(shares.holders("depots")), shares.own_shares()[limit_group("depots")]
    (['a', 'b'], 0.5)
    """

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._members: frozenset[HostId] = frozenset()
        self._holders: Sequence[Sequence[HostId]] = [()] * _GROUPS

    @property
    def members(self) -> frozenset[HostId]:
        """The hosts among which the shares are divided."""
        return self._members

    def set_members(self, members: Iterable[HostId]) -> None:
        """Divide the shares among some hosts.

        Notes
        -----
        Time is O(g n), with g groups and n members; hashes are computed for new members only.
        """
        self._members = frozenset(members)
        self._holders = _holders(self._members)

    def holders(self, customer: str) -> Sequence[HostId]:
        """Return the hosts that hold a share of a customer's limit."""
        return self._holders[limit_group(customer)]

    def own_shares(self) -> Mapping[int, float]:
        """Return the fraction of the limits that this host holds, by group."""
        return {
            group: 1 / len(holders)
            for group, holders in enumerate(self._holders)
            if self._host in holders
        }


@lru_cache(maxsize=_CACHED_FLEETS)
def _holders(members: frozenset[HostId]) -> Sequence[Sequence[HostId]]:
    """Return the holders of each group."""
    weights = {host: _weights(host) for host in sorted(members)}
    return [
        heapq.nlargest(_HOLDERS, weights, key=lambda host: weights[host][group])
        for group in range(_GROUPS)
    ]


@lru_cache(maxsize=_CACHED_HOSTS)
def _weights(host: HostId) -> Sequence[int]:
    return [hash64(f"limits/{group}", host) for group in range(_GROUPS)]
