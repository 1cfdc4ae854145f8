"""Decoding of operators' rows; damaged rows change nothing."""

import msgspec
import pytest

from zinniatrestle.errors import CallerError
from zinniatrestle.events import EventLog
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
    "limits": {"maxBodyBytes": 1000},
}


def new_reader() -> DesiredStateReader:
    return DesiredStateReader(PlatformOperatorRows(), OperatorState(), EventLog())


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


def test_an_evacuation_lasts_as_long_as_its_row():
    state_reader = new_reader()
    state_reader.change(change("evacuate/zone-a", {}))
    assert state_reader.state.evacuated == {"zone-a"}
    state_reader.change(change("evacuate/zone-a", None))
    assert state_reader.state.evacuated == set()
    state_reader.change(change("evacuate/zone-a", {}))
    state_reader.snapshot([])
    assert state_reader.state.evacuated == set()


def test_a_wave_is_known_until_it_is_removed():
    state_reader = new_reader()
    wave = {"wave": 4, "machines": ["m-1"], "durationS": 20, "cap": 1}
    state_reader.change(change("wave/4", wave))
    assert state_reader.state.waves[4].machines == ("m-1",)
    state_reader.change(change("wave/4", None))
    assert state_reader.state.waves == {}


@pytest.mark.parametrize("value", [b"", b"{", b'{"version":"x"}', b"\xff"])
def test_a_damaged_desired_state_keeps_the_last_one_in_force(value):
    state_reader = new_reader()
    state_reader.change(change("config", CONFIG))
    state_reader.change(Change(RowName("config"), RowVersion(2), value))
    assert state_reader.state.desired.version == 3
    with pytest.raises(CallerError):
        state_reader.rows.decode(RowName("config"), value)
