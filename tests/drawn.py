"""Mixtures of faults between real processes, drawn from a seed, around a batch that is cancelled and restored."""
import random
import time

import gevent

from tests.cluster import Cluster
from threadshift.audit import cluster
from threadshift.invoke.client import NoAnswer

FAULTS = ("freeze", "kill", "cut", "forth", "back", "delay", "reset", "tear")
STEPS = 5


def play(seed):
    """What it broke, and a line of what was done. Each step has one fault and one order of a client."""
    draw, said = random.Random(seed), []
    with Cluster(undo="5s") as it:
        it.until(it.leader)
        ids = {name: it.submit(name, "eve", 12, draw.choice(("submit-a", "check-a")), 80, 25_000)
               for name in it.names}
        cancels, frozen = [], ""
        for _ in range(STEPS):
            fault, name = draw.choice(FAULTS), draw.choice(it.names)
            said.append(f"{fault} {name}")
            if fault == "freeze" and not frozen and it.status(name):
                frozen = name
                it.freeze(name)
                gevent.spawn_later(draw.uniform(0.5, 4), it.resume, name)
            elif fault == "kill" and name != frozen:
                it.kill(name)
                it.start(name)
            elif fault in ("cut", "forth", "back"):
                it.cut(draw.sample(it.names, draw.randint(1, 2)), draw.randint(1, 4), fault)
            else:
                torn = f"tear {draw.randrange(1, 200)}"
                word = {"delay": "delay 3s 150", "reset": "reset", "tear": torn}.get(fault)
                if word:
                    it.rig.processes["relay"].order(f"* {word}")
            asks, order = draw.choice(it.names), draw.choice(("cancel", "restore", "restore"))
            path = "/v1/batches/eve/cancel" if order == "cancel" or not cancels else (
                f"/v1/cancels/{draw.choice(cancels)}/restore")
            try:
                status, told = it.request(asks, "POST", path, limit=6)
                said.append(f"{asks} {path.split('/')[-1]} {status}")
                if status == 200 and told["cancel"] not in cancels:
                    cancels.append(told["cancel"])
            except NoAnswer:
                said.append(f"{asks} does not answer")
            gevent.sleep(draw.uniform(0.2, 1.5))
        if frozen:
            it.until(lambda: it.status(frozen), 10)
        it.heal()
        it.until(lambda: all(it.status(name) for name in it.names), 20)
        end = time.monotonic() + 45
        while time.monotonic() < end and not all(all(it.answer_statuses(name, some)) for name, some in ids.items()):
            gevent.sleep(0.2)
        open_ = [f"{name}: {found.count(None)} calls have no answer" for name, some in ids.items()
                 if None in (found := it.answer_statuses(name, some))]
        runs = [each for each in it.events("run") if each["mark"]]
        broken = open_ + [str(each) for each in cluster.answers(it.client_answers, runs)]
        return broken, f"seed {seed}: {', '.join(said)}; {len(runs)} runs"
