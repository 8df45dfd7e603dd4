"""Settings from flags and environment variables, validated together at startup."""

import ipaddress
import re
from collections.abc import Callable, Iterable
from typing import TypeVar

from skylarkmoor_core.errors import SettingsError

__all__ = ["ENV_PREFIX", "Address", "collect_faults", "parse_address"]

ENV_PREFIX = "SKYLARKMOOR"
_MAX_PORT = 65_535
_PORT = re.compile("[0-9]{1,5}")

T = TypeVar("T")


class Address:
    """An IP address and a port.

    Parameters
    ----------
    host : str
        IPv4 or IPv6 address.
    port : int
        0 lets the operating system choose.
    """

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        """Return ``host:port``, with brackets around an IPv6 address."""
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``host:port``, where the host is an IP address.

    Raises
    ------
    SettingsError
        If `text` is not an IP address and a port.

    Examples
    --------
    >>> str(parse_address("127.0.0.1:80"))
    '127.0.0.1:80'
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise SettingsError(f"{text!r} does not start with an IP address") from error
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise SettingsError(f"{text!r} does not end with a port from 0 to {_MAX_PORT}")
    return Address(host, int(port))


def collect_faults(checks: Iterable[tuple[str, Callable[[], object]]]) -> None:
    """Run every check and raise all errors as one group.

    Parameters
    ----------
    checks : iterable of (str, callable)
        Name of the setting and a function that raises `SettingsError` if it is invalid.

    Raises
    ------
    ExceptionGroup
        Of `SettingsError`, one for each failed check, prefixed with the setting's name.
    """
    errors: list[SettingsError] = []
    for name, check in checks:
        try:
            check()
        except SettingsError as error:
            errors.append(SettingsError(f"{name}: {error}"))
    if errors:
        raise ExceptionGroup("settings are invalid", errors)
