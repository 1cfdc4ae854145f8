"""Identifier and unit types shared by all slices."""

import secrets
from typing import NewType

HostId = NewType("HostId", str)
FailureDomainId = NewType("FailureDomainId", str)
RegionId = NewType("RegionId", str)
RackId = NewType("RackId", str)
WorkerId = NewType("WorkerId", str)
# A machine hosts one worker after another, so it has an id of its own.
MachineId = NewType("MachineId", str)
MinionId = NewType("MinionId", str)
ServiceName = NewType("ServiceName", str)
ClientAccountId = NewType("ClientAccountId", str)
TemplateName = NewType("TemplateName", str)
JobId = NewType("JobId", str)
AttemptId = NewType("AttemptId", str)
RequestKey = NewType("RequestKey", str)
OperationToken = NewType("OperationToken", str)
Revision = NewType("Revision", int)
Epoch = NewType("Epoch", int)
RowKey = NewType("RowKey", str)
WallSeconds = NewType("WallSeconds", float)
TableName = NewType("TableName", str)
RowName = NewType("RowName", str)
RowVersion = NewType("RowVersion", int)
QueueName = NewType("QueueName", str)
ApiKey = NewType("ApiKey", str)
TaskId = NewType("TaskId", str)
RunNumber = NewType("RunNumber", int)
Generation = NewType("Generation", int)
# Unix milliseconds of a worker's start; distinguishes restarts under the same id.
InstanceId = NewType("InstanceId", int)
BootSeconds = NewType("BootSeconds", float)
StoreMilliseconds = NewType("StoreMilliseconds", int)

ID_BYTES = 10


def new_attempt_id() -> AttemptId:
    """Return a random attempt id, unique across hosts."""
    return AttemptId(secrets.token_hex(ID_BYTES))


def new_operation_token() -> OperationToken:
    """Return a random token that identifies one operation across retries."""
    return OperationToken(secrets.token_hex(ID_BYTES))


def new_job_id() -> JobId:
    """Return a random job id, unique across hosts."""
    return JobId(secrets.token_hex(ID_BYTES))
