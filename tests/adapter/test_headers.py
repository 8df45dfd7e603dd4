"""Guards against leaked keys and hop-by-hop headers, and misread numbers, keys and statuses."""

import pytest

from skylarkmoor_adapter.headers import HeaderCodec
from skylarkmoor_gateway.errors import MalformedRequest
from skylarkmoor_gateway.messages import AttemptContext
from skylarkmoor_policy.upstreamnotices import AnswerNotices, NoticeKind

CODEC = HeaderCodec()


def decode(*headers):
    base = [(b"Host", b"a.example"), (b"Skylarkmoor-Request-Id", b"r1")]
    return CODEC.decode_request(b"GET", b"/x", [*base, *headers], b"")


def test_decodes_token_counts_and_length_hint():
    decoded = decode((b"Skylarkmoor-Token-Counts", b"1460,80"), (b"Skylarkmoor-Length-Hint", b"33"))
    assert (decoded.prompt_tokens, decoded.max_output_tokens, decoded.expected_output_tokens) == (
        1460,
        80,
        33,
    )
    assert decoded.quota_tokens == 1540


def test_headers_named_by_connection_are_not_forwarded():
    decoded = decode((b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"X-End", b"2"))
    assert (b"X-End", b"2") in decoded.headers
    assert not any(name.lower() in (b"x-hop", b"connection") for name, _ in decoded.headers)


@pytest.mark.parametrize(
    "header",
    [
        (b"Skylarkmoor-Token-Counts", b"many,80"),
        (b"Skylarkmoor-Deadline-Ms", b"-1"),
        (b"Skylarkmoor-Deadline-Ms", b"nan"),
        (b"Skylarkmoor-Deadline-Ms", b"inf"),
    ],
)
def test_rejects_invalid_numbers_and_names_the_value(header):
    with pytest.raises(MalformedRequest, match=header[1].split(b",")[0].decode()):
        decode(header)


@pytest.mark.parametrize(
    ("value", "key"), [(b"Token k1", "k1"), (b"token  k1 ", "k1"), (b"Bearer k1", None)]
)
def test_decodes_api_keys(value, key):
    assert decode((b"Authorization", value)).api_key == key


def test_an_attempt_names_its_upstream_and_customer():
    request = decode((b"Last-Event-Id", b"4"), (b"Authorization", b"Token k1"))
    headers = dict(CODEC.encode_request(request, AttemptContext("e1", 900, "depots", b"7")))
    assert headers[b"Skylarkmoor-Expect-Instance"] == b"e1"
    assert headers[b"Skylarkmoor-Tenant"] == b"depots"
    assert headers[b"Last-Event-Id"] == b"7"
    assert b"Authorization" not in headers


def answer(status, *headers):
    return CODEC.decode_response(status, list(headers))


def test_decodes_execution_status_and_signature():
    """If misread, a request that has run is repeated, or one that has not run fails."""
    assert answer(503, (b"Skylarkmoor-Not-Executed", b"1")).not_run
    assert answer(421).not_run
    assert answer(421).instance_replaced
    assert not answer(503).not_run
    assert answer(200, (b"skylarkmoor-response-seal", b"s")).has_signature


def test_decodes_content_length_and_keep_alive():
    decoded = answer(
        200,
        (b"Content-Length", b"12"),
        (b"Keep-Alive", b"max=5, timeout=7"),
    )
    assert (decoded.content_length, decoded.keep_alive_ms) == (12, 7_000)
    assert answer(200, (b"Keep-Alive", b"timeout=x")).keep_alive_ms is None


NOTICES = [
    ({}, AnswerNotices()),
    ({"Server-Leaving": "1"}, AnswerNotices(leaving=True)),
    ({"skylarkmoor-server-leaving": " 1 "}, AnswerNotices(leaving=True)),
    ({"Server-Leaving": "0"}, AnswerNotices(invalid=((NoticeKind.LEAVING, "0"),))),
    ({"Server-Leaving": "true"}, AnswerNotices(invalid=((NoticeKind.LEAVING, "true"),))),
    ({"Server-Limit": "2.5"}, AnswerNotices(max_requests_per_s=2.5)),
    ({"Skylarkmoor-Server-Limit": "0"}, AnswerNotices(max_requests_per_s=0.0)),
    ({"Server-Limit": "-1"}, AnswerNotices(invalid=((NoticeKind.LIMIT, "-1"),))),
    ({"Server-Limit": "1e3"}, AnswerNotices(invalid=((NoticeKind.LIMIT, "1e3"),))),
    ({"Server-Limit": "nan"}, AnswerNotices(invalid=((NoticeKind.LIMIT, "nan"),))),
    ({"Server-Limit": "9" * 400}, AnswerNotices(invalid=((NoticeKind.LIMIT, "9" * 400),))),
    ({"Server-Brittle": "1.5"}, AnswerNotices(max_refusals_per_s=1.5)),
    ({"skylarkmoor-server-brittle": "0"}, AnswerNotices(max_refusals_per_s=0.0)),
    ({"Server-Brittle": "few"}, AnswerNotices(invalid=((NoticeKind.BRITTLE, "few"),))),
    ({"Server-Brittle": "-2"}, AnswerNotices(invalid=((NoticeKind.BRITTLE, "-2"),))),
    (
        {"Server-Limit": "3", "Server-Brittle": "2"},
        AnswerNotices(max_requests_per_s=3.0, max_refusals_per_s=2.0),
    ),
    ({"Retry-After": "0.25"}, AnswerNotices(retry_after_ms=250)),
    ({"Retry-After": "999999999"}, AnswerNotices(retry_after_ms=3_600_000)),
    (
        {"Retry-After": "Sat, 05 Dec 2026 00:00:00 GMT"},
        AnswerNotices(invalid=((NoticeKind.RETRY_AFTER, "Sat, 05 Dec 2026 00:00:00 GMT"),)),
    ),
]


@pytest.mark.parametrize(("values", "expected"), NOTICES)
def test_notices_of_an_upstream_are_decoded_from_its_answer(values, expected):
    headers = [(name.encode(), value.encode()) for name, value in values.items()]
    assert CODEC.decode_response(503, headers).notices == expected


def test_only_a_503_asks_for_a_pause():
    headers = [(b"Retry-After", b"3")]
    assert CODEC.decode_response(429, headers).notices == AnswerNotices()


def test_a_notice_that_is_repeated_with_another_value_cannot_be_read():
    headers = [(b"Server-Limit", b"2"), (b"Skylarkmoor-Server-Limit", b"3")]
    invalid = ((NoticeKind.LIMIT, "2, 3"),)
    assert CODEC.decode_response(200, headers).notices == AnswerNotices(invalid=invalid)
