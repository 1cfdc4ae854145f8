"""Decoding of operators' rows; damaged rows change nothing."""

import msgspec
import pytest
from common.events import EventList
from common.odd_input import (
    BEYOND_64_BITS,
    UNREADABLE,
    badly_encoded,
    damaged_texts,
    deterministic,
    with_nested_field,
)
from hypothesis import given
from hypothesis import strategies as st

from zinniatrestle.errors import MalformedInputError
from zinniatrestle.ids import RowName, RowVersion
from zinniatrestle.platform.operator import PlatformOperatorRows
from zinniatrestle.queues import DesiredStateReader, OperatorState
from zinniatrestle.rows import Change

HOST = "Queues.example"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": HOST,
            "pathPrefix": "/a/",
            "service": "s",
            "targetLatencyMs": 400,
            "maxAttempts": 2,
            "advice": {"decisionMs": 5, "perWorkerMs": 1, "validMs": 3000},
            "type": "unsafe",
        }
    ],
    "services": [{"name": "s", "enforcesCapacity": True}],
    "tenants": [{"name": "t", "apiKeys": ["k"], "guaranteed": {"gpus": 32}}],
    "limits": {
        "maxBodyBytes": 1000,
        "maxHeaderBytes": 16_384,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15_000,
    },
}


def new_reader() -> DesiredStateReader:
    return DesiredStateReader(PlatformOperatorRows(), OperatorState(), EventList())


def change(name, value):
    data = None if value is None else msgspec.json.encode(value)
    return Change(RowName(name), RowVersion(1), data)


def test_a_desired_state_is_decoded_into_seconds_and_counts():
    state_reader = new_reader()
    state_reader.change(change("config", CONFIG))
    state = state_reader.state
    queue = state.queue_for(HOST, "/a/x")
    assert (queue.target, queue.attempts) == (0.4, 2)
    assert queue.advice.validity == 3.0
    assert state.accounts["t"].guaranteed == 32
    assert state.desired.largest_body == 1000
    assert state.desired.max_header_bytes == 16_384
    assert (state.desired.header_timeout, state.desired.idle_timeout) == (3.0, 15.0)


def test_an_evacuation_lasts_as_long_as_its_row():
    state_reader = new_reader()
    state_reader.change(change("evacuate/zone-a", {}))
    assert state_reader.state.evacuated == {"zone-a"}
    state_reader.change(change("evacuate/zone-a", None))
    assert state_reader.state.evacuated == set()
    state_reader.change(change("evacuate/zone-a", {}))
    state_reader.retain(set())
    assert state_reader.state.evacuated == set()


def test_a_wave_is_known_until_it_is_removed():
    state_reader = new_reader()
    wave = {"wave": 4, "machines": ["m-1"], "durationS": 20, "cap": 1}
    state_reader.change(change("wave/4", wave))
    assert state_reader.state.waves[4].machines == ("m-1",)
    state_reader.change(change("wave/4", None))
    assert state_reader.state.waves == {}


WAVE = {"wave": 7, "machines": ["m-1", "m-2"], "durationS": 20, "cap": 1}


def changed(document: dict, **changes) -> bytes:
    return msgspec.json.encode({**document, **changes})


def with_route(**changes) -> bytes:
    return changed(CONFIG, routes=[{**CONFIG["routes"][0], **changes}])


