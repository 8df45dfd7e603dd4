"""Tracks when the configuration in force was last confirmed to be the newest."""

__all__ = ["ConfigurationAge"]

# Fraction of the maximum age at which the first gateway of a group reads again, and by which each
# further gateway waits longer for the confirmation of those before it.
_RENEWAL_FRACTION = 0.5
_RANK_FRACTION = 0.1


class ConfigurationAge:
    """Time since the configuration in force was confirmed to be the newest.

    Parameters
    ----------
    max_age_ms : int
        Age up to which the configuration counts as current.

    Notes
    -----
    A read confirms what was the newest when it began. That nothing newer has arrived confirms
    nothing, because a connection may be silent without being closed.

    Examples
    --------
    >>> age = ConfigurationAge(max_age_ms=1_000)
    >>> age.is_current(5_000)
    False
    >>> age.confirm(4_600)
    True
    >>> age.age_ms(5_000), age.is_current(5_000)
    (400, True)
    >>> age.renewal_at_ms(rank=0), age.renewal_at_ms(rank=2)
    (5100, 5300)
    """

    def __init__(self, max_age_ms: int) -> None:
        self.max_age_ms = max_age_ms
        self._confirmed_ms: int | None = None

    def confirm(self, at_ms: int) -> bool:
        """Record that the configuration in force was the newest one at a time.

        Returns
        -------
        bool
            Whether this was the latest confirmation.
        """
        if self._confirmed_ms is not None and at_ms <= self._confirmed_ms:
            return False
        self._confirmed_ms = at_ms
        return True

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since the last confirmation, None before the first one."""
        return None if self._confirmed_ms is None else now_ms - self._confirmed_ms

    def is_current(self, now_ms: int) -> bool:
        """Return whether the last confirmation is recent."""
        return self._confirmed_ms is not None and now_ms - self._confirmed_ms <= self.max_age_ms

    def renewal_at_ms(self, rank: int) -> int:
        """Return when a gateway should read again unless another one has confirmed meanwhile.

        Parameters
        ----------
        rank : int
            Number of gateways that are to read before this one.
        """
        if self._confirmed_ms is None:
            return 0
        fraction = min(1.0, _RENEWAL_FRACTION + rank * _RANK_FRACTION)
        return self._confirmed_ms + round(self.max_age_ms * fraction)
