"""Models gateways that share a quota, with a clock and network of their own."""

import collections
import heapq
import itertools
import random

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import quotas

ORGANISATION = "org-1"
BOUNDS = quotas.Bounds(slack=190_000.0)


class View(quotas.Directory):
    """What one gateway knows of the others."""

    def __init__(self, quota, names):
        self.quota = quota
        self.names = list(names)

    def find_quota(self, organisation):
        return self.quota

    @property
    def members(self):
        return self.names

    def rank(self, organisation):
        return balancing.rank_preferred(organisation, self.names)[:6]

    @property
    def digest_interval_s(self):
        return 0.2 * max(1.0, (len(self.names) - 1) / 8)


class Gateway:
    """One process of a gateway; a frozen one does its work when it thaws."""

    def __init__(self, fleet, name, members):
        now = fleet.now
        self.fleet = fleet
        self.name = name
        self.view = View(fleet.quota, members)
        self.started_at = now
        self.digests = itertools.count(1)
        self.peers = quotas.PeerWatch(name, self.view, self.send, now, now)
        self.owner = quotas.Owner(
            name, BOUNDS, self.view, self.peers, self.send, now
        )
        self.borrower = quotas.Borrower(
            name,
            BOUNDS,
            self.view,
            self.peers,
            self.send,
            fleet.random.getrandbits(60),
        )
        self.repeat(0.1, self.tick)
        self.repeat(0.2, self.gossip)

    def repeat(self, interval_s, work):
        def run():
            work()
            self.repeat(interval_s, work)

        pause_s = interval_s * self.fleet.random.uniform(0.9, 1.1)
        self.fleet.after(pause_s, run, self)

    def tick(self):
        self.owner.check(self.fleet.now)
        self.borrower.tick(self.fleet.now)

    def gossip(self):
        others = [n for n in self.view.names if n != self.name]
        number = next(self.digests)
        for other in self.fleet.random.sample(others, min(8, len(others))):
            self.send(other, (self.name, self.started_at, number))

    def send(self, name, message):
        if name == self.name:
            grant = self.owner.handle_ask(message, self.fleet.now)
            if grant is not None:
                self.borrower.handle_grant(grant, self.fleet.now)
        else:
            self.fleet.transmit(self.name, name, message)

    def receive(self, message):
        now = self.fleet.now
        if isinstance(message, tuple):
            sender, started, number = message
            self.peers.record_digest(sender, started, number, now)
        elif isinstance(message, quotas.ProbeResponse):
            self.peers.record_statement(message.sender, message.is_active, now)
        else:
            self.peers.record(message.sender, now)
            self.respond(message, now)

    def respond(self, message, now):
        if isinstance(message, quotas.Grant):
            self.borrower.handle_grant(message, now)
        elif isinstance(message, quotas.Probe):
            is_active = self.owner.is_active(now)
            self.send(
                message.sender, quotas.ProbeResponse(self.name, is_active)
            )
        else:
            grant = self.owner.handle_ask(message, now)
            if grant is not None:
                self.send(message.sender, grant)

    def request(self, cost, is_run=True):
        began = self.fleet.now
        quota = self.fleet.quota
        self.fleet.count_excused(cost)
        charge = self.borrower.begin(ORGANISATION, quota, cost, began)

        def advance():
            self.borrower.advance(charge, self.fleet.now)
            follow()

        def follow():
            if charge.state is quotas.State.PENDING:
                pause_s = charge.next_at - self.fleet.now
                self.fleet.after(max(0.001, pause_s), advance, self)

        def settle():
            self.fleet.record(charge, began, is_run)
            if not is_run:
                self.borrower.give_back(charge, self.fleet.now)

        charge.on_settled = settle
        if charge.state is quotas.State.PENDING:
            follow()
        else:
            settle()


