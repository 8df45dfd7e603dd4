"""Guards against misread settings, and invalid files that are accepted or not fully reported."""

import pytest

from skylarkmoor_adapter.settings import read_settings
from skylarkmoor_core.errors import SettingsError

SETTINGS_TEMPLATE = """
node: front-1
zone: suva
ip: 10.1.0.25
listen: {{front: "{front}", ready: "10.1.0.25:8224"}}
port_range: [7600, 7615]
bounds: {{retry_ratio: 0.3, retry_window_s: 9, quota_slack: 140, drain_ms: 3000, other: 1}}
platform: {{address: "{store}", form: log}}
unknown: 1
"""


def write_settings(tmp_path, front="10.1.0.25:8221", store="10.2.0.1:8225"):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS_TEMPLATE.format(front=front, store=store))
    return path


def test_settings_are_converted_to_gateway_settings(tmp_path):
    settings = read_settings(write_settings(tmp_path))
    gateway = settings.gateway
    assert gateway.host == "front-1"
    assert str(gateway.peer_address) == "10.1.0.25:7600"
    assert (gateway.retry_window_ms, gateway.limit_slack_units) == (9_000, 140)
    assert settings.max_drain_delay_ms == 3_000


def test_all_invalid_addresses_are_reported_together(tmp_path):
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(write_settings(tmp_path, front="here", store="there"))
    assert sorted(str(fault).split(":")[0] for fault in caught.value.exceptions) == [
        "listen.front",
        "platform.address",
    ]


def test_a_missing_file_or_field_is_an_error(tmp_path):
    with pytest.raises(SettingsError, match="cannot be read"):
        read_settings(tmp_path / "none.yaml")
    path = tmp_path / "half.yaml"
    path.write_text("node: front-1\n")
    with pytest.raises(SettingsError, match="`ip`"):
        read_settings(path)
