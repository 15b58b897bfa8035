"""The wheel of deadlines."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from lilacsill.clock import Clock
from lilacsill.timers import SLOT_US, SWEEP_THRESHOLD, Timer, TimerWheel

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(0, 40 * SLOT_US)),
        st.tuples(st.just("cancel"), st.integers(0, 50)),
        st.tuples(st.just("go"), st.integers(0, 15 * SLOT_US)),
    ),
    max_size=60,
)


@given(STEPS)
def test_each_deadline_is_met_once_never_early_and_within_a_slot(steps: list[tuple[str, int]]) -> None:
    wheel, now, fired = TimerWheel(), 1_000_000, list[int]()
    timers = list[Timer]()
    due: dict[int, int] = {}
    for what, n in steps:
        if what == "add":
            number = len(timers)
            timers.append(wheel.add(now + n, fired.append, (number,)))
            due[number] = now + n
        elif what == "cancel" and timers:
            n %= len(timers)
            if not timers[n].is_done:
                del due[n]
            timers[n].cancel()
        elif what == "go":
            now += n
            for timer in wheel.pop_due(now):
                timer.fire()
        for number, at in list(due.items()):
            if timers[number].is_done:
                del due[number]
                assert number in fired and at <= now
            elif what == "go":
                assert at + SLOT_US > now
        assert len(wheel) == len(due)
        assert (wheel.next_due_us is not None) or not due
    assert len(fired) == len(set(fired))


def test_cancelled_deadlines_far_ahead_are_not_held() -> None:
    wheel = TimerWheel()
    for _ in range(20 * SWEEP_THRESHOLD):
        wheel.add(24 * 3600 * 10**6, print).cancel()
    assert len(wheel) == 0 and wheel.cancelled <= SWEEP_THRESHOLD + 1


def test_one_cancelled_by_another_of_its_slot_stays_silent() -> None:
    wheel, fired = TimerWheel(), list[str]()
    wheel.add(10, lambda: other.cancel())
    other = wheel.add(10, fired.append, ("late",))
    for timer in wheel.pop_due(SLOT_US):
        timer.fire()
    assert not fired and len(wheel) == 0


def test_a_deadline_that_fails_keeps_no_other_from_its_time() -> None:
    async def run() -> None:
        clock, ended = Clock(), asyncio.Event()
        clock.after(1_000, divmod, 1, 0)
        clock.after(1_000, ended.set)
        await ended.wait()
        ended.clear()
        clock.after(60_000_000, print).cancel()
        clock.after(1_000, ended.set)  # sooner than what is armed
        await ended.wait()

    asyncio.run(asyncio.wait_for(run(), 30))
