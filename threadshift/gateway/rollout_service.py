"""Rollouts at one front end: runs the version that the record assigns to it, reports on itself, and, while it is the
leader, enters the decisions of the coordinator.

This module takes no decisions.
"""
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
from threadshift.invoke.api import CallRecorder
from threadshift.peers.consensus_service import ConsensusService, now
from threadshift.rollout.canary_analysis import LATENCY_BUCKETS, CallStats, latency_bucket
from threadshift.rollout.coordinator import FrontEndReport, RolloutCoordinator
from threadshift.rollout.plan import CHECKING, DEFAULT_STAGES, DONE, NoRollout, Rollout, Rollouts, UnderWay
from threadshift.rollout.process_replacement import TargetVersion

REPORT_INTERVAL = SECOND             # between two rounds of reports
PEER_TIMEOUT = 800 * MS              # for peers to report
PROPOSE_TIMEOUT = 5 * SECOND
CHECK_TIMEOUT_S = 20
REFUSED_STRATUM = "(door)"           # of calls refused before they were accepted; no namespace type has such a name
FINAL_ANSWER_PREFIXES = ("rejected-", "aborted-")    # of refusal reasons that are final answers, counted by type
# Between two front ends that go back to an earlier version; longer after a voter, so that the next one goes back only
# when the voter has returned.
ROLLBACK_INTERVAL = SECOND
ROLLBACK_VOTER_INTERVAL = 4 * SECOND


class BadChange(ThreadshiftError):
    """A change that cannot be rolled out as requested."""

    help = "see docs/operate/rollout.md for what a change may hold"


