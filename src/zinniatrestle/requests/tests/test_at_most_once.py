"""Tests of at-most-once requests under repeats, races, crashes and store faults."""

import asyncio
import random

import pytest
from common.histories import HistoryError, RecordedRequest, check_at_most_once
from common.hosts import AREQUIPA, LIMA, HostCluster
from common.virtual import run
from hypothesis import given, settings
from hypothesis import strategies as st

from zinniatrestle.errors import ResultCode
from zinniatrestle.requests import Answer, KeyState
from zinniatrestle.standins.messages import MinionFaults, Run


class Recorder:
    """Send enrolments and record the answers of their callers."""

    def __init__(self, cluster: HostCluster):
        self.cluster = cluster
        self.sent: list[RecordedRequest] = []

    async def send(self, host: str, key: str, timeout: float = 3.0) -> Answer | None:
        if host not in self.cluster.hosts:
            return None
        request = self.cluster.request(host, "enrol", key, key.encode(), timeout)
        answer = await request
        self.sent.append(RecordedRequest(key, answer))
        return answer

    def check(self):
        check_at_most_once(self.sent, self.cluster.minions.runs)


def test_repeated_requests_to_any_host_get_the_same_answer():
    async def scenario():
        cluster = await HostCluster.start([LIMA, AREQUIPA])
        recorder = Recorder(cluster)
        cluster.set_minion_faults(latency_seconds=0.5)
        requests = [recorder.send(host, "seat-7") for host in list(cluster.hosts) * 3]
        answers = await asyncio.gather(*requests)
        assert {answer.code for answer in answers} == {ResultCode.OK}
        assert len({answer.body for answer in answers}) == 1
        recorder.check()

    run(scenario())


def test_key_reused_with_another_body_is_refused_on_every_host():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        cluster.set_minion_faults(latency_seconds=0.5)
        first = asyncio.create_task(cluster.request("lima-1", "enrol", "k", b"one"))
        await asyncio.sleep(0.1)
        same_host = await cluster.request("lima-1", "enrol", "k", b"two")
        other_host = await cluster.request("lima-2", "enrol", "k", b"two")
        assert same_host.code is other_host.code is ResultCode.KEY_REUSED
        assert (await first).code is ResultCode.OK

    run(scenario())


def test_store_outage_refuses_claims_quickly_and_serves_repeatable_requests():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        cluster.faults.outage = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await cluster.request("lima-1", "enrol", "k")
        assert loop.time() - started_at < 1.0
        assert answer.code is ResultCode.CLAIMS_UNAVAILABLE
        assert answer.key_state is KeyState.FREE
        assert (await cluster.request("lima-1")).code is ResultCode.OK
        cluster.faults.outage = False
        assert (await cluster.request("lima-2", "enrol", "k")).code is ResultCode.OK

    run(scenario())


def test_claim_with_a_lost_answer_is_read_back_before_sending():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        cluster.faults.lose_answers = True
        answer = await cluster.request("lima-1", "enrol", "k")
        assert answer.code is ResultCode.OK
        cluster.faults.lose_answers = False
        repeated = await cluster.request("lima-2", "enrol", "k")
        assert repeated.body == answer.body
        assert cluster.minions.count("enrol") == 1

    run(scenario())


def test_key_whose_claim_is_too_slow_is_closed_and_never_runs():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        recorder = Recorder(cluster)
        cluster.faults.slow_seconds = 1.5
        answer = await recorder.send("lima-1", "k")
        assert answer.code is ResultCode.CLAIMS_UNAVAILABLE
        cluster.faults.slow_seconds = 0.0
        await asyncio.sleep(5)
        repeated = await recorder.send("lima-2", "k")
        assert repeated.code is ResultCode.CLAIMS_UNAVAILABLE
        assert repeated.key_state is KeyState.CLOSED
        recorder.check()

    run(scenario())


@pytest.mark.parametrize("seconds", [0.0, 0.01, 0.2, 0.5, 0.9])
def test_key_of_a_killed_host_never_runs_again(seconds):
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        recorder = Recorder(cluster)
        cluster.set_minion_faults(latency_seconds=0.5)
        first = asyncio.create_task(recorder.send("lima-1", "k"))
        await asyncio.sleep(seconds)
        await cluster.kill("lima-1")
        first.cancel()
        await recorder.send("lima-2", "k")
        await cluster.boot("lima-1")
        await asyncio.sleep(2)
        await recorder.send("lima-1", "k")
        recorder.check()

    run(scenario())


@pytest.mark.parametrize(
    ("faults", "code"),
    [
        (MinionFaults(cut_body=True), ResultCode.UNKNOWN),
        (MinionFaults(hang=True), ResultCode.UNKNOWN),
        (MinionFaults(fail_everything=True), ResultCode.UPSTREAM_FAILED),
        (MinionFaults(leaving=True), ResultCode.NO_UPSTREAM),
    ],
    ids=["cut body", "hang", "fail everything", "leaving"],
)
def test_minion_fault_gives_a_consistent_answer(faults, code):
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        recorder = Recorder(cluster)
        for host in cluster.platform.hosts.listed.values():
            cluster.minions.faults[host.name] = faults
        first = await recorder.send("lima-1", "k")
        repeated = await recorder.send("lima-2", "k")
        assert first.code is code
        assert repeated.code in (code, ResultCode.NO_UPSTREAM)
        recorder.check()

    run(scenario())


