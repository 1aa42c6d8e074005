"""Measures a front end against a bare relay, paired in one run, each on one core. Writes docs/measurements/.

    python benchmarks/front_end.py [--rounds 5] [--seconds 4] [--out docs/measurements]

Cores: 0 for what is measured (0 to 3 for several front ends), the rest for load and workers. Absolute rates are of
the machine and its noise; ratios within a round are what to read.
"""
import argparse
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import gevent
from gevent import socket
from hdrh.histogram import HdrHistogram

from threadshift.standins.ports import free_ports

HERE = Path(__file__).parent
LOADERS = 2                # load processes; one alone is slower than the relay
REST = set(range(2, os.cpu_count()))      # cores of load and workers
CONF = """
listen 127.0.0.1:{port}
front-ends {fronts}
own-ports {own}
roster file {roster}
log json warning
type check {{
    target-latency 600ms
    action-timeout 5s
    effect repeatable
}}
functions * {{
    type check
    lanes 64
}}
bounds {{
    connections 20000
    activations 20000
}}
"""


def pinned(cores, *command):
    it = subprocess.Popen([sys.executable, *command], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
                          stdin=subprocess.PIPE)
    os.sched_setaffinity(it.pid, cores)
    return it


class Fleet:
    """Flat workers in two processes."""

    def __init__(self, count, folder, wait=0.0):
        cores = REST
        half = count // 2
        self.processes = [pinned(cores, str(HERE / "flat_workers.py"), str(first), str(size), str(wait))
                          for first, size in ((0, half), (half, count - half))]
        self.ports = [int(port) for it in self.processes for port in it.stdout.readline().split()[1:]]
        self.roster = Path(folder) / f"workers-{count}-{wait}"
        self.roster.write_text("".join(f"worker w{n} 127.0.0.1:{port}\n" for n, port in enumerate(self.ports)))

    def end(self):
        for it in self.processes:
            it.kill()
            it.wait()


