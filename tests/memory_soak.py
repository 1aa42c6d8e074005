"""A soak test of the memory of real front end processes, under drawn mixes of peers that make them hold bytes.

    python -m tests.memory_soak FIRST_SEED COUNT

Each seed draws limits, workers and some rounds of floods, several kinds at once. Checked from outside: own memory
stays under the limit, each request of usual clients is answered, and half of them are served again after the last
round. One line a seed is printed; the exit status is 1 where a check fails.
"""
from __future__ import annotations

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent

from tests import memory_floods as floods
from tests.platform import begin, request
from threadshift.fastcgi.codec import MAX_CONTENT, PARAMS, record
from threadshift.frames.codec import INVOKE

MEMORY_LIMITS_MB = (32, 48, 64, 80, 96, 128, 192)
SOCKETS_PER_MB = 4
MIN_SOCKETS = 256
MIN_ROUNDS, MAX_ROUNDS = 3, 5
CALM_S = 3.0               # after the last round; admission recovers in it
LEAST_SERVED_AFTERWARDS = 0.5
FUNCTIONS_PER_CLIENT = 30
LAST_REQUEST = 99          # an id that no other request of a client has


def many_functions(number: int) -> list[bytes]:
    """Requests for functions that nobody else calls."""
    return [request(each, f"{0xbad << 32 | number << 8 | each:016x}", b"x",
                    item=f"{0xf << 40 | number << 8 | each:016x}")
            for each in range(1, FUNCTIONS_PER_CLIENT)]


def half_of_everything(number: int) -> bytes:
    """Half bodies, half parameters and a torn record on one connection."""
    halves = floods.half_bodies(number)
    torn = record(PARAMS, LAST_REQUEST, bytes(MAX_CONTENT))[:-1]
    return (halves[:len(halves) // 2] + begin(LAST_REQUEST) + record(PARAMS, LAST_REQUEST, bytes(len(floods.BODY)))
            + torn)


KINDS: tuple[tuple[Callable[[int], Any], dict[str, Any]], ...] = (
    (floods.half_bodies, {}),
    (floods.half_parameters, {}),
    (floods.small_halves, {}),
    (floods.torn_record, {}),
    (floods.whole_requests, {}),
    (floods.whole_requests, {"reads": False}),
    (floods.requests_for_long_answers, {"reads": False, "receive_buffer": 4096}),
    (floods.requests_for_many_functions, {"pace_s": 0.1}),
    (many_functions, {"pace_s": 0.05}),
    (half_of_everything, {}))


def answer(worker: Any, sock: Any, frame: Any) -> None:
    """The script of all workers: long answers for one function, answers in part or none to long bodies."""
    if frame.code == INVOKE and frame.fields["key"] == floods.LONG_ANSWERS:
        floods.answer_long(worker, sock, frame)
    elif frame.code == INVOKE and int(frame.fields["key"], 16) < 1 << 16:
        floods.answer_in_part(worker, sock, frame)
    else:
        floods.answer_small(worker, sock, frame)


@dataclass
class Plan:
    """What one seed draws."""

    seed: int
    rounds: list[list[tuple[Callable[[int], Any], dict[str, Any]]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.memory_mb = rng.choice(MEMORY_LIMITS_MB)
        self.sockets = max(MIN_SOCKETS, SOCKETS_PER_MB * self.memory_mb)
        self.workers = rng.choice((3, 6, 24, 60))
        clients = self.sockets * 5 // 8
        for _ in range(rng.randint(MIN_ROUNDS, MAX_ROUNDS)):
            kinds = rng.sample(KINDS, rng.randint(1, 5))
            self.rounds.append([(payload, facts | {"clients": rng.randint(1, clients // len(kinds))})
                                for payload, facts in kinds])


def play(seed: int) -> list[str]:
    """Plays one seed; returns what was broken."""
    plan, broken = Plan(seed), []
    with floods.MemoryRig(script=answer, workers=plan.workers, memory_mb=plan.memory_mb, sockets=plan.sockets) as rig:
        for kinds in plan.rounds:
            bad = [floods.BadClients(rig.front_end.address, payload, **facts) for payload, facts in kinds]
            for each in bad:
                each.join()
        calm_from = len(rig.usual.statuses)
        gevent.sleep(CALM_S)
        calm = rig.usual.statuses[calm_from + len(rig.usual.statuses[calm_from:]) // 2:]
        unanswered, ended = rig.usual.statuses.count(0), rig.front_end.process.poll()
        served = calm.count(200) / max(1, len(calm))
        if rig.watch.peak_mb > plan.memory_mb:
            broken.append("memory")
        if unanswered:
            broken.append("unanswered")
        if served < LEAST_SERVED_AFTERWARDS:
            broken.append("served")
        if ended is not None:
            broken.append("crash")
        print(f"seed {seed}: {'BROKEN ' + ', '.join(broken) if broken else 'kept'}: peak {rig.watch.peak_mb:.1f} of "
              f"{plan.memory_mb} MB, {len(plan.rounds)} rounds, {plan.workers} workers, usual requests "
              f"{len(rig.usual.statuses)}, served {rig.usual.served():.2f}, afterwards {served:.2f}, "
              f"unanswered {unanswered}", flush=True)
    return broken


def main(first: int, count: int) -> int:
    return int(any([play(seed) for seed in range(first, first + count)]))


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
