"""Versions only rise, beliefs age, and damaged rows change nothing."""

import msgspec
import pytest

from zinniatrestle.errors import AuthenticationError, CallerError, NotFoundError
from zinniatrestle.events import EventLog
from zinniatrestle.ids import ApiKey, RowName, RowVersion
from zinniatrestle.platform.operator import PlatformOperatorRows
from zinniatrestle.queues import DesiredStateReader, Freshness, OperatorState
from zinniatrestle.queues.messages import Account, DesiredState, Queue
from zinniatrestle.rows import Change

HOST = "Queues.example"


def desired(version, *paths, keys=()):
    queues = [Queue(f"q{path}", HOST, path, "service") for path in paths]
    accounts = (Account("account", frozenset(keys)),)
    return DesiredState(version, tuple(queues), (), accounts)


def test_an_older_version_is_not_taken():
    state = OperatorState()
    assert state.install(desired(7, "/a/"))
    assert not state.install(desired(5, "/b/"))
    assert not state.install(desired(7, "/b/"))
    assert state.queue_for(HOST, "/a/x").name == "q/a/"


def test_the_longest_path_wins_and_hosts_are_told_apart():
    state = OperatorState()
    state.install(desired(1, "/a/", "/a/b/"))
    assert state.queue_for(HOST.lower(), "/a/b/x").name == "q/a/b/"
    with pytest.raises(NotFoundError):
        state.queue_for("other.example", "/a/x")


def test_a_key_belongs_to_its_account_until_a_version_takes_it():
    state = OperatorState()
    state.install(desired(1, "/a/", keys=["k"]))
    queue = state.queue_for(HOST, "/a/x")
    assert state.account_for(queue, ApiKey("k")) == "account"
    state.install(desired(2, "/a/"))
    with pytest.raises(AuthenticationError):
        state.account_for(queue, ApiKey("k"))


@pytest.mark.parametrize(
    "now, expected", [(10.0, Freshness.FRESH), (13.5, Freshness.STALE)]
)
def test_a_belief_is_fresh_for_a_time(now, expected):
    state = OperatorState()
    assert state.freshness(now, 3.0) is Freshness.UNKNOWN
    state.install(desired(1))
    state.confirm(10.0)
    state.confirm(9.0)
    assert state.freshness(now, 3.0) is expected


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


def reader() -> DesiredStateReader:
    return DesiredStateReader(PlatformOperatorRows(), OperatorState(), EventLog())


def change(name, value):
    data = None if value is None else msgspec.json.encode(value)
    return Change(RowName(name), RowVersion(1), data)


def test_a_desired_state_is_decoded_into_seconds_and_counts():
    followed = reader()
    followed.change(change("config", CONFIG))
    state = followed.state
    queue = state.queue_for(HOST, "/a/x")
    assert (queue.target, queue.attempts) == (0.4, 2)
    assert queue.advice.validity == 3.0
    assert state.accounts["t"].guaranteed == 32
    assert state.desired.largest_body == 1000


def test_evacuations_come_and_go():
    followed = reader()
    followed.change(change("evacuate/zone-a", {}))
    assert followed.state.evacuated == {"zone-a"}
    followed.change(change("evacuate/zone-a", None))
    assert followed.state.evacuated == set()
    followed.change(change("evacuate/zone-a", {}))
    followed.snapshot([])
    assert followed.state.evacuated == set()


def test_a_wave_is_known_until_it_is_removed():
    followed = reader()
    wave = {"wave": 4, "machines": ["m-1"], "durationS": 20, "cap": 1}
    followed.change(change("wave/4", wave))
    assert followed.state.waves[4].machines == ("m-1",)
    followed.change(change("wave/4", None))
    assert followed.state.waves == {}


@pytest.mark.parametrize("value", [b"", b"{", b'{"version":"x"}', b"\xff"])
def test_a_damaged_desired_state_leaves_the_last_one_in_force(value):
    followed = reader()
    followed.change(change("config", CONFIG))
    followed.change(Change(RowName("config"), RowVersion(2), value))
    assert followed.state.desired.version == 3
    with pytest.raises(CallerError):
        followed.rows.decode(RowName("config"), value)
