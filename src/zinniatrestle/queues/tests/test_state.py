"""The desired state: versions only rise, and freshness depends on confirmations."""

import pytest

from zinniatrestle.errors import AuthenticationError, NotFoundError
from zinniatrestle.ids import ApiKey
from zinniatrestle.queues import Freshness, OperatorState
from zinniatrestle.queues.messages import Account, DesiredState, Queue

HOST = "Queues.example"


def desired(version, *paths, keys=()):
    queues = [Queue(f"q{path}", HOST, path, "service") for path in paths]
    accounts = (Account("account", frozenset(keys)),)
    return DesiredState(version, tuple(queues), (), accounts)


def test_a_version_that_is_not_newer_is_not_installed():
    state = OperatorState()
    assert state.install(desired(7, "/a/"))
    assert not state.install(desired(5, "/b/"))
    assert not state.install(desired(7, "/b/"))
    assert state.queue_for(HOST, "/a/x").name == "q/a/"


def test_the_longest_path_wins_among_the_queues_of_a_host():
    state = OperatorState()
    state.install(desired(1, "/a/", "/a/b/"))
    assert state.queue_for(HOST.lower(), "/a/b/x").name == "q/a/b/"
    with pytest.raises(NotFoundError):
        state.queue_for("other.example", "/a/x")


def test_a_key_is_valid_until_a_version_without_it_is_installed():
    state = OperatorState()
    state.install(desired(1, "/a/", keys=["k"]))
    queue = state.queue_for(HOST, "/a/x")
    assert state.account_for(queue, ApiKey("k")) == "account"
    state.install(desired(2, "/a/"))
    with pytest.raises(AuthenticationError):
        state.account_for(queue, ApiKey("k"))


# Guards against calls with a revoked key that run where none is needed (CONFIG, ROUTE).
@pytest.mark.parametrize("key", ["revoked", "never held", ""])
def test_an_unknown_key_is_refused_on_a_queue_that_needs_none(key):
    queue = Queue("open", HOST, "/open/", "service", anonymous=True)
    state = OperatorState()
    for version, held in ((1, {"revoked", "k"}), (2, {"k"})):
        accounts = (Account("account", frozenset(held)),)
        state.install(DesiredState(version, (queue,), (), accounts))
    with pytest.raises(AuthenticationError):
        state.account_for(queue, ApiKey(key))
    assert state.account_for(queue, ApiKey("k")) == "account"
    assert state.account_for(queue, None) == ""


@pytest.mark.parametrize(
    "now, expected", [(10.0, Freshness.FRESH), (13.5, Freshness.STALE)]
)
def test_the_desired_state_is_fresh_for_a_time_after_its_last_confirmation(
    now, expected
):
    state = OperatorState()
    assert state.freshness(now, 3.0) is Freshness.UNKNOWN
    state.install(desired(1))
    state.confirm(10.0)
    state.confirm(9.0)
    assert state.freshness(now, 3.0) is expected
