"""What the others notice while one tenant or client floods, with real processes. Prints a Markdown table.

    python benchmarks/flood.py [--seconds 6] [--only tenant,names] [--tree FOLDER]

One front end, four workers of two cores, a pack store; work 20 ms, so some 400 calls a second. Two tenants ask 60 a
second together in an open loop; beside them one floods with about twice what the fleet can do. `--tree` runs the
gateway and its stand-ins from another checkout, to set two against each other.
"""
import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import closing
from pathlib import Path

import gevent
from gevent import socket

from threadshift.conf.values import Address
from threadshift.invoke.client import Client, NoAnswer
from threadshift.standins.ports import free_ports

HERE = Path(__file__).resolve()
KINDS = ("none", "tenant", "hot", "names", "once-only", "deferred", "connections", "nobody", "unmarked", "status")
WORKERS, CORES, WORK_MS = 4, 2, 20
RATE = 800                 # calls a second of the flood
PARALLEL = 250             # connections of the flood: more wait at the front end than it serves at once
CONF = """
listen 127.0.0.1:{port}
roster file {folder}/workers
log json info
type check {{
    target-latency 400ms
    action-timeout 1500ms
    effect repeatable
}}
type submit {{
    target-latency 400ms
    action-timeout 1500ms
    utility 2
    effect once-only
}}
functions submit-* {{
    type submit
    lanes 4
}}
functions * {{
    type check
    lanes 4
}}
tenant a {{
    share 40%
    rate 160
}}
tenant b {{
    share 30%
    rate 120
}}
tenant c {{
    share 20%
    rate 80
}}
fleet {{
    load-window 5s
    load-free 20
    load-ratio 20%
}}
bounds {{
    connections 300
    activations 200
    deferred 100
    keep-results 20s
}}
"""


def words(kind, n):
    """The flood's next call: function and headers."""
    tenant = {"nobody": None}.get(kind, "a")
    name = {"hot": "a-hot", "names": f"a-{n}", "once-only": f"submit-{n % 10}"}.get(kind, f"a-{n % 10}")
    return name, {"Tenant": tenant, "Time-Left": "1000", "Work-Hint": str(WORK_MS),
                  "Prefer": "respond-async" if kind == "deferred" else None}


def flood(kind, port, seconds):
    """A process of its own: closed loops over many connections, paced to RATE together."""
    until, number, seen = time.monotonic() + seconds, iter(range(1 << 30)), Counter()
    at = Address("127.0.0.1", port)

    def talk():
        with closing(Client(at)) as client:
            while time.monotonic() < until:
                began = time.monotonic()
                try:
                    if kind == "status":
                        reply = client.request("GET", "/v1/status")
                    else:
                        name, headers = words(kind, next(number))
                        reply = client.request("POST", f"/v1/functions/{name}/calls", headers, b"x" * 50)
                    seen[reply.status] += 1
                except NoAnswer:
                    seen["broke"] += 1
                if kind != "unmarked":      # that one comes back at once, whatever it was told
                    gevent.sleep(max(0, PARALLEL / RATE - (time.monotonic() - began)))

    if kind == "connections":
        held = []
        while time.monotonic() < until:
            try:
                held.append(socket.create_connection(("127.0.0.1", port), 1))
            except OSError:
                seen["refused"] += 1
            gevent.sleep(0.005)
        seen["held"] = len(held)
    elif kind != "none":
        gevent.joinall([gevent.spawn(talk) for _ in range(PARALLEL)])
    print(json.dumps(seen))


class Others:
    """Two tenants within their due, in an open loop; each call on a connection of its own, as a new client's."""

    def __init__(self, port, seconds):
        self.at, self.seconds = Address("127.0.0.1", port), seconds
        self.took, self.finals = [], Counter()

    def run(self):
        chance, until = random.Random(1), time.monotonic() + self.seconds
        jobs = []
        while time.monotonic() < until:
            gevent.sleep(chance.expovariate(60))
            tenant = "b" if chance.random() < 2 / 3 else "c"
            jobs.append(gevent.spawn(self.ask, tenant, f"{tenant}-{int(chance.random() * 6)}"))
        gevent.joinall(jobs, timeout=5)

    def ask(self, tenant, name):
        began = time.monotonic()
        with closing(Client(self.at)) as client:
            try:
                reply = client.request("POST", f"/v1/functions/{name}/calls", {
                    "Tenant": tenant, "Time-Left": "1000", "Work-Hint": str(WORK_MS)}, b"x" * 50)
            except NoAnswer:
                self.finals["broke"] += 1
                return
        final = reply.headers.get("final", str(reply.status))
        self.finals[final] += 1
        if final == "completed":
            self.took.append((time.monotonic() - began) * 1000)


