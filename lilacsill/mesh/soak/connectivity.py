"""Which machines were in touch, and when the core was settled, as `docs/rules.md` defines it. No I/O.

All processes of a soak are on one machine and nothing is between them, so only signals, ends and starts matter.
A processor quota excuses nothing here, though the rules would let it.
"""

from __future__ import annotations

from signal import Signals

import msgspec

from lilacsill.mesh.simulation.loopback_processes import CORE_PROGRAMS, ProcessKey

from .observations import ProcessEnd, Record, SignalSent
from .timing_bounds import TimingBounds

NEVER = 1 << 62  # later than all times
ENDING_SIGNALS = (Signals.SIGTERM, Signals.SIGKILL)


class Outage(msgspec.Struct, frozen=True):
    """A time in which a process was not running, or was about to end."""

    key: ProcessKey
    begin: int
    end: int  # of the time: its next start, or its thaw

    def overlaps(self, begin: int, end: int) -> bool:
        """Return whether it shares a moment with a span."""
        return self.begin <= end and begin <= self.end


class Connectivity:
    """Knows the outages of all processes of one soak."""

    def __init__(self, record: Record, bounds: TimingBounds) -> None:
        self._record, self._in_touch_us = record, bounds.in_touch_us
        ends = [self._outage_of_end(end) for end in record.ends]
        signals = [self._outage_of_signal(sent) for sent in record.signals]
        self._outages = [outage for outage in [*ends, *signals] if outage is not None]
        self._core_outages = [outage for outage in self._outages if outage.key.program in CORE_PROGRAMS]
        self._core_ips = {start.key.ip for start in record.starts if start.key.program in CORE_PROGRAMS}

    def _outage_of_end(self, end: ProcessEnd) -> Outage:
        begin = end.at if end.signalled_at is None else end.signalled_at
        return Outage(end.key, begin, self._next_start(end.key, end.at))

    def _outage_of_signal(self, sent: SignalSent) -> Outage | None:
        if sent.number is Signals.SIGSTOP:
            thaws = [s.at for s in self._record.signals if s.key == sent.key and s.number is Signals.SIGCONT]
            return Outage(sent.key, sent.at, min((at for at in thaws if at >= sent.at), default=NEVER))
        has_ended = any(end.key == sent.key and end.at >= sent.at for end in self._record.ends)
        if sent.number in ENDING_SIGNALS and not has_ended:
            return Outage(sent.key, sent.at, NEVER)
        return None

    def _next_start(self, key: ProcessKey, at: int) -> int:
        return min((start.at for start in self._record.starts if start.key == key and start.at >= at), default=NEVER)

    def is_calm(self, ip: str, begin: int, end: int) -> bool:
        """Return whether a machine's processes ran all the while, and for `InTouchMs` before."""
        begin -= self._in_touch_us
        return not any(outage.key.ip == ip and outage.overlaps(begin, end) for outage in self._outages)

    def is_core_stable(self, begin: int, end: int) -> bool:
        """Return whether nothing happened to the core all the while, and for `InTouchMs` before."""
        begin -= self._in_touch_us
        return not any(outage.overlaps(begin, end) for outage in self._core_outages)

    def has_core_majority(self, begin: int, end: int) -> bool:
        """Return whether more than half of the core ran at each moment of a span."""
        moments = [begin, *(outage.begin for outage in self._core_outages if begin <= outage.begin <= end)]
        return all(2 * len(self._absent_cores(moment)) < len(self._core_ips) for moment in moments)

    def _absent_cores(self, at: int) -> set[str]:
        return {outage.key.ip for outage in self._core_outages if outage.overlaps(at, at)}

    def first_in_touch(self, ip: str, at: int) -> int:
        """Return the first moment, not before `at`, at which a machine is in touch; NEVER if there is none."""
        while at < NEVER:
            begin = at - self._in_touch_us
            relevant = [o for o in self._outages if o.key.ip == ip or o.key.program in CORE_PROGRAMS]
            ends = [outage.end for outage in relevant if outage.overlaps(begin, at)]
            if not ends:
                return at
            at = max(ends) + self._in_touch_us + 1
        return NEVER
