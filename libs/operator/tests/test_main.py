"""Guards against unreported invalid settings, wrong exit codes and failures at startup."""

import os
import sys

import pytest
import pytest_twisted
from click.testing import CliRunner
from twisted.internet.utils import getProcessOutputAndValue

from skylarkmoor_core.document import encode_document
from skylarkmoor_operator import audit
from skylarkmoor_operator.main import main


@pytest.mark.parametrize(
    ("arguments", "faults"),
    [
        (["show"], ["--log-url", "--hosts-url"]),
        (["--log-url", "http://nowhere:1", "--hosts-url", "ftp://127.0.0.1:1", "show"], 2),
        (["publish", "-", "--author", " "], ["--log-url", "--author"]),
        (["moves"], ["--log-url"]),
        (["--log-url", "x", "drain", "nadi-1"], ["--hosts-url", "--log-url"]),
    ],
)
def test_all_invalid_settings_are_reported_at_once(arguments, faults):
    result = CliRunner(env={}).invoke(main, arguments, input="")
    lines = result.stderr.splitlines()
    assert result.exit_code == 2
    if isinstance(faults, int):
        assert len(lines) == faults
    else:
        assert [line.split(": ")[1] for line in lines] == faults


def test_audit_reports_an_invalid_setting():
    result = CliRunner(env={}).invoke(audit.main, [])
    assert (result.exit_code, result.stderr.partition("''")[0]) == (2, "error: --log-url: ")


def test_settings_come_from_the_environment():
    env = {"SKYLARKMOOR_LOG_URL": "http://127.0.0.1:0", "SKYLARKMOOR_HOSTS_URL": "x"}
    result = CliRunner(env=env).invoke(main, ["show"])
    assert "'http://127.0.0.1:0' has port 0" in result.stderr
    assert "'x' does not have the form" in result.stderr


@pytest.mark.parametrize("text", ["x", "-1", "1.5", ""])
def test_based_on_value_that_is_not_an_offset_is_rejected(text):
    arguments = ["publish", "-", "--author", "mair", "--based-on", text]
    result = CliRunner(env={}).invoke(main, arguments, input="")
    assert result.exit_code == 2
    assert "neither an offset nor 'none'" in result.stderr


@pytest.mark.parametrize("name", ["validate", "publish", "show", "moves", "drain"])
def test_help_has_examples(name):
    result = CliRunner().invoke(main, [name, "--help"])
    assert (result.exit_code, "Examples:" in result.output) == (0, True)


async def run_process(module, arguments, env):
    """Run a command as its own process and return its exit code and output."""
    code = f"from skylarkmoor_operator.{module} import main; main()"
    out, err, status = await getProcessOutputAndValue(
        sys.executable,
        ["-c", code, *arguments],
        env={"PYTHONPATH": os.pathsep.join(sys.path), **env},
    )
    return status, out.decode(), err.decode()


@pytest_twisted.ensureDeferred
async def test_publish_and_audit_run_as_processes(log_url, make_document, tmp_path):
    file = tmp_path / "assistant.json"
    file.write_bytes(encode_document(make_document()))
    env = {"SKYLARKMOOR_LOG_URL": log_url}
    publish = ["publish", str(file), "--author", "mair"]
    assert await run_process("main", publish, env) == (
        0,
        "accepted: service assistant at offset 0\n"
        "this is the first document of service assistant\n",
        "",
    )
    status, _, err = await run_process("main", [*publish, "--based-on", "none"], env)
    assert (status, "published by mair" in err) == (1, True)
    status, out, err = await run_process("audit", ["--service", "assistant"], env)
    assert (status, out.count("\n"), err) == (0, 1, "")


@pytest_twisted.ensureDeferred
async def test_unreachable_log_gives_exit_code_3_and_an_error():
    env = {"SKYLARKMOOR_LOG_URL": "http://127.0.0.1:1"}
    status, out, err = await run_process("main", ["moves"], env)
    assert (status, out) == (3, "")
    assert err.startswith("error: read of 'moves' failed")
