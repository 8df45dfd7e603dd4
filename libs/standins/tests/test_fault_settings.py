"""Guards against ignored mistakes in fault settings, with which fault tests would pass in vain."""

import pytest

from skylarkmoor_core.errors import MessageError
from skylarkmoor_standins.engine_types import EngineFaults, VersionFaults
from skylarkmoor_standins.fault_settings import merge_faults
from skylarkmoor_standins.log_model import LogFaults


def test_merge_changes_only_the_given_fields():
    faults = merge_faults(LogFaults(outage=True), {"lost_answers": 2})
    assert faults == LogFaults(outage=True, lost_answers=2)


def test_nested_version_faults_are_decoded():
    faults = merge_faults(EngineFaults(), {"versions": {"v2": {"slow_factor": 3}}})
    assert faults.versions == {"v2": VersionFaults(slow_factor=3.0)}


@pytest.mark.parametrize(
    ("name", "value"),
    [("lost", 1), ("slow_factor", 0), ("error_rate", 1.5), ("cut_streams", -1), ("frozen", 1)],
)
def test_invalid_fields_are_refused(name, value):
    with pytest.raises(MessageError, match=name):
        merge_faults(EngineFaults(), {name: value})
