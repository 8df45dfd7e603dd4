"""How the membership of a fleet behaves while some daemons are cut off, and afterwards.

The decisions of all daemons run in this process on a simulated clock. Messages between the two
sides are dropped during the cut; all others arrive in the step in which they are sent.
"""

import argparse
import random

# Makes the sources of this working copy importable.
import sources  # noqa: F401

from skylarkmoor_core.ids import FailureDomain, HostId, Incarnation
from skylarkmoor_core.messages import Digest, Fact, Gossip, Heartbeat, Message
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.facts import DIGEST_INTERVAL_MS, GOSSIP_INTERVAL_MS, FactStore
from skylarkmoor_policy.membership import HostEntry, Membership, PublishFact

STEP_MS = 250
FAILURE_DOMAIN = FailureDomain("domain-00")
INCARNATION = Incarnation(1_790_000_000_000)
# Rounds of message delivery in one step, so that replies arrive in the same step.
DELIVERY_ROUNDS_PER_STEP = 4
WARM_UP_MS = 20_000


class SimulatedDaemon:
    """Membership and facts of one daemon, connected as in the daemon itself."""

    def __init__(self, number: int, seed: int) -> None:
        self.number = number
        self.host = HostId(f"entry-{number:04d}")
        self.facts = FactStore()
        self.membership = Membership(self.host, INCARNATION, FAILURE_DOMAIN)
        self.rng = random.Random(1_000 * seed + number)
        self.outgoing: list[Send] = []

    def start(self, entries: list[HostEntry]) -> None:
        """Apply the host list and publish the fact about this daemon."""
        self.membership.apply_host_list(entries)
        self._publish_fact(self.membership.own_fact(INCARNATION), 0)

    def step(self, now_ms: int) -> None:
        """Run the membership tick and the gossip and digest rounds that are due."""
        wall_ms = INCARNATION + now_ms
        self._execute_decisions(self.membership.tick(now_ms, wall_ms), now_ms)
        peers = self.membership.reachable()
        if now_ms % GOSSIP_INTERVAL_MS == 0:
            self.outgoing += self.facts.gossip_round(self.rng, wall_ms, peers)
        if (now_ms + STEP_MS * self.number) % DIGEST_INTERVAL_MS == 0 and peers:
            self.outgoing.append(Send(self.rng.choice(peers), Digest(self.facts.digest())))

    def take(self, sender: HostId, message: Message, now_ms: int) -> None:
        """Handle a received message."""
        match message:
            case Heartbeat():
                decisions = self.membership.receive_heartbeat(
                    sender, INCARNATION, message, now_ms, INCARNATION + now_ms
                )
                self._execute_decisions(decisions, now_ms)
            case Gossip(facts=facts):
                self._apply_changed_facts(self.facts.merge(facts), now_ms)
            case Digest(hashes=hashes):
                differing = self.facts.differing_facts(hashes)
                if differing:
                    self.outgoing.append(Send(sender, Gossip(tuple(differing))))

    def _publish_fact(self, fact: Fact, now_ms: int) -> None:
        self._apply_changed_facts(self.facts.merge((fact,)), now_ms)

    def _apply_changed_facts(self, changed: list[Fact], now_ms: int) -> None:
        if changed:
            self._execute_decisions(
                self.membership.apply_facts(changed, INCARNATION + now_ms), now_ms
            )

    def _execute_decisions(
        self, decisions: list[PublishFact] | list[PublishFact | Send], now_ms: int
    ) -> None:
        for decision in decisions:
            match decision:
                case PublishFact(fact=fact):
                    self._publish_fact(fact, now_ms)
                case Send():
                    self.outgoing.append(decision)


class Fleet:
    """All daemons of a simulated fleet; the first `cut` of them are cut off for a time."""

    def __init__(self, hosts: int, cut: int, seed: int) -> None:
        self.daemons = [SimulatedDaemon(i, seed) for i in range(hosts)]
        self._by_host = {daemon.host: daemon for daemon in self.daemons}
        self._cut_count = cut
        for daemon in self.daemons:
            daemon.start([HostEntry(each.host, FAILURE_DOMAIN) for each in self.daemons])

    def step(self, now_ms: int, *, is_cut: bool) -> None:
        """Step all daemons and deliver their messages, except across an active cut."""
        for daemon in self.daemons:
            daemon.step(now_ms)
        for _ in range(DELIVERY_ROUNDS_PER_STEP):
            deliveries = [(daemon, send) for daemon in self.daemons for send in daemon.outgoing]
            for daemon in self.daemons:
                daemon.outgoing = []
            for daemon, send in deliveries:
                receiver = self._by_host[send.to]
                if not is_cut or self._is_in_cut_group(daemon) == self._is_in_cut_group(receiver):
                    receiver.take(daemon.host, send.message, now_ms)

    def count_stale_views(self) -> int:
        """Return the number of pairs in which a daemon regards one across the cut as live."""
        return sum(
            self._is_in_cut_group(daemon) != self._is_in_cut_group(self._by_host[host])
            for daemon in self.daemons
            for host in daemon.membership.eligible_owners()
        )

    def has_converged(self) -> bool:
        """Return whether every daemon regards every other one as live."""
        return all(
            len(daemon.membership.eligible_owners()) == len(self.daemons) for daemon in self.daemons
        )

    def _is_in_cut_group(self, daemon: SimulatedDaemon) -> bool:
        return daemon.number < self._cut_count


def simulate_cut(fleet: Fleet, cut_ms: int) -> None:
    """Cut the fleet and print how long each side regards the other as live."""
    print(f"pairs across the cut that take each other for live: {fleet.count_stale_views()}")
    for now_ms in range(WARM_UP_MS, WARM_UP_MS + cut_ms, STEP_MS):
        fleet.step(now_ms, is_cut=True)
        elapsed_ms = now_ms - WARM_UP_MS + STEP_MS
        if fleet.count_stale_views() == 0:
            print(f"0 after {elapsed_ms} ms of the cut")
            for later_ms in range(now_ms + STEP_MS, WARM_UP_MS + cut_ms, STEP_MS):
                fleet.step(later_ms, is_cut=True)
            return
        if elapsed_ms % 10_000 == 0:
            print(f"{fleet.count_stale_views()} after {elapsed_ms} ms of the cut")


def simulate_recovery(fleet: Fleet, start_ms: int, limit_ms: int) -> None:
    """End the cut and print when every daemon regards every other one as live."""
    for now_ms in range(start_ms, start_ms + limit_ms, STEP_MS):
        fleet.step(now_ms, is_cut=False)
        if fleet.has_converged():
            print(f"whole again {now_ms - start_ms + STEP_MS} ms after the cut")
            return
    print(f"not whole again {limit_ms} ms after the cut")


def main() -> None:
    """Cut a fleet, end the cut and print how its membership changes."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--cut", type=int, default=3, help="daemons that are cut off")
    parser.add_argument("--cut-s", type=int, default=120, help="length of the cut")
    parser.add_argument("--limit-s", type=int, default=240, help="time to become whole again")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(f"{options.hosts} daemons, {options.cut} cut off, seed {options.seed}")
    fleet = Fleet(options.hosts, options.cut, options.seed)
    for now_ms in range(0, WARM_UP_MS, STEP_MS):
        fleet.step(now_ms, is_cut=False)
    simulate_cut(fleet, 1_000 * options.cut_s)
    simulate_recovery(fleet, WARM_UP_MS + 1_000 * options.cut_s, 1_000 * options.limit_s)


if __name__ == "__main__":
    main()
