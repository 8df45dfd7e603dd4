"""Guards against older records that pass as newer ones, and newer ones that are passed over."""

import pytest

from skylarkmoor_core.logposition import LogPosition
from skylarkmoor_policy.recordage import RecordAge, VersionHistory

NEWER, SAME, OLDER = RecordAge.NEWER, RecordAge.SAME, RecordAge.OLDER


def replay(*records):
    """Return the ages of records, each given as era, offset and version, and the version."""
    history = VersionHistory()
    ages = [history.update(LogPosition(era, offset), version) for era, offset, version in records]
    return ages, history.version


@pytest.mark.parametrize(
    ("records", "ages", "version"),
    [
        # Within an era the offset decides.
        ([(1, 3, 8), (1, 3, 8), (1, 2, 9)], [NEWER, OLDER, OLDER], 8),
        ([(1, 3, 8), (1, 4, 7)], [NEWER, NEWER], 7),
        # An older copy, and what is written again on the way to what is known.
        ([(1, 6, 8), (2, 3, 5), (2, 4, 6), (2, 5, 8)], [NEWER, OLDER, OLDER, SAME], 8),
        # A new version at an offset that had another one.
        ([(1, 6, 8), (2, 6, 9)], [NEWER, NEWER], 9),
        # Once the copy has what is known, the offset decides again.
        ([(1, 6, 8), (2, 4, 8), (2, 5, 7)], [NEWER, SAME, NEWER], 7),
        # What was taken back on purpose stays so.
        ([(1, 6, 8), (1, 7, 6), (2, 6, 8), (2, 7, 6)], [NEWER, NEWER, OLDER, SAME], 6),
        # The offset of an answer that was made before the restore says nothing.
        ([(2, 1, 8), (1, 9, 5), (1, 9, 8), (1, 9, 9)], [NEWER, OLDER, SAME, NEWER], 9),
        ([(1, 1, 0), (2, 0, 0)], [NEWER, SAME], 0),
    ],
)
def test_the_age_of_a_record_follows_from_its_era_offset_and_version(records, ages, version):
    assert replay(*records) == (ages, version)
