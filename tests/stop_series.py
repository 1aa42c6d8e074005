"""A front end process under series of SIGSTOP and SIGCONT, with requests on open and on new connections.

    python -m tests.stop_series FIRST_SEED COUNT [--seconds N] [--busy N]

The protocol limits what a front end may pass on to a worker: at most what its client has left, with 150 ms of slack.
It also limits when: not later than the drain grace, which is 0 here, with 50 ms of slack, after the coordinator has
word that the worker drains; one worker after another is replaced. Each send and load order is checked for both on the
clock of the clients and workers, which run in this process. `--busy` starts so many processes beside the run that
only compute. One line a seed is printed; the exit status is 1 where a send had too much time or came too late, or a
request was not answered in its time.
"""
from __future__ import annotations

import argparse
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from itertools import count
from contextlib import suppress
from dataclasses import dataclass

import gevent
from gevent import subprocess
from gevent.pool import Group

from tests.platform import SETTINGS, Client, Coordinator, Worker, event, instance, request, serve
from tests.processes import FrontEndProcess
from tests.soak import ANSWER_TOLERANCE, TIME_LEFT_TOLERANCE, TOLERANCE, TimerLag
from threadshift.fastcgi import codec
from threadshift.fastcgi.codec import END, STDOUT
from threadshift.frames.codec import INVOKE, LOAD
from threadshift.interface import MS, SECOND

LEFT_MS = 1_200
WORKERS = 12
OPEN_CONNECTIONS = 4
NEW_CONNECTIONS = 6            # in each round
ROUND_S = 0.1
MAX_STOPS = 4                  # in a series
STOP_S = (0.1, 0.45)
MAX_STOPPED_S = 1.6            # in a series: a process that is stopped for longer answers too late
RUN_S = (0.0, 0.001, 0.003, 0.03)    # between two stops of a series
PAUSE_S = (0.3, 1.0)           # between two series
REPLACEMENT_INTERVAL_S = 0.2   # of a worker
FUNCTIONS = 40
MAX_REPORTED = 8


@dataclass(eq=False)
class SentRequest:
    """One request; times are monotonic ns."""

    is_on_new_connection: bool
    sent_at: int = 0           # when its last byte was written
    answered_at: int = 0
    status: str = ""

    @property
    def deadline(self) -> int:
        return self.sent_at + LEFT_MS * MS


@dataclass(frozen=True)
class ReceivedSend:
    """One send as the worker received it."""

    id: str
    received_at: int           # monotonic ns
    wait_ms: int


class ListedWorker(Worker):
    """A worker that passes what it receives to the run."""

    def __init__(self, run: StopSeries, name: str):
        super().__init__(self.on_frame)
        self.run, self.name = run, name
        self.drained_at = 0        # when its drain was published, monotonic ns

    def on_frame(self, worker: Worker, sock, frame) -> None:
        now = time.monotonic_ns()
        if frame.code == INVOKE:
            self.run.sends.append(ReceivedSend(frame.id.hex(), now, int(frame.fields["wait"])))
        if self.drained_at and frame.code in (INVOKE, LOAD):
            self.run.after_drain.append((self.name, frame.code, now, now - self.drained_at))
        serve(worker, sock, frame)


class RequestConnection:
    """A connection of clients that records what became of each of its requests."""

    def __init__(self, run: StopSeries, is_new: bool):
        self.run, self.is_new = run, is_new
        self.client = Client(run.front_end.address)
        self.client.sock.settimeout(None)
        self.open: dict[int, SentRequest] = {}
        self.sent = 0
        run.greenlets.spawn(self.read)

    def ask(self) -> None:
        """Sends one request."""
        rng, sent = self.run.rng, SentRequest(self.is_new)
        self.sent += 1
        id_ = f"{rng.getrandbits(64):016x}"
        self.open[self.sent] = self.run.requests[id_] = sent
        self.client.send(request(self.sent, id_, b"x", "check", str(LEFT_MS), f"{rng.randrange(FUNCTIONS):016x}"))
        sent.sent_at = time.monotonic_ns()

    def read(self) -> None:
        records, statuses = codec.Records(), {}
        with suppress(OSError):
            while data := self.client.sock.recv(65536):
                for kind, number, content in records.feed(data):
                    if kind == STDOUT and content:
                        statuses.setdefault(number, content[8:11].decode())
                    elif kind == END:
                        sent = self.open.pop(number)
                        sent.answered_at, sent.status = time.monotonic_ns(), statuses.pop(number, "?")
                if self.is_new and not self.open:
                    self.client.close()
                    return


