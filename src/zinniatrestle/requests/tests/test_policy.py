"""Tests of admission, retries, hedging and the membership of minions."""

import asyncio

import pytest
from common.hosts import ACCOUNT, LIMA, SERVICE, HostCluster, default_plan, wait_until
from common.virtual import run

from zinniatrestle.errors import NotRunError, ResultCode
from zinniatrestle.ids import ClientAccountId, MinionId
from zinniatrestle.requests import Request
from zinniatrestle.requests.admission import FairQueue
from zinniatrestle.requests.budget import RetryBudget
from zinniatrestle.requests.sending import most_severe_outcome
from zinniatrestle.standins.messages import MinionFaults
from zinniatrestle.store.messages import ListedHostState
from zinniatrestle.upstreams.messages import AnswerLostError, DeclinedError

GUEST = ClientAccountId("guest")


def test_minion_slots_are_not_exceeded_as_hosts_join_and_leave():
    async def scenario():
        cluster = await HostCluster.start([LIMA], hosts=3, minions=2)
        cluster.set_minion_faults(latency_seconds=0.3)

        async def load(host: str):
            for _ in range(40):
                if host in cluster.hosts:
                    await cluster.request(host)

        callers = []
        for host in cluster.domain_by_host:
            callers += [asyncio.create_task(load(host)) for _ in range(30)]
        await asyncio.sleep(1)
        await cluster.kill("lima-3")
        await asyncio.sleep(3)
        await cluster.boot("lima-3")
        await asyncio.sleep(3)
        assert cluster.minions.max_running <= cluster.minions.slots
        for caller in callers:
            caller.cancel()

    run(scenario())


def test_slots_of_a_departed_host_are_redistributed():
    async def scenario():
        cluster = await HostCluster.start([LIMA], hosts=2, minions=1)
        staying = cluster.hosts["lima-1"].pool
        assert staying.capacity(SERVICE) == 4
        leaving = cluster.hosts["lima-2"]
        await leaving.leave()
        await leaving.drain()
        await leaving.stop()
        await wait_until(lambda: staying.capacity(SERVICE) == 8, 3)

    run(scenario())


def test_borrower_delays_account_below_its_share_by_one_request_at_most():
    async def scenario():
        queue = FairQueue(lambda: 4)
        order = []

        async def work(account, number):
            deadline = asyncio.get_running_loop().time() + 100
            await queue.acquire(account, 1, 100, False, deadline)
            order.append(account)
            await asyncio.sleep(1)
            queue.release(account)

        borrowers = [asyncio.create_task(work(GUEST, n)) for n in range(40)]
        await asyncio.sleep(0.5)
        started_at = asyncio.get_running_loop().time()
        await work(ACCOUNT, 0)
        assert asyncio.get_running_loop().time() - started_at <= 2.0
        for task in borrowers:
            task.cancel()

    run(scenario())


def test_full_queue_refuses_at_once():
    async def scenario():
        plan = default_plan([LIMA], queue_limit=2)
        cluster = await HostCluster.start([LIMA], plan, hosts=1, minions=1)
        cluster.set_minion_faults(latency_seconds=2.0)
        callers = [asyncio.create_task(cluster.request("lima-1")) for _ in range(10)]
        await asyncio.sleep(0.1)
        started_at = asyncio.get_running_loop().time()
        answer = await cluster.request("lima-1")
        assert answer.code is ResultCode.QUEUE_FULL
        assert asyncio.get_running_loop().time() == started_at
        await asyncio.gather(*callers)

    run(scenario())


def test_quick_request_that_would_miss_its_objective_is_refused_at_once():
    async def scenario():
        plan = default_plan([LIMA], queue_limit=1000)
        plan["kinds"][0]["objective"] = {"latency_ms": 400.0, "target": 0.99}
        cluster = await HostCluster.start([LIMA], plan, hosts=1, minions=1)
        cluster.set_minion_faults(latency_seconds=0.1)
        for _ in range(60):
            await cluster.request("lima-1")

        async def send_timed():
            started_at = asyncio.get_running_loop().time()
            answer = await cluster.request("lima-1")
            return answer.code, asyncio.get_running_loop().time() - started_at

        answers = await asyncio.gather(*[send_timed() for _ in range(200)])
        served = [seconds for code, seconds in answers if code is ResultCode.OK]
        refused = [seconds for code, seconds in answers if code is not ResultCode.OK]
        assert len(served) >= 16
        assert max(served) <= 0.4
        assert max(refused) == 0.0

    run(scenario())


def test_waiting_request_ends_at_its_deadline():
    async def scenario():
        queue = FairQueue(lambda: 0)
        with pytest.raises(NotRunError):
            deadline = asyncio.get_running_loop().time() + 1
            await queue.acquire(ACCOUNT, 1, 10, False, deadline)
        assert queue.accounts[ACCOUNT].waiting == 0

    run(scenario())


def test_budget_limits_retries_to_a_share_of_requests():
    budget = RetryBudget(ratio=0.1, max_tokens=10.0)
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += budget.withdraw()
    assert retries <= 110


def test_no_retry_storm_when_all_minions_fail():
    async def scenario():
        cluster = await HostCluster.start([LIMA], hosts=1, minions=6)
        cluster.set_minion_faults(fail_everything=True)
        for _ in range(200):
            await cluster.request("lima-1", timeout=1.0)
        assert len(cluster.minions.runs) <= 200 * 1.1 + 10 + 10

    run(scenario())


