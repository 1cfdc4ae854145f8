"""The cache of advice: tickets expire, and denied workers are not asked about again."""

import asyncio

import pytest

from zinniatrestle.advice import AdviceCache, Adviser, AdviserError
from zinniatrestle.advice.cache import MAX_WORKERS_PER_CALL
from zinniatrestle.clock import boot_time
from zinniatrestle.events import EventLog
from zinniatrestle.queues import AdviceTerms
from zinniatrestle.standins.model import run_virtual

TERMS = AdviceTerms(decision=0.1, per_worker=0.01, validity=2.0)


class EvenAdviser(Adviser):
    """Adviser that allows the workers with even numbers."""

    def __init__(self):
        self.calls = []
        self.failing = False

    async def advise(self, step, workers, timeout):
        self.calls.append((step, list(workers)))
        await asyncio.sleep(0.1)
        if self.failing:
            raise AdviserError("busy")
        return {worker: f"t-{worker}" for worker in workers if int(worker[1:]) % 2 == 0}


def run_with_cache(check):
    async def run():
        adviser = EvenAdviser()
        woken = asyncio.Event()
        cache = AdviceCache(adviser, EventLog(), woken.set)
        running = asyncio.create_task(cache.run())
        await check(adviser, cache, woken)
        running.cancel()

    run_virtual(run())


def test_allowed_workers_have_tickets_until_these_expire():
    async def check(adviser, cache, woken):
        cache.request_tickets("job.0.0", TERMS, ["w1", "w2"])
        await woken.wait()
        assert cache.tickets("job.0.0", boot_time()) == {"w2": "t-w2"}
        await asyncio.sleep(TERMS.validity)
        assert cache.tickets("job.0.0", boot_time()) == {}

    run_with_cache(check)


def test_denied_workers_are_not_asked_about_again():
    async def check(adviser, cache, woken):
        cache.request_tickets("job.0.0", TERMS, ["w1", "w2"])
        await woken.wait()
        cache.request_tickets("job.0.0", TERMS, ["w1", "w2", "w3"])
        await asyncio.sleep(1.0)
        assert adviser.calls[1] == ("job.0.0", ["w2", "w3"])

    run_with_cache(check)


def test_a_call_asks_about_a_limited_number_of_workers():
    async def check(adviser, cache, woken):
        cache.request_tickets("job.0.0", TERMS, [f"w{number}" for number in range(90)])
        await woken.wait()
        assert len(adviser.calls[0][1]) == MAX_WORKERS_PER_CALL

    run_with_cache(check)


@pytest.mark.parametrize("steps", [1, 3])
def test_a_failed_call_is_repeated_only_on_request(steps):
    async def check(adviser, cache, woken):
        adviser.failing = True
        for number in range(steps):
            cache.request_tickets(f"job.0.{number}", TERMS, ["w2"])
        await asyncio.sleep(5.0)
        assert len(adviser.calls) == steps
        assert woken.is_set()

    run_with_cache(check)
