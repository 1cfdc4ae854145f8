"""Limits for clients from resources, settings and the desired state."""

import math
from dataclasses import replace

import pytest

from zinniatrestle.errors import SettingsError
from zinniatrestle.ingress.limits import (
    MIB,
    MIN_CONNECTIONS,
    ConnectionLimits,
    IngressSettings,
    Resources,
    client_limits,
    probe_limits,
)
from zinniatrestle.queues.messages import DesiredState
from zinniatrestle.settings import setting_error

SETTINGS = IngressSettings()


# Guards against listeners whose limits add up to more than the machine has.
@pytest.mark.parametrize("memory_mb", [160, 200, 552])
@pytest.mark.parametrize("descriptors", [400, 4100, 8192])
def test_all_listeners_together_stay_within_the_machine(memory_mb, descriptors):
    resources = Resources(memory_mb, descriptors)
    clients = client_limits(SETTINGS, resources, 2**20)
    probes = probe_limits(SETTINGS, resources, 2**20)
    assert clients.memory + 2 * probes.memory <= memory_mb * MIB / 4
    assert clients.connections == (descriptors - 200) * 3 // 4
    # At least half of the host's own descriptors are left for its other duties.
    assert 2 * probes.connections <= (descriptors - 200) / 8
    # Each listener has room for a request of the largest size.
    assert probes.memory > clients.max_head + clients.max_body


def test_unknown_resources_are_those_of_a_small_machine_and_of_the_process():
    limits = client_limits(SETTINGS, Resources(), 1000)
    assert limits.connections == 600
    assert limits.memory == 512 * MIB / 4 * 7 / 8
    # The process can't open more than its own limit, whatever the settings state.
    assert client_limits(SETTINGS, Resources(0, 8192), 1000).connections == 600


# Guards against a host that serves nobody because its settings state too little.
def test_some_clients_are_served_however_few_descriptors_there_are():
    limits = client_limits(SETTINGS, Resources(64, 100), 100)
    assert limits.connections == MIN_CONNECTIONS
    assert probe_limits(SETTINGS, Resources(64, 100), 100).connections > 0


def test_a_set_number_of_connections_is_not_derived():
    settings = replace(SETTINGS, max_connections=30)
    assert client_limits(settings, Resources(160, 4100), 4100).connections == 30


def test_the_desired_state_sets_the_limits_of_requests():
    base = ConnectionLimits(memory=5 * MIB)
    assert base.with_desired(None) == base
    assert base.with_desired(DesiredState(1)) == base
    desired = DesiredState(
        2,
        largest_body=1000,
        max_header_bytes=16_384,
        header_timeout=3.0,
        idle_timeout=20.0,
    )
    limits = base.with_desired(desired)
    assert (limits.max_head, limits.max_body) == (20_480, 1000)
    assert (limits.head_timeout, limits.idle_timeout) == (3.0, 20.0)
    assert limits.memory == base.memory


@pytest.mark.parametrize(
    "name, value",
    [
        ("memory_share", 0.0),
        ("memory_share", 1.5),
        ("memory_share", math.nan),
        ("body_timeout", 0.0),
        ("body_timeout", math.inf),
        ("write_timeout", -1.0),
        ("write_timeout", math.nan),
        ("max_connections", -1),
    ],
)
def test_an_invalid_setting_is_refused(name, value):
    with pytest.raises(SettingsError):
        replace(SETTINGS, **{name: value}).check(setting_error)