def test_key_of_a_refused_request_stays_closed_after_minions_recover():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        recorder = Recorder(cluster)
        cluster.set_minion_faults(leaving=True)
        first = await recorder.send("lima-1", "k")
        assert first.key_state is KeyState.CLOSED
        cluster.set_minion_faults()
        await cluster.kill("lima-1")
        await cluster.boot("lima-1")
        await asyncio.sleep(1)
        cluster.hosts["lima-1"].pool.minions.clear()
        await asyncio.sleep(2)
        repeated = await recorder.send("lima-1", "k")
        assert (repeated.code, repeated.repeated) == (first.code, True)
        recorder.check()

    run(scenario())


def test_key_is_closed_when_minions_with_free_slots_all_decline():
    async def scenario():
        cluster = await HostCluster.start([LIMA], minions=1)
        recorder = Recorder(cluster)
        cluster.minions.slots = 0
        first = await recorder.send("lima-1", "k")
        assert first.code is ResultCode.NO_UPSTREAM
        assert first.key_state is KeyState.CLOSED
        cluster.minions.slots = 8
        repeated = await recorder.send("lima-2", "k")
        assert (repeated.code, repeated.repeated) == (first.code, True)
        recorder.check()

    run(scenario())


def test_answer_after_the_deadline_is_recorded_for_the_key():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        recorder = Recorder(cluster)
        cluster.set_minion_faults(latency_seconds=4.0)
        first = await recorder.send("lima-1", "k", timeout=1.0)
        assert first.code is ResultCode.UNKNOWN
        await asyncio.sleep(5)
        repeated = await recorder.send("lima-2", "k")
        assert repeated.code is ResultCode.OK
        recorder.check()

    run(scenario())


def test_frozen_host_runs_its_key_at_most_once_after_it_thaws():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        recorder = Recorder(cluster)
        first = asyncio.create_task(recorder.send("lima-1", "k", timeout=2.0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        cluster.gates["lima-1"].freeze()
        await asyncio.sleep(10)
        assert (await recorder.send("lima-2", "k")).code in (
            ResultCode.UNKNOWN,
            ResultCode.OK,
        )
        cluster.gates["lima-1"].thaw()
        await first
        await asyncio.sleep(5)
        recorder.check()

    run(scenario())


FAULTS = st.sampled_from(
    ["none", "outage", "lose", "slow", "kill", "freeze", "hang", "fail", "decline"]
)


@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(
    seed=st.integers(0, 10_000),
    faults=st.lists(FAULTS, min_size=1, max_size=6),
)
def test_requests_run_at_most_once_under_random_faults(seed, faults):
    run(run_mixed_history(seed, faults))


async def run_mixed_history(seed: int, faults: list[str]):
    rng = random.Random(seed)
    cluster = await HostCluster.start([LIMA, AREQUIPA], claim_batch=rng.choice([1, 8]))
    recorder = Recorder(cluster)
    names = list(cluster.hosts)
    callers = []
    for fault in faults:
        await inject_fault(cluster, fault, rng)
        for _ in range(8):
            key = f"key-{rng.randrange(6)}"
            call = recorder.send(rng.choice(names), key, timeout=2.0)
            callers.append(asyncio.create_task(call))
            await asyncio.sleep(rng.choice([0.0, 0.01, 0.3]))
        await clear_faults(cluster)
    await asyncio.sleep(5)
    for call in callers:
        call.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    for number in range(6):
        await recorder.send("lima-1", f"key-{number}")
    recorder.check()


async def inject_fault(cluster: HostCluster, fault: str, rng: random.Random):
    cluster.set_minion_faults(latency_seconds=rng.choice([0.0, 0.2, 1.0]))
    match fault:
        case "outage":
            cluster.faults.outage = True
        case "lose":
            cluster.faults.lose_answers = True
        case "slow":
            cluster.faults.slow_seconds = rng.choice([0.2, 1.2])
        case "kill":
            await cluster.kill(rng.choice(list(cluster.hosts)))
        case "freeze":
            cluster.gates[rng.choice(list(cluster.hosts))].freeze()
        case "hang":
            cluster.set_minion_faults(hang=True)
        case "fail":
            cluster.set_minion_faults(fail_everything=True)
        case "decline":
            cluster.set_minion_faults(leaving=True)


async def clear_faults(cluster: HostCluster):
    cluster.faults.outage = False
    cluster.faults.lose_answers = False
    cluster.faults.slow_seconds = 0.0
    cluster.set_minion_faults()
    for gate in cluster.gates.values():
        gate.thaw()
    for name in cluster.domain_by_host:
        if name not in cluster.hosts:
            await cluster.boot(name)


OK_BODY = b'{"minion":"m","attempt":"a","body":"k"}'


@pytest.mark.parametrize(
    ("answers", "runs"),
    [
        ([Answer(ResultCode.OK, body=OK_BODY)], ["a", "b"]),
        ([Answer(ResultCode.OK, body=OK_BODY)], ["b"]),
        ([Answer(ResultCode.OK, body=OK_BODY)], []),
        ([Answer(ResultCode.NOT_RUN, key_state=KeyState.CLOSED)], ["a"]),
        ([Answer(ResultCode.CLAIMS_UNAVAILABLE)], ["a"]),
    ],
    ids=["twice", "another's", "never ran", "closed and ran", "refused and ran"],
)
def test_checker_reports_violations(answers, runs):
    sent = [RecordedRequest("k", answer) for answer in answers]
    recorded_runs = [Run(attempt, "norte", "enrol", "k", 0.0) for attempt in runs]
    with pytest.raises(HistoryError):
        check_at_most_once(sent, recorded_runs)
