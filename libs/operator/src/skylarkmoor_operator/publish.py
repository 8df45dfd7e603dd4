"""Publishes a service document and determines from the log whether it was accepted."""

from collections.abc import Iterator
from dataclasses import dataclass

import click

from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.document import ServiceDocument
from skylarkmoor_core.errors import LogOutage, LogRateLimited, PlatformError
from skylarkmoor_core.ids import Offset
from skylarkmoor_core.records import DocumentPublished
from skylarkmoor_operator.auditrecords import append_audit_record
from skylarkmoor_operator.formatting import escape_unprintable, format_utc_time
from skylarkmoor_operator.history import CONFIG_STREAM, AcceptedDocument, ConfigHistory
from skylarkmoor_operator.runner import ExitCode, print_error, print_warning, sleep_ms
from skylarkmoor_policy.configuration import DocumentAccepted, DocumentRejected, RecordIgnored

__all__ = ["ExpectedOffset", "PublishRetryPolicy", "move_deadline_faults", "publish"]


@dataclass(frozen=True, slots=True)
class ExpectedOffset:
    """Offset of the document that the author expects to replace; None if there is none yet."""

    offset: Offset | None


@dataclass(frozen=True, slots=True)
class PublishRetryPolicy:
    """Bounds on repeating an append and on waiting for its outcome.

    Attributes
    ----------
    decision_timeout_ms : int
        Maximum time to read the log for the outcome of an append.
    retry_delay_ms : int
        Delay between two attempts to append or to read.
    max_attempts : int
        Maximum number of times to send an append that the log is known not to have applied.
    """

    decision_timeout_ms: int = 30_000
    retry_delay_ms: int = 500
    max_attempts: int = 5


def move_deadline_faults(document: ServiceDocument, wall_ms: int) -> Iterator[str]:
    """Yield the faults of the document's move that depend on the publication time.

    Notes
    -----
    They are not part of document validation, whose result must be the same for every reader at
    any time.
    """
    move = document.move
    if move is not None and move.by_ms <= wall_ms:
        yield f"$.move.by_ms: {move.by_ms} ({format_utc_time(move.by_ms)}) has passed"


async def publish(
    log: LogClient,
    clock: Clock,
    document: ServiceDocument,
    *,
    author: str,
    reason: str = "",
    based_on: ExpectedOffset | None = None,
    retries: PublishRetryPolicy = PublishRetryPolicy(),
) -> ExitCode:
    """Publish the validated `document` and print whether it was accepted.

    Parameters
    ----------
    based_on : ExpectedOffset, optional
        Expected offset of the document to replace. By default, the accepted offset is read
        from the log.

    Raises
    ------
    PlatformError
        If the log cannot be read before the append; nothing is published in that case.
    """
    history = ConfigHistory()
    await history.catch_up(log)
    before = history.accepted_document(document.service)
    accepted_offset = before.offset if before is not None else None
    # A replaced offset never becomes current again, so a document based on any other offset than
    # the current one cannot be accepted.
    if based_on is not None and based_on.offset != accepted_offset:
        base = "no document" if based_on.offset is None else f"offset {based_on.offset}"
        print_error(f"not published: it is based on {base}; {_describe_accepted(document, before)}")
        return ExitCode.REFUSED
    _warn_if_deadline_too_close(document, clock.wall_ms())
    record = history.publish_record(document, author, reason)
    try:
        decision = await _append_and_await_decision(log, clock, history, record, retries)
    except LogRateLimited as error:
        print_error(f"not published: {error}")
        return ExitCode.UNAVAILABLE
    match decision:
        case DocumentAccepted(offset=offset):
            await _report_accepted(log, clock, history, record, before, offset)
            return ExitCode.SUCCESS
        case DocumentRejected(reason=rejection_reason):
            print_error(
                f"refused: {rejection_reason}; "
                f"{_describe_accepted(document, history.accepted_document(document.service))}"
            )
            return ExitCode.REFUSED
        case None:
            _report_unknown_outcome(record)
            return ExitCode.UNAVAILABLE


async def _append_and_await_decision(
    log: LogClient,
    clock: Clock,
    history: ConfigHistory,
    record: DocumentPublished,
    retries: PublishRetryPolicy,
) -> DocumentAccepted | DocumentRejected | None:
    offset = await _append(log, record, retries)
    deadline_ms = clock.now_ms() + retries.decision_timeout_ms
    while True:
        decision = await _read_decision(log, history, record, offset)
        if decision is not None or clock.now_ms() >= deadline_ms:
            return decision
        await sleep_ms(retries.retry_delay_ms)


async def _append(
    log: LogClient, record: DocumentPublished, retries: PublishRetryPolicy
) -> Offset | None:
    """Return the offset of the append, or None if its outcome is unknown."""
    for attempts_left in reversed(range(retries.max_attempts)):
        try:
            return await log.append(CONFIG_STREAM, record)
        except LogOutage as error:
            print_warning(f"{error}; searching the log for the record")
            return None
        except LogRateLimited:
            if not attempts_left:
                raise
        await sleep_ms(retries.retry_delay_ms)
    raise ValueError(f"max_attempts must be positive, got {retries.max_attempts}")


async def _read_decision(
    log: LogClient, history: ConfigHistory, record: DocumentPublished, offset: Offset | None
) -> DocumentAccepted | DocumentRejected | None:
    """Continue reading and return the decision on `record`, or None if it is not found.

    Without an offset, the first equal record is used. If the same publication was sent twice,
    the two records are equal and the later one is rejected.
    """
    try:
        while True:
            page = await log.read(CONFIG_STREAM, history.next_offset)
            if not page.records:
                return None
            for entry in page.records:
                decision = history.apply_entry(entry)
                is_own_record = entry.offset == offset or (
                    offset is None and entry.record == record
                )
                if is_own_record and not isinstance(decision, RecordIgnored):
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
    after = history.accepted_document(record.service)
    click.echo(f"accepted: service {record.service} at offset {offset}")
    if before is None:
        click.echo(f"this is the first document of service {record.service}")
    await append_audit_record(
        log,
        clock,
        who=record.author,
        what=f"publish {record.service}" + (f": {record.reason}" if record.reason else ""),
        before=before.summary() if before is not None else "none",
        after=after.summary() if after is not None else f"offset {offset}",
        stream=CONFIG_STREAM,
        offset=offset,
    )


def _report_unknown_outcome(record: DocumentPublished) -> None:
    base = "none" if record.based_on is None else str(record.based_on)
    print_error(
        "unknown: the log did not show whether the publication was accepted. Check with "
        f"'skylarkmoorctl show {record.service}'. To publish again, add "
        f"'--based-on {base}': at most one of the two publications can be accepted."
    )


def _describe_accepted(
    document: ServiceDocument, accepted_document: AcceptedDocument | None
) -> str:
    if accepted_document is None:
        return f"service {document.service} has no accepted document"
    author = (
        escape_unprintable(accepted_document.author)
        or "an unknown author (the publication is no longer in the log)"
    )
    return f"the accepted document is at {accepted_document.summary()}, published by {author}"


def _warn_if_deadline_too_close(document: ServiceDocument, wall_ms: int) -> None:
    move = document.move
    if move is None:
        return
    needed_ms = move.step_ms * len(move.steps_percent)
    if wall_ms + needed_ms > move.by_ms:
        print_warning(
            f"the move's steps take at least {needed_ms} ms, but only "
            f"{move.by_ms - wall_ms} ms are left until its deadline; "
            "a move that misses its deadline is rolled back"
        )
