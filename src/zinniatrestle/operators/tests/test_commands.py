"""Tests of the command line that need no running host."""

import json

import pytest

from zinniatrestle.errors import CallerError, ResultCode
from zinniatrestle.operators.configuration_commands import read_parameters
from zinniatrestle.operators.exits import ExitCode
from zinniatrestle.operators.main import main


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("n=3", 3),
        ("n=0.5", 0.5),
        ('n=["a","b"]', ["a", "b"]),
        ("n=plain", "plain"),
        ("n=a=b", "a=b"),
    ],
)
def test_parameters_are_json_or_plain_text(text, value):
    assert read_parameters([text]) == {"n": value}


@pytest.mark.parametrize("text", ["n", "=3", ""])
def test_parameter_without_name_or_value_is_refused(text):
    with pytest.raises(CallerError):
        read_parameters([text])


def run_command(*arguments: str) -> int:
    with pytest.raises(SystemExit) as caught:
        main(list(arguments))
    return caught.value.code


def test_codes_command_prints_json(capsys):
    assert run_command("codes", "--json") == ExitCode.DONE
    printed = json.loads(capsys.readouterr().out)
    assert printed == {code.name: int(code) for code in ResultCode}


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["serve"], ExitCode.USAGE),
        (["template", "put", "no-such-file.toml"], ExitCode.USAGE),
        (["account", "list", "--server", "http://127.0.0.1:1"], ExitCode.UNREACHABLE),
        (["account", "change", "a", "--param", "x"], ExitCode.REFUSED),
    ],
)
def test_failed_command_exits_with_the_code_of_its_error(arguments, code, capsys):
    assert run_command(*arguments) == code
    assert capsys.readouterr().err
