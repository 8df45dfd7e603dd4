"""Guards against accepting other documents than the other readers of the log accept."""

import pytest

from skylarkmoor_clients.logservice import LogEntry
from skylarkmoor_core.records import DocumentCarried
from skylarkmoor_operator.history import ConfigHistory
from skylarkmoor_policy.configuration import DocumentAccepted, DocumentRejected, RecordIgnored


def apply(history, offset, record):
    return history.apply_entry(LogEntry(offset, 0, record))


def carried_copy(publication, predecessor):
    published = publication(None)
    return DocumentCarried(
        service=published.service, document=published.document, predecessor=predecessor
    )


def test_first_of_two_concurrent_publications_is_accepted(publication):
    history = ConfigHistory()
    decisions = [
        apply(history, 0, publication(None)),
        apply(history, 1, publication(0, version="v2")),
        apply(history, 2, publication(0, version="v3")),
    ]
    assert [type(decision) for decision in decisions] == [
        DocumentAccepted,
        DocumentAccepted,
        DocumentRejected,
    ]
    assert history.accepted_document("assistant").offset == 1


@pytest.mark.parametrize("base", [None, 0, 2])
def test_publication_based_on_another_offset_is_rejected(publication, base):
    history = ConfigHistory()
    apply(history, 0, publication(None))
    apply(history, 1, publication(0))
    assert isinstance(apply(history, 2, publication(base)), DocumentRejected)


def test_publication_based_on_an_offset_replaced_by_a_carried_copy_is_rejected(publication):
    history = ConfigHistory()
    apply(history, 0, publication(None))
    assert isinstance(apply(history, 1, carried_copy(publication, 0)), DocumentAccepted)
    assert isinstance(apply(history, 2, publication(0)), DocumentRejected)
    assert isinstance(apply(history, 3, carried_copy(publication, 0)), DocumentRejected)
    assert history.accepted_document("assistant").offset == 1


def test_invalid_document_is_rejected_with_its_faults(publication):
    history = ConfigHistory()
    decision = apply(history, 0, publication(None, version="Not A Name"))
    assert isinstance(decision, DocumentRejected)
    assert "$.version" in decision.reason


def test_undecodable_record_changes_nothing(publication):
    history = ConfigHistory()
    apply(history, 0, publication(None))
    history.apply_entry(LogEntry(1, 0, None, "not a record"))
    assert isinstance(apply(history, 2, publication(0)), DocumentAccepted)


def test_repeated_record_is_ignored(publication):
    history = ConfigHistory()
    apply(history, 0, publication(None))
    assert isinstance(apply(history, 0, publication(None)), RecordIgnored)


def test_carried_copy_is_accepted_if_its_predecessor_is_no_longer_retained(publication):
    history = ConfigHistory()
    assert isinstance(apply(history, 7, carried_copy(publication, 3)), DocumentAccepted)
    assert isinstance(apply(history, 8, publication(3)), DocumentRejected)
    assert isinstance(apply(history, 9, publication(7)), DocumentAccepted)
