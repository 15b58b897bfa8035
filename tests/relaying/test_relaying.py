"""Questions to core machines that a proxy does not reach go through another proxy, and none is sent twice."""

from __future__ import annotations

import pytest

from lilacsill.mesh.relaying.relay_selector import MAX_CANDIDATES, RELAY_SKIP_US, RelaySelector
from lilacsill.mesh.relaying.relay_server import MAX_RELAYS_IN_FLIGHT
from lilacsill.mesh.relaying.relayed_links import MAX_RELAYS, RELAYED_TIMEOUT_US
from lilacsill.mesh.relaying.reachability import RECENT_ANSWER_US, PROBE_PERIOD_US, UNCONFIRMED_TIMEOUT_US
from lilacsill.mesh.runtime.messages import (
    Claim,
    ClaimReply,
    Message,
    OperationQuery,
    Relay,
    RelayReply,
    TokenReply,
    TokenRequest,
)

from .world import CLAIM, CORE, DEMAND, HOP_US, OTHER_CORE, TIMEOUT_US, World

ROUND_TRIP_US = 4 * HOP_US  # of a relayed question


def cut_world(proxies: int = 10) -> World:
    """The asker has found out that it reaches no core machine."""
    world = World(proxies)
    world.cut(world.asker.address)
    assert world.question() is None
    assert world.question(address=OTHER_CORE) is None
    world.sent.clear()
    return world


def first_relays(world: World, count: int) -> list[str]:
    """The proxies that the asker would choose, best first."""
    selector = RelaySelector("n0", world.peers)
    chosen = []
    for _ in range(count):
        relay = selector.select(CORE, 0)
        assert relay is not None
        selector.on_timeout(relay, 0)
        chosen.append(relay)
    return chosen


def test_a_core_machine_that_answers_is_asked_directly() -> None:
    world = World()
    assert isinstance(world.question(), TokenReply)
    assert world.sent == [(world.asker.address, CORE, DEMAND)]


@pytest.mark.parametrize("message, kind", [(DEMAND, TokenReply), (CLAIM, ClaimReply)])
def test_a_core_machine_that_does_not_answer_is_asked_through_another_proxy(
    message: TokenRequest | Claim, kind: type[Message]
) -> None:
    world = cut_world()
    answers = world.begin(message)
    world.run(ROUND_TRIP_US + 5_000)
    assert [type(answer) for answer in answers] == [kind]
    assert world.arrived == [message]
    assert (world.asker.counters.answered, world.asker.counters.unanswered) == (1, 0)
    assert sum(proxy.counters.served for proxy in world.proxies.values()) == 1


def test_an_unproven_way_takes_a_part_of_the_patience() -> None:
    world = World()
    world.cut(world.asker.address)
    answers = world.begin()
    world.run(UNCONFIRMED_TIMEOUT_US + 2_000)
    assert answers == [None]


