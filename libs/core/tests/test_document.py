"""Guards against accepted invalid documents and errors that lack a path or go unreported."""

import json

import msgspec
import pytest

from skylarkmoor_core.document import (
    Limits,
    ServiceKind,
    Tier,
    VersionMove,
    decode_document,
    encode_document,
    validate_document,
)
from skylarkmoor_core.errors import DocumentError

MINIMAL_DOCUMENT = {
    "service": "assistant",
    "kind": "engine",
    "tiers": [{"name": "top", "rank": 0}, {"name": "low", "rank": 1}],
    "routes": [{"name": "chat", "tier": "top"}],
    "customers": [{"name": "depots"}],
    "version": "v1",
    "move": {"version": "v2", "by_ms": 90_000},
}


def document_with(path, value):
    """Return the minimal document as JSON with the value at `path` replaced."""
    document = json.loads(json.dumps(MINIMAL_DOCUMENT))
    container = document
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return json.dumps(document).encode()


def validation_errors(data):
    with pytest.raises(ExceptionGroup) as caught:
        decode_document(data)
    assert all(isinstance(error, DocumentError) for error in caught.value.exceptions)
    return [str(error) for error in caught.value.exceptions]


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (["service"], "Top", "$.service: 'Top' is not a valid name"),
        (["service"], "a" * 64, f"$.service: '{'a' * 64}' is not a valid name"),
        (["version"], "", "$.version: '' is not a valid name"),
        (["customers", 0, "name"], "a b", "$.customers[0].name: 'a b' is not a valid name"),
        (["customers"], [], "$.customers: at least one is needed"),
        (["routes"], [], "$.routes: at least one is needed"),
        (["customers"], [{"name": "a"}] * 2, "$.customers[1].name: 'a' stands twice"),
        (["routes"], [MINIMAL_DOCUMENT["routes"][0]] * 2, "$.routes[1].name: 'chat' stands twice"),
        (["routes", 0, "tier"], "mid", "$.routes[0].tier: no tier is called 'mid'"),
        (
            ["routes", 0, "idempotent"],
            False,
            "$.routes[0].idempotent: engine routes must be idempotent",
        ),
        (["tiers", 1, "rank"], 2, "$.tiers: ranks must be 0, 1, 2 and so on, got [0, 2]"),
        (["tiers", 1, "rank"], 0, "$.tiers: ranks must be 0, 1, 2 and so on, got [0, 0]"),
        (["tiers", 0, "first_token_ms"], 0, "$.tiers[0].first_token_ms: must be positive, got 0"),
        (["routes", 0, "deadline_ms"], -1, "$.routes[0].deadline_ms: must be positive, got -1"),
        (["customers", 0, "share"], 0, "$.customers[0].share: must be positive, got 0"),
        (["limits"], {"max_waiting": 0}, "$.limits.max_waiting: must be positive, got 0"),
        (["move", "by_ms"], 0, "$.move.by_ms: must be positive, got 0"),
        (["move", "version"], "v1", "$.move.version: 'v1' is already the version in service"),
        (
            ["move", "comparison_percent"],
            100,
            "$.move.comparison_percent: must be below 100, got 100",
        ),
        (
            ["move", "steps_percent"],
            [1, 50],
            "$.move.steps_percent: the last step must be 100, got [1, 50]",
        ),
        (
            ["move", "steps_percent"],
            [],
            "$.move.steps_percent: the last step must be 100, got []",
        ),
        (
            ["move", "steps_percent"],
            [5, 5, 100],
            "$.move.steps_percent: steps must rise from 1 to 100, got [5, 5, 100]",
        ),
        (
            ["move", "steps_percent"],
            [0, 100],
            "$.move.steps_percent: steps must rise from 1 to 100, got [0, 100]",
        ),
    ],
)
def test_violated_rule_is_reported_with_its_path(path, value, expected):
    assert validation_errors(document_with(path, value)) == [expected]


def test_all_violated_rules_are_reported_together():
    data = json.loads(document_with(["version"], "V"))
    data["routes"][0]["tier"] = "mid"
    data["customers"][0]["max_waiting"] = 0
    data["move"]["steps_percent"] = [5, 1]
    paths = [error.partition(":")[0] for error in validation_errors(json.dumps(data).encode())]
    assert paths == [
        "$.version",
        "$.routes[0].tier",
        "$.customers[0].max_waiting",
        "$.move.steps_percent",
        "$.move.steps_percent",
    ]


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", "Input data was truncated"),
        (b"[]", "Expected `object`, got `array`"),
        (b'{"service": "\xff"}', "Invalid UTF-8 encoded string"),
        (b'{"x":' * 9_000, "Object contains unknown field `x`"),
        (document_with(["speed"], 1), "Object contains unknown field `speed`"),
        (
            document_with(["customers", 0, "limit"], 1),
            "Object contains unknown field `limit` - at `$.customers[0]`",
        ),
        (document_with(["kind"], "motor"), "Invalid enum value 'motor' - at `$.kind`"),
        (
            document_with(["tiers", 0, "rank"], "1"),
            "Expected `int`, got `str` - at `$.tiers[0].rank`",
        ),
        (
            document_with(["tiers", 0, "rank"], True),
            "Expected `int`, got `bool` - at `$.tiers[0].rank`",
        ),
    ],
)
def test_data_that_does_not_match_the_schema_is_rejected(data, expected):
    with pytest.raises(DocumentError) as caught:
        decode_document(data)
    assert str(caught.value) == f"$: {expected}"


def test_round_trip_preserves_defaults_and_every_field():
    document = decode_document(json.dumps(MINIMAL_DOCUMENT).encode())
    assert document.kind is ServiceKind.ENGINE
    assert document.limits == Limits()
    assert document.move == VersionMove(version="v2", by_ms=90_000)
    assert decode_document(encode_document(document)) == document


def test_plain_service_may_have_non_idempotent_routes():
    document = msgspec.structs.replace(
        decode_document(document_with(["routes", 0, "idempotent"], True)), kind=ServiceKind.PLAIN
    )
    route = msgspec.structs.replace(document.routes[0], idempotent=False)
    validate_document(msgspec.structs.replace(document, routes=(route,)))


def test_lookup_by_name_returns_the_item_or_none():
    document = decode_document(json.dumps(MINIMAL_DOCUMENT).encode())
    assert document.tier("low") == Tier(name="low", rank=1)
    assert document.route("chat").tier == "top"
    assert document.customer("depots").share == 1
    assert (document.tier("x"), document.route("x"), document.customer("x")) == (None, None, None)
