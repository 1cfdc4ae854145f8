"""Commands on templates, client accounts and failure domains."""

import asyncio
import secrets
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter

from zinniatrestle.clock import monotonic
from zinniatrestle.configuration.messages import (
    ApplyAccount,
    Change,
    ChangeAccount,
    DomainState,
    ParameterValue,
    PutTemplate,
    RetireAccount,
    SetDomain,
)
from zinniatrestle.configuration.templates import read_template
from zinniatrestle.errors import CallerError, NotFoundError
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    OperationToken,
    Revision,
    TemplateName,
    new_operation_token,
)
from zinniatrestle.operators.client import Client, ClientSettings
from zinniatrestle.operators.exits import ExitCode
from zinniatrestle.operators.messages import (
    ChangeAnswer,
    ChangeCall,
    ConfigurationView,
    StatusView,
)
from zinniatrestle.operators.output import (
    show_json,
    show_line,
    show_list,
    show_progress,
    show_table,
)
from zinniatrestle.web import token_digest

TOKEN_BYTES = 24
POLL_SECONDS = 0.2

Settings = Annotated[ClientSettings, Parameter(name="*")]
DEFAULT_SETTINGS = ClientSettings()

templates = App(name="template", help="Templates of client accounts.")
accounts = App(name="account", help="Client accounts.")
domains = App(name="domain", help="Failure domains.")
configuration = App(name="config", help="The configuration in force.")


@templates.command(name="put")
async def put_template(
    file: Path, *, expected: int | None = None, settings: Settings = DEFAULT_SETTINGS
):
    """Create or replace a template from a TOML file."""
    template = read_template(file.read_text())
    await submit(PutTemplate(template), expected, settings)


@templates.command(name="get")
async def get_template(name: str, *, settings: Settings = DEFAULT_SETTINGS):
    """Show one template."""
    view = await fetch(settings)
    for record in view.templates:
        if record.template.name == name:
            show_json(record)
            return
    raise NotFoundError(f"There is no template {name}.")


@templates.command(name="list")
async def list_templates(*, settings: Settings = DEFAULT_SETTINGS):
    """List templates."""
    view = await fetch(settings)
    rows = []
    for record in view.templates:
        parameters = ", ".join(record.template.parameters) or "-"
        rows.append([record.template.name, record.revision, parameters])
    headings = ["TEMPLATE", "REVISION", "PARAMETERS"]
    show_list(view.templates, settings.json, headings, rows)


@accounts.command(name="apply")
async def apply_account(
    account: str,
    *,
    template: str,
    param: list[str] | None = None,
    token_file: Path | None = None,
    settings: Settings = DEFAULT_SETTINGS,
):
    """Create a client account; print its new token unless a token file is given."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    if token_file is not None:
        token = token_file.read_text().strip()
    change = ApplyAccount(
        ClientAccountId(account),
        TemplateName(template),
        token_digest(token),
        read_parameters(param),
    )
    await submit(change, None, settings)
    if token_file is None:
        show_progress(f"The account's token, which is shown only once: {token}")


@accounts.command(name="change")
async def change_account(
    account: str,
    *,
    param: list[str],
    expected: int | None = None,
    settings: Settings = DEFAULT_SETTINGS,
):
    """Change parameters of a client account."""
    change = ChangeAccount(ClientAccountId(account), read_parameters(param))
    await submit(change, expected, settings)


@accounts.command(name="retire")
async def retire_account(
    account: str, *, expected: int | None = None, settings: Settings = DEFAULT_SETTINGS
):
    """Retire a client account permanently."""
    await submit(RetireAccount(ClientAccountId(account)), expected, settings)


@accounts.command(name="list")
async def list_accounts(*, settings: Settings = DEFAULT_SETTINGS):
    """List client accounts."""
    view = await fetch(settings)
    rows = []
    for entry in view.accounts:
        rows.append([entry.account, entry.state, entry.template, entry.revision])
    headings = ["ACCOUNT", "STATE", "TEMPLATE", "REVISION"]
    show_list(view.accounts, settings.json, headings, rows)


@domains.command(name="out")
async def take_out(
    domain: str,
    *,
    reason: str = "",
    expected: int | None = None,
    settings: Settings = DEFAULT_SETTINGS,
):
    """Take a failure domain out of service: nothing starts there."""
    change = SetDomain(FailureDomainId(domain), DomainState.OUT, reason)
    await submit(change, expected, settings)


@domains.command(name="in")
async def bring_in(
    domain: str,
    *,
    reason: str = "",
    expected: int | None = None,
    settings: Settings = DEFAULT_SETTINGS,
):
    """Bring a failure domain back into service, gradually."""
    change = SetDomain(FailureDomainId(domain), DomainState.IN, reason)
    await submit(change, expected, settings)


@domains.command(name="list")
async def list_domains(*, settings: Settings = DEFAULT_SETTINGS):
    """List the failure domains that were ever taken out or brought in."""
    view = await fetch(settings)
    rows = []
    for record in view.domains:
        rows.append(
            [record.domain, record.state.value, record.revision, record.reason or "-"]
        )
    headings = ["DOMAIN", "STATE", "REVISION", "REASON"]
    show_list(view.domains, settings.json, headings, rows)


@configuration.command(name="status")
async def status(
    *, wait: bool = False, timeout: float = 30.0, settings: Settings = DEFAULT_SETTINGS
) -> ExitCode:
    """Show the revision in force on each host, or wait until all have the newest."""
    client = Client(settings)
    deadline = monotonic() + timeout
    while True:
        view = await client.operator("GET", "/status", StatusView)
        if view.everywhere or not wait or monotonic() >= deadline:
            break
        lagging = [entry.host for entry in view.hosts if entry.revision < view.accepted]
        show_progress(f"Waiting for revision {view.accepted} on {', '.join(lagging)}.")
        await asyncio.sleep(POLL_SECONDS)
    _show_status(view, settings)
    return ExitCode.DONE if view.everywhere else ExitCode.NOT_YET


def _show_status(view: StatusView, settings: ClientSettings):
    if settings.json:
        show_json(view)
        return
    show_line(
        f"Revision {view.accepted} is accepted; the host that was asked confirmed "
        f"it {view.confirmed_age_seconds:.1f} s ago."
    )
    rows = []
    for entry in view.hosts:
        rows.append([entry.host, entry.domain, entry.standing, entry.revision])
    show_table(["HOST", "DOMAIN", "STANDING", "REVISION"], rows)


async def fetch(settings: ClientSettings) -> ConfigurationView:
    """Return the configuration in force."""
    client = Client(settings)
    return await client.operator("GET", "/configuration", ConfigurationView)


async def submit(change: Change, expected: int | None, settings: ClientSettings):
    """Submit a change and print the resulting revision."""
    expected_revision = None if expected is None else Revision(expected)
    token: OperationToken = new_operation_token()
    call = ChangeCall(token, change, expected_revision)
    answer = await Client(settings).operator("POST", "/changes", ChangeAnswer, call)
    if settings.json:
        show_json(answer)
        return
    show_line(f"Accepted as revision {answer.revision}.")


def read_parameters(given: list[str] | None) -> dict[str, ParameterValue]:
    """Parse parameters `name=value`, with values in JSON or as plain text."""
    parameters = {}
    for text in given or []:
        name, separator, value = text.partition("=")
        if not separator or not name:
            raise CallerError(f"The parameter {text!r} is not of the form name=value.")
        parameters[name] = _parameter_value(value)
    return parameters


def _parameter_value(text: str) -> ParameterValue:
    try:
        return msgspec.json.decode(text, type=int | float | list[str])
    except msgspec.MsgspecError:
        return text
