"""Tests that documentation pages and examples match the code."""

import dataclasses
import re
from pathlib import Path

import pytest

from zinniatrestle.configuration.templates import build_plan, read_template
from zinniatrestle.errors import ResultCode
from zinniatrestle.events import Event
from zinniatrestle.operators.client import ClientSettings
from zinniatrestle.settings import HostSettings, environment_variable, flag_name
from zinniatrestle.web import DEFAULT_ERROR_STATUS, HTTP_STATUS

ROOT = Path(__file__).parents[2]


def test_result_code_table_matches_the_enum():
    text = (ROOT / "docs" / "RESULT-CODES.md").read_text()
    rows = re.findall(r"^\| (\d+) \| (\w+) \| (\d+) \|", text, re.MULTILINE)
    found = {(int(code), name, int(status)) for code, name, status in rows}
    expected = set()
    for code in ResultCode:
        expected.add(
            (int(code), code.name, HTTP_STATUS.get(code, DEFAULT_ERROR_STATUS))
        )
    assert found == expected


@pytest.mark.parametrize("event", list(Event))
def test_operations_page_lists_every_event(event):
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    rows = [line for line in text.splitlines() if line.startswith("| `")]
    assert any(f"`{event.value}`" in row for row in rows)


@pytest.mark.parametrize("settings", [HostSettings, ClientSettings])
def test_configuration_page_lists_every_flag_with_its_default(settings):
    text = (ROOT / "docs" / "CONFIGURATION.md").read_text()
    for field in dataclasses.fields(settings):
        default = "" if field.default == "" else f"`{field.default}`"
        row = (
            f"| `{flag_name(field.name)}` | `{environment_variable(field.name)}` "
            f"| {default} | {field.metadata['about']} |"
        )
        assert row in text


@pytest.mark.parametrize(
    "path", sorted((ROOT / "examples").glob("*/*.toml")), ids=lambda path: path.stem
)
def test_example_templates_can_be_filled(path):
    template = read_template(path.read_text())
    arguments = {}
    for name, parameter in template.parameters.items():
        if parameter.default is None:
            arguments[name] = 1
    assert build_plan(template, arguments).domains
