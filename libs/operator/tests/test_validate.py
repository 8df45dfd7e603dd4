"""Guards validation against reporting only the first fault."""

import json

import pytest
from click.testing import CliRunner

from skylarkmoor_core.document import encode_document
from skylarkmoor_operator.main import main
from skylarkmoor_operator.validate import decode_document_with_all_faults


def faults_of(data):
    with pytest.raises(ExceptionGroup) as caught:
        decode_document_with_all_faults(data)
    return [str(fault) for fault in caught.value.exceptions]


def test_every_field_fault_is_reported_with_its_path(make_document):
    value = json.loads(encode_document(make_document(move_to="v2")))
    value["tiers"][0]["rank"] = "high"
    value["routes"].append({"name": "plan", "tier": 3, "speed": 1})
    value["move"]["steps_percent"] = [1, "many", 100]
    value["kind"] = "motor"
    del value["version"]
    assert faults_of(json.dumps(value).encode()) == [
        "$.kind: Invalid enum value 'motor'",
        "$.tiers[0].rank: Expected `int`, got `str`",
        "$.routes[1].speed: no such field",
        "$.routes[1].tier: Expected `str`, got `int`",
        "$.version: missing",
        "$.move.steps_percent[1]: Expected `int`, got `str`",
    ]


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"{", "$: Input data was truncated"),
        (
            b'{"x":' + b"[" * 9_000,
            "$: maximum recursion depth exceeded while deserializing an object",
        ),
        (b"[]", "$: Expected `object`, got `array`"),
        (b" " * 1_000_001, "$: 1000001 bytes exceed the limit of 1000000 bytes"),
    ],
)
def test_data_that_is_not_a_document_has_one_fault(data, fault):
    assert faults_of(data) == [fault]


def test_every_violated_rule_is_printed_and_the_exit_code_is_2(make_document):
    value = json.loads(encode_document(make_document()))
    value["version"] = "Not A Name"
    value["routes"][0]["tier"] = "bottom"
    value["customers"][0]["share"] = 0
    result = CliRunner().invoke(main, ["validate", "-"], input=json.dumps(value))
    assert result.exit_code == 2
    paths = [line.split(": ")[1] for line in result.stderr.splitlines()]
    assert paths == ["$.version", "$.routes[0].tier", "$.customers[0].share"]


def test_valid_document_has_exit_code_0(make_document):
    data = encode_document(make_document(move_to="v2"))
    result = CliRunner().invoke(main, ["validate", "-"], input=data)
    assert (result.exit_code, result.output) == (0, "valid: service assistant, version v1\n")
