"""A successor stops the remaining members of a gang that has lost a member."""

import asyncio
from unittest import mock

from common.history import start_events

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FaultMode
from zinniatrestle.workers.messages import UnansweredOrderError

# Members wait for their gang for much longer than a succession takes.
BOUNDS = Bounds(gang=20.0)
# Time for the succession, the first holds, the stops, a round and the starts.
RESTART_SECONDS = BOUNDS.lease + 4.0
POLL_SECONDS = 0.02


async def leave_unanswered(orders, worker, *args):
    raise UnansweredOrderError("The order timed out.")


# Guards against members that wait for one which a predecessor knew to be refused.
def test_members_that_a_predecessor_could_not_stop_are_stopped():
    async def play():
        model = Model(1, bounds=BOUNDS)
        await model.start(workers=4, rack=4)
        refusing = model.fleet.workers["w0"]
        refusing.fault_mode = FaultMode.SHEDS
        with mock.patch.object(HostOrders, "stop", leave_unanswered):
            # The workers that don't refuse are too few.
            shape = step(4, gpus=8, gang=True)
            job = await model.submit("usual", (shape,), 2.0)
            while len(start_events(model, job)) < 3:
                await asyncio.sleep(POLL_SECONDS)
            await asyncio.sleep(1.0)
            await model.leader().kill()
        refusing.fault_mode = FaultMode.NONE
        killed_at = monotonic()
        while len(start_events(model, job)) < 7:
            await asyncio.sleep(POLL_SECONDS)
        restarted_at = monotonic()
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        return restarted_at - killed_at

    assert run_virtual(play()) <= RESTART_SECONDS
