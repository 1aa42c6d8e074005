"""The result of a played or simulated day: answers by kind, utility in time over utility requested, and breaches."""
from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from threadshift.audit.records import RecordedEvent, check_completeness, group_attempts, read, select_events
from threadshift.audit.rules import Breach, breaches
from threadshift.days import fault_scenario
from threadshift.days.fault_scenario import FaultScenario
from threadshift.interface import Deployment


@dataclass
class Verdict:
    """The result of one audited day."""

    tries: int = 0               # requests, with the clients' retries
    firsts: int = 0              # calls, without retries
    finals: Counter[str] = field(default_factory=Counter)    # answers by kind
    quits: int = 0               # requests that their clients abandoned
    broken: int = 0              # connections that broke with a killed front end, or were refused
    asked: float = 0.0           # utility requested
    in_time: float = 0.0         # utility answered in time
    runs: int = 0
    sends: int = 0
    loads: int = 0
    orders: int = 0              # load orders
    breaches: list[Breach] = field(default_factory=list)

    @property
    def ratio(self) -> float:
        """Utility in time over utility requested; 1 if none was requested."""
        return self.in_time / self.asked if self.asked else 1.0

    @property
    def line(self) -> str:
        """The result as one line for the terminal."""
        finals = " ".join(f"{name} {self.finals[name]}" for name in ("completed", "rejected", "aborted"))
        ratio = self.in_time / self.asked if self.asked else 0.0
        duplicates = sum(each.rule == 2 for each in self.breaches)
        dropped = sum(each.rule == 1 and "no final answer" in each.text for each in self.breaches)
        return (f"activations {self.tries} {finals} quit {self.quits} broken {self.broken} "
                f"utility-in-time {self.in_time:.1f} of {self.asked:.1f} = {ratio:.3f} sends {self.sends} "
                f"orders {self.orders} duplicates {duplicates} silent-drops {dropped} breaches {len(self.breaches)}")


def call_utilities(seen: list[RecordedEvent], it: Deployment) -> Iterator[tuple[list[RecordedEvent], float, float]]:
    """For each call whose client did not abandon the first try: its tries, the utility requested, and the utility
    answered in time."""
    types = {each.name: each for each in it.types}
    for tries, done in group_attempts(seen):
        if not tries[0]["quits"]:
            type_ = types[tries[0]["type"]]
            yield tries, type_.utility, 0.0 if done is None else type_.utility * (
                1 if done - tries[0].t <= type_.target_latency else type_.late_utility)


def total_utility(seen: list[RecordedEvent], it: Deployment) -> tuple[float, float]:
    """The sums of call_utilities(): utility requested, and answered in time."""
    requested = in_time = 0.0
    for _, utility, gained in call_utilities(seen, it):
        requested += utility
        in_time += gained
    return requested, in_time


def judge(day: FaultScenario, seen: list[RecordedEvent]) -> Verdict:
    """Audits the records of a day. Raises Unreadable if they are not complete enough."""
    check_completeness(seen)
    it = day.config.deployment
    verdict = Verdict(
        tries=len(select_events(seen, "try")), firsts=len({each["first"] for each in select_events(seen, "try")}),
        finals=Counter(each["final"] for each in select_events(seen, "answer")),
        quits=len(select_events(seen, "quit")), broken=len(select_events(seen, "broke")),
        runs=len(select_events(seen, "run")), sends=len(select_events(seen, "invoke")),
        loads=len(select_events(seen, "load")), orders=len(select_events(seen, "hold")),
        breaches=breaches(seen, it, day.fleet.cores))
    verdict.asked, verdict.in_time = total_utility(seen, it)
    return verdict


def audit(folder: Path) -> Verdict:
    """Reads and audits one folder. Raises records.Unreadable or reading.ConfigurationError."""
    return judge(fault_scenario.read(str(folder / "day.conf")), read(folder))
