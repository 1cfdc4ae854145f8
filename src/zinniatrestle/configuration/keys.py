"""Keys of the configuration's rows in the table store."""

from typing import assert_never

from zinniatrestle.configuration.messages import (
    ApplyAccount,
    Change,
    ChangeAccount,
    PutTemplate,
    RetireAccount,
    SetDomain,
)
from zinniatrestle.ids import OperationToken, Revision, RowKey

HEAD_KEY = RowKey("config/head")
ENTITY_PREFIX = "config/entity/"
# Change rows kept in the store; a host further behind loads a snapshot.
MAX_STORED_CHANGES = 512


def change_key(revision: Revision) -> RowKey:
    """Return the key of the change that made a revision."""
    return RowKey(f"config/change/{revision:012d}")


def token_key(token: OperationToken) -> RowKey:
    """Return the key of the revision that an operation token made."""
    return RowKey(f"config/token/{token}")


def entity_key(change: Change) -> RowKey:
    """Return the key of the entity that a change modifies."""
    match change:
        case PutTemplate():
            name = f"template/{change.template.name}"
        case ApplyAccount() | ChangeAccount() | RetireAccount():
            name = f"account/{change.account}"
        case SetDomain():
            name = f"domain/{change.domain}"
        case _:
            assert_never(change)
    return RowKey(ENTITY_PREFIX + name)
