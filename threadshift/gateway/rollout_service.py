"""Rollouts, as one front end carries them: what it should run by the record, what it tells of itself, and, where it
holds
the right, what the conductor says. Nothing here decides."""
from __future__ import annotations

import hashlib
import os
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
from gevent import subprocess

from threadshift.conf import gateway_config, patch
from threadshift.conf.peering import PeersConfig
from threadshift.conf.reading import ConfigurationError, load
from threadshift.engine.engine import FinalKind, PendingRequest
from threadshift.errors import ThreadshiftError
from threadshift.gateway.batch_service import Front
from threadshift.gateway.eviction_service import EvictionService
from threadshift.gateway.version_files import VersionFiles
from threadshift.interface import MS, SECOND
from threadshift.invoke.api import Counts
from threadshift.peers.carrier import Carrier, now
from threadshift.rollout.conduct import Conductor, Report
from threadshift.rollout.judge import BUCKETS, Sums, bucket
from threadshift.rollout.plan import CHECKING, DONE, STAGES, NoRollout, Rollout, Rollouts, UnderWay
from threadshift.rollout.swap import Wanted

EACH = SECOND              # between two rounds of reports
TELL = 800 * MS            # within which peers report
ENTER = 5 * SECOND
CHECK = 20                 # s that the check of a change may take
DOOR = "(door)"            # the stratum of what is turned away before it is taken: no namespace type is named so
FINALS = ("rejected-", "aborted-")     # kinds of the refusal counters that are final answers, counted by type
BACK_PACE = SECOND         # between two front ends on the way back ...
BACK_VOTER = 4 * SECOND    # ... and after a voter, so that the next one finds it back


class BadChange(ThreadshiftError):
    """A change that cannot be rolled out as it was told."""

    help = "see docs/operate/rollout.md for what a change may hold"


