"""Every decision of brasshead. The types, events and actions used here are defined in brasshead/interface.py.

A request meets the parts in this order: membership (who is there), admission (is it worth a try), health and
cold-start budget (who may be sampled), load table and band choice (the Quantile process of Los and Sauerwald:
two uniform samples, compared by band), attempt plan (time-out, retry, hedge). docs/design.md tells why.
"""
from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from heapq import heappop, heappush
from math import ceil, log2
from random import Random
from struct import Struct
from typing import Any
from zlib import crc32

from .interface import (
    NEVER_RAN, Action, AttemptEnded, Backend, BackendId, BackendsChanged, Cancel, ClientGone, Discovery,
    Effect, Event, Fail, Group, ListKind, Log, Outcome, PeerMessage, Probe, ProbeEnded, Refuse,
    RequestArrived, RequestClass, Send, SetTimer, Settings, State, StreamStarted, Tell, TimerFired, Watch,
)

MS, SECOND = 1_000, 1_000_000
QUERIES = 8  # k of the Quantile process
FRESH_US = SECOND  # a report this young counts in full; older ones fade to the mean as FRESH_US / age
GAIN, SERVICE_GAIN = 0.1, 0.3  # weight of a new sample in smoothed figures; in those the server has smoothed
PRIOR = 4  # a learned pace counts half after this many answers
FORGET_US = 5 * SECOND  # a pace not confirmed for this long counts half: a server shunned must be seen again
RESIDUE, RESIDUE_US = 10, SECOND  # weight of an attempt that ended badly fades over so many latencies at most
SILENT = 5  # no answer for this many typical latencies, with attempts out, is silence
OUT_FIRST_US, OUT_MAX_US = 500 * MS, 4 * SECOND  # exclusion from sampling, doubled each time
TRIALS = 8  # readmission: at most this many attempts out at once before all limits fall
RETRY_SHARE, RETRY_BURST = 0.15, 10.0  # repeats that may load the servers, as a share of first tries
IDLE = 8.0  # attempts that all balancers together may hold at a server whatever is predicted
HEADROOM = 0.45  # predicted time to an answer, as a share of the time to the aim: the rest is for the spread
GIVE_WAY = 0.2  # the same for a client's retry and for requests beyond their tenant's share
DRAWS = 16  # samples drawn until two fit the request; no more servers than this are looked at one by one
REINDEX = 4  # the cutoffs of n servers serve n / 4 picks: the cost of a pick must not grow with n
COLD_MARGIN = 4.0  # from this fall multiple on a cold server gets its full part: two samples can double it
PROBE_SPEND = 0.01  # the most of the goal that asking both samples of every request may cost
ASK_SHARE = 0.05  # asking may take, and a report may be old, this share of the time to the aim
PEER_SPEND, PEERS_MOST = 0.005, 32  # the same for telling peers what was heard, and how many at once
NOTE = Struct(">IHH")  # what peers are told: a backend's tag, what it holds, its service time in ms
ASK_PAIRS = 4  # pairs asked for one request before it is given up as hopeless
HOLD_US = 20 * MS  # a held request is looked at this often
WAITING = 2.0  # requests that all balancers together may hold for each server while all are busy
SOON = 0.15  # such a one is looked at this often, as a share of the typical latency
IN_TIME = 1.5  # and held while so many typical latencies are left to its aim
WATCH_FIRST_US, WATCH_MAX_US = 200 * MS, 2 * SECOND  # wait after a failed list call, doubled each time


class Server:
    """What this balancer knows of one backend."""

    __slots__ = ("id", "zone", "cell", "hint", "state", "started_at", "open", "residue", "residue_at",
                 "others", "heard_at", "latency", "load", "samples", "answered_at", "ended_at",
                 "failing", "streak", "out_until", "out_us", "allowance", "asked_at", "askers",
                 "pace", "service", "news_at", "fade_us")

    def __init__(self, b: Backend, now: int) -> None:
        self.id = b.id
        self.open: dict[tuple[int, int], int] = {}  # own attempts out, oldest first: when each was sent
        self.asked_at = 0  # when the probe now out was sent; 0: none is
        self.askers: list[Request] = []  # requests that wait for its echo
        self.adopt(b)
        self.reset(now)

    def adopt(self, b: Backend) -> None:
        self.zone, self.cell, self.state = b.zone, b.cell, b.state
        self.hint, self.started_at = max(b.capacity_hint, 1e-6), b.started_at

    def own(self, now: int) -> float:
        """Own attempts out, and what is left of the weight of those that ended badly."""
        faded = self.residue and self.residue * self.fade_us / (self.fade_us + now - self.residue_at)
        return len(self.open) + faded

    def reset(self, now: int) -> None:
        """Forget what was learned of an earlier process."""
        self.news_at = now  # when it was last heard of in any way
        self.pace = 1.0  # as of the last look at the table
        self.residue = self.others = self.service = self.latency = self.load = self.failing = 0.0
        self.residue_at = self.heard_at = self.answered_at = self.ended_at = self.samples = self.streak = 0
        self.out_until = self.out_us = self.allowance = 0  # allowance 0: no limit
        self.fade_us = RESIDUE_US


