"""Decoding of input that others wrote, with MalformedInputError as the only error.

Input is decoded once, at the boundary, into structs whose fields have bounds, so that
no later part meets a value that it can't compute with, encode or send.
"""

from collections.abc import Callable
from functools import partial
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from zinniatrestle.errors import MalformedInputError

T = TypeVar("T")

# Integers up to this one are exact in floats, and in all readers of JSON.
MAX_EXACT_INTEGER = 2**53
# Far beyond any machine, in thousandths of a core, in MB and in accelerators.
MAX_CAPACITY = 10**9
MAX_NAME_LENGTH = 200
# Errors of a list's entries beyond these are counted only.
MAX_LISTED_ERRORS = 3

Counter = Annotated[int, Meta(ge=0, le=MAX_EXACT_INTEGER)]
PositiveCounter = Annotated[int, Meta(ge=1, le=MAX_EXACT_INTEGER)]
Capacity = Annotated[int, Meta(ge=0, le=MAX_CAPACITY)]
Duration = Annotated[float, Meta(ge=0, le=MAX_EXACT_INTEGER)]
# A time that is left; it may have passed.
TimeLeft = Annotated[float, Meta(ge=-MAX_EXACT_INTEGER, le=MAX_EXACT_INTEGER)]
Factor = Annotated[float, Meta(ge=0, le=MAX_EXACT_INTEGER)]
PositiveFactor = Annotated[float, Meta(gt=0, le=MAX_EXACT_INTEGER)]
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]


def decode_json(data: bytes, expected_type: type[T], what: str) -> T:
    """Decode JSON; raises MalformedInputError, whose detail begins with `what`."""
    return _decode(msgspec.json.decode, data, expected_type, what)


def decode_msgpack(data: bytes, expected_type: type[T], what: str) -> T:
    """Decode MessagePack; raises MalformedInputError."""
    return _decode(msgspec.msgpack.decode, data, expected_type, what)


def convert(document: Any, expected_type: type[T], what: str) -> T:
    """Convert a parsed document, also numbers in texts; raises MalformedInputError."""
    return _decode(
        partial(msgspec.convert, strict=False), document, expected_type, what
    )


def summarize(errors: list[MalformedInputError]) -> str:
    """Return the details of some errors as one text, or an empty one for none."""
    details = [error.detail for error in errors[:MAX_LISTED_ERRORS]]
    omitted = len(errors) - len(details)
    if omitted:
        details.append(f"{omitted} more.")
    return " ".join(details)


def _decode(
    decoder: Callable[..., Any], data: Any, expected_type: type[T], what: str
) -> T:
    try:
        return decoder(data, type=expected_type)
    except RecursionError as error:
        raise MalformedInputError(
            f"{what} can't be decoded: it is nested too deeply."
        ) from error
    except (ValueError, OverflowError) as error:
        # All of the decoder's own errors are ValueErrors.
        raise MalformedInputError(f"{what} can't be decoded: {error}.") from error