class StopSeries:
    """The run of one seed; call play() once."""

    def __init__(self, seed: int, seconds: float):
        self.seed, self.seconds, self.rng = seed, seconds, random.Random(seed)
        self.requests: dict[str, SentRequest] = {}
        self.sends: list[ReceivedSend] = []
        self.after_drain: list[tuple[str, int, int, int]] = []    # worker, code, when, ns after its drain
        self.names = map("s-{:08x}".format, count())
        self.faults: list[str] = []
        self.worst = 0             # ns of too much time passed on
        self.stops = 0
        self.greenlets = Group()
        self.front_end: FrontEndProcess

    def play(self) -> None:
        """Plays the run and fills `faults`."""
        self.lag = TimerLag()
        self.workers = [ListedWorker(self, next(self.names)) for _ in range(WORKERS)]
        listed = event(1, *(instance(each.name, each.address) for each in self.workers), full=True)
        self.coordinator = coordinator = Coordinator([listed])
        settings = SETTINGS | {"lanes": [lane | {"giveUp": float(LEFT_MS)} for lane in SETTINGS["lanes"]],
                               "rules": SETTINGS["rules"] | {"drainGrace": 0.0}}
        try:
            with tempfile.TemporaryDirectory() as folder, FrontEndProcess(
                    folder, "n0", coordinator=str(coordinator.address), known={"index": 1, "updates": [listed]},
                    settings=settings, limits={"cores": 1.0, "memory_mb": 192, "sockets": 512}) as self.front_end:
                self.front_end.client()
                while self.front_end.clients[-1].alive()[0] != 200:
                    gevent.sleep(0.02)
                self.run()
        finally:
            self.greenlets.kill()
            self.lag.greenlet.kill()
            for server in (*self.workers, coordinator):
                server.stop()

    def run(self) -> None:
        """Runs clients and stops, waits for the last answers, and checks."""
        faults = [gevent.spawn(self.stop_repeatedly), gevent.spawn(self.replace_workers)]
        self.send_rounds()
        gevent.killall(faults)
        self.front_end.process.send_signal(signal.SIGCONT)
        gevent.sleep((LEFT_MS * MS + ANSWER_TOLERANCE) / SECOND)
        self.check()

    def send_rounds(self) -> None:
        """Sends a request on each open connection and on some new ones, round after round."""
        stays = [RequestConnection(self, is_new=False) for _ in range(OPEN_CONNECTIONS)]
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            for connection in stays:
                connection.ask()
            for _ in range(NEW_CONNECTIONS):
                RequestConnection(self, is_new=True).ask()
            gevent.sleep(ROUND_S)

    def stop_repeatedly(self) -> None:
        """Stops the front end in series."""
        rng, process = self.rng, self.front_end.process
        while True:
            gevent.sleep(rng.uniform(*PAUSE_S))
            left_s = MAX_STOPPED_S
            for duration_s in [rng.uniform(*STOP_S) for _ in range(rng.randint(1, MAX_STOPS))]:
                left_s -= duration_s
                if left_s < 0:
                    break
                self.stops += 1
                process.send_signal(signal.SIGSTOP)
                gevent.sleep(duration_s)
                process.send_signal(signal.SIGCONT)
                gevent.sleep(rng.choice(RUN_S))

    def replace_workers(self) -> None:
        """Drains one worker after another, each for a new one."""
        for index in count(2):
            gevent.sleep(REPLACEMENT_INTERVAL_S)
            leaving = self.rng.choice([each for each in self.workers if not each.drained_at])
            joining = ListedWorker(self, next(self.names))
            self.workers.append(joining)
            leaving.drained_at = time.monotonic_ns()
            self.coordinator.publish(event(index, instance(leaving.name, leaving.address, "Terminating"),
                                           instance(joining.name, joining.address)))

    def check(self) -> None:
        """Checks each send and load order, and that each request was answered in its time."""
        for worker, code, now, after in self.after_drain:
            if after > TOLERANCE + self.lag.around(now):
                self.faults.append(f"{'load order' if code == LOAD else 'send'} at {worker} "
                                   f"{after / MS:.0f} ms after its drain")
        for send in self.sends:
            sent, slack = self.requests[send.id], self.lag.around(send.received_at)
            excess = send.wait_ms * MS - (sent.deadline - send.received_at) - TIME_LEFT_TOLERANCE - slack
            if excess > 0:
                self.worst = max(self.worst, excess)
                self.faults.append(
                    f"{send.id} ({'new' if sent.is_on_new_connection else 'open'}): passes on {send.wait_ms} ms, "
                    f"{(sent.deadline - send.received_at) / MS:.0f} are left, written "
                    f"{(send.received_at - sent.sent_at) / MS:.0f} ms before, own lag {slack / MS:.0f} ms")
        for id_, sent in self.requests.items():
            if not sent.answered_at:
                self.faults.append(f"{id_}: no answer")
            elif sent.answered_at > sent.deadline + ANSWER_TOLERANCE + self.lag.around(sent.deadline):
                self.faults.append(f"{id_}: answered {(sent.answered_at - sent.deadline) / MS:.0f} ms late")

    def summary(self) -> str:
        """One line on the run."""
        lag = max((late for _, late in self.lag.delays), default=0)
        return (f"seed {self.seed}: {f'BROKEN {len(self.faults)}' if self.faults else 'kept'}; "
                f"{len(self.requests)} requests {dict(Counter(each.status for each in self.requests.values()))}, "
                f"{len(self.sends)} sends, {self.stops} stops; too much by {self.worst / MS:.0f} ms at worst, "
                f"own lag {lag / MS:.0f} ms")


def compute(seconds: float) -> None:
    """Keeps a core busy."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        pass


def main() -> int:
    parser = argparse.ArgumentParser(description="Plays seeds of the series of stops and says what broke.")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--seconds", type=float, default=15.0, help="for which requests are sent")
    parser.add_argument("--busy", type=int, default=0, help="processes beside it that only compute")
    arguments = parser.parse_args()
    broken = False
    for seed in range(arguments.first, arguments.first + arguments.count):
        load = [subprocess.Popen([sys.executable, "-c", "from tests.stop_series import compute; "
                                  f"compute({arguments.seconds + 10})"]) for _ in range(arguments.busy)]
        run = StopSeries(seed, arguments.seconds)
        try:
            run.play()
        finally:
            for each in load:
                each.kill()
        broken = broken or bool(run.faults)
        print(run.summary(), *run.faults[:MAX_REPORTED], sep="\n    ", flush=True)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
