"""Regions in which the jobs of an account and a queue may run."""

import pytest

from zinniatrestle.ids import ClientAccountId, QueueName, RegionId, ServiceName
from zinniatrestle.queues import Account, Queue, permitted_regions

NORTH, SOUTH = RegionId("north"), RegionId("south")


# Guards against work that runs anywhere because the regions of its queue and those of
# its account have none in common.
@pytest.mark.parametrize(
    "of_queue, of_account, permitted",
    [
        ([], [], None),
        ([NORTH], [], {NORTH}),
        ([], [SOUTH], {SOUTH}),
        ([NORTH, SOUTH], [SOUTH], {SOUTH}),
        ([NORTH], [SOUTH], set()),
    ],
)
def test_work_runs_where_both_its_queue_and_its_account_permit_it(
    of_queue, of_account, permitted
):
    queue = Queue(
        QueueName("q"), "host", "/", ServiceName("s"), regions=frozenset(of_queue)
    )
    account = Account(ClientAccountId("a"), regions=frozenset(of_account))
    assert permitted_regions(queue, account) == permitted
