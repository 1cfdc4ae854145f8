"""Input that no reader expects: tables of it, and strategies that damage documents."""

import copy
import json
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

# Deeper than any decoder follows.
DEPTH = 20_000
BEYOND_64_BITS = 10**30

# The same examples in each run.
deterministic = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=[HealthCheck.too_slow],
)


def nested(depth: int = DEPTH) -> bytes:
    """Return JSON lists within lists."""
    return b"[" * depth + b"]" * depth


def with_nested_field(document: dict[str, Any], depth: int = DEPTH) -> bytes:
    """Return a document with a further field, which is nested deeply."""
    text = json.dumps(document).encode()
    separator = b"," if document else b""
    return text[:-1] + separator + b'"unknown":' + nested(depth) + b"}"


def badly_encoded(field: str) -> dict[str, bytes]:
    """Return documents of which one field is a text that can't be decoded."""
    name = field.encode()
    return {
        "not UTF-8": b'{"' + name + b'":"\xff\xfe"}',
        "an encoded surrogate": b'{"' + name + b'":"\xed\xa0\x80"}',
        "an escaped surrogate": b'{"' + name + b'":"\\ud800 and more"}',
    }


# Texts that are no document of any kind.
UNREADABLE = {
    "empty": b"",
    "cut off": b'{"service":"serv',
    "a byte order mark": b"\xef\xbb\xbf{}",
    "not a number": b'{"capacity":{"cpu":NaN}}',
    "a number": b"7",
    "a text": b'"text"',
    "a list": b"[]",
    "null": b"null",
    "nested lists": nested(),
    "nested lists in a list": b"[" + nested() + b"]",
    "nested objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "nested without an end": b'{"a":' * DEPTH,
    "bytes": bytes(range(256)),
}

odd_numbers = st.one_of(
    st.integers(-(2**80), 2**80),
    st.sampled_from([0, -1, 2**53 + 1, 2**63, 2**64, -(2**63) - 1, BEYOND_64_BITS]),
    st.floats(allow_nan=False, allow_infinity=False),
)
odd_texts = st.one_of(
    st.text(max_size=20),
    st.sampled_from(
        ["", "\0", "a\r\nb: c", ".", "...", "\u00b2", "\u0663", "x" * 5000]
    ),
    st.from_regex(r"[0-9.:\[\]@/]{0,24}", fullmatch=True),
)
odd_values = st.recursive(
    st.none() | st.booleans() | odd_numbers | odd_texts,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def _paths(value: Any, prefix: tuple = ()) -> list[tuple]:
    """Return the paths of all values in a document, except that of the whole."""
    members: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        members = list(value.items())
    if isinstance(value, list):
        members = list(enumerate(value))
    paths = []
    for key, member in members:
        path = (*prefix, key)
        paths.append(path)
        paths.extend(_paths(member, path))
    return paths


def _odd_values_for(value: Any) -> st.SearchStrategy:
    """Return values in place of another, most of them of the same type."""
    same = odd_values
    if isinstance(value, bool):
        same = st.booleans()
    elif isinstance(value, int | float):
        same = odd_numbers
    elif isinstance(value, str):
        same = odd_texts
    return st.integers(0, 3).flatmap(lambda kind: same if kind else odd_values)


@st.composite
def damaged_documents(draw, document: dict[str, Any]) -> dict[str, Any]:
    """Return a document of which a few values are replaced or removed."""
    damaged = copy.deepcopy(document)
    for _ in range(draw(st.sampled_from([1, 1, 2, 3]))):
        paths = _paths(damaged)
        if not paths:
            break
        *parents, key = draw(st.sampled_from(paths))
        holder = damaged
        for parent in parents:
            holder = holder[parent]
        if isinstance(holder, dict) and draw(st.integers(0, 4)) == 0:
            del holder[key]
            continue
        holder[key] = draw(_odd_values_for(holder[key]))
    return damaged


@st.composite
def damaged_texts(draw, document: dict[str, Any]) -> bytes:
    """Return the JSON text of a damaged document, some with damaged bytes."""
    text = bytearray(json.dumps(draw(damaged_documents(document))).encode())
    if draw(st.integers(0, 9)) == 0:
        for _ in range(draw(st.integers(1, 3))):
            position = draw(st.integers(0, len(text) - 1))
            text[position] = draw(st.integers(0, 255))
    return bytes(text)
