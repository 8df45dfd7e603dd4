"""Guards against findings that `skylarkmoorctl check` misses, and inputs that stop it."""

import logging
from pathlib import Path

import pytest

from skylarkmoor_adapter.records import decode_configuration
from skylarkmoor_operator.check import MAX_CONFIGURATION_BYTES, run_check

EXAMPLES = Path(__file__).parents[2] / "examples"


def example(name):
    return (EXAMPLES / name).read_bytes()


def check(data, in_force=None, **options):
    return run_check(data, in_force, decoder=decode_configuration, **options)


@pytest.mark.parametrize("as_json", [False, True])
def test_each_check_of_a_configuration_finds_its_example(capsys, snapshot, as_json):
    in_force = example("check-in-force.json")
    status = check(example("check-configuration.json"), in_force, as_json=as_json, memory_mb=200)
    assert status == 1
    output = capsys.readouterr().out
    assert "k1" not in output
    assert output == snapshot


def test_each_check_of_a_document_finds_its_example(capsys, snapshot):
    assert check(example("check-document.json")) == 1
    assert capsys.readouterr().out == snapshot


@pytest.mark.parametrize("name", ["check-in-force.json", "assistant.json", "ordering.json"])
def test_what_is_right_has_no_findings(capsys, name):
    assert check(example(name), example(name)) == 0
    assert capsys.readouterr().out == "no findings\n"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"[" * 100_000,
        b'{"version": ' + b"[" * 100_000,
        b'{"service": ' + b"[" * 100_000,
        b'{"version": 1e999, "routes": []}',
        b'{"version": 99999999999999999999, "routes": []}',
        b'{"version": 1, "routes": [], "tenants": [{"name": "\\u001b[2J"}]}',
        b" " * (MAX_CONFIGURATION_BYTES + 1),
    ],
)
def test_an_input_that_cannot_be_read_is_an_error(capsys, data):
    assert check(data) == 2
    assert capsys.readouterr().err.startswith("error: ")


def test_an_error_of_the_syntax_names_its_line(capsys):
    assert check(b'{"version": 1,\n"routes": [,]}') == 2
    assert capsys.readouterr().err.endswith(", line 2\n")


def test_a_configuration_and_a_document_are_not_compared(capsys):
    assert check(example("check-in-force.json"), example("ordering.json")) == 2


def test_findings_are_logged_and_the_configuration_is_taken(make_harness, caplog):
    from skylarkmoor_adapter.followers import ConfigurationFollower
    from skylarkmoor_adapter.store import Store
    from skylarkmoor_core.logposition import LogPosition
    from skylarkmoor_core.settings import Address

    harness = make_harness()
    caplog.set_level(logging.WARNING)
    gateway = harness.gateway
    store = Store(Address("127.0.0.1", 9))
    follower = ConfigurationFollower(store, gateway, gateway.tasks, harness.clock)
    follower._apply_configuration(example("check-configuration.json"), LogPosition(0, 1))
    assert gateway.table.version == 4
    found = [each.check for each in caplog.records if hasattr(each, "check")]
    assert found.count("never-matches") == 2
