"""Publishes a service document and finds out whether it was accepted."""

from collections.abc import Iterator
from dataclasses import dataclass

import click

from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.document import ServiceDocument
from skylarkmoor_core.errors import LogOutage, LogRateLimited, PlatformError
from skylarkmoor_core.ids import Offset
from skylarkmoor_core.records import DocumentPublished
from skylarkmoor_operator.history import CONFIG_STREAM, AcceptedDocument, ConfigHistory
from skylarkmoor_operator.runner import ExitCode, fail, pause, warn
from skylarkmoor_operator.text import printable, time_text
from skylarkmoor_operator.trail import write_audit
from skylarkmoor_policy.configuration import DocumentAccepted, DocumentRejected, RecordIgnored

__all__ = ["Base", "RetryLimits", "move_faults", "publish"]


@dataclass(frozen=True, slots=True)
class Base:
    """The accepted offset that the author expects; None if there should be no document yet."""

    offset: Offset | None


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """How long to go on trying.

    Attributes
    ----------
    resolve_ms : int
        Time to find out by reading what became of an append.
    pause_ms : int
        Pause between two tries.
    tries : int
        Number of times to send an append that the log certainly did not apply.
    """

    resolve_ms: int = 30_000
    pause_ms: int = 500
    tries: int = 5


def move_faults(document: ServiceDocument, wall_ms: int) -> Iterator[str]:
    """Yield the faults of the document's move that depend on the time of publishing.

    Notes
    -----
    They are no part of the rules of a valid document, which must come out the same for every
    reader at any time.
    """
    move = document.move
    if move is not None and move.by_ms <= wall_ms:
        yield f"$.move.by_ms: {move.by_ms} ({time_text(move.by_ms)}) has passed"


async def publish(
    log: LogClient,
    clock: Clock,
    document: ServiceDocument,
    *,
    author: str,
    reason: str = "",
    based_on: Base | None = None,
    retries: RetryLimits = RetryLimits(),
) -> ExitCode:
    """Publish `document`, which is valid, and print whether it was accepted.

    Parameters
    ----------
    based_on : Base, optional
        The document that this one replaces. Without it, the accepted offset is read
        from the log.

    Raises
    ------
    PlatformError
        If the log cannot be read before the append; nothing has been published then.
    """
    history = ConfigHistory()
    await history.catch_up(log)
    before = history.accepted(document.service)
    accepted = before.offset if before is not None else None
    # An accepted offset never returns, so a document based on another one cannot win any more.
    if based_on is not None and based_on.offset != accepted:
        base = "no document" if based_on.offset is None else f"offset {based_on.offset}"
        fail(f"not published: it is based on {base}; {_winner(document, before)}")
        return ExitCode.REFUSED
    _warn_if_short_of_time(document, clock.wall_ms())
    record = history.publication(document, author, reason)
    try:
        decision = await _append_and_read_back(log, clock, history, record, retries)
    except LogRateLimited as error:
        fail(f"not published: {error}")
        return ExitCode.UNAVAILABLE
    match decision:
        case DocumentAccepted(offset=offset):
            await _report_accepted(log, clock, history, record, before, offset)
            return ExitCode.DONE
        case DocumentRejected(reason=why):
            fail(f"refused: {why}; {_winner(document, history.accepted(document.service))}")
            return ExitCode.REFUSED
        case None:
            _report_unknown(record)
            return ExitCode.UNAVAILABLE


async def _append_and_read_back(
    log: LogClient,
    clock: Clock,
    history: ConfigHistory,
    record: DocumentPublished,
    retries: RetryLimits,
) -> DocumentAccepted | DocumentRejected | None:
    offset = await _append(log, record, retries)
    deadline_ms = clock.now_ms() + retries.resolve_ms
    while True:
        decision = await _next_decision(log, history, record, offset)
        if decision is not None or clock.now_ms() >= deadline_ms:
            return decision
        await pause(retries.pause_ms)


async def _append(log: LogClient, record: DocumentPublished, retries: RetryLimits) -> Offset | None:
    """Return the offset of the append, or None if its answer was lost."""
    for left in reversed(range(retries.tries)):
        try:
            return await log.append(CONFIG_STREAM, record)
        except LogOutage as error:
            warn(f"{error}; looking for it in the log")
            return None
        except LogRateLimited:
            if not left:
                raise
        await pause(retries.pause_ms)
    raise ValueError(f"tries must be positive, got {retries.tries}")


async def _next_decision(
    log: LogClient, history: ConfigHistory, record: DocumentPublished, offset: Offset | None
) -> DocumentAccepted | DocumentRejected | None:
    """Read on and return the decision on `record`, or None if it was not reached.

    Without an offset, the first equal record counts. If the same publication was sent twice,
    both records say the same, and the later one is refused.
    """
    try:
        while True:
            page = await log.read(CONFIG_STREAM, history.next_offset)
            if not page.records:
                return None
            for entry in page.records:
                decision = history.apply(entry)
                own = entry.offset == offset or (offset is None and entry.record == record)
                if own and not isinstance(decision, RecordIgnored):
                    return decision
    except PlatformError:
        return None


async def _report_accepted(
    log: LogClient,
    clock: Clock,
    history: ConfigHistory,
    record: DocumentPublished,
    before: AcceptedDocument | None,
    offset: Offset,
) -> None:
    after = history.accepted(record.service)
    click.echo(f"accepted: service {record.service} at offset {offset}")
    if before is None:
        click.echo(f"this is the first document of service {record.service}")
    await write_audit(
        log,
        clock,
        who=record.author,
        what=f"publish {record.service}" + (f": {record.reason}" if record.reason else ""),
        before=before.summary() if before is not None else "none",
        after=after.summary() if after is not None else f"offset {offset}",
        stream=CONFIG_STREAM,
        offset=offset,
    )


def _report_unknown(record: DocumentPublished) -> None:
    base = "none" if record.based_on is None else str(record.based_on)
    fail(
        "unknown: the log did not show what became of the publication. Look with "
        f"'skylarkmoorctl show {record.service}'. To publish again, add "
        f"'--based-on {base}': at most one of the two can be accepted."
    )


def _winner(document: ServiceDocument, held: AcceptedDocument | None) -> str:
    if held is None:
        return f"service {document.service} has no accepted document"
    author = printable(held.author) or "an author no longer in the log"
    return f"the accepted document is at {held.summary()}, published by {author}"


def _warn_if_short_of_time(document: ServiceDocument, wall_ms: int) -> None:
    move = document.move
    if move is None:
        return
    needed_ms = move.step_ms * len(move.steps_percent)
    if wall_ms + needed_ms > move.by_ms:
        warn(
            f"the move's steps take at least {needed_ms} ms, but only "
            f"{move.by_ms - wall_ms} ms are left; it will be rolled back if it becomes late"
        )
