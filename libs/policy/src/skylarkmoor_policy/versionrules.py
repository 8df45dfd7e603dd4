"""Restricts the upstreams of a request by their software version."""

from dataclasses import dataclass

__all__ = ["PreferVersion", "OtherVersions", "VersionRule", "matches"]


@dataclass(frozen=True, slots=True)
class PreferVersion:
    """Upstreams of this version, and others if none of them can take the request."""

    version: str


@dataclass(frozen=True, slots=True)
class OtherVersions:
    """All upstreams but those of this version."""

    version: str


VersionRule = PreferVersion | OtherVersions


def matches(rule: VersionRule | None, version: str) -> bool:
    """Return whether an upstream of a version is a candidate of the first choice.

    Examples
    --------
    >>> [matches(rule, "v2") for rule in (None, PreferVersion("v2"), OtherVersions("v2"))]
    [True, True, False]
    """
    match rule:
        case None:
            return True
        case PreferVersion(version=wanted):
            return version == wanted
        case OtherVersions(version=unwanted):
            return version != unwanted
