"""What a day came to: final answers by kind, utility in time over utility asked, and breaches."""
from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from threadshift.audit.records import Seen, by, chains, read, whole
from threadshift.audit.rules import Breach, breaches
from threadshift.days import fault_scenario
from threadshift.days.fault_scenario import FaultScenario
from threadshift.interface import Deployment


@dataclass
class Verdict:
    """One audited day."""

    tries: int = 0
    firsts: int = 0
    finals: Counter[str] = field(default_factory=Counter)
    quits: int = 0
    broken: int = 0              # connections that broke with a killed front end, or were refused
    asked: float = 0.0
    in_time: float = 0.0
    runs: int = 0
    sends: int = 0
    loads: int = 0
    orders: int = 0
    breaches: list[Breach] = field(default_factory=list)

    @property
    def ratio(self) -> float:
        """Utility in time over utility asked; 1 where nothing was asked."""
        return self.in_time / self.asked if self.asked else 1.0

    @property
    def line(self) -> str:
        finals = " ".join(f"{name} {self.finals[name]}" for name in ("completed", "rejected", "aborted"))
        ratio = self.in_time / self.asked if self.asked else 0.0
        duplicates = sum(each.rule == 2 for each in self.breaches)
        dropped = sum(each.rule == 1 and "no final answer" in each.text for each in self.breaches)
        return (f"activations {self.tries} {finals} quit {self.quits} broken {self.broken} "
                f"utility-in-time {self.in_time:.1f} of {self.asked:.1f} = {ratio:.3f} sends {self.sends} "
                f"orders {self.orders} duplicates {duplicates} silent-drops {dropped} breaches {len(self.breaches)}")


def gains(seen: list[Seen], it: Deployment) -> Iterator[tuple[list[Seen], float, float]]:
    """Each call whose first try did not quit: its tries, the utility asked for, and what they got in time."""
    types = {each.name: each for each in it.types}
    for tries, done in chains(seen):
        if not tries[0]["quits"]:
            type_ = types[tries[0]["type"]]
            yield tries, type_.utility, 0.0 if done is None else type_.utility * (
                1 if done - tries[0].t <= type_.target_latency else type_.late_utility)


def utility(seen: list[Seen], it: Deployment) -> tuple[float, float]:
    """Utility asked for by first tries that did not quit, and what their tries got in time."""
    asked = in_time = 0.0
    for _, wanted, got in gains(seen, it):
        asked += wanted
        in_time += got
    return asked, in_time


def judge(day: FaultScenario, seen: list[Seen]) -> Verdict:
    """What a day came to, by its records. Raises Unreadable where they do not suffice."""
    whole(seen)
    it = day.config.deployment
    verdict = Verdict(
        tries=len(by(seen, "try")), firsts=len({each["first"] for each in by(seen, "try")}),
        finals=Counter(each["final"] for each in by(seen, "answer")), quits=len(by(seen, "quit")),
        broken=len(by(seen, "broke")), runs=len(by(seen, "run")), sends=len(by(seen, "invoke")),
        loads=len(by(seen, "load")), orders=len(by(seen, "hold")),
        breaches=breaches(seen, it, day.fleet.cores))
    verdict.asked, verdict.in_time = utility(seen, it)
    return verdict


def audit(folder: Path) -> Verdict:
    """Reads and checks one folder. Raises records.Unreadable or reading.ConfigurationError."""
    return judge(fault_scenario.read(str(folder / "day.conf")), read(folder))
