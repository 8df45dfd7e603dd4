"""Guards against schema changes that make the documents of the demonstration invalid."""

from pathlib import Path

import pytest

from skylarkmoor_core.document import decode_document

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("service", ["assistant", "ordering"])
def test_example_document_is_valid(service):
    document = decode_document((EXAMPLES / f"{service}.json").read_bytes())
    assert document.service == service
    assert len({customer.share for customer in document.customers}) > 2


def test_order_is_the_only_non_idempotent_route():
    document = decode_document((EXAMPLES / "ordering.json").read_bytes())
    assert [route.name for route in document.routes if not route.idempotent] == ["order"]
