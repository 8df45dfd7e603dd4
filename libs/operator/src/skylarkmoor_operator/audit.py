"""The command ``skylarkmoor-audit``: prints the audit trail."""

from collections.abc import Iterator

import click
import msgspec

from skylarkmoor_clients.httpclient import parse_base_url
from skylarkmoor_clients.logservice import LogClient, LogEntry
from skylarkmoor_core.ids import Offset
from skylarkmoor_core.records import AuditEntry
from skylarkmoor_operator.auditrecords import AUDIT_STREAM
from skylarkmoor_operator.formatting import escape_unprintable, format_utc_time
from skylarkmoor_operator.history import read_to_end
from skylarkmoor_operator.runner import ExitCode, check_settings, print_warning, run_command

__all__ = ["main", "matches_filters", "print_audit_records"]


class _JsonLine(msgspec.Struct, frozen=True, rename={"before": "from", "after": "to"}):
    """An audit record as one line of JSON output.

    `offset` is the offset of the change in `stream`; `audit_offset` that of the audit record.
    """

    time: str
    at_ms: int
    who: str
    what: str
    before: str
    after: str
    stream: str
    offset: Offset | None
    audit_offset: Offset


def matches_filters(entry: AuditEntry, service: str | None, who: str | None) -> bool:
    """Return whether `entry` matches the filters that are not None.

    Examples
    --------
    >>> entry = AuditEntry(who="mair", what="publish orders: for assistant", before="", after="",
    ...                    at_ms=0)
    >>> matches_filters(entry, "orders", None), matches_filters(entry, "assistant", None)
    (True, False)
    """
    if who is not None and entry.who != who:
        return False
    # The subject is before the colon; the reason after it may mention other services. A move id
    # is the service, "@" and the offset of the document that requests the move.
    words = entry.what.partition(":")[0].split()
    return service is None or service in {word.partition("@")[0] for word in words}


async def print_audit_records(
    log: LogClient, *, service: str | None = None, who: str | None = None, as_json: bool = False
) -> ExitCode:
    """Print the matching audit records, oldest first, as text or JSON lines.

    Raises
    ------
    PlatformError
        If the log does not respond.
    """
    async for entry in read_to_end(log, AUDIT_STREAM):
        if not isinstance(entry.record, AuditEntry):
            print_warning(
                f"the record at offset {entry.offset} is not an audit record {entry.error}".rstrip()
            )
        elif matches_filters(entry.record, service, who):
            click.echo(_format_json(entry, entry.record) if as_json else _format_text(entry.record))
    return ExitCode.SUCCESS


def _format_json(entry: LogEntry, record: AuditEntry) -> bytes:
    return msgspec.json.encode(
        _JsonLine(
            time=format_utc_time(record.at_ms),
            at_ms=record.at_ms,
            who=record.who,
            what=record.what,
            before=record.before,
            after=record.after,
            stream=record.stream,
            offset=record.offset,
            audit_offset=entry.offset,
        )
    )


def _format_text(record: AuditEntry) -> str:
    return escape_unprintable("; ".join(_text_parts(record)))


def _text_parts(record: AuditEntry) -> Iterator[str]:
    yield f"{format_utc_time(record.at_ms)} {record.who}"
    yield record.what
    yield f"from {record.before or 'none'}"
    yield f"to {record.after or 'none'}"
    if record.offset is not None:
        yield f"{record.stream} offset {record.offset}"


@click.command(
    epilog="""\b
Exit status:
  0  the trail was printed
  2  an option is invalid
  3  the log did not answer

\b
Examples:
  skylarkmoor-audit --log-url http://127.0.0.1:7000 --service assistant
  skylarkmoor-audit --who mair --json
"""
)
@click.option(
    "--log-url",
    envvar="SKYLARKMOOR_LOG_URL",
    show_envvar=True,
    default="",
    metavar="URL",
    help="Base URL of the log service, such as http://127.0.0.1:7000.",
)
@click.option("--service", metavar="NAME", help="Only changes of this service.")
@click.option("--who", metavar="NAME", help="Only changes made by this author or host.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object a line.")
def main(log_url: str, service: str | None, who: str | None, as_json: bool) -> None:
    """Print who changed what, from what, to what, when and at which log offset."""
    check_settings([("--log-url", lambda: parse_base_url(log_url))])
    run_command(
        lambda: print_audit_records(LogClient(log_url), service=service, who=who, as_json=as_json)
    )
