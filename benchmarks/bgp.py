"""Measures announcements: from cause to withdrawal to the last new connection; codec; calls while peers flap.

    python benchmarks/bgp.py [--trials 100] [--lanes 6] [--only causes codec flapping days] [--out docs/measurements]

Each trial starts a front end process anew beside a second one, both announcing one address to a router, while a
client opens a connection every 5 ms. Lanes are processes that run trials side by side at addresses of their own.
"""
import argparse
import ipaddress
import json
import os
import random
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import gevent
from gevent import socket
from gevent.server import StreamServer

sys.path.insert(0, str(Path(__file__).parent.parent))     # the tests' fuzzer is used here too

import front_end as bench  # noqa: E402
from tests.test_bgp_codec import RecordingHandler, fuzz
from threadshift.audit import records
from threadshift.bgp import codec
from threadshift.bgp.path import Path as Route
from threadshift.bgp.rib import AdjRibIn
from threadshift.conf.values import Address
from threadshift.days import fault_scenario
from threadshift.invoke.client import Client
from threadshift.standins.common import Record
from threadshift.standins.feed import RosterFeed
from threadshift.standins.ports import free_ports
from threadshift.standins.rig import Rig
from threadshift.standins.router import Router
from threadshift.standins.store import PackStore
from threadshift.standins.worker import Machine, Worker

CAUSES = ("killed", "drained", "workers gone", "stands still", "withdrawn by word")
CONVERGE, HOLD = 200, 3    # ms, s
PREFIX = ipaddress.ip_network("192.0.2.1/32")
CONF = """
listen {host}:{port}
name {name}
roster feed {feed}
log json warning
admin {host}:{admin}
type check {{
    target-latency 600ms
    action-timeout 2s
    effect repeatable
}}
functions * {{
    type check
}}
bgp {{
    local-as {asn}
    router-id 10.0.0.{asn}
    next-hop {host}
    hold-time {hold}s
    reflects yes
    peer router {{
        address 127.0.0.1:{router}
        as 64999
        source {host}
    }}
    address 192.0.2.1/32 {{
    }}
}}
"""


class Lane:
    """One router, two front ends, one after another cause."""

    def __init__(self, lane, folder):
        self.hosts = [f"127.0.{10 + lane}.{n + 1}" for n in range(2)]
        self.port, self.admin, router = free_ports(3)
        anywhere = Address("127.0.0.1", 0)
        self.router = Router(64999, Address("127.0.0.1", router),
                             [(f"front-{n}", host, n + 1) for n, host in enumerate(self.hosts)],
                             [(str(PREFIX), anywhere, self.port)], CONVERGE * 10**6, HOLD, Record(None))
        self.router.start()
        store = PackStore(anywhere, 8, 1, 10, 5, Record(None))
        store.start()
        self.workers = [Worker(anywhere, Machine(f"w{n}"), store.address, Record(None)) for n in range(2)]
        for worker in self.workers:
            worker.start()
        self.feeds = [RosterFeed(anywhere, Record(None)) for _ in self.hosts]
        self.rig = Rig(Path(folder))
        self.steered = []
        self.router.record.note = self.note
        for n, feed in enumerate(self.feeds):
            feed.start()
            (Path(folder) / f"front-{n}.conf").write_text(CONF.format(
                host=self.hosts[n], port=self.port, name=f"front-{n}", feed=feed.address, admin=self.admin, asn=n + 1,
                hold=HOLD, router=self.router.address.port))
            self.list_workers(n)
        self.rig.front_end("front-1", Path(folder) / "front-1.conf")
        gevent.spawn(self.connect)

    def note(self, event, **fields):
        if event == "steered":
            self.steered.append((time.monotonic(), fields["hop"]))

    def list_workers(self, n):
        for worker in self.workers:
            self.feeds[n].execute_order(["worker", worker.machine.name, str(worker.address)])

    def connect(self):
        """Clients: a new connection every 5 ms, closed again."""
        at = self.router.services[0][1]
        while True:
            try:
                with socket.create_connection((at.host, at.port), timeout=1):
                    pass
            except OSError:
                pass
            gevent.sleep(0.005)

    def hops(self):
        return {str(path.next_hop) for path in self.router.best.get(PREFIX, ())}

    def wait(self, true, seconds):
        until = time.monotonic() + seconds
        while not true():
            if time.monotonic() > until:
                raise SystemExit("a trial did not come to its state in time")
            gevent.sleep(0.002)

    def trial(self, cause):
        """(ms to the change of routes, ms to the last new connection)"""
        victim = self.hosts[0]
        peer = self.router.speaker.neighbours["front-0"]
        peer.pause = 0
        if peer.idle_until:
            peer.idle_until = time.monotonic_ns()
        process = self.rig.front_end("front-0", self.rig.folder / "front-0.conf")
        self.wait(lambda: self.hops() == set(self.hosts), 20)
        self.wait(lambda: any(hop == victim for _, hop in self.steered[-20:]), 10)
        gevent.sleep(random.Random(len(self.steered)).uniform(0.05, 0.3))
        began = time.monotonic()
        if cause == "killed":
            process.signal(signal.SIGKILL)
        elif cause == "drained":
            process.signal(signal.SIGTERM)
        elif cause == "workers gone":
            self.feeds[0].execute_order(["drop", "w0"])
            self.feeds[0].execute_order(["drop", "w1"])
        elif cause == "stands still":
            process.signal(signal.SIGSTOP)
        else:
            Client(Address(victim, self.admin)).request("POST", "/v1/bgp/withdraw", {}, b"")
        self.wait(lambda: victim not in self.hops(), 15)
        changed = time.monotonic()
        gevent.sleep(CONVERGE / 1000 + 0.3)
        last = max((at for at, hop in self.steered if hop == victim), default=began)
        process.signal(signal.SIGKILL)
        process.process.wait()
        self.list_workers(0)
        self.wait(lambda: victim not in self.hops() and "front-0" not in self.router.speaker.adj_ribs_out, 10)
        self.steered.clear()
        return (changed - began) * 1000, max(0.0, last - began) * 1000