class RolloutService:
    def __init__(self, front: Front, told: PeersConfig, carrier: Carrier, rollouts: Rollouts,
                 eviction_service: EvictionService, version: str, counts: Counts):
        self.front, self.told_peers, self.carrier, self.rollouts = front, told, carrier, rollouts
        self.eviction_service, self.version, self.counts = eviction_service, version, counts
        self.versions = VersionFiles(told.folder, front.name)
        self.conductor = Conductor(rollouts, told.peers)
        self.due: list[dict[str, Any]] = []
        self.sums: dict[str, list[Any]] = {}
        self.can: dict[str, str] = {}
        self.started = time.monotonic_ns()
        self.asked = -1                          # place of the version that was written down last
        self.reporting = 0
        self.installed = self.base_file()

    def base_file(self) -> str:
        """The file as installed, whatever version of it this process runs by."""
        told = self.versions.read("installed")
        if not self.version:
            with suppress(OSError):
                self.versions.write("installed", {"conf": os.path.abspath(self.front.told.file)})
            return self.front.told.file
        return str(told.get("conf", self.front.told.file))

    # Calls, as they end: passed on to who counted them before.

    def record(self, now: int, pending: PendingRequest) -> None:
        self.counts.record(now, pending)
        if pending.answer is None:
            return
        sums = self.sums.setdefault(pending.call.type, [0, 0, 0, 0, 0, [0] * BUCKETS])
        took = now - pending.admitted_at
        sums[0] += 1
        sums[1] += pending.answer.final is FinalKind.REJECTED
        sums[2] += pending.answer.final is FinalKind.ABORTED
        sums[3] += bool(pending.answer.error)
        if pending.answer.final is FinalKind.COMPLETED:
            sums[4] += took > pending.activation.type_stats.target_latency
            sums[5][bucket(took)] += 1

    # What it tells of itself.

    def report(self, name: str = "", say: dict[str, Any] | None = None) -> dict[str, Any]:
        it = self.rollouts.under_way
        heard = self.carrier.member.age(now()) is not None
        sums = {type_: [*row[:5], list(row[5])] for type_, row in self.sums.items()}
        turned = sum(count for kind, count in self.front.api.refusal_counters.totals().items()
                     if not kind.startswith(FINALS))
        sums[DOOR] = [turned + self.front.engine.counts["taken"], turned, 0, 0, 0, [0] * BUCKETS]
        return {"version": self.version, "life": self.carrier.life, "failed": self.versions.read_failed(),
                "up": time.monotonic_ns() - self.started if heard else 0,
                "can": self.can.get(it.id, "?") if it is not None else "",
                "sums": sums,
                "loads": self.front.engine.counts["orders"] + self.front.engine.counts["cold"]}

    @staticmethod
    def read(told: dict[str, Any] | None) -> Report | None:
        if not told or "version" not in told:
            return None
        sums = {type_: Sums(row[0], row[1], row[2], row[3], row[4], tuple(row[5]))
                for type_, row in told["sums"].items()}
        return Report(told["version"], told["life"], told["up"], told["can"], told["failed"], sums, told["loads"])

    # What the record says.

    def told(self) -> None:
        it = self.rollouts.under_way
        if it is not None and it.state == CHECKING and it.id not in self.can:
            self.can[it.id] = "?"
            gevent.spawn(self.check, it)
        wanted = self.rollouts.version_of(self.front.name)
        if wanted.place > self.asked:
            self.asked = wanted.place
            if wanted.name != self.version:
                gevent.spawn(self.change, wanted.place, wanted.ids)

    def check(self, it: Rollout) -> None:
        """Whether this front end could take a change: made on its own file, read by the program that it would run."""
        try:
            ids = (*self.rollouts.done, it.id)
            self.can[it.id] = self.prepared(ids)[1]
        except (ThreadshiftError, OSError) as problem:
            self.can[it.id] = str(problem)[:300] or type(problem).__name__
        except ConfigurationError as problem:
            self.can[it.id] = str(problem)[:300]
        self.front.note("rollout-checked", rollout=it.id, can=not self.can[it.id], problem=self.can[it.id])

    def prepared(self, ids: tuple[str, ...]) -> tuple[Wanted, str]:
        """What to run for these rollouts, and what is wrong with that.

        Raises ConfigurationError, OSError, BadChange."""
        version, tree = "+".join(ids), ""
        changes: list[patch.Change] = []
        for what in self.rollouts.changes(ids):
            changes += [(block, name, words) for block, name, words in what.get("settings", [])]
            if what.get("tree"):
                tree = what["tree"]
                if digest_of(Path(tree)) != what["digest"]:
                    raise BadChange(f"the program is not the one that the rollout names: {what['digest'][:16]}", tree)
        path = self.versions.configuration_path(version)
        text = patch.text(patch.patched(load(self.installed), changes, self.installed))
        self.versions.disk.put(path, f"# {version or 'as installed'}, made from {self.installed}\n{text}".encode())
        gateway_config.read_text(text, str(path))
        told = subprocess.run([*program(tree), "check", str(path)], capture_output=True, timeout=CHECK,
                              env=environment(tree))
        said = told.stderr.decode(errors="replace").strip()[-300:]
        return Wanted(0, version, str(path), tree), "" if told.returncode == 0 else said or "its check failed"

    def change(self, place: int, ids: tuple[str, ...]) -> None:
        """Writes down what should run, and wakes the supervisor. On the way back each waits for its turn."""
        gevent.sleep(self.turn() / SECOND)
        wanted = self.rollouts.version_of(self.front.name)
        if wanted.place != place or wanted.name == self.versions.read_failed() != "":
            return                  # the record has moved on; or it failed here, and that is told with each report
        try:
            it, problem = self.prepared(ids)
        except (ThreadshiftError, ConfigurationError, OSError) as trouble:
            it, problem = Wanted(), str(trouble)
        if problem:
            self.front.note("version-not-taken", level="error", version="+".join(ids), problem=problem,
                            help=BadChange.help)
            with suppress(OSError):
                self.versions.write_failed("+".join(ids))
            return
        self.front.note("version-wanted", version=it.version, place=place)
        self.versions.write_wanted(it._replace(place=place))
        with suppress(OSError):
            os.kill(os.getppid(), signal.SIGUSR1)

    def turn(self) -> int:
        """ns until our turn on the way back."""
        last = max(self.rollouts.all.values(), key=lambda each: each.place, default=None)
        if last is None or self.front.name not in last.pacing:
            return 0
        before = last.pacing[:last.pacing.index(self.front.name)]
        return sum(BACK_VOTER if name in self.told_peers.voters else BACK_PACE for name in before)

    # Where it holds the right.

    def duties(self, at: int) -> list[dict[str, Any]]:
        """What the conductor says, by the reports of the last second; called at each tick of the holder."""
        if self.rollouts.under_way is not None and at - self.reporting >= EACH:
            self.reporting = at
            gevent.spawn(self.gather)
        told, self.due = self.due, []
        for it in self.rollouts.all.values():
            if it.state == DONE and it.what.get("eviction") and f"evict-{it.id}" not in self.carrier.book.ids:
                told.append({"do": "evict.set", "id": f"evict-{it.id}", "why": f"rollout {it.id}",
                             **it.what["eviction"]})
        return told

    def gather(self) -> None:
        found = self.carrier.ask_all("report", {}, TELL)
        at = now()
        if self.carrier.member.holds(at):
            self.conductor.fed(at, {name: self.read(told) for name, told in found.items()})
            self.due = self.conductor.due(at)

    # Operators.

    def start(self, told: dict[str, Any], who: str) -> dict[str, Any]:
        """Raises UnderWay, BadChange, NotHeard, ValueError."""
        if (it := self.rollouts.under_way) is not None:
            raise UnderWay(f"rollout {it.id} is {it.state}")
        what: dict[str, Any] = {}
        if told.get("settings"):
            what["settings"] = [[str(block), str(name), [str(word) for word in words]]
                                for block, name, words in told["settings"]]
        if told.get("tree"):
            what["tree"] = os.path.abspath(str(told["tree"]))
            what["digest"] = digest_of(Path(what["tree"]))
        if told.get("eviction"):
            what["eviction"] = self.eviction_service.checked(str(told["eviction"]["policy"]), {
                str(name): int(value) for name, value in told["eviction"].get("parameters", {}).items()})
        if not what:
            raise BadChange("it changes nothing: settings, tree or eviction are wanted")
        stages = [float(each) for each in told.get("stages", STAGES)]
        if not stages or stages != sorted(stages) or stages[-1] != 1.0 or stages[0] < 0:
            raise BadChange("stages are shares that grow up to 1")
        id_ = self.carrier.new_id("rollout")
        self.carrier.propose({"do": "rollout.start", "id": id_, "what": what, "stages": stages, "who": who,
                              "hold": int(float(told.get("hold-s", 60)) * SECOND)}, ENTER)
        if id_ not in self.rollouts.all:
            raise UnderWay("another rollout was begun first")
        return self.show(id_)

    def move(self, word: str, id_: str, why: str) -> dict[str, Any]:
        """pause, resume or abort. Raises NoRollout, NotHeard."""
        if (it := self.rollouts.under_way) is None or id_ and it.id != id_:
            self.carrier.catch_up(ENTER)        # it may have been told elsewhere, and not have come here yet
            it = self.rollouts.under_way
        if it is None or id_ and it.id != id_:
            raise NoRollout(f"no rollout {id_} goes on".replace("  ", " "))
        do = {"pause": "rollout.pause", "resume": "rollout.resume", "abort": "rollout.back"}[word]
        self.carrier.propose({"do": do, "id": self.carrier.new_id(word), "rollout": it.id, "why": why}, ENTER)
        return self.show(it.id)

    def show(self, id_: str = "") -> dict[str, Any]:
        it = self.rollouts.all.get(id_) or next(reversed(self.rollouts.all.values()), None)
        if it is None:
            raise NoRollout("there was none yet")
        found = self.carrier.ask_all("report", {}, TELL)
        return {"rollout": it.id, "state": it.state, "stage": it.stage, "stages": it.stages, "taken": it.taken,
                "why": it.why, "who": it.who,
                "runs": {name: each["version"] if each else None for name, each in sorted(found.items())},
                "can": {name: each["can"] for name, each in found.items() if each and each["can"]},
                "failed": {name: each["failed"] for name, each in found.items() if each and each["failed"]}}


def program(tree: str) -> list[str]:
    """How a version is run: the safe path keeps the working folder out of what is imported."""
    return [sys.executable, *(["-P"] if tree else []), "-m", "threadshift"]


def environment(tree: str) -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, [tree, os.environ.get("PYTHONPATH")]))}


def digest_of(tree: Path, read: Callable[[Path], bytes] = Path.read_bytes) -> str:
    """Of all Python text below a folder, by name and content. Raises BadChange."""
    found = hashlib.sha256()
    files = sorted(tree.rglob("*.py"))
    if not files:
        raise BadChange("no program lies there", str(tree))
    for path in files:
        found.update(f"{path.relative_to(tree)}\n".encode() + hashlib.sha256(read(path)).digest())
    return found.hexdigest()
