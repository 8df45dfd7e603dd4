"""Estimates how long a request holds a slot of an upstream."""

__all__ = ["INITIAL_HELD_MS", "mean_held_ms"]

# Assumed until requests have completed, with the weight of this many requests.
INITIAL_HELD_MS = 400.0
_PRIOR_REQUESTS = 2.0


def mean_held_ms(requests: float, held_ms: float) -> float:
    """Return the mean holding time over measured requests and the prior.

    Parameters
    ----------
    requests, held_ms : float
        Sums over the requests, each weighted by its age.

    Examples
    --------
    >>> mean_held_ms(0, 0), mean_held_ms(6, 6 * 1_200)
    (400.0, 1000.0)
    """
    requests, held_ms = max(0.0, requests), max(0.0, held_ms)
    return (held_ms + _PRIOR_REQUESTS * INITIAL_HELD_MS) / (requests + _PRIOR_REQUESTS)
