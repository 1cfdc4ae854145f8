"""Steps of a queue with advice terms run only on workers that the adviser allows."""

import asyncio

import msgspec
from common.history import start_events

from zinniatrestle.advice import Adviser
from zinniatrestle.queues import AdviceTerms
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.workers.messages import Refusal, RefusedOrderError

TERMS = AdviceTerms(decision=0.2, per_worker=0.01, validity=3.0)


class SelectiveAdviser(Adviser):
    """Adviser that allows the workers whose numbers are multiples of one number."""

    def __init__(self, multiples_of: int = 2):
        self.multiples_of = multiples_of

    async def advise(self, step, workers, timeout):
        await asyncio.sleep(TERMS.decision + TERMS.per_worker * len(workers))
        return {
            name: f"t-{name}"
            for name in workers
            if int(name[1:]) % self.multiples_of == 0
        }


def advised_model(adviser: Adviser, terms: AdviceTerms) -> Model:
    """Return a model that asks an adviser about the steps of all queues."""
    model = Model(1, hosts=2, adviser=adviser)
    model.operator.set_up()
    queues = []
    for queue in model.operator.queues:
        queues.append(msgspec.structs.replace(queue, advice=terms))
    # start() calls set_up(), which would replace these queues by the usual ones.
    model.operator.set_up = model.operator.write
    model.operator.queues = tuple(queues)
    return model


def run_model(
    workers: int,
    count: int,
    gang: bool = False,
    multiples_of: int = 2,
    seconds: float = 1.0,
    failures: int = 0,
):
    async def run():
        model = advised_model(SelectiveAdviser(multiples_of), TERMS)
        await model.start(workers=workers, rack=workers)
        shape = step(count, gpus=4, gang=gang, seconds=seconds)
        await model.submit("usual", (shape,), seconds, failures=failures)
        settled = await model.wait_for_jobs(20.0)
        return model, settled

    return run_virtual(run())


def test_tasks_run_only_on_allowed_workers():
    model, settled = run_model(workers=6, count=4)
    assert settled
    assert violations(model) == []
    places = {event.worker for event in start_events(model)}
    assert places <= {"w0", "w2", "w4"}


def test_a_gang_waits_until_enough_workers_are_allowed():
    model, settled = run_model(workers=2, count=3, gang=True)
    assert not settled
    assert start_events(model) == []


# Guards against an endless wait for denied workers in place of avoided ones.
def test_a_task_that_failed_on_the_only_allowed_worker_runs_there_again():
    model, settled = run_model(
        workers=6, count=1, multiples_of=6, seconds=TERMS.validity + 1.0, failures=1
    )
    assert settled
    assert [event.worker for event in start_events(model)] == ["w0", "w0"]


class TicketOffice(Adviser):
    """Adviser whose tickets are for one instance of a worker, as at the platform.

    `check_starts` makes the workers of a model refuse starts with other tickets.
    """

    def __init__(self):
        self.model: Model | None = None
        self.refused_starts = 0

    async def advise(self, step, workers, timeout):
        await asyncio.sleep(TERMS.decision + TERMS.per_worker * len(workers))
        return {name: self.ticket(name) for name in workers}

    def ticket(self, name) -> str:
        """Return the only valid ticket of a worker."""
        return f"{name}-{self.model.fleet.workers[name].entry.instance}"

    def check_starts(self, model: Model):
        """Let the workers of a model refuse starts without a valid ticket."""
        self.model = model
        start = model.fleet.start

        async def start_with_ticket(worker, order):
            if order.ticket != self.ticket(worker.worker):
                self.refused_starts += 1
                raise RefusedOrderError(Refusal.BAD_TICKET)
            return await start(worker, order)

        model.fleet.start = start_with_ticket


# Guards against starts with the ticket of an earlier instance until that has expired.
def test_a_ticket_of_an_earlier_instance_of_a_worker_is_replaced():
    terms = AdviceTerms(decision=0.2, per_worker=0.01, validity=30.0)
    office = TicketOffice()

    async def run():
        model = advised_model(office, terms)
        await model.start(workers=1, rack=1)
        office.check_starts(model)
        await model.submit("usual", (step(1, gpus=8),), 20.0)
        await asyncio.sleep(2.0)
        model.fleet.restart(model.fleet.workers["w0"])
        await asyncio.sleep(5.0)
        return len(model.fleet.workers["w0"].running)

    running = run_virtual(run())
    assert (running, office.refused_starts <= 1) == (1, True)
