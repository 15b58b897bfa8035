"""Planted defects of relaying: each takes one mechanism away."""

from __future__ import annotations

from typing import Any

import pytest

from lilacsill.mesh.relaying import reachability, relay_selector, relay_server, relayed_links
from lilacsill.mesh.relaying.reachability import Reachability
from lilacsill.mesh.relaying.relay_selector import RelaySelector
from lilacsill.mesh.relaying.relay_server import RelayServer
from lilacsill.mesh.relaying.relayed_links import RelayedLinks
from lilacsill.mesh.runtime.core_members import CoreMembers

Patch = pytest.MonkeyPatch


def nothing_is_relayed(patch: Patch) -> None:
    def ask_unreachable(self: RelayedLinks, address: str, message: Any, timeout_us: int, answered: Any) -> None:
        self._core_links.ask(address, message, timeout_us, answered)

    patch.setattr(RelayedLinks, "_ask_unreachable", ask_unreachable)


def an_unproven_way_gets_all_the_time(patch: Patch) -> None:
    patch.setattr(Reachability, "timeout_us", lambda self, address, longest_us, now: longest_us)


def each_way_is_unproven(patch: Patch) -> None:
    patch.setattr(reachability, "FRESH_US", -1)


def what_was_sent_is_sent_again(patch: Patch) -> None:
    real = relayed_links._RelayedQuestion._on_no_answer
    patch.setattr(relayed_links._RelayedQuestion, "_on_no_answer", lambda self, is_sent: real(self, False))
    patch.setattr(relayed_links, "MIN_TIMEOUT_US", 0)


def one_slow_answer_makes_unreachable(patch: Patch) -> None:
    def on_no_answer(self: Reachability, address: str, sent_at: int, now: int) -> None:
        self._next_probe_at.setdefault(address, now)

    patch.setattr(Reachability, "on_no_answer", on_no_answer)


def the_direct_way_is_never_tried_again(patch: Patch) -> None:
    patch.setattr(Reachability, "take_probe", lambda self, address, now: False)


def each_question_probes(patch: Patch) -> None:
    patch.setattr(reachability, "PROBE_PERIOD_US", 0)


def a_relay_tries_although_it_is_cut_off(patch: Patch) -> None:
    patch.setattr(RelayServer, "_may_send", lambda self, address: self._members.is_core_address(address))


def no_relay_is_kept(patch: Patch) -> None:
    patch.setattr(RelaySelector, "on_answer", lambda self, relay: None)


def relays_that_do_not_answer_are_asked_again(patch: Patch) -> None:
    patch.setattr(RelaySelector, "on_timeout", lambda self, relay, now: None)


def relays_that_do_not_reach_it_are_asked_again(patch: Patch) -> None:
    patch.setattr(RelaySelector, "on_unreached", lambda self, relay, member, now: None)


def a_relay_is_passed_over_for_all_core_machines(patch: Patch) -> None:
    patch.setattr(RelaySelector, "on_unreached", lambda self, relay, member, now: self.on_timeout(relay, now))


def all_proxies_are_tried(patch: Patch) -> None:
    patch.setattr(relayed_links, "MAX_RELAYS", 1_000)


def all_proxies_are_candidates(patch: Patch) -> None:
    patch.setattr(relay_selector, "CANDIDATES", 1_000)


def relays_wait_for_all_the_time(patch: Patch) -> None:
    patch.setattr(relayed_links, "RELAYED_TIMEOUT_US", 1_000_000)


def a_relay_waits_as_long_as_the_one_that_asks_it(patch: Patch) -> None:
    patch.setattr(relayed_links, "RELAY_MARGIN_US", 0)


def any_address_is_asked(patch: Patch) -> None:
    patch.setattr(CoreMembers, "is_core_address", lambda self, address: True)


def any_number_is_in_flight(patch: Patch) -> None:
    patch.setattr(relay_server, "MAX_RELAYS_IN_FLIGHT", 1_000)


def places_in_flight_are_not_given_back(patch: Patch) -> None:
    def on_reply(self: RelayServer, send_reply: Any, reply: Any) -> None:
        real(self, send_reply, reply)
        self._in_flight += 1

    real = RelayServer._on_reply
    patch.setattr(RelayServer, "_on_reply", on_reply)


def all_proxies_choose_the_same_relay(patch: Patch) -> None:
    patch.setattr(relay_selector, "rendezvous_select", lambda node, peers, count: sorted(peers)[:count])


def candidates_stay_as_they_were(patch: Patch) -> None:
    def follow_peers(self: RelaySelector) -> None:
        if self._known_peers is None:
            real(self)

    real = RelaySelector._follow_peers
    patch.setattr(RelaySelector, "_follow_peers", follow_peers)
