"""Guards against manual pages whose options, sections or fields differ from the code."""

import re
from pathlib import Path

import click
import msgspec
import pytest

from skylarkmoor_core.document import (
    Customer,
    Limits,
    Route,
    ServiceDocument,
    Tier,
    VersionMove,
    decode_document,
)
from skylarkmoor_operator import audit
from skylarkmoor_operator.main import main

DOCS = Path(__file__).parents[3] / "docs"
SECTIONS = ["NAME", "SYNOPSIS", "DESCRIPTION", "OPTIONS", "ENVIRONMENT", "EXIT STATUS", "EXAMPLES"]


def options(command):
    """Return the long options and environment variables of a command and its sub-commands."""
    found = set()
    for param in command.params:
        found.update(opt for opt in param.opts if opt.startswith("--"))
        if isinstance(param.envvar, str):
            found.add(param.envvar)
    if isinstance(command, click.Group):
        for child in command.commands.values():
            found |= options(child)
    return found


@pytest.mark.parametrize(
    ("page", "command"), [("skylarkmoorctl", main), ("skylarkmoor-audit", audit.main)]
)
def test_page_names_exactly_the_options_and_variables(page, command):
    text = (DOCS / f"{page}.1.md").read_text()
    named = set(re.findall(r"^`(--[a-z-]+|SKYLARKMOOR_[A-Z_]+)", text, re.MULTILINE))
    assert named == options(command) | {"--help"}


@pytest.mark.parametrize("page", ["skylarkmoorctl", "skylarkmoor-audit", "skylarkmoord"])
def test_manual_page_has_every_section(page):
    headings = re.findall(r"^## (.+)$", (DOCS / f"{page}.1.md").read_text(), re.MULTILINE)
    assert [heading for heading in headings if heading in SECTIONS] == SECTIONS


@pytest.mark.parametrize(
    ("heading", "kind"),
    [
        ("Document", ServiceDocument),
        ("Tiers", Tier),
        ("Routes", Route),
        ("Customers", Customer),
        ("Limits", Limits),
        ("Move", VersionMove),
    ],
)
def test_document_page_has_every_field_with_its_default(heading, kind):
    text = (DOCS / "document.md").read_text()
    section = text.partition(f"\n## {heading}\n")[2].partition("\n## ")[0]
    rows = [line.split("|")[1:-1] for line in section.splitlines() if line.startswith("| `")]
    shown = {row[0].strip(" `"): row[-1].strip(" `") for row in rows}
    assert shown == {field.name: default_text(field) for field in msgspec.structs.fields(kind)}


def default_text(field):
    if field.required:
        return ""
    if isinstance(field.default, Limits):
        return "each limit's own default"
    value = list(field.default) if isinstance(field.default, tuple) else field.default
    return msgspec.json.encode(value).decode().replace(",", ", ")


def test_example_of_the_document_page_is_valid():
    text = (DOCS / "document.md").read_text()
    example = re.search(r"```json\n(.*?)```", text, re.DOTALL)[1]
    assert decode_document(example.encode()).move.steps_percent == (1, 10, 50, 100)
