"""Parse account templates and substitute their parameters."""

import tomllib
from typing import Any

import msgspec

from zinniatrestle.configuration.messages import (
    AccountPlan,
    ParameterValue,
    Template,
)
from zinniatrestle.errors import TemplateError

PLACEHOLDER_PREFIX = "$"


def read_template(text: str) -> Template:
    """Return the template parsed from TOML; raises TemplateError."""
    try:
        return msgspec.convert(tomllib.loads(text), Template)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise TemplateError(f"The template is invalid: {error}.") from error


def build_plan(
    template: Template, parameters: dict[str, ParameterValue]
) -> AccountPlan:
    """Return the plan with all placeholders substituted; raises TemplateError."""
    unknown = sorted(set(parameters) - set(template.parameters))
    if unknown:
        raise TemplateError(
            f"Template {template.name} does not define: {', '.join(unknown)}."
        )
    values = {}
    for name, parameter in template.parameters.items():
        value = parameters.get(name, parameter.default)
        if value is None:
            raise TemplateError(
                f"Template {template.name} requires a value for parameter {name}."
            )
        values[name] = value
    body = _substitute(template.plan, values)
    try:
        plan = msgspec.convert(body, AccountPlan)
    except msgspec.ValidationError as error:
        raise TemplateError(f"Template {template.name} is invalid: {error}.") from error
    _check_plan(template, plan)
    return plan


def check_template(template: Template):
    """Validate a template; raises TemplateError.

    Placeholders must name parameters. If all parameters have defaults, the plan
    built from the defaults must be valid.
    """
    if not template.name:
        raise TemplateError("The template's name is empty.")
    defaults = {}
    complete = True
    for name, parameter in template.parameters.items():
        if parameter.default is None:
            complete = False
            continue
        defaults[name] = parameter.default
    if complete:
        build_plan(template, defaults)
        return
    _substitute(template.plan, dict.fromkeys(template.parameters, 0))


def _check_plan(template: Template, plan: AccountPlan):
    if not plan.domains:
        raise TemplateError(
            f"Template {template.name} lists no failure domain in plan.domains."
        )
    if plan.offline_grace_seconds <= 0:
        raise TemplateError(
            f"offline_grace_seconds must be above 0, not {plan.offline_grace_seconds}."
        )
    if plan.slot_share < 0 or plan.queue_limit < 0:
        raise TemplateError("slot_share and queue_limit must not be negative.")
    for guarantee in plan.guarantees:
        if guarantee.count < 0:
            raise TemplateError("The count of a guarantee must not be negative.")
        if guarantee.domain not in plan.domains:
            raise TemplateError(
                f"A guarantee names {guarantee.domain}, which is not in plan.domains."
            )


def _substitute(body: Any, values: dict[str, ParameterValue]) -> Any:
    if isinstance(body, dict):
        return {key: _substitute(value, values) for key, value in body.items()}
    if isinstance(body, list):
        return [_substitute(value, values) for value in body]
    if not isinstance(body, str) or not body.startswith(PLACEHOLDER_PREFIX):
        return body
    name = body[len(PLACEHOLDER_PREFIX) :]
    if name not in values:
        raise TemplateError(
            f"The placeholder {body} names no parameter of the template."
        )
    return values[name]
