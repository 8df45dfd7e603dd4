"""Guards against numbers that two processes of a host have both used."""

from skylarkmoor_core.processnumbers import ProcessNumbers

# Later than any start of a process in this century.
LATEST_MS = 4_102_444_800_000


def test_numbers_of_processes_that_start_a_millisecond_apart_differ():
    earlier, later = ProcessNumbers(1_000), ProcessNumbers(1_001)
    assert not {earlier.draw() for _ in range(1_000)} & {later.draw() for _ in range(1_000)}


def test_a_process_knows_the_numbers_that_it_has_drawn():
    numbers = ProcessNumbers(1_000)
    drawn = [numbers.draw() for _ in range(3)]
    assert all(map(numbers.includes, drawn))
    assert not numbers.includes(drawn[0] - 1)
    assert not numbers.includes(drawn[-1] + 1)
    assert not numbers.includes(0)


def test_numbers_fit_into_a_message():
    assert ProcessNumbers(LATEST_MS).draw() < 2**63
