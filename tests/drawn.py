"""Random mixtures of faults between real processes, while a batch is cancelled and restored."""
import random
import time

import gevent

from tests.cluster import Cluster
from threadshift.audit import cluster as cluster_audit
from threadshift.invoke.client import NoAnswer

FAULTS = ("freeze", "kill", "cut", "forth", "back", "delay", "reset", "tear")
STEPS = 5                  # of one mixture


def play(seed):
    """Runs one mixture, drawn from the seed; each step has one fault and one order of a client. Returns the violated
    rules and a line with the actions."""
    draw, actions = random.Random(seed), []
    with Cluster(undo="5s") as cluster:
        cluster.until(cluster.leader)
        ids = {name: cluster.submit(name, "eve", 12, draw.choice(("submit-a", "check-a")), 80, 25_000)
               for name in cluster.names}
        cancels, frozen = [], ""
        for _ in range(STEPS):
            fault, name = draw.choice(FAULTS), draw.choice(cluster.names)
            actions.append(f"{fault} {name}")
            if fault == "freeze" and not frozen and cluster.status(name):
                frozen = name
                cluster.freeze(name)
                gevent.spawn_later(draw.uniform(0.5, 4), cluster.resume, name)
            elif fault == "kill" and name != frozen:
                cluster.kill(name)
                cluster.start(name)
            elif fault in ("cut", "forth", "back"):
                cluster.cut(draw.sample(cluster.names, draw.randint(1, 2)), draw.randint(1, 4), fault)
            else:
                torn = f"tear {draw.randrange(1, 200)}"
                relay_order = {"delay": "delay 3s 150", "reset": "reset", "tear": torn}.get(fault)
                if relay_order:
                    cluster.rig.processes["relay"].order(f"* {relay_order}")
            front_end, order = draw.choice(cluster.names), draw.choice(("cancel", "restore", "restore"))
            path = "/v1/batches/eve/cancel" if order == "cancel" or not cancels else (
                f"/v1/cancels/{draw.choice(cancels)}/restore")
            try:
                status, answer = cluster.request(front_end, "POST", path, limit=6)
                actions.append(f"{front_end} {path.split('/')[-1]} {status}")
                if status == 200 and answer["cancel"] not in cancels:
                    cancels.append(answer["cancel"])
            except NoAnswer:
                actions.append(f"{front_end} does not answer")
            gevent.sleep(draw.uniform(0.2, 1.5))
        if frozen:
            cluster.until(lambda: cluster.status(frozen), 10)
        cluster.heal()
        cluster.until(lambda: all(cluster.status(name) for name in cluster.names), 20)
        end = time.monotonic() + 45
        while time.monotonic() < end and not all(all(cluster.answer_statuses(name, some_ids))
                                                 for name, some_ids in ids.items()):
            gevent.sleep(0.2)
        open_ = [f"{name}: {answers.count(None)} calls have no answer" for name, some_ids in ids.items()
                 if None in (answers := cluster.answer_statuses(name, some_ids))]
        runs = [each for each in cluster.events("run") if each["mark"]]
        broken = open_ + [str(each) for each in cluster_audit.answers(cluster.client_answers, runs)]
        return broken, f"seed {seed}: {', '.join(actions)}; {len(runs)} runs"
