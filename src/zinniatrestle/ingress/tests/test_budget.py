"""Decisions on connections at the limits of memory and of their number."""

import random

from zinniatrestle.ingress.budget import (
    CONNECTION_BYTES,
    EVICTION_ORDER,
    ConnectionBudget,
)
from zinniatrestle.ingress.states import ConnectionId, ConnectionPhase

KIB = 1024


def budget_with(*phases: ConnectionPhase, connections: int, kib: int = 10**6):
    budget = ConnectionBudget(kib * KIB, connections)
    for number, phase in enumerate(phases):
        assert budget.admit(ConnectionId(number)) == (True, [])
        budget.move(ConnectionId(number), phase)
    return budget


# Guards against clients that lose connections of which more depends.
def test_the_connection_whose_loss_costs_least_is_evicted_first():
    phases = list(reversed(EVICTION_ORDER))
    budget = budget_with(*phases, connections=len(phases))
    evicted = []
    for number in range(10, 14):
        admission = budget.admit(ConnectionId(number))
        assert admission.admitted
        evicted += [phases[victim] for victim in admission.victims]
        budget.move(ConnectionId(number), ConnectionPhase.IN_PROGRESS)
    assert evicted == list(EVICTION_ORDER[:-1])


# Guards against requests that are lost because others connect.
def test_a_new_connection_is_refused_if_all_others_have_requests_in_progress():
    budget = budget_with(*[ConnectionPhase.IN_PROGRESS] * 3, connections=3)
    assert budget.admit(ConnectionId(7)) == (False, [])
    assert set(budget.phases) == {0, 1, 2}


# Guards against slow requests that hold out longer than ordinary ones.
def test_the_longest_incomplete_request_is_evicted_first():
    budget = budget_with(*[ConnectionPhase.IDLE] * 3, connections=3)
    for number in (1, 2, 0):
        budget.move(ConnectionId(number), ConnectionPhase.INCOMPLETE)
    # More bytes of the same request don't renew it.
    budget.move(ConnectionId(1), ConnectionPhase.INCOMPLETE)
    assert budget.admit(ConnectionId(7)) == (True, [1])


# Guards against buffers that exhaust the memory below the number of connections.
def test_connections_are_evicted_until_the_others_are_within_the_memory():
    budget = budget_with(*[ConnectionPhase.INCOMPLETE] * 4, connections=9, kib=64)
    for number in range(4):
        budget.hold(ConnectionId(number), 7 * KIB)
    assert budget.evict() == []
    budget.hold(ConnectionId(3), 22 * KIB)
    assert budget.evict() == [0]
    assert budget.bytes == 3 * CONNECTION_BYTES + (7 + 7 + 22) * KIB


def test_a_request_in_progress_is_evicted_if_nothing_else_is_left():
    phases = [ConnectionPhase.IN_PROGRESS, ConnectionPhase.IDLE]
    budget = budget_with(*phases, connections=9, kib=64)
    budget.hold(ConnectionId(0), 60 * KIB)
    assert budget.evict() == [1, 0]
    assert budget.bytes == 0


# Guards against a fixed cost that is not counted.
def test_idle_connections_count_for_the_memory():
    budget = ConnectionBudget(3 * CONNECTION_BYTES, 1000)
    for number in range(3):
        assert budget.admit(ConnectionId(number)) == (True, [])
    assert budget.admit(ConnectionId(3)) == (True, [0])


# Guards against counts that drift, which would refuse all clients in the end.
def test_nothing_is_counted_once_all_connections_are_removed():
    rng = random.Random(7)
    budget = ConnectionBudget(400 * KIB, 20)
    for number in range(3000):
        budget.admit(ConnectionId(number))
        for _ in range(3):
            connection = ConnectionId(rng.randrange(number + 1))
            budget.move(connection, rng.choice(EVICTION_ORDER))
            budget.hold(connection, rng.randrange(40 * KIB))
            budget.evict()
            if rng.random() < 0.2:
                budget.remove(connection)
        assert len(budget.phases) <= 20
        assert budget.bytes <= 400 * KIB
        held = sum(budget.bytes_by_connection.values())
        assert budget.bytes == held + CONNECTION_BYTES * len(budget.phases)
    for connection in list(budget.phases):
        budget.remove(connection)
    assert budget.bytes == 0
    assert not any(budget.by_phase.values())