class Target:
    """The relay or the gateway, started on its cores."""

    def __init__(self, kind, fleet, folder, fronts=1):
        self.port = free_ports(1)[0]
        cores = {0} if fronts == 1 else set(range(fronts))
        if kind == "relay":
            self.it = pinned(cores, str(HERE / "relay.py"), str(self.port),
                             *(f"127.0.0.1:{port}" for port in fleet.ports))
            self.it.stdout.readline()
            self.pids = [self.it.pid]
            return
        own = 0 if fronts == 1 else 21000 + self.port % 5000
        conf = Path(folder) / f"gateway-{self.port}.conf"
        conf.write_text(CONF.format(port=self.port, fronts=fronts, own=own, roster=fleet.roster).replace(
            "own-ports 0\n", ""))
        command = ["front-end", str(conf)] if fronts == 1 else ["run", str(conf)]
        self.it = pinned(cores, "-m", "threadshift", *command)
        self.pids = [self.status(port, len(fleet.ports)) for port in (
            [self.port] if fronts == 1 else range(own, own + fronts))]
        if fronts > 1:
            for core, pid in enumerate(self.pids):
                os.sched_setaffinity(pid, {core})

    @staticmethod
    def status(port, workers):
        until = time.monotonic() + 30
        while time.monotonic() < until:
            try:
                with socket.create_connection(("127.0.0.1", port)) as sock:
                    sock.sendall(b"GET /v1/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    got = b""
                    while more := sock.recv(65536):
                        got += more
                if got.count(b'"link": true') == workers:
                    return int(re.search(rb'"pid": (\d+)', got)[1])
            except OSError:
                pass
            time.sleep(0.05)
        raise SystemExit("a gateway did not link to its workers")

    def memory(self):
        """Resident bytes of its processes."""
        page = os.sysconf("SC_PAGE_SIZE")
        return sum(int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * page for pid in self.pids)

    def end(self):
        self.it.terminate()
        try:
            self.it.wait(15)
        except subprocess.TimeoutExpired:
            self.it.kill()
            self.it.wait()


def load(port, seconds, connections, rate=0.0, left=4000, loaders=LOADERS):
    """All load processes together: calls a second, in time a second, statuses, and one histogram of latencies."""
    its = [pinned(REST, str(HERE / "load.py"), str(port), str(seconds),
                  str(max(1, connections // loaders)), str(rate / loaders), str(left)) for _ in range(loaders)]
    told = [json.loads(it.communicate()[0]) for it in its]
    times = HdrHistogram(1, 60_000_000, 3)
    statuses = {}
    for each in told:
        times.decode_and_add(each["hdr"])
        for status, count in each["statuses"].items():
            statuses[status] = statuses.get(status, 0) + count
    return {"per_s": sum(each["per_s"] for each in told),
            "in_time_per_s": sum(each["in_time_per_s"] for each in told),
            "p50_us": times.get_value_at_percentile(50), "p99_us": times.get_value_at_percentile(99),
            "statuses": statuses}


def spread(values):
    return {"median": statistics.median(values), "least": min(values), "most": max(values)}


def saturation(rounds, seconds, folder, workers):
    """Relay and gateway in turn: rate at saturation, then latency of both at half of the gateway's rate."""
    fleet, rows = Fleet(workers, folder), []
    for _ in range(rounds):
        row = {}
        targets = {kind: Target(kind, fleet, folder) for kind in ("relay", "gateway")}
        for kind, target in targets.items():
            load(target.port, 1, 45)
            row[kind] = load(target.port, seconds, 45)
        # Latencies side by side, on two cores: what else the machine does meets both alike.
        os.sched_setaffinity(targets["relay"].pids[0], {1})
        with ThreadPoolExecutor(2) as both:
            half = {kind: both.submit(load, target.port, seconds, 45, row["gateway"]["per_s"] / 2)
                    for kind, target in targets.items()}
            row |= {f"{kind} half": each.result() for kind, each in half.items()}
        for target in targets.values():
            target.end()
        rows.append(row)
        rates = {key: (round(value["per_s"]), value["statuses"]) for key, value in row.items()}
        print(json.dumps({"workers": workers, **rates}), flush=True)
    fleet.end()
    return {
        "workers": workers, "rounds": rounds,
        "relay_per_s": spread([row["relay"]["per_s"] for row in rows]),
        "gateway_per_s": spread([row["gateway"]["per_s"] for row in rows]),
        "rate_ratio": spread([row["gateway"]["per_s"] / row["relay"]["per_s"] for row in rows]),
        "relay_half_p50_us": spread([row["relay half"]["p50_us"] for row in rows]),
        "gateway_half_p50_us": spread([row["gateway half"]["p50_us"] for row in rows]),
        "relay_half_p99_us": spread([row["relay half"]["p99_us"] for row in rows]),
        "gateway_half_p99_us": spread([row["gateway half"]["p99_us"] for row in rows]),
        "p99_ratio": spread([row["gateway half"]["p99_us"] / row["relay half"]["p99_us"] for row in rows]),
    }


def scaling(seconds, folder):
    """1, 2 and 4 front ends on as many cores."""
    REST.difference_update(range(4))
    fleet, found = Fleet(12, folder), {}
    for fronts in (1, 2, 4):
        target = Target("gateway", fleet, folder, fronts)
        load(target.port, 1, 90)
        found[fronts] = load(target.port, seconds, 90)["per_s"]
        target.end()
        print(json.dumps({"front ends": fronts, "per_s": round(found[fronts])}), flush=True)
    fleet.end()
    REST.update(range(2, 4))
    return found


def overload(seconds, folder):
    """Offered load from half to three times the peak, with a second of patience: answered in time, a second."""
    fleet = Fleet(12, folder)
    target = Target("gateway", fleet, folder)
    load(target.port, 1, 45)
    peak = load(target.port, seconds, 45)["per_s"]
    rows = []
    for times in (0.5, 0.8, 1.0, 1.5, 2.0, 3.0):
        got = load(target.port, seconds, 900, peak * times, 1000, loaders=5)
        rows.append({"offered": times, "goodput": got["in_time_per_s"] / peak, "p99_ms": got["p99_us"] / 1000,
                     "statuses": got["statuses"]})
        print(json.dumps(rows[-1]), flush=True)
    target.end()
    fleet.end()
    return {"peak_per_s": peak, "rows": rows}


def memory(folder):
    """Resident memory for 10,000 idle connections, and for 1,000 calls held."""
    fleet = Fleet(12, folder, wait=4.0)
    target = Target("gateway", fleet, folder)
    before = target.memory()
    idle = [socket.create_connection(("127.0.0.1", target.port)) for _ in range(10_000)]
    gevent.sleep(1)
    connected = target.memory()
    for sock in idle:
        sock.close()
    gevent.sleep(1)
    middle = target.memory()
    holding = pinned(REST, str(HERE / "load.py"), str(target.port), "6", "1000", "0", "5000")
    gevent.sleep(3)
    held = target.memory()
    holding.communicate()
    target.end()
    fleet.end()
    return {"idle_10000_mib": (connected - before) / 2**20, "held_1000_mib": (held - middle) / 2**20}


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--rounds", type=int, default=5)
    words.add_argument("--seconds", type=float, default=4)
    words.add_argument("--out", default="docs/measurements")
    words.add_argument("--only", nargs="*", default=["saturation", "scaling", "overload", "memory"])
    it = words.parse_args()
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False)
    path = Path(it.out) / "front-end.json"
    found = json.loads(path.read_text()) if path.exists() else {}
    found |= {"commit": commit.stdout.strip(), "cores": os.cpu_count()}
    with tempfile.TemporaryDirectory() as folder:
        if "saturation" in it.only:
            found["saturation"] = [saturation(it.rounds, it.seconds, folder, count) for count in (12, 200)]
        if "scaling" in it.only:
            found["scaling"] = scaling(it.seconds, folder)
        if "overload" in it.only:
            found["overload"] = overload(it.seconds, folder)
        if "memory" in it.only:
            found["memory"] = memory(folder)
    Path(it.out).mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
