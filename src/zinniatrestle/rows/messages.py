"""What a row store takes and returns."""

from enum import Enum

import msgspec

from zinniatrestle.ids import RowName, RowVersion, StoreMilliseconds, TableName

# Expecting this version says that the row must not exist.
ABSENT = RowVersion(0)


class StoredRow(msgspec.Struct, frozen=True):
    """A row with the version of the transaction that wrote it last."""

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
    """What became of a transaction; `current` holds the expected rows on a mismatch."""

    outcome: Outcome
    version: RowVersion
    current: dict[tuple[TableName, RowName], StoredRow]

    @property
    def applied(self) -> bool:
        """Tell whether the transaction took effect."""
        return self.outcome is Outcome.APPLIED


class Page(msgspec.Struct, frozen=True):
    """Rows of one instant, in ascending order of their names."""

    rows: list[StoredRow]
    version: RowVersion
    now: StoreMilliseconds
    more: bool = False


class Changes(msgspec.Struct, frozen=True):
    """Changes of a table up to a version, in order."""

    changes: list[Change]
    version: RowVersion
    now: StoreMilliseconds
