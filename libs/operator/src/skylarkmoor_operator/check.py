"""Checks a configuration or a service document before it is sent."""

import re
from collections.abc import Callable
from dataclasses import asdict
from importlib.metadata import entry_points

import click
import msgspec

from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.document import ServiceDocument, encode_document
from skylarkmoor_core.errors import DocumentError, PlatformError
from skylarkmoor_operator.formatting import escape_unprintable
from skylarkmoor_operator.history import ConfigHistory
from skylarkmoor_operator.runner import ExitCode, print_error
from skylarkmoor_operator.validate import decode_document_with_all_faults
from skylarkmoor_policy.configurationchecks import (
    check_document,
    check_route_table,
    compare,
)
from skylarkmoor_policy.routetable import RouteTable

__all__ = [
    "DECODER_GROUP",
    "MAX_CONFIGURATION_BYTES",
    "ConfigurationDecoder",
    "check_against_log",
    "run_check",
]

# The platform adapter names its decoder in this group of entry points.
DECODER_GROUP = "skylarkmoor.configuration_decoder"
# The store's bound on a record.
MAX_CONFIGURATION_BYTES = 1_000_000

_BYTE_POSITION = re.compile(r"\(byte ([0-9]+)\)")

ConfigurationDecoder = Callable[[bytes], RouteTable]


def run_check(
    data: bytes,
    in_force: bytes | None = None,
    *,
    as_json: bool = False,
    memory_mb: int | None = None,
    decoder: ConfigurationDecoder | None = None,
) -> ExitCode:
    """Check a configuration or a document, and print its findings and differences.

    Parameters
    ----------
    in_force : bytes, optional
        What the differences are to.
    decoder : callable, optional
        Decodes a configuration of the platform; by default that of the installed adapter.

    Returns
    -------
    ExitCode
        `REFUSED` if there are findings, `INVALID` if something cannot be read.
    """
    try:
        after = _decode(data, decoder)
        before = None if in_force is None else _decode(in_force, decoder)
    except (DocumentError, ExceptionGroup) as error:
        faults = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
        for fault in faults:
            print_error(escape_unprintable(str(fault)))
        return ExitCode.INVALID
    if before is not None and type(before) is not type(after):
        print_error("a configuration and a service document cannot be compared")
        return ExitCode.INVALID
    if isinstance(after, ServiceDocument):
        findings = check_document(after)
    else:
        findings = check_route_table(after, memory_mb=memory_mb)
    changes = [] if before is None else compare(before, after)
    if as_json:
        output = {
            "findings": [asdict(each) for each in findings],
            "changes": [asdict(each) for each in changes],
        }
        click.echo(msgspec.json.format(msgspec.json.encode(output), indent=2).decode())
    else:
        for finding in findings:
            click.echo(escape_unprintable(f"{finding.path}: {finding.message} [{finding.check}]"))
        for change in changes:
            click.echo(escape_unprintable(f"{change.what}: {change.entry}"))
            for detail in change.details:
                click.echo(escape_unprintable(f"  {detail}"))
        if not findings:
            click.echo("no findings")
    return ExitCode.REFUSED if findings else ExitCode.SUCCESS


async def check_against_log(log: LogClient, data: bytes, *, as_json: bool = False) -> ExitCode:
    """Check a service document, and compare it with the accepted one of its service in the log.

    Returns
    -------
    ExitCode
        As `run_check`; `INVALID` also if the log cannot be read.
    """
    try:
        document = decode_document_with_all_faults(data)
    except ExceptionGroup:
        # Reports the faults.
        return run_check(data, as_json=as_json)
    history = ConfigHistory()
    try:
        await history.catch_up(log)
    except PlatformError as error:
        print_error(str(error))
        return ExitCode.INVALID
    accepted = history.accepted_document(document.service)
    in_force = None if accepted is None else encode_document(accepted.document)
    return run_check(data, in_force, as_json=as_json)


def _decode(data: bytes, decoder: ConfigurationDecoder | None) -> ServiceDocument | RouteTable:
    """Decode a service document, which names its service, or a configuration of the platform."""
    if len(data) > MAX_CONFIGURATION_BYTES:
        raise DocumentError(f"$: more than {MAX_CONFIGURATION_BYTES} bytes")
    try:
        value = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, RecursionError) as error:
        raise DocumentError(f"$: {error}{_line_of(data, str(error))}") from error
    if "service" in value:
        return decode_document_with_all_faults(data)
    return (decoder or _installed_decoder())(data)


def _line_of(data: bytes, message: str) -> str:
    """Return the line of a byte position that a message of the decoder names, if it names one."""
    found = _BYTE_POSITION.search(message)
    if found is None:
        return ""
    line = data.count(b"\n", 0, int(found[1])) + 1
    return f", line {line}"


def _installed_decoder() -> ConfigurationDecoder:
    found = list(entry_points(group=DECODER_GROUP))
    if not found:
        raise DocumentError("$: no service is named, and no adapter of a platform is installed")
    decoder: ConfigurationDecoder = found[0].load()
    return decoder
