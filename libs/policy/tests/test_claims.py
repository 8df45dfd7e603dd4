"""Tests invariants I1 and I2 in random simulations of entry daemons, owners and a faulty log.

Several daemons receive copies of calls with the same keys, and two owners act at once. Append
results are lost or appends take effect late; messages are lost, repeated and reordered; daemons
are restarted or paused for longer than every limit; clocks differ.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from skylarkmoor_core.messages import (
    ClaimRequest,
    ClaimResult,
    ClaimStatus,
    OutcomeAnswer,
    OutcomeQuery,
    ReleaseRequest,
)
from skylarkmoor_core.outcome import ErrorCode, Outcome
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.claims import (
    AnswerCaller,
    AppendBatch,
    ClaimOwner,
    ClaimRequester,
    ClaimState,
    DispatchCall,
    IssueTimeStatus,
    LogRecord,
    QueryOutcome,
    ReadStream,
    SendClaimRequest,
    SendReleaseRequest,
    check_issue_time,
    claim_id,
)

WINDOW_MS = 20_000
HOSTS = ("h0", "h1", "h2")
OWNERS = ("h0", "h1")
STEPS = 1_000


class CachingOwner(ClaimOwner):
    """A faulty owner: repeats lost appends and answers from a cache without reading the log."""

    def __init__(self, host, window_ms):
        super().__init__(host, window_ms)
        self.cached_claims = {}
        self.requesters = {}
        self.batch = ()

    def handle_request(self, sender, request, incarnation, now_ms, owner):
        sends = super().handle_request(sender, request, incarnation, now_ms, self._host)
        self.requesters[request.claim] = sender
        return sends

    def poll(self, now_ms):
        decisions = super().poll(now_ms)
        for decision in decisions:
            if isinstance(decision, AppendBatch):
                self.batch = decision.batch.entries
        return decisions

    def append_succeeded(self, offset):
        super().append_succeeded(offset)
        for entry in self.batch:
            if hasattr(entry, "body_hash"):
                self.cached_claims.setdefault(entry.key_hash, entry)

    def append_uncertain(self, now_ms):
        self.append_rejected(now_ms)

    def handle_read(self, records, first, next_offset):
        super().handle_read(records, first, next_offset)
        sends = []
        for claim, sender in list(self.requesters.items()):
            held = next((one for one in self.cached_claims.values() if one.claim == claim), None)
            if held is not None:
                sends.append(Send(sender, ClaimResult(claim, ClaimStatus.WON)))
                del self.requesters[claim]
        return sends


@dataclass
class Daemon:
    host: str
    owner: ClaimOwner
    incarnation: int
    wall_skew_ms: int
    monotonic_offset_ms: int
    paused_until_ms: int = 0
    counter: int = 0
    holders: dict = field(default_factory=dict)


class Fleet:
    """One simulation; every step is drawn from the seed."""

    def __init__(self, seed, owner_class=ClaimOwner):
        self.rng = random.Random(seed)
        self.owner_class = owner_class
        self.now_ms = 1_000_000
        self.log = []
        self.first = 0
        self.outage_until_ms = 0
        # Appends without a result that take effect later.
        self.delayed_appends = []
        # Messages and log results in transit: (host, incarnation or None for messages, action).
        self.in_transit = []
        self.dispatches = []
        self.running = []
        self.violations = []
        self.event_counts = Counter()
        self.daemons = {host: self.start(host, 1) for host in HOSTS}
        self.keys = []

    def start(self, host, incarnation):
        rng = self.rng
        owner = self.owner_class(host, WINDOW_MS)
        return Daemon(host, owner, incarnation, rng.randrange(-2_000, 2_000), rng.randrange(10**6))

    def clock(self, daemon):
        return self.now_ms + daemon.monotonic_offset_ms

    def run(self):
        steps = [
            (self.submit, 3),
            (self.deliver, 100),
            (self.poll_owner, 35),
            (self.tick_holder, 3),
            (self.dispatch, 8),
            (self.refuse, 1),
            (self.end_call, 3),
            (self.apply_delayed_append, 2),
            (self.advance_clock, 15),
            (self.pause_daemon, 0.5),
            (self.restart_daemon, 0.3),
            (self.start_log_outage, 0.3),
        ]
        actions, weights = zip(*steps, strict=True)
        for _ in range(STEPS):
            self.rng.choices(actions, weights)[0]()
        return self

    def unpaused_daemons(self):
        return [each for each in self.daemons.values() if each.paused_until_ms <= self.now_ms]

    def pick(self, items):
        items = list(items)
        return self.rng.choice(items) if items else None

    def submit(self):
        if len(self.keys) < 2 or self.rng.random() < 0.2:
            issued_ms = self.now_ms + self.rng.randrange(-5_000, 5_000)
            self.keys.append((len(self.keys), issued_ms))
        key, issued_ms = self.pick(self.keys[self.rng.choice([0, -2]) :])
        body = 2 if self.rng.random() < 0.02 else 1
        for daemon in self.unpaused_daemons():
            if self.rng.random() < 0.6:
                self.submit_to(daemon, key, body, issued_ms)

    def submit_to(self, daemon, key, body, issued_ms):
        wall_ms = self.now_ms + daemon.wall_skew_ms
        if check_issue_time(issued_ms, wall_ms, WINDOW_MS) is not IssueTimeStatus.FRESH:
            self.event_counts["expired"] += 1
            return
        daemon.counter += 1
        claim = claim_id(daemon.host, daemon.incarnation, daemon.counter)
        now_ms = self.clock(daemon)
        request = ClaimRequest(claim, key, body, issued_ms)
        holder = ClaimRequester(request, now_ms, now_ms + self.rng.choice([2_000, 30_000]))
        daemon.holders[claim] = holder
        self.execute(daemon, holder, [SendClaimRequest(request)])

    def deliver(self):
        if not self.in_transit:
            return
        index = self.rng.randrange(len(self.in_transit))
        host, incarnation, action = self.in_transit[index]
        daemon = self.daemons[host]
        if daemon.paused_until_ms > self.now_ms:
            return
        if self.rng.random() > 0.1 or incarnation is not None:
            del self.in_transit[index]
        if incarnation is None and self.rng.random() < 0.1:
            return
        if incarnation in (None, daemon.incarnation):
            action(daemon)

    def message(self, sender, to, message):
        source = (sender.host, sender.incarnation)
        self.in_transit.append((to, None, lambda daemon: self.receive(daemon, *source, message)))

    def receive(self, daemon, sender, incarnation, message):
        now_ms = self.clock(daemon)
        match message:
            case ClaimRequest():
                assumed_owner = daemon.host if daemon.host in OWNERS else "h0"
                sends = daemon.owner.handle_request(
                    sender, message, incarnation, now_ms, assumed_owner
                )
                self.send_all(daemon, sends)
            case ReleaseRequest():
                daemon.owner.handle_release(message)
            case ClaimResult():
                holder = daemon.holders.get(message.claim)
                if holder is not None:
                    self.execute(daemon, holder, holder.handle_result(message, now_ms))
            case OutcomeQuery():
                holder = daemon.holders.get(message.claim)
                if holder is not None:
                    self.execute(daemon, holder, holder.handle_query(sender, message))
                else:
                    gone = OutcomeAnswer(message.claim, 0, True, Outcome.UNKNOWN, 0, b"")
                    self.message(daemon, sender, gone)
            case OutcomeAnswer():
                for holder in list(daemon.holders.values()):
                    if getattr(holder, "queried_claim", None) == message.claim:
                        self.execute(daemon, holder, holder.handle_outcome(message))

    def send_all(self, daemon, sends):
        for send in sends:
            self.message(daemon, send.to, send.message)

    def execute(self, daemon, holder, decisions):
        for decision in decisions:
            match decision:
                case SendClaimRequest(request=request) | SendReleaseRequest(request=request):
                    self.message(daemon, self.pick((*OWNERS, "h2")), request)
                case QueryOutcome(host=host, claim=claim):
                    holder.queried_claim = claim
                    self.message(daemon, host, OutcomeQuery(claim, 0))
                case Send(to=to, message=message):
                    self.message(daemon, to, message)
                case AnswerCaller():
                    self.check_answer(holder, decision)
                case DispatchCall():
                    self.start_call(daemon, holder)

    def check_answer(self, holder, answer):
        request = holder.request
        self.event_counts[answer.outcome] += 1
        ran = [one for one in self.dispatches if one[0] == request.key_hash]
        if answer.code is ErrorCode.KEY_REUSED:
            ran = [one for one in ran if one[1] == request.body_hash]
        if answer.outcome is Outcome.NOT_RUN and ran:
            self.violations.append(f"{request} answered not_run after dispatches {ran}")
        if answer.outcome is Outcome.RAN and not ran:
            self.violations.append(f"{request} answered ran without a dispatch")

    def start_call(self, daemon, holder):
        if self.rng.random() < 0.2:
            self.event_counts["nothing sent"] += 1
            holder.nothing_sent()
            return
        request = holder.request
        before = [one for one in self.dispatches if one[0] == request.key_hash]
        if before:
            self.violations.append(f"{request} was dispatched after {before}")
        self.dispatches.append((request.key_hash, request.body_hash, request.claim))
        self.running.append((daemon.host, daemon.incarnation, holder))

    def holders(self, *states):
        return [
            (daemon, holder)
            for daemon in self.unpaused_daemons()
            for holder in daemon.holders.values()
            if holder.state in states
        ]

    def tick_holder(self):
        for daemon, holder in self.holders(*ClaimState):
            if self.rng.random() < 0.5:
                self.execute(daemon, holder, holder.tick(self.clock(daemon)))

    def dispatch(self):
        picked = self.pick(self.holders(ClaimState.WON))
        if picked:
            daemon, holder = picked
            self.execute(daemon, holder, holder.dispatch(self.clock(daemon)))

    def refuse(self):
        picked = self.pick(self.holders(ClaimState.WON, ClaimState.REQUESTED))
        if picked:
            daemon, holder = picked
            decisions = holder.refuse(ErrorCode.OVERLOADED, self.clock(daemon))
            self.execute(daemon, holder, decisions)

    def end_call(self):
        if not self.running:
            return
        host, incarnation, holder = self.running.pop(self.rng.randrange(len(self.running)))
        daemon = self.daemons[host]
        if daemon.incarnation == incarnation:
            failed = self.rng.random() < 0.3
            self.execute(daemon, holder, holder.fail() if failed else holder.finish(200, b"ok"))

    def poll_owner(self):
        daemon = self.pick(each for each in self.unpaused_daemons() if each.host in OWNERS)
        if daemon is None:
            return
        for decision in daemon.owner.poll(self.clock(daemon)):
            match decision:
                case AppendBatch(batch=batch):
                    self.append(daemon, batch)
                case ReadStream(start=start):
                    self.read(daemon, start)
                case Send(to=to, message=message):
                    self.message(daemon, to, message)

    def report(self, daemon, action):
        self.in_transit.append((daemon.host, daemon.incarnation, action))

    def append(self, daemon, batch):
        fault = self.rng.random()
        if self.outage_until_ms > self.now_ms or fault < 0.1:
            self.event_counts["lost append"] += 1
            effect = self.rng.choice(["none", "now", "later"])
            if effect == "now":
                self.log.append(LogRecord(len(self.log), self.now_ms, batch))
            if effect == "later":
                self.delayed_appends.append(batch)
            self.report(daemon, lambda each: each.owner.append_uncertain(self.clock(each)))
        elif fault < 0.15:
            self.report(daemon, lambda each: each.owner.append_rejected(self.clock(each)))
        else:
            offset = len(self.log)
            self.log.append(LogRecord(offset, self.now_ms, batch))
            self.report(daemon, lambda each: each.owner.append_succeeded(offset))

    def apply_delayed_append(self):
        if self.delayed_appends:
            self.event_counts["delayed append"] += 1
            batch = self.delayed_appends.pop(self.rng.randrange(len(self.delayed_appends)))
            self.log.append(LogRecord(len(self.log), self.now_ms, batch))

    def read(self, daemon, start):
        if self.outage_until_ms > self.now_ms:
            self.report(daemon, self.read_failed)
            return
        while self.first < len(self.log) and self.is_past_retention(self.log[self.first]):
            self.first += 1
        records = self.log[max(start, self.first) :][: self.rng.choice([1, 3, 100])]
        first, after = self.first, len(self.log)
        self.report(
            daemon, lambda each: self.send_all(each, each.owner.handle_read(records, first, after))
        )

    def read_failed(self, daemon):
        self.send_all(daemon, daemon.owner.read_failed(self.clock(daemon)))

    def is_past_retention(self, record):
        return self.now_ms - record.at_ms > 3 * WINDOW_MS + 60_000

    def advance_clock(self):
        self.now_ms += self.rng.choice([1, 5, 10, 20, 60])
        if self.rng.random() < 0.02:
            self.now_ms += self.rng.choice([3_000, 10_000, 90_000])

    def pause_daemon(self):
        daemon = self.pick(self.daemons.values())
        daemon.paused_until_ms = self.now_ms + self.rng.choice([100, 3_000, 6_000, 40_000, 100_000])

    def restart_daemon(self):
        daemon = self.pick(self.daemons.values())
        self.daemons[daemon.host] = self.start(daemon.host, daemon.incarnation + 1)

    def start_log_outage(self):
        self.outage_until_ms = self.now_ms + self.rng.choice([300, 3_000])


@pytest.mark.parametrize("first_seed", range(0, 200, 50))
def test_key_is_dispatched_at_most_once_and_reported_outcomes_are_true(first_seed):
    total_counts, dispatched = Counter(), 0
    for seed in range(first_seed, first_seed + 50):
        fleet = Fleet(seed).run()
        assert not fleet.violations, f"seed {seed}: {fleet.violations[0]}"
        total_counts += fleet.event_counts
        dispatched += len(fleet.dispatches)
    # The check would be void if the simulations had too few dispatches or faults.
    assert dispatched >= 25
    for event in (*Outcome, "lost append", "delayed append", "nothing sent", "expired"):
        assert total_counts[event] >= 5, event


def test_simulation_detects_an_owner_that_answers_from_a_cache():
    failing_seeds = [seed for seed in range(50) if Fleet(seed, CachingOwner).run().violations]
    assert failing_seeds
