"""Guards against pages that differ from the options, variables and error codes of the daemon."""

import re
from pathlib import Path

from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_core.settings import ENV_PREFIX
from skylarkmoor_daemon.main import main

DOCS = Path(__file__).parents[3] / "docs"


def test_page_names_exactly_the_options_of_the_command():
    page = (DOCS / "skylarkmoord.1.md").read_text()
    documented_options = re.findall(r"^`(--[a-z-]+)[^`]*`\n:", page, re.MULTILINE)
    options = [opt for param in main.params for opt in param.opts]
    assert sorted(documented_options) == sorted([*options, "--help"])


def test_page_names_exactly_the_variables_of_the_command():
    page = (DOCS / "skylarkmoord.1.md").read_text()
    documented = dict(
        re.findall(rf"^\| `({ENV_PREFIX}_[A-Z_]+)` \| `(--[a-z-]+)` \|", page, re.MULTILINE)
    )
    assert documented == {
        f"{ENV_PREFIX}_{param.name.upper()}": param.opts[0] for param in main.params
    }


def test_operations_page_has_exactly_one_row_for_each_error_code():
    section = (DOCS / "OPERATIONS.md").read_text().partition("\n## REFUSALS\n")[2]
    section = section.partition("\n## ")[0]
    documented_codes = re.findall(r"^\| `([a-z_]+)` \| \d{3} \|", section, re.MULTILINE)
    assert sorted(documented_codes) == sorted(code.value for code in ErrorCode)
