"""Errors for requests that a simulated upstream refuses or fails."""

from skylarkmoor_core.errors import SkylarkmoorError

__all__ = [
    "AttemptExists",
    "AttemptFailed",
    "UpstreamLeaving",
    "StaleFencingToken",
    "UnknownAttempt",
    "VersionNotLoaded",
]


class AttemptExists(SkylarkmoorError):
    """The engine already has an attempt with this id."""


class AttemptFailed(SkylarkmoorError):
    """The attempt failed because of an injected fault."""


class UpstreamLeaving(SkylarkmoorError):
    """The upstream is shutting down and accepts no new work."""


class StaleFencingToken(SkylarkmoorError):
    """An order has a fencing token lower than the highest one seen."""


class UnknownAttempt(SkylarkmoorError):
    """The engine never had an attempt with this id, or has already discarded it."""


class VersionNotLoaded(SkylarkmoorError):
    """The requested version is not loaded; the attempt did not run."""