DAMAGED_CONFIGS = {
    **UNREADABLE,
    **badly_encoded("version"),
    "a nested unknown field": with_nested_field(CONFIG),
    "a version of another type": changed(CONFIG, version="x"),
    "a version beyond 64 bits": changed(CONFIG, version=BEYOND_64_BITS),
    "a negative version": changed(CONFIG, version=-1),
    "routes of another type": changed(CONFIG, routes={"name": "r"}),
    "a priority beyond 64 bits": with_route(priority=BEYOND_64_BITS),
    "attempts beyond 64 bits": with_route(maxAttempts=BEYOND_64_BITS),
    "an absurd objective": with_route(targetLatencyMs=1e300),
    "a negative stretch": with_route(stretch=-1),
    "advice for ever": with_route(advice={"decisionMs": 1e300}),
    "a negative body": changed(CONFIG, limits={"maxBodyBytes": -1}),
    "a negative head": changed(CONFIG, limits={"maxHeaderBytes": -1}),
    "a head time that is no number": changed(CONFIG, limits={"headerTimeoutMs": "x"}),
    "a negative idle time": changed(CONFIG, limits={"idleTimeoutMs": -1}),
    "a negative guarantee": changed(
        CONFIG, tenants=[{"name": "t", "guaranteed": {"gpus": -1}}]
    ),
}
DAMAGED_WAVES = {
    **UNREADABLE,
    **badly_encoded("wave"),
    "a nested unknown field": with_nested_field(WAVE),
    "a number beyond 64 bits": changed(WAVE, wave=BEYOND_64_BITS),
    "another wave's number": changed(WAVE, wave=8),
    "machines of another type": changed(WAVE, machines=[7]),
    "a negative limit": changed(WAVE, cap=-1),
    "a limit beyond 64 bits": changed(WAVE, cap=BEYOND_64_BITS),
    "an absurd duration": changed(WAVE, durationS=1e300),
    "a negative duration": changed(WAVE, durationS=-1),
}
DAMAGED_ROWS = [
    *(pytest.param("config", text, id=name) for name, text in DAMAGED_CONFIGS.items()),
    *(
        pytest.param("wave/7", text, id=f"wave: {name}")
        for name, text in DAMAGED_WAVES.items()
    ),
    # Digits, but no number.
    pytest.param("wave/\u00b2", changed(WAVE), id="wave: a name without a number"),
    pytest.param("wave/" + "7" * 190, changed(WAVE), id="wave: a long name"),
]


def put(state_reader: DesiredStateReader, name: str, value: bytes | None):
    state_reader.change(Change(RowName(name), RowVersion(2), value))


def rejections(state_reader: DesiredStateReader) -> list[dict]:
    lines = state_reader.events.lines
    return [line for line in lines if line["event"] == "input_rejected"]


# Guards against hosts that never follow the desired state again.
@pytest.mark.parametrize("name, text", DAMAGED_ROWS)
def test_a_damaged_row_changes_nothing_and_is_logged_once(name, text):
    state_reader = new_reader()
    put(state_reader, "config", changed(CONFIG))
    put(state_reader, "wave/7", changed(WAVE))
    put(state_reader, name, text)
    put(state_reader, name, text)
    assert state_reader.state.desired.version == 3
    assert state_reader.state.waves[7].machines == ("m-1", "m-2")
    (line,) = rejections(state_reader)
    assert (line["source"], line["name"]) == ("table op", name)
    assert line["reason"]
    put(state_reader, "config", changed(CONFIG, version=4))
    assert state_reader.state.desired.version == 4
    with pytest.raises(MalformedInputError):
        state_reader.rows.decode(RowName(name), text)


@pytest.mark.parametrize("name, text", DAMAGED_ROWS)
def test_a_damaged_row_can_be_removed(name, text):
    state_reader = new_reader()
    put(state_reader, name, text)
    put(state_reader, name, None)
    assert state_reader.state.waves == {}
    assert state_reader.state.desired is None


def test_a_full_read_keeps_a_wave_whose_row_is_damaged():
    state_reader = new_reader()
    put(state_reader, "wave/7", changed(WAVE))
    put(state_reader, "wave/7", b"damaged")
    state_reader.retain({RowName("wave/7")})
    assert state_reader.state.waves[7].max_concurrent == 1
    state_reader.retain(set())
    assert state_reader.state.waves == {}


@deterministic
@given(
    st.sampled_from(["config", "wave/7"]),
    damaged_texts(CONFIG) | damaged_texts(WAVE),
)
def test_any_row_is_usable_or_malformed_input(name, text):
    try:
        decoded = PlatformOperatorRows().decode(RowName(name), text)
    except MalformedInputError:
        return
    # What later parts need: stored jobs with the terms of queues, and log lines.
    msgspec.msgpack.encode(decoded)
    msgspec.json.encode(decoded)
    if name == "config":
        assert decoded.version >= 0
        return
    assert decoded.number == 7
    assert decoded.max_concurrent >= 1
    assert 0 <= decoded.duration <= 2**53
