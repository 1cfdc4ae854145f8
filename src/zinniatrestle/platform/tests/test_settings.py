"""Decoding and checks of the platform's settings file."""

import math

import pytest
from common.odd_input import BEYOND_64_BITS, damaged_documents, deterministic
from hypothesis import given

from zinniatrestle.errors import ResultCode, SettingsError
from zinniatrestle.ingress import Resources
from zinniatrestle.platform.settings import decode, load

GOOD = {
    "nodeName": "frontend-a-1",
    "ip": "10.0.0.1",
    "zone": "zone-a",
    "region": "region-a",
    "zones": {"zone-a": "region-a"},
    "bindAddresses": {"frontendAddr": "10.0.0.1:80", "readiness": "10.0.0.1:81"},
    "platform": {"address": "10.0.0.2:82", "form": "table"},
    "bounds": {"leaseMs": 3000, "revokeMs": 5000},
    "limits": {"cpuShare": 0.5, "cores": 2},
    "somethingNew": {"deep": [1, 2]},
}


def test_unknown_fields_are_ignored_and_times_are_in_seconds():
    deployment = decode(GOOD)
    assert deployment.bounds.lease == 3.0
    assert deployment.identity.speed == 1.0
    assert deployment.regions == {"zone-a": "region-a"}
    assert deployment.resources == Resources()


def test_memory_and_descriptors_of_the_machine_are_read():
    limits = {**GOOD["limits"], "memoryMb": 160.5, "maxFds": 4100}
    assert decode({**GOOD, "limits": limits}).resources == Resources(160.5, 4100)


@pytest.mark.parametrize(
    "change",
    [
        {"nodeName": None},
        {"platform": {"address": "", "form": "table"}},
        {"platform": {"address": "10.0.0.2:82", "form": "log"}},
        {"platform": {"address": "10.0.0.2", "form": "table"}},
        {"orders": "heartbeat"},
        {"bounds": {"leaseMs": 0}},
        {"bounds": {"leaseMs": "soon"}},
        {"bindAddresses": {"frontendAddr": "10.0.0.1:99999"}},
        # Digits, but no number.
        {"bindAddresses": {"frontendAddr": "10.0.0.1:\u00b2"}},
        {"bindAddresses": {"frontendAddr": "10.0.0.1:" + "8" * 5000}},
        {"platform": {**GOOD["platform"], "rowBytes": -1}},
        {"platform": {**GOOD["platform"], "rowBytes": BEYOND_64_BITS}},
        {"heartbeatMs": math.inf},
        {"bounds": {"leaseMs": math.nan}},
        {"bounds": {"leaseMs": math.inf}},
        {"bounds": {"drainMs": -1}},
        {"bounds": {"finish_s": 1e300}},
        {"bounds": {"maxHoldMs": 10**400}},
        {"bounds": {"graceS": "1e400"}},
        {"limits": {"cpuShare": 0}},
        {"limits": {"cores": math.nan}},
        {"limits": {"memoryMb": -1}},
        {"limits": {"memoryMb": "much"}},
        {"limits": {"memoryMb": BEYOND_64_BITS}},
        {"limits": {"maxFds": -1}},
        {"limits": {"maxFds": 0.5}},
    ],
)
def test_a_bad_setting_is_refused_with_its_code(change):
    with pytest.raises(SettingsError) as caught:
        decode({**GOOD, **change})
    assert caught.value.code is ResultCode.BAD_SETTING


@pytest.mark.parametrize(
    "text",
    [
        "not = [toml",
        "\x00",
        "",
        "a = " + "[" * 20_000,
        "a" + ".b" * 20_000 + " = 1",
        "a = 1" + "0" * 5000,
        'a = "\\ud800"',
        b"a = '\xff'",
    ],
)
def test_a_file_that_cannot_be_read_is_refused(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(SettingsError):
        load(path)


def test_a_missing_file_is_refused(tmp_path):
    with pytest.raises(SettingsError):
        load(tmp_path / "absent.toml")


@deterministic
@given(damaged_documents(GOOD))
def test_any_document_is_usable_or_a_bad_setting(document):
    try:
        deployment = decode(document)
    except SettingsError:
        return
    for name in deployment.bounds.__dataclass_fields__:
        assert 0 <= getattr(deployment.bounds, name) < 2**60
    assert deployment.identity.speed > 0
    assert deployment.store.row_bytes > 0
