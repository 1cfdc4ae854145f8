"""An operator in memory: desired states, evacuations."""

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
        """Return what a row says, or None for a row of no interest."""
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
    """Write what operators want."""

    def __init__(self, rows: MemoryRows):
        self.rows = rows
        self.version = 0
        self.queues: tuple[Queue, ...] = ()
        self.accounts: tuple[Account, ...] = ()

    def set_up(self, guaranteed: int = 32):
        """Write a desired state with an urgent, a usual and a patient queue."""
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
        """Ask for a wave of upkeep."""
        name = RowName(f"{WAVE_PREFIX}{wave.number}")
        self.rows.put(OPERATOR_TABLE, name, msgspec.msgpack.encode(wave))

    def evacuate(self, domain: str):
        """Take a failure domain out."""
        self.rows.put(OPERATOR_TABLE, RowName(EVACUATION_PREFIX + domain), b"")

    def end_evacuation(self, domain: str):
        """Take a failure domain back."""
        self.rows.put(OPERATOR_TABLE, RowName(EVACUATION_PREFIX + domain), None)
