"""An in-memory operator that writes desired states, evacuations and waves."""

import msgspec

from zinniatrestle.ids import (
    ApiKey,
    ClientAccountId,
    FailureDomainId,
    QueueName,
    RowName,
    ServiceName,
    TableName,
)
from zinniatrestle.queues.follower import OperatorRows
from zinniatrestle.queues.messages import (
    Account,
    DesiredState,
    Evacuation,
    Queue,
    Service,
    Wave,
)
from zinniatrestle.standins.rows import MemoryRows

OPERATOR_TABLE = TableName("operator")
DESIRED_STATE = RowName("desired")
EVACUATION_PREFIX = "out/"
WAVE_PREFIX = "wave/"


class MemoryOperatorRows(OperatorRows):
    """Decode the rows that the stand-in operator writes."""

    table = OPERATOR_TABLE

    def decode(
        self, name: RowName, value: bytes | None
    ) -> DesiredState | Evacuation | Wave | None:
        """Return the decoded row, or None for any other row."""
        if name.startswith(EVACUATION_PREFIX):
            return Evacuation(FailureDomainId(name.removeprefix(EVACUATION_PREFIX)))
        if name.startswith(WAVE_PREFIX):
            if value is None:
                return Wave(int(name.removeprefix(WAVE_PREFIX)), (), 0.0, 1)
            return msgspec.msgpack.decode(value, type=Wave)
        if name == DESIRED_STATE and value is not None:
            return msgspec.msgpack.decode(value, type=DesiredState)
        return None


class MemoryOperator:
    """Write the rows that operators write."""

    def __init__(self, rows: MemoryRows):
        self.rows = rows
        self.version = 0
        self.queues: tuple[Queue, ...] = ()
        self.accounts: tuple[Account, ...] = ()

    def set_up(self, guaranteed: int = 32):
        """Write a desired state with an urgent, a usual and a patient queue.

        `guaranteed` is the number of accelerators guaranteed to each account.
        """
        queues = []
        for name, priority, attempts, stretch, target in (
            ("urgent", 0, 2, 1.5, 0.4),
            ("usual", 1, 3, 3.0, 1.2),
            ("patient", 2, 4, 3.0, 3.0),
        ):
            queues.append(
                Queue(
                    name=QueueName(name),
                    host="queues.example",
                    path=f"/{name}/",
                    service=ServiceName("service"),
                    priority=priority,
                    attempts=attempts,
                    stretch=stretch,
                    target=target,
                )
            )
        self.queues = tuple(queues)
        accounts = []
        for name in ("first", "second"):
            keys = frozenset({ApiKey(f"key-{name}")})
            accounts.append(Account(ClientAccountId(name), keys, guaranteed))
        self.accounts = tuple(accounts)
        self.write()

    def write(self):
        """Write the desired state under the next version."""
        self.version += 1
        desired = DesiredState(
            version=self.version,
            queues=self.queues,
            services=(Service(ServiceName("service")),),
            accounts=self.accounts,
        )
        self.rows.put(OPERATOR_TABLE, DESIRED_STATE, msgspec.msgpack.encode(desired))

    def request_wave(self, wave: Wave):
        """Request a maintenance wave."""
        name = RowName(f"{WAVE_PREFIX}{wave.number}")
        self.rows.put(OPERATOR_TABLE, name, msgspec.msgpack.encode(wave))

    def withdraw_wave(self, number: int):
        """Withdraw the request of a wave."""
        self.rows.put(OPERATOR_TABLE, RowName(f"{WAVE_PREFIX}{number}"), None)

    def evacuate(self, domain: str):
        """Evacuate a failure domain."""
        self.rows.put(OPERATOR_TABLE, RowName(EVACUATION_PREFIX + domain), b"")

    def end_evacuation(self, domain: str):
        """End the evacuation of a failure domain."""
        self.rows.put(OPERATOR_TABLE, RowName(EVACUATION_PREFIX + domain), None)
