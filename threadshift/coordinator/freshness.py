"""How current the list of workers is, and how long each step of finding the coordinator again may take. Free of I/O.

This is the one place that holds the rule for what counts as told, after the protocol's pages:

- A change counts as told once the coordinator has it, whether or not a front end is connected then.
- Where the coordinator breaks off it counts as told after 2 s; where it falls silent, or a new configuration moves
  it, after 4 s; in any case as soon as the front end has asked again.

So what is read while the stream is in order counts as told since it came. What is read first on a new connection may
count as told since the last byte of the connection before, and what is read first of all since before the start.

The limits below add up to less than those 2 s and 4 s, with pauses 25% longer than their mean (links/redial.py):

- after a break, two failed tries of any kind, then an answer: 1.24 s; three: 2.14 s, within a grace of 0.1 s;
- after a silence, of 1.8 s since the last byte, two failed tries: 3.04 s; three: 3.94 s;
- after a silence, a second connection that is answered and silent, and a failed try: 3.84 s.

Tries beyond those have more time each, as a coordinator that is slow must be found too.
"""
from __future__ import annotations

from threadshift.interface import MS, SECOND

NOTIFIED_AFTER_BREAK = 2 * SECOND
NOTIFIED_AFTER_SILENCE = 4 * SECOND    # also after a new configuration
SILENCE = 1_800 * MS       # without a byte, where a comment comes each second, until the stream is dialled anew
SILENCE_AGAIN = 1_200 * MS     # the same on the connection after a silence, until it says something
CONNECT = ANSWER = 400 * MS    # until a connection is up, and until the head of the answer is there
PATIENT = 2 * SECOND       # the same from the QUICK_TRIES-th failure in a row on
QUICK_TRIES = 3
LONGEST_PAUSE = 400 * MS   # between two tries


class Freshness:
    """One front end's list of workers: whether it is current, and since when it may not be."""

    def __init__(self) -> None:
        self.answered = False      # a coordinator has answered since the start
        self.current = False       # the stream is up, and what was missed has been read
        self.last_byte = 0         # when something came on the stream last, monotonic ns
        self.stale_since = 0       # last_byte at the end of the connection before
        self.failures = 0          # tries in a row that brought no answer
        self.fell_silent = False   # the connection before did, and this one has said nothing yet

    def dialled(self) -> int:
        """ns for which a connection, and then the head of its answer, are waited for."""
        return CONNECT if self.failures < QUICK_TRIES else PATIENT

    def silence(self) -> int:
        """ns without a byte after which an answered stream is dialled anew."""
        return SILENCE_AGAIN if self.fell_silent else SILENCE

    def received(self, now: int) -> None:
        """Bytes came on a stream that is answered."""
        self.last_byte = now
        self.failures = 0

    def spoke(self) -> None:
        """Part of an event or a comment came."""
        self.fell_silent = False

    def caught_up(self) -> None:
        """All that was missed has been read."""
        self.answered = self.current = True

    def lost(self, silent: bool, answered: bool) -> None:
        """The connection ended, or did not come up."""
        if self.current:
            self.stale_since = self.last_byte
        self.current = False
        self.fell_silent = self.fell_silent or silent
        self.failures += not answered

    def notified_since(self, now: int, unread: int) -> int:
        """Since when what is read now may count as told at the earliest; it may have lain unread for so many ns."""
        return now - unread if self.current else self.stale_since