class Request:
    """A request this balancer has taken, until its answer is given and its attempts have ended."""

    __slots__ = ("id", "cls", "deadline", "aim_at", "gives_way", "sends", "out", "may_have_run",
                 "tried", "done", "luck", "size", "pair", "silent", "pairs", "pairs_most")

    def __init__(self, e: RequestArrived, cls: RequestClass, now: int, luck: float, size: float) -> None:
        self.id, self.cls, self.deadline = e.request, cls, now + e.patience_us
        self.aim_at = min(now + cls.aim_us + int(cls.aim_stretch * e.cost_us), self.deadline)
        self.gives_way = self.done = False
        self.luck = luck  # one for its whole life: a held request must not draw until a cold server takes it
        self.size = size  # its work as a multiple of the mean, where a hint tells it
        self.sends = 0
        self.out: dict[int, tuple[Server, int, float]] = {}  # attempt: server, sent at, table load then
        self.may_have_run: list[tuple[int, Server, int]] = []  # attempts not proven never to have run
        self.tried: list[Server] = []
        self.pair: tuple[Server, Server] | None = None  # samples that have been asked for their load
        self.silent: list[Server] = []  # those of them that have not answered yet
        self.pairs, self.pairs_most = 0, ASK_PAIRS

    def may_refuse(self) -> bool:
        """A refusal says that trying again is harmless."""
        c = self.cls
        return not self.may_have_run or c.effect is Effect.SAFE or (
            c.effect is Effect.KEYED and c.group is Group.ALL)


@lru_cache(maxsize=4096)
def cutoff_ranks(n: int, k: int = QUERIES) -> tuple[int, ...]:
    """The ranks, from the most loaded down, at which Quantile(d1 .. dk) cuts n servers."""
    deltas = [2 ** (-0.5 * log2(n) ** ((k - i) / k)) for i in range(1, k)]
    ranks = {ceil(d * n - 1e-9) for d in deltas if d < 0.5} | {ceil(n / 2)}
    return tuple(sorted(ranks))


def cutoffs(loads: list[float]) -> list[float]:
    """The loads at these ranks."""
    ordered = sorted(loads, reverse=True)
    return [ordered[r - 1] for r in cutoff_ranks(len(loads))]


def lower_band(rng: Random, cuts: list[float], load_i: float, load_j: float) -> bool:
    """Whether the first of two samples takes it: the lower band does, a tie goes at random."""
    band_i = sum(load_i >= c for c in cuts)
    band_j = sum(load_j >= c for c in cuts)
    return band_i < band_j or (band_i == band_j and rng.random() < 0.5)


