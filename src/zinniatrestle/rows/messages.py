"""Arguments and results of a row store."""

from enum import Enum

import msgspec

from zinniatrestle.ids import RowName, RowVersion, StoreMilliseconds, TableName

# Expected version of a row that must not exist.
ABSENT = RowVersion(0)


class StoredRow(msgspec.Struct, frozen=True):
    """A row with the version of the last transaction that wrote it."""

    table: TableName
    name: RowName
    value: bytes
    version: RowVersion


class Change(msgspec.Struct, frozen=True):
    """A row that was written, or removed when `value` is None."""

    name: RowName
    version: RowVersion
    value: bytes | None


class Expect(msgspec.Struct, frozen=True):
    """A version that a row must have for a transaction to apply."""

    table: TableName
    name: RowName
    version: RowVersion = ABSENT


class Write(msgspec.Struct, frozen=True):
    """A row to write, or to remove when `value` is None."""

    table: TableName
    name: RowName
    value: bytes | None


class Outcome(Enum):
    """Whether a transaction was applied."""

    APPLIED = "applied"
    MISMATCH = "mismatch"


class TransactionResult(msgspec.Struct, frozen=True):
    """The result of a transaction.

    On a mismatch, `current` holds the present state of the expected rows that exist.
    """

    outcome: Outcome
    version: RowVersion
    current: dict[tuple[TableName, RowName], StoredRow]

    @property
    def applied(self) -> bool:
        """Return whether the transaction took effect."""
        return self.outcome is Outcome.APPLIED


class Page(msgspec.Struct, frozen=True):
    """Rows read at one point in time, in ascending order of their names."""

    rows: list[StoredRow]
    version: RowVersion
    now: StoreMilliseconds
    more: bool = False


class Changes(msgspec.Struct, frozen=True):
    """Changes of a table up to a version, in the order in which they were made."""

    changes: list[Change]
    version: RowVersion
    now: StoreMilliseconds
