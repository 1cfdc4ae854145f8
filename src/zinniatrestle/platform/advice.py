"""Client of the platform's advice service."""

from typing import Annotated

import msgspec
from msgspec import Meta

from zinniatrestle.advice import Adviser, AdviserError
from zinniatrestle.decoding import Name, decode_json
from zinniatrestle.errors import MalformedInputError
from zinniatrestle.ids import WorkerId
from zinniatrestle.platform.http import CallError, HttpCaller

OK = 200
MAX_TICKET_LENGTH = 4000

Ticket = Annotated[str, Meta(max_length=MAX_TICKET_LENGTH)]


class WireQuestion(msgspec.Struct, frozen=True):
    """Question which of some workers may run a step."""

    step: str
    workers: list[str]


class WireAdvice(msgspec.Struct, frozen=True):
    """The workers that may run the step, each as `[id, ticket]`."""

    allowed: list[tuple[Name, Ticket]] = []


class PlatformAdviser(Adviser):
    """Adviser that calls the service; an empty `address` means that there is none."""

    def __init__(self, client: HttpCaller, address: str):
        self.client = client
        self.address = address

    async def advise(
        self, step: str, workers: list[WorkerId], timeout: float
    ) -> dict[WorkerId, str]:
        """Return the tickets of the workers that may run a step.

        `timeout` is in seconds. Raises AdviserError if there is no usable answer.
        """
        if not self.address:
            raise AdviserError(
                "No advice service is configured; set advice in the settings file."
            )
        body = msgspec.json.encode(WireQuestion(step, list(workers)))
        try:
            answer = await self.client.call(
                "POST", self.address, "/-/advise", timeout, body
            )
        except CallError as error:
            raise AdviserError(error.detail) from error
        if answer.status != OK:
            raise AdviserError(
                f"The advice service answered with status {answer.status}."
            )
        try:
            advice = decode_json(
                answer.body, WireAdvice, "The answer of the advice service"
            )
        except MalformedInputError as error:
            raise AdviserError(error.detail) from error
        return {WorkerId(worker): ticket for worker, ticket in advice.allowed}
