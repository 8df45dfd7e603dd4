"""How the membership of a fleet behaves while some daemons are cut off, and afterwards.

The decisions of all daemons run in this process on a simulated clock. Messages between the two
sides are dropped during the cut; all others arrive in the same step.
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
DOMAIN = FailureDomain("domain-00")
INCARNATION = Incarnation(1_790_000_000_000)
# Hops of answers that are followed within one step.
HOPS = 4
BEFORE_MS = 20_000


class Node:
    """One daemon's shared state, wired as in the daemon."""

    def __init__(self, number: int, seed: int) -> None:
        self.number = number
        self.host = HostId(f"entry-{number:04d}")
        self.facts = FactStore()
        self.membership = Membership(self.host, INCARNATION, DOMAIN)
        self.rng = random.Random(1_000 * seed + number)
        self.outbox: list[Send] = []

    def start(self, entries: list[HostEntry]) -> None:
        """Take the host list and announce this daemon."""
        self.membership.apply_host_list(entries)
        self._put(self.membership.own_fact(INCARNATION), 0)

    def step(self, now_ms: int) -> None:
        """Do what is due now."""
        wall_ms = INCARNATION + now_ms
        self._carry_out(self.membership.tick(now_ms, wall_ms), now_ms)
        peers = self.membership.reachable()
        if now_ms % GOSSIP_INTERVAL_MS == 0:
            self.outbox += self.facts.gossip_round(self.rng, wall_ms, peers)
        if (now_ms + STEP_MS * self.number) % DIGEST_INTERVAL_MS == 0 and peers:
            self.outbox.append(Send(self.rng.choice(peers), Digest(self.facts.digest())))

    def take(self, sender: HostId, message: Message, now_ms: int) -> None:
        """Take a message."""
        match message:
            case Heartbeat():
                decisions = self.membership.receive_heartbeat(
                    sender, INCARNATION, message, now_ms, INCARNATION + now_ms
                )
                self._carry_out(decisions, now_ms)
            case Gossip(facts=facts):
                self._learn(self.facts.merge(facts), now_ms)
            case Digest(hashes=hashes):
                differing = self.facts.differing_facts(hashes)
                if differing:
                    self.outbox.append(Send(sender, Gossip(tuple(differing))))

    def _put(self, fact: Fact, now_ms: int) -> None:
        self._learn(self.facts.merge((fact,)), now_ms)

    def _learn(self, changed: list[Fact], now_ms: int) -> None:
        if changed:
            self._carry_out(self.membership.apply_facts(changed, INCARNATION + now_ms), now_ms)

    def _carry_out(
        self, decisions: list[PublishFact] | list[PublishFact | Send], now_ms: int
    ) -> None:
        for decision in decisions:
            match decision:
                case PublishFact(fact=fact):
                    self._put(fact, now_ms)
                case Send():
                    self.outbox.append(decision)


class Fleet:
    """All daemons; the first `cut` of them are cut off for a time."""

    def __init__(self, hosts: int, cut: int, seed: int) -> None:
        self.nodes = [Node(i, seed) for i in range(hosts)]
        self._by_host = {node.host: node for node in self.nodes}
        self._cut = cut
        for node in self.nodes:
            node.start([HostEntry(each.host, DOMAIN) for each in self.nodes])

    def step(self, now_ms: int, *, is_cut: bool) -> None:
        """Run one step of all daemons."""
        for node in self.nodes:
            node.step(now_ms)
        for _ in range(HOPS):
            mail = [(node, send) for node in self.nodes for send in node.outbox]
            for node in self.nodes:
                node.outbox = []
            for node, send in mail:
                to = self._by_host[send.to]
                if not is_cut or self._side(node) == self._side(to):
                    to.take(node.host, send.message, now_ms)

    def wrong_views(self) -> int:
        """Return in how many pairs a daemon takes one of the other side for live."""
        return sum(
            self._side(node) != self._side(self._by_host[host])
            for node in self.nodes
            for host in node.membership.eligible_owners()
        )

    def is_whole(self) -> bool:
        """Return whether every daemon takes every other for live."""
        return all(len(node.membership.eligible_owners()) == len(self.nodes) for node in self.nodes)

    def _side(self, node: Node) -> bool:
        return node.number < self._cut


def show_cut(fleet: Fleet, cut_ms: int) -> None:
    """Cut the fleet and print how fast each side forgets the other."""
    print(f"pairs across the cut that take each other for live: {fleet.wrong_views()}")
    for now_ms in range(BEFORE_MS, BEFORE_MS + cut_ms, STEP_MS):
        fleet.step(now_ms, is_cut=True)
        passed_ms = now_ms - BEFORE_MS + STEP_MS
        if fleet.wrong_views() == 0:
            print(f"0 after {passed_ms} ms of the cut")
            for later_ms in range(now_ms + STEP_MS, BEFORE_MS + cut_ms, STEP_MS):
                fleet.step(later_ms, is_cut=True)
            return
        if passed_ms % 10_000 == 0:
            print(f"{fleet.wrong_views()} after {passed_ms} ms of the cut")


def show_healing(fleet: Fleet, start_ms: int, limit_ms: int) -> None:
    """Join the fleet again and print when every daemon takes every other for live."""
    for now_ms in range(start_ms, start_ms + limit_ms, STEP_MS):
        fleet.step(now_ms, is_cut=False)
        if fleet.is_whole():
            print(f"whole again {now_ms - start_ms + STEP_MS} ms after the cut")
            return
    print(f"not whole again {limit_ms} ms after the cut")


def main() -> None:
    """Cut a fleet, join it again and print what its membership says."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--cut", type=int, default=3, help="daemons that are cut off")
    parser.add_argument("--cut-s", type=int, default=120, help="length of the cut")
    parser.add_argument("--limit-s", type=int, default=240, help="time to become whole again")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(f"{options.hosts} daemons, {options.cut} cut off, seed {options.seed}")
    fleet = Fleet(options.hosts, options.cut, options.seed)
    for now_ms in range(0, BEFORE_MS, STEP_MS):
        fleet.step(now_ms, is_cut=False)
    show_cut(fleet, 1_000 * options.cut_s)
    show_healing(fleet, BEFORE_MS + 1_000 * options.cut_s, 1_000 * options.limit_s)


if __name__ == "__main__":
    main()
