"""Guards against configurations that diverge, revert, come late into force or are invalid."""

import copy
import json
import threading
import time

import pytest

from skylarkmoor_standins.harness import HarnessError, get, post, wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3", "entry-4"]
# The design page: an accepted document is in force everywhere within 7 s.
IN_FORCE_TIMEOUT_S = 7.0


@pytest.fixture(scope="module")
def system(new_system, orders, assistant):
    system = new_system()
    system.start_platform()
    system.start_plain_services(["plain-1"])
    system.start_daemons(DAEMONS)
    system.publish(orders)
    system.publish(assistant)
    system.wait_until_converged()
    return system


@pytest.fixture(autouse=True)
def _restore_system(system):
    yield
    system.set_faults("log", outage=False, outage_reads=False, outage_appends=False)
    stopped_daemons = [name for name in DAEMONS if not system.processes.is_running(name)]
    system.start_daemons(stopped_daemons)
    system.wait_until_converged()


def document_with_route(orders, name):
    """Return the document with an added route by which the tests detect that it is in force."""
    document = copy.deepcopy(orders)
    document["routes"].append({"name": name, "tier": "gold", "deadline_ms": 5_000})
    return document


def offsets_in_force(system, service="orders"):
    return {name: system.status(name)["documents"].get(service) for name in DAEMONS}


def wait_in_force(system, offset, service="orders"):
    wait_until(
        lambda: set(offsets_in_force(system, service).values()) == {offset},
        IN_FORCE_TIMEOUT_S,
        f"offset {offset} of {service} is in force everywhere, "
        f"got {offsets_in_force(system, service)}",
    )


def accepts_route(system, daemon, route):
    """Return whether the daemon accepts calls of a route."""
    headers = {"X-Customer": "depot"}
    status, body = post(system.url(daemon, f"/v1/call/{route}"), {}, 5.0, headers)
    assert status in (200, 404), body
    return status == 200


def published_offset(system, author):
    records = system.records("config")
    return next(entry["offset"] for entry in records if entry["data"].get("author") == author)


class OffsetWatch:
    """Polls the document offset in force on each ready daemon and records every change."""

    def __init__(self, system, names):
        self.seen = {name: [] for name in names}
        self._system = system
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._stopped.set()
        self._thread.join(10.0)

    def _run(self):
        while not self._stopped.wait(0.02):
            for name, seen in self.seen.items():
                try:
                    ready = get(self._system.url(name, "/readyz"), 1.0)[0] == 200
                    offset = self._system.status(name)["documents"].get("orders")
                except HarnessError:
                    continue
                if ready and (not seen or seen[-1] != offset):
                    seen.append(offset)


def test_of_racing_publishers_one_wins_and_the_other_is_refused(system, orders, tmp_path):
    """Two documents in force would split the fleet; the loser must be told of its refusal."""
    base = system.offsets["orders"]
    document_paths = []
    for name in ("race-a", "race-b"):
        document_paths.append(tmp_path / f"{name}.json")
        document_paths[-1].write_text(json.dumps(document_with_route(orders, name)))
    races = [
        system.spawn(
            system.run_skylarkmoorctl,
            *("publish", str(path), "--author", path.stem, "--based-on", str(base)),
        )
        for path in document_paths
    ]
    completed = [race.result() for race in races]
    codes = [each.returncode for each in completed]
    assert sorted(code == 0 for code in codes) == [False, True], completed
    winner, loser = (0, 1) if codes[0] == 0 else (1, 0)
    assert "accepted" in completed[winner].stdout
    refusal = completed[loser].stdout + completed[loser].stderr
    assert document_paths[winner].stem in refusal, refusal
    offset = published_offset(system, document_paths[winner].stem)
    system.offsets["orders"] = offset
    wait_in_force(system, offset)
    for daemon in DAEMONS:
        assert accepts_route(system, daemon, document_paths[winner].stem)
        assert not accepts_route(system, daemon, document_paths[loser].stem)


