"""Reasons for which an upstream does not serve a request."""

from skylarkmoor_core.errors import SkylarkmoorError

__all__ = [
    "AttemptExists",
    "GenerateFailed",
    "Leaving",
    "OldFencing",
    "UnknownAttempt",
    "VersionNotLoaded",
]


class AttemptExists(SkylarkmoorError):
    """An attempt with this id was already taken."""


class GenerateFailed(SkylarkmoorError):
    """A fault switch made the attempt fail."""


class Leaving(SkylarkmoorError):
    """The upstream is leaving and takes no new work."""


class OldFencing(SkylarkmoorError):
    """An order carries a fencing token below the highest one seen."""


class UnknownAttempt(SkylarkmoorError):
    """The engine has no attempt with this id, or no longer has it."""


class VersionNotLoaded(SkylarkmoorError):
    """The version is not ready; nothing ran."""
