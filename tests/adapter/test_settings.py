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


@pytest.mark.parametrize(
    ("ports", "relay"), [("7600, 7615", "10.1.0.25:7601"), ("7600, 7600", "None")]
)
def test_connections_are_passed_on_at_the_second_free_port_if_there_is_one(tmp_path, ports, relay):
    path = write_settings(tmp_path)
    path.write_text(path.read_text().replace("7600, 7615", ports))
    assert str(read_settings(path).gateway.relay_address) == relay


@pytest.mark.parametrize(("bound", "age_ms"), [("", 1_000), ("config_apply_ms: 7000,", 3_500)])
def test_the_configuration_may_be_half_as_old_as_the_time_to_apply_it(tmp_path, bound, age_ms):
    path = write_settings(tmp_path)
    path.write_text(path.read_text().replace("drain_ms", f"{bound} drain_ms"))
    assert read_settings(path).gateway.max_configuration_age_ms == age_ms


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


BOUNDS = {
    "retry_ratio": lambda settings: settings.gateway.retry_ratio,
    "retry_window_s": lambda settings: settings.gateway.retry_window_ms / 1_000,
    "retry_slack": lambda settings: settings.gateway.retry_slack,
    "grace_s": lambda settings: settings.gateway.grace_ms / 1_000,
    "drain_ms": lambda settings: settings.max_drain_delay_ms,
    "quota_window_s": lambda settings: settings.gateway.limit_window_ms / 1_000,
    "quota_overshoot": lambda settings: settings.gateway.limit_overshoot_fraction,
    "quota_slack": lambda settings: settings.gateway.limit_slack_units,
}
DEFAULT_BOUNDS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 10,
    "grace_s": 8,
    "drain_ms": 2_000,
    "quota_window_s": 8,
    "quota_overshoot": 0,
    "quota_slack": 0,
}


def write_bounds(tmp_path, bounds):
    text = SETTINGS_TEMPLATE.format(front="10.1.0.25:8221", store="10.2.0.1:8225")
    lines = [line for line in text.splitlines() if not line.startswith("bounds:")]
    path = tmp_path / "node.yaml"
    path.write_text("\n".join([*lines, f"bounds: {bounds}"]))
    return path


@pytest.mark.parametrize("name", BOUNDS)
@pytest.mark.parametrize(("written", "value"), [("5", 5), ("5.0", 5), ("430.0", 430), ("2.5", 2.5)])
def test_each_bound_may_be_a_whole_number_or_a_fraction(tmp_path, name, written, value):
    """No gateway of a fleet started, because its retry slack was written as 430.0."""
    settings = read_settings(write_bounds(tmp_path, f"{{{name}: {written}}}"))
    # Milliseconds are whole; the rule allows at least what is kept here.
    assert BOUNDS[name](settings) == (int(value) if name.endswith("_ms") else value)


@pytest.mark.parametrize("name", BOUNDS)
@pytest.mark.parametrize("written", ["true", "false", "text", "[1]", "-1", ".nan", ".inf"])
def test_a_bound_that_is_no_amount_is_an_error_that_names_it(tmp_path, name, written):
    """A window of true or a negative slack would be computed with as if it were an amount."""
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(write_bounds(tmp_path, f"{{{name}: {written}}}"))
    assert [str(fault).split(":")[0] for fault in caught.value.exceptions] == [f"bounds.{name}"]


@pytest.mark.parametrize("name", ["retry_window_s", "quota_window_s"])
def test_a_window_of_no_length_is_an_error(tmp_path, name):
    """Rates are computed over the window, so it may not be empty."""
    with pytest.raises(ExceptionGroup, match="settings are invalid") as caught:
        read_settings(write_bounds(tmp_path, f"{{{name}: 0}}"))
    assert f"bounds.{name}" in str(caught.value.exceptions[0])


def test_faults_of_bounds_and_addresses_are_reported_together(tmp_path):
    path = write_bounds(tmp_path, "{retry_slack: true, drain_ms: soon}")
    path.write_text(path.read_text().replace("10.2.0.1:8225", "there"))
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(path)
    assert sorted(str(fault).split(":")[0] for fault in caught.value.exceptions) == [
        "bounds.drain_ms",
        "bounds.retry_slack",
        "platform.address",
    ]


@pytest.mark.parametrize("name", BOUNDS)
@pytest.mark.parametrize("bounds", ["{{}}", "{{{name}: null}}"])
def test_a_missing_bound_has_its_default(tmp_path, name, bounds):
    settings = read_settings(write_bounds(tmp_path, bounds.format(name=name)))
    assert BOUNDS[name](settings) == DEFAULT_BOUNDS[name]


@pytest.mark.parametrize("written", ["true", "0.5", "3", "text", "[1]", "{a: 1}", "null"])
def test_unknown_bounds_of_any_type_are_ignored(tmp_path, written):
    settings = read_settings(write_bounds(tmp_path, f"{{other_bound: {written}}}"))
    assert settings.gateway.retry_ratio == 0.2


@pytest.mark.parametrize(
    ("lines", "regions", "own_region"),
    [
        ("", {}, ""),
        ("zones: {suva: south, lae: north}", {"suva": "south", "lae": "north"}, "south"),
        ("zones: {suva: south}\nregion: east", {"suva": "south"}, "east"),
        ("zones: [suva]\nregion: 4", {}, ""),
        ("zones: {suva: [1], lae: north}", {"lae": "north"}, ""),
    ],
)
def test_regions_of_another_form_name_none(tmp_path, lines, regions, own_region):
    """A settings file that was accepted before would be rejected."""
    path = write_settings(tmp_path)
    path.write_text(f"{path.read_text()}\n{lines}\n")
    gateway = read_settings(path).gateway
    assert (gateway.regions, gateway.region) == (regions, own_region)


def test_the_bounds_of_cold_upstreams_are_read(tmp_path):
    path = write_settings(tmp_path)
    assert read_settings(path).gateway.cold_overshoot == 1
    bounds = "cold_overshoot: 1.5, cold_slack: 5, drain_ms"
    path.write_text(path.read_text().replace("drain_ms", bounds))
    gateway = read_settings(path).gateway
    assert (gateway.cold_overshoot, gateway.cold_slack) == (1.5, 5)


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ("{memory_mb: 200, max_fds: 4100, cores: 2, link_mbps: 0.5}", (200, 4_100, 0.5)),
        ("{memory_mb: 200.5, link_mbps: 1000}", (200, None, 1_000)),
        ("null", (None, None, 0)),
    ],
)
def test_the_limits_of_the_host_are_read(tmp_path, limits, expected):
    path = write_settings(tmp_path)
    path.write_text(f"{path.read_text()}limits: {limits}\n")
    gateway = read_settings(path).gateway
    assert (gateway.memory_mb, gateway.max_fds, gateway.link_mbps) == expected


@pytest.mark.parametrize("value", ["0", "-1", ".inf", "true", "much"])
def test_invalid_limits_of_the_host_are_reported(tmp_path, value):
    path = write_settings(tmp_path)
    names = ("memory_mb", "max_fds", "link_mbps")
    limits = ", ".join(f"{name}: {value}" for name in names)
    path.write_text(f"{path.read_text()}limits: {{{limits}}}\n")
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(path)
    assert len(caught.value.exceptions) == len(names)
