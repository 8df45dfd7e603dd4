"""Guards the replay of documents against readers that disagree."""

import pytest

from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.records import DocumentCarried
from skylarkmoor_operator.replay import Accepted, DocumentFollower, Ignored, Rejected


def carry(publication, predecessor):
    published = publication(None)
    return DocumentCarried(
        service=published.service, document=published.document, predecessor=predecessor
    )


def test_first_of_two_racing_publications_wins(publication):
    follower = DocumentFollower()
    decisions = [
        follower.apply(0, publication(None)),
        follower.apply(1, publication(0, version="v2")),
        follower.apply(2, publication(0, version="v3")),
    ]
    assert [type(decision) for decision in decisions] == [Accepted, Accepted, Rejected]
    assert follower.current("assistant")[0] == 1


@pytest.mark.parametrize("base", [None, 0, 2])
def test_publication_on_another_base_is_rejected(publication, base):
    follower = DocumentFollower()
    follower.apply(0, publication(None))
    follower.apply(1, publication(0))
    assert isinstance(follower.apply(2, publication(base)), Rejected)


def test_publication_based_on_a_replaced_copy_is_rejected(publication):
    follower = DocumentFollower()
    follower.apply(0, publication(None))
    assert isinstance(follower.apply(1, carry(publication, 0)), Accepted)
    assert isinstance(follower.apply(2, publication(0)), Rejected)
    assert isinstance(follower.apply(3, carry(publication, 0)), Rejected)
    assert follower.current("assistant")[0] == 1


def test_invalid_document_is_rejected_with_its_faults(publication):
    follower = DocumentFollower()
    decision = follower.apply(0, publication(None, version="Not A Name"))
    assert isinstance(decision, Rejected)
    assert "$.version" in decision.reason


def test_undecodable_record_changes_nothing(publication):
    follower = DocumentFollower()
    follower.apply(0, publication(None))
    follower.apply(1, MessageError("not a record"))
    assert isinstance(follower.apply(2, publication(0)), Accepted)


def test_repeated_record_is_ignored(publication):
    follower = DocumentFollower()
    follower.apply(0, publication(None))
    assert isinstance(follower.apply(0, publication(None)), Ignored)


def test_reader_that_starts_after_retention_takes_the_carried_document(publication):
    follower = DocumentFollower()
    assert isinstance(follower.apply(7, carry(publication, 3)), Accepted)
    assert isinstance(follower.apply(8, publication(3)), Rejected)
    assert isinstance(follower.apply(9, publication(7)), Accepted)
