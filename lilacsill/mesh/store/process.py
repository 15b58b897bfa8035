"""The process: settings, disk and links round one member of the chain."""

from __future__ import annotations

import signal
from collections.abc import Callable
from os import urandom
from typing import Any

import msgspec

from lilacsill.address import Address, parse_address
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Message, Status, StatusReply
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.rpc import Answered, Handler, Peers, RpcServer
from lilacsill.mesh.runtime.settings import Settings
from lilacsill.timers import Timer

from .disk import Disk
from .environment import Done, Save
from .leaving import Leaving
from .node import Store

PORT = 1  # of the ports between agents
STATE_PART = 8  # of the disk: the file, its log and a file put away must all fit


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
        self._address = me
        self._store = store = Store(
            self,
            me,
            seeds,
            settings.fresh,
            urandom(6).hex(),
            self._disk.items,
            self._disk.facts,
            settings.lost_machines,
            settings.lost_places,
        )
        self._disk.items = []
        if settings.disk_mb:
            store.frontend.max_state_bytes = (settings.disk_mb << 20) // STATE_PART
        self._replica = store.replica
        self._handlers: dict[type, Handler] = {**store.handlers, Status: self._status}
        self._desk = RpcServer(reactor, Address(settings.ip, port), self._handlers)
        self._leaving: Leaving | None = None
        store.start()
        reactor.on_signal(signal.SIGTERM, self._terminated)
        reactor.on_signal(signal.SIGHUP, lambda: None)  # seeds are for a start only

    # The member's world

    def now(self) -> int:
        return self._reactor.now()

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer:
        return self._reactor.after(delay_us, call, *arguments)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        self._reactor.call_soon(callback, *args)

    def ask(self, address: str, message: Message, timeout_us: int, answered: Answered) -> None:
        if address == self._address:
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

    def oldest_save_age_us(self) -> int:
        return self._disk.oldest_save_age_us()

    # The end

    def _terminated(self) -> None:
        if self._leaving is None:
            grace_us = self._settings.bound_us("GracePeriodS", 6000)
            self._leaving = Leaving(self._replica, self._store.membership, grace_us, self._reactor.stop)

    def _status(self, m: Message, reply: Callable[[Message], None]) -> None:
        replica = self._replica
        reply(
            StatusReply(
                msgspec.json.encode(
                    {
                        "address": replica.me.address,
                        "incarnation": replica.me.incarnation,
                        "view": replica.view.number,
                        "members": [m.address for m in replica.view.chain],
                        "suspended": [m.address for m in replica.view.members[len(replica.view.chain) :]],
                        "head": replica.is_head,
                        "tail": replica.is_tail,
                        "whole": replica.complete,
                        "synced": self._store.chain.synced,
                        "learners": self._store.membership.learners(),
                        "leaving": self._store.membership.why_it_stays(),
                        **self._store.fence.status(),
                        "seq": replica.state.seq,
                        "committed": self._store.chain.committed,
                        "digest": f"{replica.state.digest():016x}",
                        "items": len(replica.state.items),
                        "disk_waits_ms": self._disk.oldest_save_age_us() // 1000,
                        "peers": self._store.membership.peers(),
                        "refused": self._store.frontend.rejections,
                        "mends": self._store.chain.repairs,
                        "log": log.tail(),
                    }
                )
            )
        )