class LoadTable:
    """What each server holds, by its reports and this balancer's own count, and how fast it works it off."""

    def __init__(self, settings: Settings) -> None:
        fields = settings.report_fields
        self.column = next((fields.index(f) for f in ("inflight", "queue") if f in fields), -1)
        self.service_column = fields.index("latency_ms") if "latency_ms" in fields else -1
        self.hinted = settings.capacity_hints
        self.cuts: list[float] = []
        self.mean, self.mean_hint = 0.0, 1.0  # of the table: loads heard of, capacity hints
        self.mean_service = 0.0  # and reported service times
        self.news_at = 0  # when the median server was last heard of
        self.cost = 0.0  # mean cost of a request by its hints
        self.pace = 0.0  # fleet: time per unit of load
        self.typical = 0.0  # fleet: latency of answers

    def look(self, servers: list[Server], now: int) -> None:
        """What the entries come to in the mean."""
        heard = [s.own(now) + max(0.0, s.others) for s in servers if s.heard_at]
        self.mean = sum(heard) / len(heard) if heard else 0.0
        self.news_at = sorted(s.news_at for s in servers)[len(servers) // 2] if servers else 0
        known = [s.service for s in servers if s.service]
        self.mean_service = sum(known) / len(known) if known else 0.0
        if self.hinted and servers:
            self.mean_hint = sum(s.hint for s in servers) / len(servers)

    def others(self, s: Server, now: int) -> float:
        """What all others hold at a server: as reported, an old report fading to the mean of the table.

        A server not heard from enters at that mean.
        """
        if not s.heard_at:
            return self.mean
        age = max(FRESH_US, now - s.heard_at)
        return self.mean + (max(0.0, s.others) - self.mean) * FRESH_US / age

    def size_of(self, cost_us: int) -> float:
        """The work of a request as a multiple of the mean request's; 1 where nothing tells it."""
        if not cost_us:
            return 1.0
        self.cost += (GAIN / 4 if self.cost else 1.0) * (cost_us - self.cost)
        return cost_us / self.cost

    def holds(self, now: int, s: Server, held: float) -> None:
        """Take in what a probe or a peer tells: it stands for itself and is not smoothed."""
        s.others, s.heard_at, s.news_at = held - len(s.open), now, now

    def works(self, s: Server, service_ms: float) -> None:
        """Learn from a reported service time, waiting left out, how fast a server works."""
        if service_ms > 0:
            s.service += (SERVICE_GAIN if s.service else 1.0) * (service_ms - s.service)

    def pace_of(self, s: Server, now: int, warmth: float) -> float:
        """Time a server takes per unit of load: the inverse of its relative capacity."""
        pace = (self.pace or 1.0) / warmth
        if self.hinted:
            pace *= self.mean_hint / s.hint
        if s.service:
            pace *= s.service / self.mean_service
        if s.samples:
            w = s.samples / (s.samples + PRIOR) * FORGET_US / (FORGET_US + now - s.ended_at)
            pace += w * (s.latency / s.load - pace)
        return pace

    def ended(self, now: int, s: Server, e: AttemptEnded, load_at_send: float) -> None:
        """Learn from an attempt that has just been taken off s.open."""
        s.ended_at = now
        if self.column >= 0 and len(e.report) > self.column:
            # The report holds our own attempts too: what remains after them is the others' share.
            others = e.report[self.column] - len(s.open) - 1
            gain = 1.0 if not s.heard_at else max(GAIN, min(1.0, (now - s.heard_at) / FRESH_US))
            s.others += gain * (others - s.others)
            s.heard_at = s.news_at = now
            # The load at sending may be an old guess: a jam that grew unseen made every server look slow, and
            # all was refused that could be served (bajio, crash).
            load_at_send = max(load_at_send, e.report[self.column])
        if 0 <= self.service_column < len(e.report):
            self.works(s, e.report[self.service_column])
        if e.outcome is Outcome.OK or (e.outcome is Outcome.TIMEOUT and e.latency_us > self.typical):
            gain = max(GAIN, 1 / (s.samples + 1))
            s.latency += gain * (e.latency_us - s.latency)
            s.load += gain * (load_at_send - s.load)
            s.samples += 1
        if e.outcome is Outcome.OK:
            s.answered_at = now
            gain = GAIN / 4 if self.pace else 1.0
            self.typical += gain * (e.latency_us - self.typical)
            self.pace += gain * (e.latency_us / load_at_send - self.pace)
        else:
            # Balls stay: a server that ends attempts at once must not look light for it.
            s.residue, s.residue_at = s.own(now) - len(s.open) + 1.0, now
            s.fade_us = min(RESIDUE_US, int(RESIDUE * self.typical) or RESIDUE_US)


class Health:
    """Which servers are left out of sampling, on strong evidence only, and how they come back."""

    def __init__(self, rng: Random, log: Callable[[str], None]) -> None:
        self.rng, self.log = rng, log
        self.shared = False

    def look(self, servers: list[Server], now: int, typical: float) -> None:
        """When most look ill the cause is shared, and the rest would drown: then none is left out."""
        self.shared = 2 * sum(self.ill(s, now, typical) for s in servers) > len(servers)

    def admits(self, s: Server, now: int, typical: float) -> bool:
        return self.shared or not self.ill(s, now, typical)

    def ill(self, s: Server, now: int, typical: float) -> bool:
        if s.out_until > now or (s.allowance and len(s.open) >= s.allowance):
            return True
        if len(s.open) < 2 or not typical:
            return False
        # Silent: takes work and answers nothing.
        return now - max(next(iter(s.open.values())), s.answered_at) > SILENT * typical

    def ended(self, s: Server, now: int, outcome: Outcome) -> None:
        if outcome is Outcome.OK:
            s.failing -= GAIN * s.failing
            s.streak = 0
            if s.allowance and s.out_until <= now:
                s.allowance += 1
                if s.allowance > TRIALS:
                    s.allowance = s.out_us = 0
                    self.log(f"server {_name(s.id)} healthy: readmitted in full")
        elif outcome is not Outcome.NOT_SENT and outcome is not Outcome.CANCELLED:
            s.failing += GAIN * (1.0 - s.failing)
            s.streak += 1
            at_once = outcome is Outcome.RESET or outcome is Outcome.CONNECT_FAILED or s.allowance > 0
            if at_once or s.streak >= 3 or (s.streak >= 2 and s.failing > 0.3):
                self.exclude(s, now, outcome.value)

    def exclude(self, s: Server, now: int, why: str) -> None:
        if s.out_until > now:
            return
        if not s.out_us:
            self.log(f"server {_name(s.id)} excluded: {why}")
        s.out_us = min(2 * s.out_us or OUT_FIRST_US, OUT_MAX_US)
        s.out_until = now + int(s.out_us * (0.75 + 0.5 * self.rng.random()))
        s.allowance = 1


class ColdBudget:
    """Keeps all balancers together from pushing over a server that has just started.

    Of each balancer's requests only the share that the server is warm may see it at all, drawn at random for
    each request: in the sum over all balancers it gets its part of the traffic, however that is split.
    """

    def __init__(self, settings: Settings) -> None:
        self.start, self.warm_up = settings.start_fraction, settings.warm_up_us
        self.scale = min(1.0, settings.fall_multiple / COLD_MARGIN)
        self.served = 1.0  # share of the latest requests that were served
        self.fit = 1.0  # share of the latest draws that fitted

    def warmth(self, s: Server, now: int) -> float:
        """Share of its capacity a server surely has: the slowest ramp the settings allow."""
        age = now - s.started_at
        if not s.started_at or age >= self.warm_up:
            return 1.0
        return self.start + (1.0 - self.start) * max(0, age) / self.warm_up

    def admits(self, s: Server, now: int, luck: float, known: bool) -> bool:
        if not s.started_at:
            return True
        warmth = self.warmth(s, now)
        # Its part of what is served, not of what is asked for, and no more because few others fit: retries of
        # an overloaded fleet pushed one over. Not needed where it is asked first what it holds.
        part = self.scale if known else self.scale * self.served * self.fit
        return warmth >= 1.0 or luck < warmth * part

    def drew(self, fit: float) -> None:
        self.fit += GAIN * (fit - self.fit)

    def ended(self, served: bool) -> None:
        self.served += GAIN * (served - self.served)


class TenantShares:
    """Tells requests beyond a tenant's share; this balancer's part of a quota is its part of the traffic."""

    def __init__(self, settings: Settings) -> None:
        self.quotas = [t.quota_per_s / SECOND for t in settings.tenants]
        self.part = 1.0 / settings.siblings
        self.buckets = [(1.0, 0)] * len(self.quotas)

    def learn(self, own: int, others: float) -> None:
        if own + others > 0:
            self.part += 0.002 * (own / (own + others) - self.part)

    def over(self, tenant: int, now: int) -> bool:
        if not self.quotas or not self.quotas[tenant]:
            return False
        rate = self.quotas[tenant] * self.part
        level, at = self.buckets[tenant]
        level = min(max(1.0, rate * SECOND), level + rate * (now - at) if at else 1.0)
        self.buckets[tenant] = (level - 1.0 if level >= 1.0 else level, now)
        return level < 1.0


def _name(backend: BackendId) -> str:
    return backend.hex() if isinstance(backend, bytes) else str(backend)


class Balancer:
    """One balancer. Hand every event to handle() in order; carry out the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.servers: dict[BackendId, Server] = {}
        self.ready: list[Server] = []
        self.watching, self.watch_wait = False, WATCH_FIRST_US
        self.table = LoadTable(settings)
        self.health = Health(self.rng, self._log)
        self.cold = ColdBudget(settings)
        self.shares = TenantShares(settings)
        self.bearable = {c.name: min(d.aim_us for d in settings.classes if d.worth >= c.worth)
                         for c in settings.classes}
        self.idle = IDLE / settings.siblings
        # Asking both samples of each request must be cheap, and there must be something to learn by it.
        self.asks = (settings.can_probe and self.table.column >= 0
                     and 2 * settings.prices.probe <= PROBE_SPEND)
        self.ask_us = int(ASK_SHARE * min(c.aim_us for c in settings.classes))
        price, self.tells = settings.prices.peer, 0  # peers told of each report
        if settings.can_tell and self.table.column >= 0:
            bought = int(PEER_SPEND * 256 / (price * NOTE.size)) if price else PEERS_MOST
            self.tells = min(settings.siblings - 1, PEERS_MOST, bought)
        # So young an entry is known, and no free pass is needed to learn of it.
        self.known_us = self.ask_us if self.asks else FORGET_US if self.tells else -1
        self.tags: dict[int, Server] = {}
        self.picks_left = 0  # picks that the cutoffs still serve
        self.requests: dict[int, Request] = {}
        self.waiting: set[int] = set()  # requests held because all servers are busy
        self.budget = RETRY_BURST
        self.due: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.due_count = 0
        self.armed = 0  # the earliest timer that is set; 0: none
        # Attempts and waits end two rounds before the client's time is up, or in the first half of the slack:
        # the answer is given in the round after.
        self.margin = max(0, 2 * settings.tick_us - settings.answer_slack_us // 2)
        self.handlers: dict[type, Callable[[Any], None]] = {
            BackendsChanged: self._backends, RequestArrived: self._arrived, AttemptEnded: self._ended,
            StreamStarted: self._streaming, ClientGone: self._gone, TimerFired: self._timer,
            ProbeEnded: self._probed, PeerMessage: self._told,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at time now; return what to do about it."""
        self.now, self.actions = now, []
        handler = self.handlers.get(type(event))
        if handler is None:
            raise TypeError(f"{type(event).__name__} is no event of the interface")
        handler(event)
        return self.actions

    def _log(self, text: str) -> None:
        self.actions.append(Log(text))

    # Membership

    def _backends(self, e: BackendsChanged) -> None:
        now = self.now
        if e.kind is ListKind.FAILED:
            self.watching = False
            self._later(now + int(self.watch_wait * (0.5 + self.rng.random())), self._watch, None)
            self.watch_wait = min(2 * self.watch_wait, WATCH_MAX_US)
            return
        if e.kind is not ListKind.CACHED:
            self.watch_wait = WATCH_FIRST_US
        named = set()
        for b in e.backends:
            named.add(b.id)
            old = self.servers.get(b.id)
            if old is None:
                self.servers[b.id] = self.tags[crc32(_name(b.id).encode())] = Server(b, now)
                continue
            if b.started_at != old.started_at:
                old.reset(now)  # a new process under the same id
            old.adopt(b)
        if e.kind is not ListKind.DELTA:
            for server in self.servers.values():
                if server.id not in named:
                    server.state = State.GONE
        self._forget()
        self.ready = [x for x in self.servers.values() if x.state is State.READY]
        self.picks_left = 0
        if self.settings.discovery is Discovery.ASK and not self.watching:
            self._watch(None)

    def _forget(self) -> None:
        """Drop who is gone: ids are ever new. One with attempts or askers out goes when they have ended."""
        for s in [s for s in self.servers.values() if s.state is State.GONE and not s.open and not s.askers]:
            del self.servers[s.id]
            tag = crc32(_name(s.id).encode())
            if self.tags.get(tag) is s:
                del self.tags[tag]

    def _watch(self, _: None) -> None:
        if not self.watching:
            self.watching = True
            self.actions.append(Watch())

    # Admission

    def _arrived(self, e: RequestArrived) -> None:
        now = self.now
        self.settings.check(e, e.request in self.requests)
        size = self.table.size_of(e.cost_us)
        r = Request(e, self.settings.classes[e.request_class], now, self.rng.random(), size)
        self.requests[e.request] = r
        self.budget = min(RETRY_BURST, self.budget + RETRY_SHARE)
        # A retry has lost part of its time to the aim unseen: served before first tries it came late.
        r.gives_way = self.shares.over(e.tenant, now) or e.is_retry
        self._advance(r)

    def _advance(self, r: Request) -> None:
        """Send the request where it may go; hold, refuse or fail it where it may not."""
        now = self.now
        self.waiting.discard(r.id)
        left = self._left(r)
        if left <= 0 or r.sends >= self.settings.max_attempts:
            return self._finish(r)
        pool = self._pool(r)
        pair = self._two(r, pool) if pool else None
        if pair is None:
            # Held while nobody may be sent to, and a little while all are busy; else refused at once.
            busy = any(self._admits(r, s) for s in pool[:DRAWS])
            if r.sends == 0 and now < r.aim_at - self.margin and not busy:
                return self._later(min(now + HOLD_US, r.aim_at - self.margin), self._held, r)
            return self._wait(r) if busy and self._can_wait(r) else self._finish(r)
        self._ask(r, pair)

    def _can_wait(self, r: Request) -> bool:
        """Whether a place that frees up soon still serves it: one turned away comes back after its aim."""
        most = max(1.0, WAITING * len(self.ready) / self.settings.siblings)
        typical = self.table.typical
        return (typical > 0 and self.now + IN_TIME * typical < r.aim_at and len(self.waiting) < most
                and not r.gives_way and r.size <= 1.0)

    def _wait(self, r: Request) -> None:
        r.pairs_most = r.pairs + ASK_PAIRS
        self.waiting.add(r.id)
        self._later(self.now + int(SOON * self.table.typical), self._held, r)

    def _left(self, r: Request) -> int:
        """Time in which an answer is still worth something, and can be given."""
        return (r.deadline if r.cls.late_worth else r.aim_at) - self.now - self.margin

    def _held(self, r: Request) -> None:
        if not r.done and not r.out and r.pair is None:
            self._advance(r)

    # Asking the samples

    def _ask(self, r: Request, pair: tuple[Server, Server]) -> None:
        """Bring the entries of both samples up to date where that is cheap, then compare them."""
        # A balancer with a request a second hears from each of fifty servers once in a minute: its table made
        # two samples no better than one.
        now, bound = self.now, self.ask_us
        r.pair = pair
        r.silent = [s for s in dict.fromkeys(pair) if now - s.heard_at > bound] if self.asks else []
        if not r.silent:
            return self._settle(r)
        for s in r.silent:
            if not s.asked_at or now - s.asked_at > bound:
                s.asked_at = now
                self.actions.append(Probe(s.id))
            s.askers.append(r)
        r.pairs += 1
        self._later(now + min(bound, self._left(r)), self._unanswered, (r, r.pairs))

    def _unanswered(self, what: tuple[Request, int]) -> None:
        r, pairs = what
        if r.pair is not None and r.pairs == pairs and not r.done:
            self._settle(r)

    def _probed(self, e: ProbeEnded) -> None:
        """An echo tells the load only: that a process answers beside its queue is no proof that it works."""
        s = self.servers.get(e.backend)
        if s is None:
            return
        s.asked_at, askers, s.askers = 0, s.askers, []
        heard = e.outcome is Outcome.OK and 0 <= self.table.column < len(e.report)
        if heard:
            self.table.holds(self.now, s, e.report[self.table.column])
        for r in askers:
            if r.pair is not None and not r.done and s in r.silent:
                if heard:
                    r.silent.remove(s)
                if not r.silent or not heard:
                    self._settle(r)

    # Telling peers

    def _tell(self, s: Server, held: float) -> None:
        """Tell some peers, drawn anew each time, what a server has just reported; fewer while all idle."""
        numbers = (max(0, min(0xFFFF, round(x))) for x in (held, s.service))
        note = NOTE.pack(crc32(_name(s.id).encode()), *numbers)
        for _ in range(round(self.tells * min(1.0, self.table.mean / 2))):
            peer = int(self.rng.random() * (self.settings.siblings - 1))
            self.actions.append(Tell(peer + (peer >= self.settings.me), note))

    def _told(self, e: PeerMessage) -> None:
        """What peers say may be lost, late or wrong: it sets entries of the load table and nothing else."""
        if len(e.payload) == NOTE.size:
            tag, held, service_ms = NOTE.unpack(e.payload)
            if tag in self.tags:
                self.table.holds(self.now, self.tags[tag], held)
                self.table.works(self.tags[tag], service_ms)

    def _settle(self, r: Request) -> None:
        """Send to the lighter of the two samples, or draw again if neither can be hoped to answer in time."""
        assert r.pair is not None
        pair, limit, left = r.pair, self._limit(r), r.aim_at - self.now
        # A sample that answers goes before one that does not; if none does, the table decides.
        silent = r.silent if len(r.silent) < len(set(pair)) else []
        r.pair, r.silent = None, []
        fit = [s for s in pair if self._may_go(r, s) and s not in silent and self._hopeful(r, s, limit, left)]
        if fit and self._left(r) > 0:
            return self._send(r, *self._lighter(r, (fit[0], fit[-1])))
        if r.pairs < r.pairs_most:
            return self._advance(r)
        if self._can_wait(r):
            return self._wait(r)
        self._finish(r)


    # Sampling set and band choice

    def _pool(self, r: Request) -> list[Server]:
        if not r.may_have_run or r.cls.effect is Effect.SAFE:
            return self.ready
        return [s for s in self.ready if self._may_go(r, s)]

    def _may_go(self, r: Request, s: Server) -> bool:
        """Rules 2 and 3: asked again when an echo is in, for lists and windows change while it is awaited."""
        if s.state is not State.READY:
            return False
        if not r.may_have_run or r.cls.effect is Effect.SAFE:
            return True
        _, first, sent = r.may_have_run[0]
        if r.cls.effect is Effect.UNSAFE or self.now >= sent + r.cls.window_us - 2 * self.settings.tick_us:
            return False
        return r.cls.group is Group.ALL or (
            s.zone == first.zone if r.cls.group is Group.ZONE else s.cell == first.cell)

    def _admits(self, r: Request, s: Server) -> bool:
        # Where peers tell every answer, a server of which nothing is heard hangs: balancers that each found
        # out by themselves lost a tenth of all requests. Some still try it; of cold ones less is heard.
        silence = (self.now - s.news_at) * r.luck * self.cold.warmth(s, self.now) if self.tells else 0
        if silence > 2 * max(FRESH_US, self.now - self.table.news_at):
            return False
        return (self.cold.admits(s, self.now, r.luck, self.asks)
                and self.health.admits(s, self.now, self.table.typical))

    def _two(self, r: Request, pool: list[Server]) -> tuple[Server, Server] | None:
        """Two uniform samples with replacement among the servers that are fit for this request."""
        random, n = self.rng.random, len(pool)
        self._index()
        limit, left = self._limit(r), r.aim_at - self.now
        fit: list[Server] = []
        draws = 0
        while draws < max(2, min(DRAWS, n // 2)) and len(fit) < 2:  # uniform over those that fit
            s = pool[int(random() * n)]
            draws += 1
            if s not in r.tried and self._admits(r, s) and self._hopeful(r, s, limit, left):
                fit.append(s)
        self.cold.drew(len(fit) / draws)
        if len(fit) == 2:
            return fit[0], fit[1]
        if n <= DRAWS:
            fit = [s for s in pool if self._admits(r, s)]
            fit = [s for s in fit if s not in r.tried] or fit
            fit = [s for s in fit if self._hopeful(r, s, limit, left)]
        if not fit:
            return None
        return fit[int(random() * len(fit))], fit[int(random() * len(fit))]

    def _index(self) -> None:
        """Look at all entries: their mean and cutoffs, which then serve for some picks in a large fleet."""
        self.picks_left -= 1
        if self.picks_left >= 0:
            return
        now, n = self.now, len(self.ready)
        self.picks_left = n // REINDEX
        self.health.look(self.ready, now, self.table.typical)
        self.table.look(self.ready, now)
        for s in self.ready:
            s.pace = self.table.pace_of(s, now, self.cold.warmth(s, now))
        self.table.cuts = cutoffs([self._rank(s) for s in self.ready]) if n else []

    def _limit(self, r: Request) -> float:
        """The longest predicted time to an answer with which a server may still be sampled."""
        if not self.table.pace:
            return float("inf")
        # A class that can wait longer must not crowd the servers beyond what one worth as much can bear.
        share = GIVE_WAY if r.gives_way else HEADROOM
        return min(r.aim_at - self.now, self.bearable[r.cls.name]) * share

    def _hopeful(self, r: Request, s: Server, limit: float, left: int) -> bool:
        """Whether a server may be sampled, by its predicted time and what it holds of ours."""
        # Heavy requests that not even an idle server could answer in time took a third of the fleet. While
        # most servers hold nothing they displace little, and hints are rough: then they may try.
        workable = r.size <= 1.0 or r.size * s.pace * min(1.0, self.table.mean) <= left
        if self.now - s.heard_at <= self.known_us:
            # Known, not guessed: no pass here, but one that holds nothing is fit.
            held = s.own(self.now) + self.table.others(s, self.now)
            # Nor is it refused for what comes after the aim but keeps part of its worth.
            late = 0.0 if r.gives_way else r.cls.late_worth * (r.deadline - r.aim_at)
            return workable if held < 1.0 else (held + r.size) * s.pace <= limit + HEADROOM * late
        # A quiet balancer knows too little to refuse by a guess: a server that holds next to nothing of ours
        # may be tried. The pass is shared over the balancers, or they keep a jam up; failed attempts count as
        # held, or a full server that turns all away at once would be tried for ever.
        own = s.own(self.now)
        if own < min(1.0, self.idle):
            return workable
        predicted = (own + self.table.others(s, self.now) + r.size) * s.pace
        return predicted <= limit or (own < self.idle and predicted <= left)

    def _rank(self, s: Server) -> float:
        """What the bands are made of."""
        # A random fraction, or small counts tie: with half the servers idle the median itself is idle.
        held = s.own(self.now) + self.table.others(s, self.now)
        return (held + self.rng.random()) * s.pace

    def _lighter(self, r: Request, pair: tuple[Server, Server]) -> tuple[Server, float]:
        """The sample in the lower band, and what it will hold with this request."""
        one, other = pair
        s = one if lower_band(self.rng, self.table.cuts, self._rank(one), self._rank(other)) else other
        return s, s.own(self.now) + self.table.others(s, self.now) + r.size

    # Attempt plan

    def _send(self, r: Request, s: Server, load: float) -> None:
        now, attempt = self.now, r.sends
        r.sends += 1
        r.out[attempt] = (s, now, load)
        r.may_have_run.append((attempt, s, now))
        r.tried.append(s)
        s.open[(r.id, attempt)] = now
        self.actions.append(Send(r.id, s.id, max(1, r.deadline - now - self.margin)))
        if r.cls.effect is not Effect.UNSAFE and self.table.typical and self.settings.second_copies:
            at = now + int(3 * self.table.typical)
            if at + self.table.typical < r.aim_at:
                self._later(at, self._overdue, (r, attempt))

    def _overdue(self, what: tuple[Request, int]) -> None:
        """An attempt takes unusually long: try elsewhere while the aim can still be made."""
        r, attempt = what
        if r.done or attempt not in r.out or len(r.out) > 1 or self.budget < 1.0:
            return
        pool = self._pool(r)
        pair = self._two(r, pool) if pool and r.sends < self.settings.max_attempts else None
        if pair is None:
            return
        server, load = self._lighter(r, pair)
        if server is not r.out[attempt][0]:
            self.budget -= 1.0
            self._send(r, server, load)

    def _ended(self, e: AttemptEnded) -> None:
        now, r = self.now, self.requests.get(e.request)
        if r is None or e.attempt not in r.out:
            return
        s, sent, load = r.out.pop(e.attempt)
        s.open.pop((r.id, e.attempt), None)
        self.table.ended(now, s, e, load)
        if self.tells and e.outcome is Outcome.OK and len(e.report) > self.table.column:
            self._tell(s, e.report[self.table.column] - 1)
        # A time-out tells against a server only if it has answered nothing since: else it is late, not ill.
        if e.outcome is not Outcome.TIMEOUT or s.answered_at <= sent:
            self.health.ended(s, now, e.outcome)
        self.shares.learn(len(s.open) + 1, max(0.0, s.others))
        if e.outcome in NEVER_RAN:
            r.may_have_run = [m for m in r.may_have_run if m[0] != e.attempt]
        if e.finished and not r.done:
            r.done = True
            self.cold.ended(served=True)
            self._cancel(r)
        if r.done:
            if not r.out:
                del self.requests[r.id]
        elif not r.out:
            # Full servers turn attempts away in no time: unpaid repeats of those made twenty attempts of each
            # request. A failed connect loads no server and waits out its own time-out.
            if e.outcome is not Outcome.CONNECT_FAILED:
                if self.budget < 1.0:
                    return self._finish(r)
                self.budget -= 1.0
            self._advance(r)

    def _streaming(self, e: StreamStarted) -> None:
        r = self.requests.get(e.request)
        if r is not None and e.attempt in r.out:
            r.done = True
            self._cancel(r, but=e.attempt)

    def _gone(self, e: ClientGone) -> None:
        r = self.requests.get(e.request)
        if r is not None and not r.done:
            r.done = True
            self._drop(r)

    def _finish(self, r: Request) -> None:
        """Give the one final answer."""
        r.done = True
        self.cold.ended(served=False)
        if r.may_refuse():
            advice = int(2 * self.table.typical) if self.settings.retry_after else 0
            self.actions.append(Refuse(r.id, min(advice, self.settings.max_retry_after_us)))
        else:
            self.actions.append(Fail(r.id))
        self._drop(r)

    def _drop(self, r: Request) -> None:
        self.waiting.discard(r.id)
        self._cancel(r)
        if not r.out:
            self.requests.pop(r.id, None)

    def _cancel(self, r: Request, but: int = -1) -> None:
        if self.settings.can_cancel:
            self.actions.extend(Cancel(r.id, a) for a in r.out if a != but)

    # Timers

    def _later(self, at: int, call: Callable[[Any], None], what: Any) -> None:
        at = max(at, self.now + 1)
        self.due_count += 1
        heappush(self.due, (at, self.due_count, call, what))
        self._arm()

    def _arm(self) -> None:
        if self.due and (not self.armed or self.due[0][0] < self.armed):
            self.armed = self.due[0][0]
            self.actions.append(SetTimer(max(0, self.armed - self.now), self.armed))

    def _timer(self, e: TimerFired) -> None:
        if e.token == self.armed:
            self.armed = 0
        while self.due and self.due[0][0] <= self.now:
            _, _, call, what = heappop(self.due)
            call(what)
        self._arm()
