import ast
import graphlib
import json
import os
import platform
import shlex
import signal
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

import gevent
from gevent import subprocess

from tests.live import free_port, until
from tests.platform import Client, Coordinator, Worker, configuration, event, instance
from threadshift.conf.values import Address

ROOT = Path(__file__).resolve().parent.parent
PROBES = """
import os, socket, subprocess, sys, threading
from tests import syscall_filter
if "free" not in sys.argv:
    syscall_filter.install()
def error_of(call):
    try:
        call()
    except OSError as problem:
        return problem.errno
done = threading.Event()
threading.Thread(target=done.set).start()
print(done.wait(5), error_of(lambda: os.fork() or os._exit(0)), error_of(lambda: socket.socket(socket.AF_UNIX)),
      error_of(lambda: subprocess.run(["true"])), error_of(lambda: socket.socket(socket.AF_INET)))
"""


def deployed():
    """What the platform is told about this program."""
    return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())


@unittest.skipUnless(platform.machine() == "x86_64", "the filter has the system call numbers of x86-64")
class SystemCallFilter(unittest.TestCase):
    """A front end started as the platform starts it, under the system calls that the platform refuses."""

    def test_the_filter_refuses_what_it_names_and_nothing_else(self):
        for arguments, expected in (([], "True 38 1 38 None"), (["free"], "True None None None None")):
            out = subprocess.run([sys.executable, "-c", PROBES, *arguments], cwd=ROOT, capture_output=True, text=True)
            self.assertEqual((out.stdout.strip(), out.stderr), (expected, ""))

    def test_it_starts_serves_and_ends(self):
        worker = Worker()
        coordinator = Coordinator([event(1, instance("s-0", worker.address), full=True)])
        address = Address("127.0.0.1", free_port())
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_text(json.dumps(configuration(listen=str(address), coordinator=str(coordinator.address))))
            start, module = shlex.split(deployed()["run"])[-2:]
            self.assertEqual(start, "-m")
            child = subprocess.Popen([sys.executable, "-m", "tests.syscall_filter", module], cwd=ROOT,
                                     env=os.environ | {"NODE_CONFIG": str(path)}, stderr=subprocess.PIPE)
            try:
                self.assertEqual(self.serve(child, address), (200, b"did x"))
                loaded = Path(f"/proc/{child.pid}/maps").read_text()
                self.assertIn("libc.so", loaded)                # dynamically linked
                child.send_signal(signal.SIGTERM)
                self.assertEqual(child.wait(10), 0)
                events = [json.loads(line)["event"] for line in child.stderr.read().splitlines()]
                # The coordinator is followed before the socket listens, so its first list may be logged before.
                before_start = events[:events.index("started")]
                self.assertLessEqual(set(before_start), {"list-applied", "coordinator-current"})
                self.assertEqual((events.count("started"), events[-1]), (1, "ended"))
            finally:
                if child.poll() is None:
                    child.kill()
                child.stderr.close()
                coordinator.stop()
                worker.stop()

    def serve(self, child, address):
        def alive():
            self.assertIsNone(child.poll())
            try:
                client = Client(address)
            except OSError:
                gevent.sleep(0.02)
                return False
            answer = client.alive()
            client.close()
            return answer and answer[0] == 200
        until(alive)
        client = Client(address)
        client.ask()
        status, _, body = client.answer()
        client.close()
        return status, body


class Deployed(unittest.TestCase):
    def test_the_run_command_uses_exec_and_every_dependency_is_pinned(self):
        settings = deployed()
        self.assertTrue(settings["run"].startswith("exec .venv/bin/python "))
        pinned = dict(line.split("==") for line in (ROOT / "requirements.txt").read_text().splitlines()
                      if not line.startswith("#"))
        required = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["dependencies"]
        self.assertLessEqual({each.split(">=")[0] for each in required}, set(pinned))

    def test_packages_that_only_the_gateway_needs_are_not_loaded(self):
        program = ("import sys, threadshift.node.start, threadshift.node.front; print([name for name in sys.modules "
                   "if name.split('.')[:2] in [['threadshift', each] for each in "
                   "('bgp', 'peers', 'consensus', 'batches', 'eviction', 'rollout', 'storage', 'standins', 'packs', "
                   "'cli', 'days')]])")
        out = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual((out.stdout.strip(), out.stderr), ("[]", ""))


DAEMON = """
listen 127.0.0.1:{port}
roster file {folder}/roster
log json info
type t {{
    target-latency 600ms
    action-timeout 2500ms
    effect repeatable
}}
functions * {{
    type t
}}
"""
# Packages that a front end without announcements and peers has no use for, and that cost a start much of its time.
UNUSED = {"structlog", "asyncio", "ssl", "email", "concurrent", "importlib.metadata"}
UNUSED |= {f"threadshift.{each}" for each in (
    "bgp.announce", "bgp.session", "bgp.speaker", "trials", "cli.announce", "cli.common", "cli.days", "cli.standins",
    "eviction.policies", "peers", "consensus", "rollout", "standins")}


class DaemonStart(unittest.TestCase):
    def test_a_front_end_imports_nothing_that_its_configuration_has_no_use_for(self):
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "roster").write_text("")
            conf = Path(folder, "front.conf")
            conf.write_text(DAEMON.format(port=free_port(), folder=folder))
            out = subprocess.run([sys.executable, "-X", "importtime", "-m", "threadshift", "front-end", str(conf)],
                                 cwd=ROOT, capture_output=True, text=True, stdin=subprocess.DEVNULL)
        lines = out.stderr.splitlines()
        imported = {line.rpartition("|")[2].strip() for line in lines if line.startswith("import time:")}
        events = [json.loads(line)["event"] for line in lines if line.startswith("{")]
        self.assertEqual((events[0], events[-1]), ("started", "ended"), lines[-3:])
        self.assertIn("threadshift.gateway.front_end", imported)
        self.assertEqual(imported & UNUSED, set())


class Imports(unittest.TestCase):
    def test_there_is_no_import_cycle(self):
        paths = {".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
                 for path in (ROOT / "threadshift").rglob("*.py")}
        imported = {name: {each for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.ImportFrom)
                           for each in (node.module, *(f"{node.module}.{part.name}" for part in node.names))
                           if each in paths and each != name} for name, path in paths.items()}
        self.assertEqual(set(graphlib.TopologicalSorter(imported).static_order()), set(paths))