class Fleet:
    """Gateways, the network between them, and what they admitted.

    Attributes:
        sent: Time and cost of each request that was sent.
        refused: Time and state of each that was refused.
        excused: Number of requests that one bucket for all would refuse.
        least_level: Least level of that bucket, as a share of its capacity.
        waits: How long each request waited for its charge.
        messages: Numbers of messages by type, without digests.
    """

    def __init__(self, quota, size, seed, loss=0.0, delay_s=0.003):
        self.quota = quota
        self.random = random.Random(seed)
        self.loss = loss
        self.delay_s = delay_s
        self.now = 1_000.0
        self.cuts = {}
        self.frozen = {}
        self.sent = []
        self.refused = []
        self.excused = 0
        self.least_level = 1.0
        self._bucket = quotas.DebtBucket(
            quota, quota.capacity, 0.0, quota.capacity, self.now
        )
        self.waits = []
        self.messages = collections.Counter()
        self._events = []
        self._numbers = itertools.count()
        self.names = [f"vm-{number}" for number in range(size)]
        self.gateways = {}
        for name in self.names:
            self.gateways[name] = Gateway(self, name, self.names)

    def after(self, pause_s, work, gateway=None):
        event = (self.now + pause_s, next(self._numbers), work, gateway)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, work, gateway = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if gateway is None:
                work()
            elif gateway is self.gateways.get(gateway.name):
                thaws_in_s = self.frozen.get(gateway.name, 0.0) - self.now
                if thaws_in_s > 0.0:
                    self.after(thaws_in_s, work, gateway)
                else:
                    work()
        self.now = end

    def transmit(self, sender, recipient, message):
        if not isinstance(message, tuple):
            self.messages[type(message).__name__] += 1
        if self.cuts.get(sender, 0) != self.cuts.get(recipient, 0):
            return
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            if self.random.random() >= self.loss:
                delay_s = self.random.uniform(0.0005, self.delay_s)
                if self.random.random() < self.loss:
                    delay_s *= 100
                self.after(delay_s, lambda: self._deliver(recipient, message))

    def _deliver(self, recipient, message):
        gateway = self.gateways.get(recipient)
        if gateway is not None:
            self.after(0.0, lambda: gateway.receive(message), gateway)

    def load(self, costs_per_s, cost, until_s, names=None, is_run=True):
        """Makes callers send requests at random times and gateways."""
        end = self.now + until_s
        names = names or self.names

        def send():
            if self.now >= end:
                return
            gateway = self.gateways.get(self.random.choice(names))
            if gateway is not None:
                size = max(1, round(self.random.expovariate(1 / cost)))
                self.after(
                    0.0,
                    lambda: gateway.request(min(size, 93_000), is_run),
                    gateway,
                )
            self.after(self.random.expovariate(costs_per_s / cost), send)

        send()

    def count_excused(self, cost):
        if not self._bucket.take(cost, self.now):
            self.excused += 1
        level = self._bucket.fill(self.now) / self.quota.capacity
        self.least_level = min(self.least_level, level)

    def record(self, charge, began, is_run):
        self.waits.append(self.now - began)
        if charge.state is quotas.State.ADMITTED:
            if is_run:
                self.sent.append((self.now, charge.cost))
        else:
            self.refused.append((self.now, charge.state))

    def kill(self, name):
        del self.gateways[name]

    def start(self, name):
        """Starts a gateway, which the others know already."""
        self.gateways[name] = Gateway(self, name, self.names)

    def register(self, name, delay_s):
        """Adds a gateway, of which the others learn one by one."""
        self.names.append(name)
        self.gateways[name] = Gateway(self, name, self.names[:-1])
        for other in self.gateways.values():
            self._learn(other, name, self.random.uniform(0.0, delay_s))

    def _learn(self, gateway, name, pause_s):
        def learn():
            gateway.view.names.append(name)
            gateway.owner.handle_members_change(self.now)

        self.after(pause_s, learn, gateway)

    def freeze(self, name, seconds):
        self.frozen[name] = self.now + seconds

    def cut_off(self, names):
        self.cuts = dict.fromkeys(names, 1)

    def find_owner(self):
        return balancing.rank_preferred(ORGANISATION, self.names)[0]

    def find_excess(self):
        """Returns the most by which a window exceeds rate and burst."""
        most = total = first = 0
        for at, cost in self.sent:
            total += cost
            while self.sent[first][0] < at - BOUNDS.window_s:
                total -= self.sent[first][1]
                first += 1
            most = max(most, total)
        return most - self.quota.rate * BOUNDS.window_s - self.quota.burst


def make_quota(rate, burst_s=1.0):
    return catalog.Quota(rate, rate * burst_s, catalog.QuotaUnit.TOKENS)