def test_minion_that_fails_fast_does_not_attract_requests():
    async def scenario():
        cluster = await HostCluster.start([LIMA], hosts=1, minions=6)
        cluster.set_minion_faults(latency_seconds=0.05)
        failing = MinionId(f"lima-{SERVICE}-0")
        cluster.minions.faults[failing] = MinionFaults(fail_everything=True)
        codes = []
        for _ in range(300):
            answer = await cluster.request("lima-1")
            codes.append(answer.code)
        failed = [code for code in codes if code is not ResultCode.OK]
        assert len(failed) <= 3
        cluster.minions.faults[failing] = MinionFaults(latency_seconds=0.05)
        state = cluster.hosts["lima-1"].pool.minions[failing]
        for _ in range(2000):
            await cluster.request("lima-1")
            if state.outcomes.count(True) > 2:
                break
        assert state.outcomes.count(True) > 2

    run(scenario())


def test_hung_minion_is_hedged_and_ejected():
    async def scenario():
        cluster = await HostCluster.start([LIMA], hosts=1, minions=6)
        cluster.set_minion_faults(latency_seconds=0.05)
        for _ in range(100):
            await cluster.request("lima-1")
        cluster.minions.faults[f"lima-{SERVICE}-0"] = MinionFaults(hang=True)
        late = 0
        for _ in range(200):
            started_at = asyncio.get_running_loop().time()
            answer = await cluster.request("lima-1")
            late += asyncio.get_running_loop().time() - started_at > 0.5
            assert answer.code is ResultCode.OK
        assert late == 0

    run(scenario())


def test_lost_answer_takes_precedence_over_a_declined_hedge():
    async def scenario():
        cluster = await HostCluster.start([LIMA], hosts=1, minions=2)
        cluster.set_minion_faults(latency_seconds=0.05)
        for _ in range(100):
            await cluster.request("lima-1")
        cluster.set_minion_faults(latency_seconds=0.3, cut_body=True)
        pending_request = asyncio.create_task(cluster.request("lima-1", timeout=1.0))
        await asyncio.sleep(0.02)
        cluster.set_minion_faults(leaving=True)
        answer = await pending_request
        assert len(cluster.minions.runs) == 101
        assert answer.code is ResultCode.UNKNOWN

    run(scenario())


def test_most_severe_outcome_does_not_depend_on_order():
    async def fail(error):
        raise error

    async def scenario():
        for _ in range(32):
            errors = [DeclinedError("no"), AnswerLostError("lost"), NotRunError("no")]
            tasks = {asyncio.create_task(fail(error)) for error in errors}
            await asyncio.wait(tasks)
            with pytest.raises(AnswerLostError):
                most_severe_outcome(tasks)

    run(scenario())


def test_leaving_minion_gets_no_new_requests_while_the_list_is_stale():
    async def scenario():
        cluster = await HostCluster.start([LIMA], minions=3)
        cluster.set_minion_faults(latency_seconds=0.01)
        cluster.faults.stale_list = True
        leaving = f"lima-{SERVICE}-1"
        listed = cluster.platform.hosts.listed
        listed[leaving] = type(listed[leaving])(
            leaving,
            listed[leaving].role,
            LIMA,
            listed[leaving].address,
            ListedHostState.LEAVING,
            SERVICE,
        )
        cluster.minions.faults[leaving] = MinionFaults(leaving=True)
        for _ in range(50):
            assert (await cluster.request("lima-1")).code is ResultCode.OK
        await asyncio.sleep(2)
        for name in cluster.hosts:
            assert not cluster.hosts[name].pool.minions[leaving].usable()

    run(scenario())


def test_planned_stop_interrupts_no_request_in_progress():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        cluster.set_minion_faults(latency_seconds=3.0)
        host = cluster.hosts["lima-1"]
        requests = [
            asyncio.create_task(cluster.request("lima-1", "enrol", f"k{number}"))
            for number in range(4)
        ]
        await asyncio.sleep(0.2)
        await host.leave()
        assert not host.ready
        # A load balancer may still send a request; this one ends after the others.
        requests.append(asyncio.create_task(cluster.request("lima-1")))
        await asyncio.sleep(0.1)
        await host.drain()
        assert host.in_progress.total == 0
        assert cluster.minions.running_on and not any(
            cluster.minions.running_on.values()
        )
        await host.stop()
        answers = await asyncio.gather(*requests)
        assert {answer.code for answer in answers} == {ResultCode.OK}
        repeated = await cluster.request("lima-2", "enrol", "k0")
        assert repeated.body == answers[0].body

    run(scenario())


def test_domain_without_store_serves_repeatable_requests_within_its_grace():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        cluster.faults.outage = True
        await asyncio.sleep(10)
        assert (await cluster.request("lima-1")).code is ResultCode.OK
        await asyncio.sleep(15)
        refused = await cluster.request("lima-1")
        assert refused.code is ResultCode.ACCOUNT_UNCONFIRMED

    run(scenario())


def test_late_answers_never_reach_another_caller():
    async def scenario():
        cluster = await HostCluster.start([LIMA], hosts=1, minions=2)
        answers = []

        async def send_numbered(number: int):
            cluster.set_minion_faults(latency_seconds=0.1 + (number * 7 % 10) / 10)
            body = f"body-{number}".encode()
            request = Request(ACCOUNT, SERVICE, "seat-check", body, 4.0)
            answer = await cluster.hosts["lima-1"].handler.handle(request)
            answers.append((body, answer))

        await asyncio.gather(*[send_numbered(number) for number in range(60)])
        assert len(answers) == 60
        for body, answer in answers:
            if answer.code is ResultCode.OK:
                assert body in answer.body

    run(scenario())