class RolloutService:
    """Takes part in rollouts for one front end, and handles operators' requests on them."""

    def __init__(self, front: Front, peering: PeersConfig, consensus: ConsensusService, rollouts: Rollouts,
                 eviction_service: EvictionService, version: str, call_recorder: CallRecorder):
        self.front, self.peering, self.consensus, self.rollouts = front, peering, consensus, rollouts
        self.eviction_service, self.version, self.call_recorder = eviction_service, version, call_recorder
        self.versions = VersionFiles(peering.folder, front.name)
        self.coordinator = RolloutCoordinator(rollouts, peering.peers)
        self.due_entries: list[dict[str, Any]] = []
        self.sums: dict[str, list[Any]] = {}
        self.problems: dict[str, str] = {}     # by rollout: why it cannot run here; empty: it can; "?": not known yet
        self.started_at = time.monotonic_ns()
        self.last_place = -1         # position in the record of the last version handled here
        self.gathered_at = 0
        self.installed_file = self.find_installed_file()

    def find_installed_file(self) -> str:
        """The configuration file as installed, whichever version of it this process runs with."""
        fields = self.versions.read("installed")
        if not self.version:
            with suppress(OSError):
                self.versions.write("installed", {"conf": os.path.abspath(self.front.config.file)})
            return self.front.config.file
        return str(fields.get("conf", self.front.config.file))

    # Calls, as they end.

    def record(self, now: int, pending: PendingRequest) -> None:
        """Counts a call that ended, after passing it on to the recorder that is in use without peers."""
        self.call_recorder.record(now, pending)
        if pending.answer is None:
            return
        sums = self.sums.setdefault(pending.call.type, [0, 0, 0, 0, 0, [0] * LATENCY_BUCKETS])
        duration = now - pending.admitted_at
        sums[0] += 1
        sums[1] += pending.answer.final is FinalKind.REJECTED
        sums[2] += pending.answer.final is FinalKind.ABORTED
        sums[3] += bool(pending.answer.error)
        if pending.answer.final is FinalKind.COMPLETED:
            sums[4] += duration > pending.activation.type_stats.target_latency
            sums[5][latency_bucket(duration)] += 1

    # Reports.

    def report(self, peer: str = "", request: dict[str, Any] | None = None) -> dict[str, Any]:
        """Answers a peer: the version and the counts of this front end."""
        rollout = self.rollouts.under_way
        is_connected = self.consensus.member.staleness(now()) is not None
        sums = {type_: [*row[:5], list(row[5])] for type_, row in self.sums.items()}
        refused = sum(count for kind, count in self.front.api.refusal_counters.totals().items()
                     if not kind.startswith(FINAL_ANSWER_PREFIXES))
        sums[REFUSED_STRATUM] = [refused + self.front.engine.counts["taken"], refused, 0, 0, 0, [0] * LATENCY_BUCKETS]
        return {"version": self.version, "life": self.consensus.life, "failed": self.versions.read_failed(),
                "up": time.monotonic_ns() - self.started_at if is_connected else 0,
                "can": self.problems.get(rollout.id, "?") if rollout is not None else "",
                "sums": sums,
                "loads": self.front.engine.counts["orders"] + self.front.engine.counts["cold"]}

    @staticmethod
    def parse_report(fields: dict[str, Any] | None) -> FrontEndReport | None:
        if not fields or "version" not in fields:
            return None
        sums = {type_: CallStats(row[0], row[1], row[2], row[3], row[4], tuple(row[5]))
                for type_, row in fields["sums"].items()}
        return FrontEndReport(fields["version"], fields["life"], fields["up"], fields["can"], fields["failed"], sums,
                              fields["loads"])

    # Changes of the record.

    def on_rollouts_changed(self) -> None:
        rollout = self.rollouts.under_way
        if rollout is not None and rollout.state == CHECKING and rollout.id not in self.problems:
            self.problems[rollout.id] = "?"
            gevent.spawn(self.check_change, rollout)
        wanted = self.rollouts.version_of(self.front.name)
        if wanted.place > self.last_place:
            self.last_place = wanted.place
            if wanted.name != self.version:
                gevent.spawn(self.change_version, wanted.place, wanted.ids)

    def check_change(self, rollout: Rollout) -> None:
        """Checks whether this front end could apply a change: makes it to its own file, which the program to run then
        reads."""
        try:
            ids = (*self.rollouts.done, rollout.id)
            self.problems[rollout.id] = self.prepare(ids)[1]
        except (ThreadshiftError, OSError) as problem:
            self.problems[rollout.id] = str(problem)[:300] or type(problem).__name__
        except ConfigurationError as problem:
            self.problems[rollout.id] = str(problem)[:300]
        self.front.note("rollout-checked", rollout=rollout.id, can=not self.problems[rollout.id],
                        problem=self.problems[rollout.id])

    def prepare(self, ids: tuple[str, ...]) -> tuple[TargetVersion, str]:
        """Returns what to run for these rollouts, and what is wrong with it; empty if nothing is.

        Raises ConfigurationError, OSError, BadChange."""
        version, tree = "+".join(ids), ""
        changes: list[patch.Change] = []
        for what in self.rollouts.changes(ids):
            changes += [(block, name, words) for block, name, words in what.get("settings", [])]
            if what.get("tree"):
                tree = what["tree"]
                if tree_digest(Path(tree)) != what["digest"]:
                    raise BadChange(f"the program's digest is not that of the rollout, {what['digest'][:16]}", tree)
        path = self.versions.configuration_path(version)
        text = patch.text(patch.patched(load(self.installed_file), changes, self.installed_file))
        self.versions.disk.put(
            path, f"# {version or 'as installed'}, made from {self.installed_file}\n{text}".encode())
        gateway_config.read_text(text, str(path))
        process = subprocess.run([*program_command(tree), "check", str(path)], capture_output=True,
                                 timeout=CHECK_TIMEOUT_S, env=program_environment(tree))
        errors = process.stderr.decode(errors="replace").strip()[-300:]
        return (TargetVersion(0, version, str(path), tree),
                "" if process.returncode == 0 else errors or "its check failed")

    def change_version(self, place: int, ids: tuple[str, ...]) -> None:
        """Writes down which version should run, and wakes the supervisor. In a rollback, front ends take turns."""
        gevent.sleep(self.rollback_delay() / SECOND)
        wanted = self.rollouts.version_of(self.front.name)
        if wanted.place != place or wanted.name == self.versions.read_failed() != "":
            # The record names another version by now, or this version has failed here, which the reports say.
            return
        try:
            target, problem = self.prepare(ids)
        except (ThreadshiftError, ConfigurationError, OSError) as error:
            target, problem = TargetVersion(), str(error)
        if problem:
            self.front.note("version-not-taken", level="error", version="+".join(ids), problem=problem,
                            help=BadChange.help)
            with suppress(OSError):
                self.versions.write_failed("+".join(ids))
            return
        self.front.note("version-wanted", version=target.version, place=place)
        self.versions.write_wanted(target._replace(place=place))
        with suppress(OSError):
            os.kill(os.getppid(), signal.SIGUSR1)

    def rollback_delay(self) -> int:
        """The time, in ns, until it is this front end's turn in a rollback; 0 if there is none."""
        last = max(self.rollouts.all.values(), key=lambda each: each.place, default=None)
        if last is None or self.front.name not in last.pacing:
            return 0
        before = last.pacing[:last.pacing.index(self.front.name)]
        return sum(ROLLBACK_VOTER_INTERVAL if name in self.peering.voters else ROLLBACK_INTERVAL for name in before)

    # As the leader.

    def duties(self, at: int) -> list[dict[str, Any]]:
        """The entries that the coordinator decided on from the latest reports. Called at each tick of the leader."""
        if self.rollouts.under_way is not None and at - self.gathered_at >= REPORT_INTERVAL:
            self.gathered_at = at
            gevent.spawn(self.gather)
        entries, self.due_entries = self.due_entries, []
        for rollout in self.rollouts.all.values():
            if (rollout.state == DONE and rollout.what.get("eviction")
                    and f"evict-{rollout.id}" not in self.consensus.state_machines.ids):
                entries.append({"do": "evict.set", "id": f"evict-{rollout.id}", "why": f"rollout {rollout.id}",
                                **rollout.what["eviction"]})
        return entries

    def gather(self) -> None:
        """Collects the reports of all front ends for the coordinator."""
        found = self.consensus.query_all("report", {}, PEER_TIMEOUT)
        at = now()
        if self.consensus.member.holds_lease(at):
            self.coordinator.record_reports(at, {name: self.parse_report(fields) for name, fields in found.items()})
            self.due_entries = self.coordinator.due_entries(at)

    # Operators.

    def start(self, request: dict[str, Any], who: str) -> dict[str, Any]:
        """Starts a rollout. Raises UnderWay, BadChange, NotHeard, ValueError."""
        if (rollout := self.rollouts.under_way) is not None:
            raise UnderWay(f"rollout {rollout.id} is {rollout.state}")
        what: dict[str, Any] = {}
        if request.get("settings"):
            what["settings"] = [[str(block), str(name), [str(word) for word in words]]
                                for block, name, words in request["settings"]]
        if request.get("tree"):
            what["tree"] = os.path.abspath(str(request["tree"]))
            what["digest"] = tree_digest(Path(what["tree"]))
        if request.get("eviction"):
            what["eviction"] = self.eviction_service.checked_policy(str(request["eviction"]["policy"]), {
                str(name): int(value) for name, value in request["eviction"].get("parameters", {}).items()})
        if not what:
            raise BadChange("the request changes nothing: it must have settings, tree or eviction")
        stages = [float(each) for each in request.get("stages", DEFAULT_STAGES)]
        if not stages or stages != sorted(stages) or stages[-1] != 1.0 or stages[0] < 0:
            raise BadChange("stages must be shares in ascending order, with 1 as the last")
        rollout_id = self.consensus.new_id("rollout")
        self.consensus.propose({"do": "rollout.start", "id": rollout_id, "what": what, "stages": stages, "who": who,
                              "hold": int(float(request.get("hold-s", 60)) * SECOND)}, PROPOSE_TIMEOUT)
        if rollout_id not in self.rollouts.all:
            raise UnderWay("another rollout was begun first")
        return self.show(rollout_id)

    def control(self, action: str, rollout_id: str, why: str) -> dict[str, Any]:
        """Pauses, resumes or aborts a rollout. Raises NoRollout, NotHeard."""
        if (rollout := self.rollouts.under_way) is None or rollout_id and rollout.id != rollout_id:
            self.consensus.catch_up(PROPOSE_TIMEOUT)    # it may not have been applied here yet
            rollout = self.rollouts.under_way
        if rollout is None or rollout_id and rollout.id != rollout_id:
            raise NoRollout(f"no rollout {rollout_id} is under way".replace("  ", " "))
        do = {"pause": "rollout.pause", "resume": "rollout.resume", "abort": "rollout.back"}[action]
        self.consensus.propose({"do": do, "id": self.consensus.new_id(action), "rollout": rollout.id, "why": why},
                             PROPOSE_TIMEOUT)
        return self.show(rollout.id)

    def show(self, rollout_id: str = "") -> dict[str, Any]:
        rollout = self.rollouts.all.get(rollout_id) or next(reversed(self.rollouts.all.values()), None)
        if rollout is None:
            raise NoRollout("there was no rollout yet")
        found = self.consensus.query_all("report", {}, PEER_TIMEOUT)
        return {"rollout": rollout.id, "state": rollout.state, "stage": rollout.stage, "stages": rollout.stages,
                "taken": rollout.taken, "why": rollout.why, "who": rollout.who,
                "runs": {name: each["version"] if each else None for name, each in sorted(found.items())},
                "can": {name: each["can"] for name, each in found.items() if each and each["can"]},
                "failed": {name: each["failed"] for name, each in found.items() if each and each["failed"]}}


def program_command(tree: str) -> list[str]:
    """The command that runs a version. -P keeps the working folder out of the import path."""
    return [sys.executable, *(["-P"] if tree else []), "-m", "threadshift"]


def program_environment(tree: str) -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, [tree, os.environ.get("PYTHONPATH")]))}


def tree_digest(tree: Path, read: Callable[[Path], bytes] = Path.read_bytes) -> str:
    """The digest of all Python files below a folder, by name and content. Raises BadChange."""
    digest = hashlib.sha256()
    files = sorted(tree.rglob("*.py"))
    if not files:
        raise BadChange("the folder holds no Python files", str(tree))
    for path in files:
        digest.update(f"{path.relative_to(tree)}\n".encode() + hashlib.sha256(read(path)).digest())
    return digest.hexdigest()