def start(tree, folder, *arguments):
    errors = open(folder / f"{len(list(folder.iterdir()))}.err", "ab")
    it = subprocess.Popen([sys.executable, "-m", "threadshift", *map(str, arguments)], cwd=tree, stderr=errors,
                          env={**os.environ, "PYTHONPATH": str(tree)}, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    errors.close()
    return it


def one(kind, tree, seconds, folder):
    ports = free_ports(WORKERS + 2)
    store = start(tree, folder, "standin", "store", f"--listen=127.0.0.1:{ports[0]}", "--capacity=8", "--load-ms=200",
                  "--memory-mb=100")
    store.stdout.readline()
    running = [store]
    for n in range(WORKERS):
        running.append(start(
            tree, folder, "standin", "worker", f"--listen=127.0.0.1:{ports[1 + n]}", f"--name=w{n}",
            f"--store=127.0.0.1:{ports[0]}", f"--cores={CORES}", "--memory-mb=3000",
            f"--record={folder / f'w{n}.jsonl'}"))
        running[-1].stdout.readline()
    (folder / "workers").write_text("".join(f"worker w{n} 127.0.0.1:{ports[1 + n]}\n" for n in range(WORKERS)))
    conf = folder / "conf"
    conf.write_text(CONF.format(port=ports[-1], folder=folder))
    front = start(tree, folder, "front-end", conf, "--index", 0)
    running.insert(0, front)
    at = Address("127.0.0.1", ports[-1])
    client, until = Client(at), time.monotonic() + 20
    while time.monotonic() < until:
        try:
            if client.request("GET", "/v1/status").body.count(b'"link": true') == WORKERS:
                break
        except NoAnswer:
            gevent.sleep(0.05)
    client.close()
    Others(ports[-1], 2).run()                  # until their copies stand
    flooding = subprocess.Popen([sys.executable, str(HERE), "--flood", kind, str(ports[-1]), str(seconds)],
                                stdout=subprocess.PIPE)
    gevent.sleep(0.5)
    begun = time.monotonic_ns()
    others = Others(ports[-1], seconds - 1)
    others.run()
    ended = time.monotonic_ns()
    sent = json.loads(flooding.communicate()[0])
    for it in running:
        it.terminate()
    for it in running:
        it.wait()
        it.stdin.close()
        it.stdout.close()
    return others, sent, placed(folder, begun, ended), log_of(folder)


def placed(folder, begun, ended):
    """Share of the others' runs at the worker that ran most of that function, and loads of their functions."""
    runs, loads = {}, 0
    for path in folder.glob("w*.jsonl"):
        for line in path.read_text().splitlines():
            it = json.loads(line)
            if begun <= it["t"] <= ended and it["e"] in ("run", "load") and it["function"][:2] in ("b-", "c-"):
                if it["e"] == "run":
                    runs.setdefault(it["function"], Counter())[path.stem] += 1
                else:
                    loads += 1
    whole = sum(sum(each.values()) for each in runs.values())
    return sum(max(each.values()) for each in runs.values()) / whole if whole else 0.0, loads


def log_of(folder):
    """Lines that the front end logged."""
    return sum(line.startswith("{") for path in folder.glob("*.err") for line in path.read_text().splitlines())


def main():
    if sys.argv[1:2] == ["--flood"]:
        flood(sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))
        return
    it = argparse.ArgumentParser()
    it.add_argument("--seconds", type=float, default=6)
    it.add_argument("--only", default=",".join(KINDS))
    it.add_argument("--tree", default=str(HERE.parent.parent))
    told = it.parse_args()
    print("| flood | others completed of asked | p50 ms | p99 ms | at first worker | loads | flood got | lines |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for kind in told.only.split(","):
        with tempfile.TemporaryDirectory() as folder:
            others, sent, (home, loads), lines = one(kind, Path(told.tree), told.seconds, Path(folder))
        took, asked = sorted(others.took) or [0.0], sum(others.finals.values())
        print(f"| {kind} | {len(others.took)} of {asked} = {len(others.took) / asked:.3f} | "
              f"{took[len(took) // 2]:.0f} | {took[int(len(took) * 0.99)]:.0f} | {home:.2f} | {loads} | "
              f"{' '.join(f'{key} {n}' for key, n in sent.items())} | {lines} |", flush=True)


if __name__ == "__main__":
    main()
