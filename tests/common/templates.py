"""Templates and accounts for tests on real processes."""

from common.processes import SERVICE, ProcessCluster
from zinniatrestle.configuration.messages import (
    ApplyAccount,
    PutTemplate,
    Semantics,
    Template,
)
from zinniatrestle.ids import ClientAccountId, TemplateName
from zinniatrestle.operators.client import Client, RequestAnswer
from zinniatrestle.web import token_digest

TIMEOUT_MS = 8000


def example_plan(domains: list[str], **changes) -> dict:
    """Return a plan with a quick repeatable kind and an at-most-once kind."""
    plan = {
        "domains": domains,
        "offline_grace_seconds": 6.0,
        "kinds": [
            {
                "service": SERVICE,
                "kind": "seat-check",
                "semantics": Semantics.REPEATABLE.value,
                "quick": True,
                "objective": {"latency_ms": 250.0, "target": 0.999},
            },
            {
                "service": SERVICE,
                "kind": "enrol",
                "semantics": Semantics.AT_MOST_ONCE.value,
            },
        ],
    }
    plan.update(changes)
    return plan


async def apply_account(cluster: ProcessCluster, account: str, plan: dict) -> str:
    """Apply an account, wait until it is in force on all hosts; return its token."""
    token = f"token-of-{account}"
    name = TemplateName(f"for-{account}")
    await cluster.change(PutTemplate(Template(name, plan)))
    change = ApplyAccount(ClientAccountId(account), name, token_digest(token))
    await cluster.wait_until_in_force(await cluster.change(change))
    return token


async def send_repeatable(client: Client) -> RequestAnswer:
    """Send a request that may be repeated."""
    return await client.request(SERVICE, "seat-check", b"{}", None, TIMEOUT_MS)


async def send_at_most_once(
    client: Client, key: str, body: bytes = b"{}"
) -> RequestAnswer:
    """Send an at-most-once request."""
    return await client.request(SERVICE, "enrol", body, key, TIMEOUT_MS)