def test_racing_records_in_the_log_put_the_first_in_force_everywhere(system, orders):
    """Daemons that decide by order of arrival instead of log offset would diverge."""
    base = system.offsets["orders"]
    barrier = threading.Barrier(8)

    def publish(i):
        barrier.wait(10.0)
        return system.publish(
            document_with_route(orders, f"burst-{i}"), based_on=base, author=f"burst-{i}"
        )

    futures = [system.spawn(publish, i) for i in range(8)]
    offsets = [future.result() for future in futures]
    system.offsets["orders"] = min(offsets)
    wait_in_force(system, min(offsets))
    winner = offsets.index(min(offsets))
    for daemon in DAEMONS:
        assert accepts_route(system, daemon, f"burst-{winner}")


def test_an_invalid_document_never_comes_into_force(system, orders):
    """An invalid document in force would take its service down on every daemon at once."""
    before = system.offsets["orders"]
    unknown_tier = document_with_route(orders, "invalid-tier")
    unknown_tier["routes"][-1]["tier"] = "missing"
    unknown_field = {**document_with_route(orders, "invalid-field"), "surprise": 1}
    with OffsetWatch(system, DAEMONS) as watch:
        refused = [system.publish(unknown_tier, based_on=before)]
        refused.append(system.publish(unknown_field, based_on=before))
        accepted = system.publish(document_with_route(orders, "valid"), based_on=before)
        wait_in_force(system, accepted)
    for seen in watch.seen.values():
        assert not set(seen) & set(refused), watch.seen
    assert system.status("entry-1")["documents"]["orders"] == accepted


def test_a_daemon_restarted_in_an_outage_takes_the_document_from_its_peers(system, orders):
    """Without its peers' document it would serve nothing, or an outdated document."""
    offset = system.publish(document_with_route(orders, "before-outage"))
    wait_in_force(system, offset)
    system.set_faults("log", outage=True)
    with OffsetWatch(system, ["entry-1"]) as watch:
        system.restart_daemon("entry-1")
        wait_in_force(system, offset)
        # Readiness follows shortly after the first document is in force.
        wait_until(lambda: watch.seen["entry-1"], 5.0, "entry-1 is ready")
    assert watch.seen["entry-1"] == [offset]
    assert accepts_route(system, "entry-1", "before-outage")


def test_a_daemon_without_log_and_peers_is_not_ready(new_system, orders):
    """Without a document, it would have to guess routes and limits of the requests it accepts."""
    isolated = new_system()
    isolated.start_platform()
    isolated.publish(orders)
    isolated.set_faults("log", outage=True)
    isolated.start_daemons(["entry-1"])
    # Long enough for a document to come into force.
    time.sleep(2.0)
    assert get(isolated.url("entry-1", "/readyz"))[0] == 503
    refused = isolated.stock("entry-1", {})
    assert (refused.code, refused.outcome) == ("not_ready", "not_run")
    isolated.set_faults("log", outage=False)
    wait_until(
        lambda: get(isolated.url("entry-1", "/readyz"))[0] == 200,
        IN_FORCE_TIMEOUT_S,
        "entry-1 is ready",
    )


def test_documents_never_revert_through_restarts_and_outages(system, orders):
    """A restarted daemon that loads an older document would revert a published change."""
    with OffsetWatch(system, DAEMONS) as watch:
        for i in range(4):
            offset = system.publish(document_with_route(orders, f"step-{i}"))
            daemon = DAEMONS[i]
            if i % 2:
                wait_in_force(system, offset)
                system.set_faults("log", outage=True)
            system.restart_daemon(daemon)
            wait_in_force(system, offset)
            system.set_faults("log", outage=False)
    for name, seen in watch.seen.items():
        assert seen == sorted(seen), (name, seen)


def test_a_document_published_in_a_reading_outage_comes_into_force_afterwards(system, orders):
    """A daemon that keeps the log end known before the outage would miss later documents."""
    system.set_faults("log", outage_reads=True)
    offset = system.publish(document_with_route(orders, "while-blind"))
    time.sleep(1.0)
    assert system.offsets["orders"] == offset
    assert offset not in offsets_in_force(system).values()
    system.set_faults("log", outage_reads=False)
    wait_in_force(system, offset)
