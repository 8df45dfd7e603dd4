"""Guards against documents that are compared with another version than the one in force."""

import pytest_twisted

from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.document import encode_document
from skylarkmoor_operator.check import check_against_log


@pytest_twisted.ensureDeferred
async def test_a_document_is_compared_with_the_accepted_one(
    log_url, fake_log, publication, make_document, capsys
):
    first = fake_log.add("config", publication(None))
    fake_log.add("config", publication(None, version="v9"))
    fake_log.add("config", publication(first, version="v2"))
    data = encode_document(make_document(version="v3"))
    assert await check_against_log(LogClient(log_url), data) == 0
    assert capsys.readouterr().out == "changed: version\n  'v2' -> 'v3'\nno findings\n"


@pytest_twisted.ensureDeferred
async def test_a_log_that_does_not_answer_cannot_be_read(make_document, capsys):
    data = encode_document(make_document())
    assert await check_against_log(LogClient("http://127.0.0.1:1"), data) == 2
    assert capsys.readouterr().err.startswith("error: ")
