"""Read templates and fill in their parameters."""

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
    """Return the template that a TOML text describes; raises TemplateError."""
    try:
        return msgspec.convert(tomllib.loads(text), Template)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise TemplateError(f"Mend the template: {error}.") from error


def build_plan(
    template: Template, parameters: dict[str, ParameterValue]
) -> AccountPlan:
    """Return the plan of a template with parameters; raises TemplateError."""
    unknown = sorted(set(parameters) - set(template.parameters))
    if unknown:
        raise TemplateError(
            f"Template {template.name} has no parameter {', '.join(unknown)}."
        )
    values = {}
    for name, parameter in template.parameters.items():
        value = parameters.get(name, parameter.default)
        if value is None:
            raise TemplateError(
                f"Give the parameter {name} of template {template.name}."
            )
        values[name] = value
    body = _substitute(template.plan, values)
    try:
        plan = msgspec.convert(body, AccountPlan)
    except msgspec.ValidationError as error:
        raise TemplateError(f"Mend template {template.name}: {error}.") from error
    _check_plan(template, plan)
    return plan


def check_template(template: Template):
    """Refuse a template whose gaps name no parameter, or that can't be filled."""
    if not template.name:
        raise TemplateError("Give the template a name.")
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
        raise TemplateError(f"Template {template.name} permits no failure domain.")
    if plan.offline_grace_seconds <= 0:
        raise TemplateError("offline_grace_seconds must be above 0.")
    if plan.slot_share < 0 or plan.queue_limit < 0:
        raise TemplateError("slot_share and queue_limit can't be below 0.")
    for guarantee in plan.guarantees:
        if guarantee.count < 0:
            raise TemplateError("A guarantee's count can't be below 0.")
        if guarantee.domain not in plan.domains:
            raise TemplateError(
                f"The guarantee in {guarantee.domain} is outside the plan's domains."
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
        raise TemplateError(f"The gap {body} names no parameter of the template.")
    return values[name]
