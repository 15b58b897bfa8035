"""The process: settings, disk and links round one member of the chain."""
from __future__ import annotations

import signal
from collections.abc import Callable
from os import urandom
from typing import Any

import msgspec

from guild.calls import Answered, Desk, Handler, Peers
from guild.messages import (
    Accept,
    Agreed,
    Confirm,
    Follow,
    Hello,
    Lack,
    Member,
    Message,
    Pass,
    Patch,
    Prepare,
    Read,
    Status,
    Told,
    View,
)
from guild.reactor import Reactor
from guild.ring import log, ring
from guild.settings import Settings
from lilacsill.address import Address, parse_address
from lilacsill.timers import Timer

from .chain import Chain
from .council import Accord
from .disk import Disk, Done, Save
from .entry import Entry
from .member import NOBODY, Core
from .watch import Watch

PORT = 1  # of the ports between agents
FIRST = "first"  # incarnation of a disk that was empty when the whole system first started
LEAVE_US = 100_000


class Process:
    """One copy of the store. It is the `World` of its member."""

    def __init__(self, settings: Settings, reactor: Reactor) -> None:
        """Raises OSError."""
        self._settings, self._reactor = settings, reactor
        self._peers = Peers(reactor)
        self._disk = Disk(reactor, settings.data)
        port = settings.ports[0] + PORT
        me = f"{settings.ip}:{port}"
        seeds = [f"{seed.host}:{port}" for seed in settings.seeds]
        self._core = core = self._recall(me, seeds)
        self._chain = chain = Chain(core)
        self._watch = watch = Watch(core, chain, seeds)
        watch.lost_machines = settings.lost_machines
        self._entry = entry = Entry(core, chain, watch)
        handlers: dict[type, Handler] = {
            Hello: watch.hello, Agreed: watch.agreed, Lack: chain.lack, Pass: chain.passed, Patch: entry.patch,
            Read: entry.read, Follow: entry.follow, Confirm: entry.confirm, Status: self._status,
            Prepare: lambda m, reply: core.acceptor.prepare(core.view, m, reply),
            Accept: lambda m, reply: core.acceptor.accept(core.view, m, reply),
        }
        self._handlers = handlers
        self._desk = Desk(reactor, Address(settings.ip, port), handlers)
        chain.start()
        watch.start()
        reactor.on_signal(signal.SIGTERM, self._terminated)
        reactor.on_signal(signal.SIGHUP, lambda: None)  # seeds are for a start only
        self._left_at = 0

    def _recall(self, address: str, seeds: list[str]) -> Core:
        """What the disk holds; an empty one makes a stranger, but for the seeds of the very first start."""
        disk, facts = self._disk, self._disk.facts
        if "incarnation" in facts:
            me = Member(address, facts["incarnation"].decode())
            view = msgspec.msgpack.decode(facts["view"], type=View)
            accord = msgspec.msgpack.decode(facts["accord"], type=Accord) if "accord" in facts else Accord()
            items, disk.items = disk.items, []
            return Core(self, me, view, facts["whole"] == b"1", accord, items, int(facts["seq"]))
        first = self._settings.fresh and address in seeds
        me = Member(address, FIRST if first else urandom(6).hex())
        view = View(0, tuple(Member(s, FIRST) for s in sorted(seeds))) if first else NOBODY
        core = Core(self, me, view, first, Accord(), [], 0)
        self.save(Save(facts={**core.facts(), "incarnation": me.incarnation.encode(), "seq": b"0"}), lambda: None)
        return core

    # The member's world

    def now(self) -> int:
        return self._reactor.now()

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer:
        return self._reactor.after(delay_us, call, *arguments)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        self._reactor.call_soon(callback, *args)

    def ask(self, address: str, message: Message, timeout_us: int, answered: Answered) -> None:
        if address == self._core.me.address:
            # One's own voice takes the same way as the others'.
            over = False

            def once(answer: Message | None) -> None:
                nonlocal over
                if not over:
                    over = True
                    self._reactor.call_soon(answered, answer)

            self._reactor.after(timeout_us, once, None)
            self._handlers[type(message)](message, once)
            return
        self._peers.to(parse_address(address)).ask(message, timeout_us, answered)

    def save(self, save: Save, done: Done) -> None:
        self._disk.save(save, done)

    def disk_waits_us(self) -> int:
        return self._disk.waits_us()

    # The end

    def _terminated(self) -> None:
        """Out of the view first, so that the others need not find out; but not beyond half of the grace period."""
        log.info("leaves")
        self._core.leaving = True
        self._left_at = self._reactor.now() + self._settings.bound_us("GracePeriodS", 6000) // 2
        self._leave()

    def _leave(self) -> None:
        others = [m for m in self._core.view.members if m != self._core.me]
        if not self._core.member or not others or self._reactor.now() >= self._left_at:
            return self._reactor.stop()
        self._reactor.after(LEAVE_US, self._leave)

    def _status(self, m: Message, reply: Callable[[Message], None]) -> None:
        core = self._core
        reply(Told(msgspec.json.encode({
            "address": core.me.address, "incarnation": core.me.incarnation, "view": core.view.number,
            "members": [m.address for m in core.view.members], "head": core.head, "tail": core.tail,
            "whole": core.whole, "synced": self._chain.synced, "sure": self._watch.sure(), "seq": core.book.seq,
            "committed": self._chain.committed, "disk_waits_ms": self._disk.waits_us() // 1000,
            "peers": self._watch.peers(), "refused": self._entry.refused, "log": ring.tail()})))