def lane(number, trials):
    with tempfile.TemporaryDirectory() as folder:
        it = Lane(number, folder)
        try:
            for _ in range(trials):
                for cause in CAUSES:
                    print(json.dumps([cause, *it.trial(cause)]), flush=True)
        finally:
            it.rig.stop()


def percentile(values, part):
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def causes(trials, lanes):
    here = str(Path(__file__))
    its = [subprocess.Popen([sys.executable, here, "--lane", str(n), "--trials", str(-(-trials // lanes))],
                            stdout=subprocess.PIPE, text=True) for n in range(lanes)]
    rows = {cause: [] for cause in CAUSES}
    for it in its:
        for line in it.communicate()[0].splitlines():
            cause, change, last = json.loads(line)
            rows[cause].append((change, last))
    return {cause: {
        "trials": len(found), "change_p50_ms": statistics.median(change for change, _ in found),
        "change_p99_ms": percentile([change for change, _ in found], 0.99),
        "last_p50_ms": statistics.median(last for _, last in found),
        "last_p99_ms": percentile([last for _, last in found], 0.99),
        "last_ms": [round(last) for _, last in found]} for cause, found in rows.items() if found}


def coding(count):
    """UPDATEs a second both ways, memory of 10,000 routes, and damaged messages."""
    route = Route(ipaddress.ip_address("127.0.1.1"), (65001, 65002), med=1, local_pref=2, communities=(1, 2),
                  large_communities=((1, 2, 3),))
    prefixes = [ipaddress.ip_network((10 << 24 | n, 32)) for n in range(10_000)]
    began = time.perf_counter()
    messages = [codec.write_routes([prefix], route, True)[0] for prefix in prefixes]
    coded = time.perf_counter() - began
    ears = RecordingHandler()
    reader = codec.Reader(ears)
    reader.four_octet_as = True
    began = time.perf_counter()
    for data in messages:
        reader.feed(data)
    decoded = time.perf_counter() - began
    calls, ears.calls = ears.calls, []
    tracemalloc.start()
    heard = AdjRibIn(20_000)
    reader.handler = ears
    before = tracemalloc.get_traced_memory()[0]
    for data in messages:
        reader.feed(data)
        _, there, path = ears.calls.pop()
        heard.add("peer", there, path)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(calls) == len(prefixes)
    return {"coded_per_s": len(prefixes) / coded, "decoded_per_s": len(prefixes) / decoded,
            "routes_10000_kib": held / 1024, "fuzzed": count, "faults": fuzz(random.Random(7), count)}


def flapping(rounds, seconds):
    """Calls a second with 100 peers that accept, hear the OPEN and reset, against none."""
    def reset(sock, _):
        sock.recv(100)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
    peers = [StreamServer(("127.0.0.1", 0), reset) for _ in range(100)]
    for peer in peers:
        peer.start()
    block = "bgp {\nlocal-as 1\nrouter-id 10.0.0.1\nnext-hop 127.0.0.1\naddress 192.0.2.1/32 {\n}\n" + "".join(
        f"peer p{n} {{\naddress 127.0.0.1:{peer.server_port}\nas 2\n}}\n" for n, peer in enumerate(peers)) + "}\n"
    plain, rows = bench.CONF, []
    with tempfile.TemporaryDirectory() as folder:
        fleet = bench.Fleet(12, folder)
        for _ in range(rounds):
            row = {}
            for kind, text in (("without", plain), ("with", plain + block.replace("{", "{{").replace("}", "}}"))):
                bench.CONF = text
                target = bench.Target("gateway", fleet, folder)
                got = []
                job = gevent.get_hub().threadpool.spawn(lambda target=target, got=got: got.append(
                    bench.load(target.port, seconds, 45)["per_s"]))
                job.get()
                row[kind] = got[0]
                target.end()
            rows.append(row)
            print(json.dumps(row), flush=True)
        fleet.end()
    bench.CONF = plain
    return {"without": bench.spread([row["without"] for row in rows]),
            "with": bench.spread([row["with"] for row in rows]),
            "ratio": bench.spread([row["with"] / row["without"] for row in rows])}


def days(seeds):
    """The three-hall day, steered three ways."""
    text = (Path(__file__).parent.parent / "threadshift/days/three-halls.day").read_text()
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        for seed in range(1, seeds + 1):
            for steer in ("routes", "alive", "static"):
                path = Path(folder) / f"{steer}.day"
                path.write_text(text.replace("router {", f"router {{\n    steer {steer}"))
                # One after another: the addresses of halls are fixed, and side by side they would disturb each other.
                it = subprocess.run([sys.executable, "-m", "threadshift", "play", str(path), "--seed", str(seed)],
                                    capture_output=True, text=True, check=False)
                last = it.stdout.strip().splitlines()[-1] if it.stdout.strip() else it.stderr
                numbers = re.search(r"broken (\d+) .*= ([0-9.]+) .*breaches (\d+)", last)
                rows.append({"seed": seed, "steer": steer, "broken": int(numbers[1]), "ratio": float(numbers[2]),
                             "breaches": int(numbers[3])})
                print(json.dumps(rows[-1]), flush=True)
    return rows


# What happens at second 5 of a day of its own: trouble lines, and how long a window is looked at.
AROUND = {
    "killed, back after 4 s": ("trouble front_kill at 5s for 4s front 0",),
    "drained, back after 4 s": ("trouble front_drain at 5s for 4s front 0",),
    "stands still 2 s": ("trouble balancer_stall at 5s for 2s front 1",),
    "a hall's workers lost": ("trouble zone_loss at 5s for 4s zone hall-a",),
    "two halls killed": ("trouble front_kill at 5s for 4s front 0", "trouble front_kill at 5s for 4s front 1"),
    "all three overloaded": ("trouble burst at 5s for 5s times 9",),
}
WINDOW = 6     # s from the cause


def around_day(text, steer, troubles):
    """The three-hall day's parts, 14 s long, with nothing but this trouble."""
    lines = [line for line in text.splitlines() if not line.startswith("trouble")]
    return "\n".join(lines).replace("length 40s", "length 14s").replace(
        "router {", f"router {{\n    steer {steer}") + "\n" + "\n".join(troubles) + "\n"


def around_one(job):
    """One day: first tries in the window, of them lost and late, transitions of front ends that lived on."""
    cause, steer, seed, text = job
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.day"
        path.write_text(around_day(text, steer, AROUND[cause]))
        it = subprocess.run([sys.executable, "-m", "threadshift", "play", str(path), "--seed", str(seed), "--record",
                             f"{folder}/records"], capture_output=True, text=True, check=False)
        seen = records.read(Path(folder) / "records")
        start = next(each["start"] for each in seen if each.event == "day")
        since = start + 5 * 10**9
        types = {each.name: each
                 for each in fault_scenario.read(f"{folder}/records/day.conf").config.deployment.types}
        asked = lost = late = 0
        for tries, done in records.group_attempts(seen):
            if not since <= tries[0].t < since + WINDOW * 10**9:
                continue
            asked += 1
            lost += done is None
            late += done is not None and done - tries[0].t > types[tries[0]["type"]].target_latency
        changes = sum('"announcement"' in line for file in Path(folder, "records").glob("front-*.err")
                      for line in file.open())
        return {"cause": cause, "steer": steer, "seed": seed, "asked": asked, "lost": lost, "late": late,
                "changes": changes, "breaches": int(re.search(r"breaches (\d+)", it.stdout)[1])}


def around(seeds, lanes):
    """Calls lost or late around each cause, steered three ways, in days of their own with the same seeds."""
    text = (Path(__file__).parent.parent / "threadshift/days/three-halls.day").read_text()
    jobs = [(cause, steer, seed, text) for seed in range(1, seeds + 1) for cause in AROUND
            for steer in ("routes", "alive", "static")]
    rows = []
    with ProcessPoolExecutor(lanes) as pool:
        for row in pool.map(around_one, jobs):
            rows.append(row)
            print(json.dumps(row), flush=True)
    return rows


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--trials", type=int, default=100)
    words.add_argument("--lanes", type=int, default=6)
    words.add_argument("--lane", type=int, default=None)
    words.add_argument("--seeds", type=int, default=2)
    words.add_argument("--only", nargs="*", default=["causes", "codec", "flapping", "days", "around"])
    words.add_argument("--out", default="docs/measurements")
    it = words.parse_args()
    if it.lane is not None:
        lane(it.lane, it.trials)
        return
    path = Path(it.out) / "bgp.json"
    found = json.loads(path.read_text()) if path.exists() else {}
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False)
    found |= {"cores": os.cpu_count(), "converge_ms": CONVERGE, "hold_s": HOLD}
    found.setdefault("made", {}).update(dict.fromkeys(it.only, commit.stdout.strip()))
    if "causes" in it.only:
        found["causes"] = causes(it.trials, it.lanes)
    if "codec" in it.only:
        found["codec"] = coding(1_000_000)
    if "flapping" in it.only:
        found["flapping"] = flapping(3, 3)
    if "days" in it.only:
        found["days"] = days(it.seeds)
    if "around" in it.only:
        found["around"] = around(it.seeds, min(it.lanes, 3))
    path.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
