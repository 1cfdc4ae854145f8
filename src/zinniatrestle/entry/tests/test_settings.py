"""Tests of the settings of an entry host."""

import dataclasses

import pytest

from zinniatrestle.errors import SettingsError
from zinniatrestle.settings import HostSettings

VALID = HostSettings(
    host="lima-1",
    domain="lima",
    region="coast",
    cluster_key="cluster-key",
    operator_token="operator-token",
    platform_url="http://127.0.0.1:1",
    peers="lima-2@lima/coast=127.0.0.1:2,arequipa-1@arequipa/south=127.0.0.1:3",
)


def test_valid_settings_list_the_peers():
    VALID.check()
    second = VALID.peer_addresses()[1]
    assert (second.host, second.domain, second.region) == (
        "arequipa-1",
        "arequipa",
        "south",
    )
    assert second.port == 3


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("host", ""),
        ("domain", ""),
        ("region", ""),
        ("platform_url", ""),
        ("cluster_key", "short"),
        ("operator_token", ""),
        ("port", 0),
        ("peer_port", 65_536),
        ("minion_slots", 0),
        ("claim_batch", 0),
        ("notice_seconds", -1.0),
        ("peers", "lima-2"),
        ("peers", "lima-2@lima=127.0.0.1:2"),
        ("peers", "lima-2@lima/coast=127.0.0.1:x"),
        ("peers", "lima-1@lima/coast=127.0.0.1:2"),
        ("peers", "a@lima/coast=127.0.0.1:2,a@lima/coast=127.0.0.1:3"),
    ],
)
def test_error_on_invalid_setting_names_its_flag_and_variable(name, value):
    settings = dataclasses.replace(VALID, **{name: value})
    with pytest.raises(SettingsError) as caught:
        settings.check()
    assert f"--{name.replace('_', '-')}" in caught.value.detail
    assert f"ZINNIATRESTLE_{name.upper()}" in caught.value.detail