def test_a_core_machine_that_has_just_answered_gets_all_the_time() -> None:
    world = World()
    world.question(run_us=RECENT_ANSWER_US // 2)
    world.reply_delay_us = UNCONFIRMED_TIMEOUT_US + 50_000
    assert isinstance(world.question(), TokenReply)


def test_a_question_that_is_not_answered_is_not_sent_again() -> None:
    world = World()
    world.reply_delay_us = 2 * TIMEOUT_US
    assert world.question() is None
    world.run()
    assert world.arrived == [DEMAND]


def test_a_relayed_question_that_is_not_answered_is_not_sent_again() -> None:
    world = cut_world()
    world.reply_delay_us = 2 * TIMEOUT_US
    assert world.question() is None
    world.run()
    assert world.arrived == [DEMAND]
    assert len(world.relays_asked()) == 1


def test_a_slow_answer_among_others_does_not_make_a_core_machine_unreachable() -> None:
    world = World()
    world.reply_delay_us = 2 * TIMEOUT_US
    slow = world.begin()
    world.run(20_000)
    world.reply_delay_us = 0
    world.question(CLAIM)
    assert slow == [None]
    assert world.asker.links.reachability.is_reachable(CORE)


def test_the_direct_way_is_taken_again_soon_after_it_works() -> None:
    world = cut_world()
    world.question()
    world.broken.clear()
    world.run(PROBE_PERIOD_US)
    world.question()  # the probe goes beside it
    world.sent.clear()
    assert isinstance(world.question(), TokenReply)
    assert world.sent == [(world.asker.address, CORE, DEMAND)]


def test_an_unreachable_core_machine_is_probed_rarely_and_with_nothing() -> None:
    world = cut_world()
    for _ in range(100):
        world.question(run_us=10_000)
    direct = [message for sender, address, message in world.sent if (sender, address) == (world.asker.address, CORE)]
    assert direct == [TokenRequest([])] * len(direct)
    assert 2 <= len(direct) <= 3  # in a second


def test_a_relay_that_is_cut_off_as_well_is_replaced_at_once() -> None:
    world = cut_world()
    first, second = first_relays(world, 2)
    world.cut(first)
    world.proxies[first].links.ask(CORE, DEMAND, TIMEOUT_US, lambda _reply: None)
    world.run()
    answers = world.begin()
    world.run(2 * ROUND_TRIP_US)
    assert [type(answer) for answer in answers] == [TokenReply]
    assert world.relays_asked() == [first, second]
    assert world.arrived == [DEMAND]


def test_a_relay_that_has_worked_is_kept() -> None:
    world = cut_world()
    first, second = first_relays(world, 2)
    world.broken.add((world.asker.address, first))
    assert world.question() is None
    world.question()
    world.broken.clear()
    world.cut(world.asker.address)
    world.run(2 * RELAY_SKIP_US)
    world.question()
    assert world.relays_asked() == [first, second, second]


def test_a_relay_that_does_not_answer_is_passed_over_for_a_second_for_all_core_machines() -> None:
    world = cut_world()
    first, second = first_relays(world, 2)
    world.broken.add((world.asker.address, first))
    assert world.question() is None
    assert isinstance(world.question(address=OTHER_CORE), TokenReply)
    assert world.relays_asked() == [first, second]


def test_a_relay_that_reaches_one_core_machine_alone_is_passed_over_for_the_other() -> None:
    world = cut_world()
    first, second = first_relays(world, 2)
    world.cut(first, cores=(CORE,))
    assert world.question() is None
    assert isinstance(world.question(address=OTHER_CORE), TokenReply)
    assert isinstance(world.question(), TokenReply)
    assert world.relays_asked() == [first, first, second]


def test_a_lost_core_machine_costs_a_bounded_number_of_questions() -> None:
    world = cut_world(100)
    world.cut(*world.proxies)
    for proxy in world.proxies.values():
        proxy.links.ask(CORE, DEMAND, TIMEOUT_US, lambda _reply: None)
    world.run()
    answers = world.begin()
    world.run(RELAYED_TIMEOUT_US)
    assert answers == [None]
    assert len(world.relays_asked()) == MAX_RELAYS
    for _ in range(20):
        world.begin()
        world.run(20_000)
    assert len(world.relays_asked()) <= MAX_CANDIDATES


def test_a_proxy_without_others_asks_directly() -> None:
    world = cut_world(1)
    world.broken.clear()
    assert isinstance(world.question(), TokenReply)


def test_a_relay_that_does_not_answer_costs_less_than_the_patience() -> None:
    world = cut_world()
    world.broken.add((world.asker.address, first_relays(world, 1)[0]))
    answers = world.begin()
    world.run(RELAYED_TIMEOUT_US + 2_000)
    assert answers == [None]


def test_a_relay_that_waits_in_vain_says_so_in_time() -> None:
    world = cut_world()
    world.reply_delay_us = 2 * TIMEOUT_US
    first = first_relays(world, 1)[0]
    assert world.question() is None
    world.reply_delay_us = 0
    assert isinstance(world.question(address=OTHER_CORE), TokenReply)
    assert world.relays_asked() == [first, first]


def test_a_relay_asks_no_third_proxy() -> None:
    world = cut_world()
    world.cut(*world.proxies)
    world.question()
    world.question()
    assert {sender for sender, _, message in world.sent if isinstance(message, Relay)} == {world.asker.address}


def test_a_relay_asks_core_machines_alone() -> None:
    world = World()
    relay = next(iter(world.proxies.values()))
    replies: list[Message] = []
    relay.server.relay(Relay("10.9.9.9:80", DEMAND, 100), replies.append)
    assert replies == [RelayReply(False, None)]
    assert world.sent == []
    assert relay.counters.refused == 1


def test_a_relay_asks_a_bounded_number_of_questions_at_once() -> None:
    world = World()
    relay = next(iter(world.proxies.values()))
    replies: list[Message] = []
    for _ in range(MAX_RELAYS_IN_FLIGHT + 1):
        relay.server.relay(Relay(CORE, DEMAND, 100), replies.append)
    assert replies == [RelayReply(False, None)]
    assert len(world.arrived) == 0
    world.run()
    assert len(world.arrived) == MAX_RELAYS_IN_FLIGHT
    relay.server.relay(Relay(CORE, DEMAND, 100), replies.append)
    world.run()
    assert isinstance(replies[-1], RelayReply) and replies[-1].is_sent


def test_questions_to_other_proxies_are_not_relayed() -> None:
    world = cut_world()
    query = OperationQuery("tenant|key", CLAIM.owner)
    world.asker.questions.ask(CORE, query, TIMEOUT_US, lambda _reply: None)
    assert world.sent == [(world.asker.address, CORE, query)]


def test_proxies_choose_different_relays() -> None:
    peers = {f"n{number}": f"10.1.0.{number}:7660" for number in range(80)}
    chosen = {RelaySelector(node, lambda: peers).select(CORE, 0) for node in peers}
    assert len(chosen) > 40
    assert all(RelaySelector(node, lambda: peers).select(CORE, 0) != address for node, address in peers.items())


def test_a_proxy_that_is_gone_is_no_relay() -> None:
    peers = {"n1": "10.1.0.1:7660"}
    selector = RelaySelector("n0", lambda: peers)
    selector.on_answer("10.1.0.1:7660")
    assert selector.select(CORE, 0) == "10.1.0.1:7660"
    selector.on_answer("10.1.0.1:7660")
    peers = {"n2": "10.1.0.2:7660"}
    assert selector.select(CORE, 0) == "10.1.0.2:7660"
