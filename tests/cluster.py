"""Several front ends as processes, with workers, and a relay in each direction between two front ends."""
import json
import os
import shutil
import signal
import tempfile
import time
from pathlib import Path

import gevent

import threadshift
from threadshift.conf.values import Address
from threadshift.invoke.client import Client, NoAnswer
from threadshift.standins.rig import Rig

CONF = """
listen 127.0.0.1:{port}
name {name}
roster feed {feed}
log json info
admin 127.0.0.1:{admin}
type check {{
    target-latency 600ms
    action-timeout 40s
    effect repeatable
}}
type submit {{
    target-latency 500ms
    action-timeout 40s
    utility 2
    effect once-only
}}
functions submit-* {{
    type submit
}}
functions * {{
    type check
    lanes 2
}}
fleet {{
    front-ends-in-all {fronts}
}}
bounds {{
    drain 4s
    deferred 30000
    keepalive 300ms
}}
peers {{
    folder {folder}
    lease {lease}
    undo {undo}
{peers}
}}
{extra}
"""


class Cluster:
    """Front ends f0, f1 ... (the first are voters) and workers w0, w1 ..., started by a `with` statement."""

    def __init__(self, fronts=5, voters=3, workers=3, lease="1s", undo="4s", extra="", memory_mb=4096, package=None,
                 supervised=False):
        self.scratch = tempfile.TemporaryDirectory()
        self.folder = Path(self.scratch.name)
        self.rig = Rig(self.folder)
        self.names = [f"f{n}" for n in range(fronts)]
        ports = iter(self.rig.ports.reserve(3 * fronts))
        self.port, self.peer_port, self.admin_port = ({name: next(ports) for name in self.names} for _ in range(3))
        self.memory_mb, self.supervised = memory_mb, supervised
        self.python_path = os.environ.get("PYTHONPATH")
        if package is not None:
            self.install(*package)
        self.conf_values = {"fronts": fronts, "voters": voters, "lease": lease, "undo": undo, "extra": extra}
        self.workers = [f"w{n}" for n in range(workers)]
        self.disk_orders = {}
        self.marks = {}                  # by activation
        self.client_answers = []         # status of each answer that a client received, with mark and time

    def install(self, dist, module, name, text):
        """Installs a customer's package with one eviction policy, for the started processes only."""
        folder = self.folder / "site"
        info = folder / f"{dist.replace('-', '_')}-1.0.dist-info"
        info.mkdir(parents=True)
        (info / "METADATA").write_text(f"Metadata-Version: 2.1\nName: {dist}\nVersion: 1.0\n")
        (info / "entry_points.txt").write_text(f"[threadshift.eviction]\n{module} = {module}:{name}\n")
        (folder / f"{module}.py").write_text(text)
        os.environ["PYTHONPATH"] = f"{folder}{os.pathsep}{self.python_path or ''}"

    def __enter__(self):
        rig = self.rig
        rig.start_standin("store", "store", load_ms=20, work_ms=5, memory_mb=50)
        rig.start_standin("roster", "roster")
        links = [(one, other) for one in self.names for other in self.names if one != other]
        rig.start("relay", "standin", "relay", *(
            f"--route={one}-{other}=127.0.0.1:0=127.0.0.1:{self.peer_port[other]}" for one, other in links))
        for worker in self.workers:
            rig.start_standin(worker, "worker", name=worker, memory_mb=self.memory_mb,
                              store=rig.wait_for_address("store") if worker == "w0" else rig.addresses["store"])
        self.routes = {}
        with gevent.Timeout(20):
            for each in rig.processes["relay"].process.stdout.readline().decode().split()[1].split(","):
                name, _, address = each.partition("=")
                self.routes[name] = address
        rig.wait_for_address("roster")
        for worker in self.workers:
            rig.processes["roster"].order(f"worker {worker} {rig.wait_for_address(worker)}")
        for name in self.names:
            self.start(name)
        self.until(lambda: all(self.status(name) for name in self.names), 20)
        self.until(lambda: sum(worker["link"] for name in self.names
                               for worker in self.status(name)["workers"].values()) == len(
                                   self.names) * len(self.workers), 20)
        return self

    def __exit__(self, *_):
        self.rig.stop()
        if self.python_path is None:
            os.environ.pop("PYTHONPATH", None)
        else:
            os.environ["PYTHONPATH"] = self.python_path
        self.scratch.cleanup()

    def write_conf(self, name, **changes):
        """Writes the configuration file of a front end; it reaches its peers through the relay."""
        peers = "\n".join(
            f"    {'voter' if n < self.conf_values['voters'] else 'follower'} {other} "
            f"{f'127.0.0.1:{self.peer_port[other]}' if other == name else self.routes[f'{name}-{other}']}"
            for n, other in enumerate(self.names))
        text = CONF.format(port=self.port[name], admin=self.admin_port[name], name=name,
                           feed=self.rig.addresses["roster"], peers=peers, folder=self.folder / name,
                           **{**self.conf_values, **changes})
        path = self.folder / f"{name}.conf"
        path.write_text(text)
        return path

    def start(self, name):
        if self.supervised:
            self.rig.start(f"front-{name}", "run", str(self.write_conf(name)))
            return
        more = ["--disk-orders", str(self.disk_orders[name])] if name in self.disk_orders else []
        self.rig.start(f"front-{name}", "front-end", str(self.write_conf(name)), *more)

    def kill(self, name):
        self.rig.kill(f"front-{name}")

    def freeze(self, name):
        """Stops the process of a front end, without ending it."""
        self.frozen_pid = self.status(name)["pid"]
        os.kill(self.frozen_pid, signal.SIGSTOP)

    def resume(self, name):
        os.kill(self.frozen_pid, signal.SIGCONT)

    def cut(self, names, seconds, way="cut"):
        """Cuts front ends off from all others: `forth` only what they send, `back` only what is sent to them."""
        out = [f"{one}-{other}" for one in names for other in self.names if other not in names]
        into = [f"{other}-{one}" for one in names for other in self.names if other not in names]
        for route in {"cut": out + into, "forth": out, "back": into}[way]:
            self.rig.processes["relay"].order(f"{route} cut {seconds}s")

    def copy_program(self, name, changes):
        """Copies the program and replaces texts in the copy; returns its folder."""
        root = self.folder / name
        shutil.copytree(Path(threadshift.__file__).parent, root / "threadshift",
                        ignore=shutil.ignore_patterns("__pycache__"))
        for file, old, new in changes:
            path = root / "threadshift" / file
            text = path.read_text()
            if old not in text:
                raise AssertionError(f"{file} does not hold {old!r}")
            path.write_text(text.replace(old, new, 1))
        return root

    def heal(self):
        self.rig.processes["relay"].order("* heal")

    def request(self, name, method, path, headers=None, body=b"", limit=15, admin=False):
        client = Client(Address("127.0.0.1", (self.admin_port if admin else self.port)[name]))
        try:
            with gevent.Timeout(limit, NoAnswer(f"{name}: nothing in {limit} s")):
                answer = client.request(method, path, headers or {}, body)
        finally:
            client.close()
        return answer.status, json.loads(answer.body) if answer.body[:1] == b"{" else answer.body

    def status(self, name):
        """Returns the status page of a front end; None if it does not answer."""
        try:
            return self.request(name, "GET", "/v1/status", limit=2)[1]
        except NoAnswer:
            return None

    def log_status(self, name):
        """Returns what a front end reports about the replicated log; None if it does not answer."""
        status = self.status(name)
        return status["together"]["record"] if status else None

    def leader(self):
        """Returns the front end that reports to be the leader; empty if there is none."""
        return next((name for name in self.names if (record := self.log_status(name)) and record["holds"]), "")

    def until(self, condition, seconds=15.0):
        """Waits until the condition returns a true value, and returns that. Raises AssertionError after `seconds`."""
        end = time.monotonic() + seconds
        while True:
            if found := condition():
                return found
            if time.monotonic() > end:
                raise AssertionError(f"not within {seconds} s; logs: {self.logs()[-3000:]}")
            gevent.sleep(0.05)

    def submit(self, name, batch, count, function="submit-a", work_ms=50, left=30_000):
        """Submits calls and returns their ids. Each has a mark of its own, which the workers' records show."""
        ids, client = [], Client(Address("127.0.0.1", self.port[name]))
        for n in range(count):
            mark = f"{name}-{batch}-{time.monotonic_ns()}-{n}"
            answer = client.request("POST", f"/v1/functions/{function}/calls", {
                "Prefer": "respond-async", "Batch": batch, "Time-Left": str(left)},
                json.dumps({"mark": mark, "work_ms": work_ms}, separators=(",", ":")).encode())
            if answer.status != 202:
                raise AssertionError(f"{answer.status} {answer.body!r}")
            ids.append(json.loads(answer.body)["activation"])
            self.marks[ids[-1]] = mark
        client.close()
        return ids

    def answer_statuses(self, name, ids):
        """Returns the status of each call's final answer, or None while there is none."""
        client, found = Client(Address("127.0.0.1", self.port[name])), []
        for each in ids:
            answer = client.request("GET", f"/v1/calls/{each}")
            found.append(None if answer.status == 202 else answer.status)
            self.client_answers.append({"mark": self.marks[each], "status": answer.status, "t": time.monotonic_ns()})
        client.close()
        return found

    def run_counts(self):
        """Returns how often each mark ran, by the workers' records."""
        found = {}
        for worker in self.workers:
            for line in (self.folder / f"{worker}.jsonl").read_text().splitlines():
                event = json.loads(line)
                if event["e"] == "run" and event["mark"]:
                    found[event["mark"]] = found.get(event["mark"], 0) + 1
        return found

    def events(self, *events):
        """Returns the workers' records of these events, in order of time."""
        found = []
        for worker in self.workers:
            for line in (self.folder / f"{worker}.jsonl").read_text().splitlines():
                found.append({"worker": worker, **json.loads(line)})
        return sorted((each for each in found if each["e"] in events), key=lambda each: each["t"])

    def logs(self):
        return "\n".join(path.read_text()[-2000:] for path in sorted(self.folder.glob("front-*.err")))
