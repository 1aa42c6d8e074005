"""The replicated state machines of one front end, which apply the committed entries of the log. Free of I/O.

The body of an entry has `do`, the kind of entry, which belongs to one machine; `id`, chosen by its proposer, so that
an entry that is committed twice is applied once; and `form`, the version of its fields. An entry of an unknown kind
or form is stored unchanged and passed on in snapshots. It is never dropped or applied in part: an older program among
newer ones keeps such entries until a newer program loads its snapshot. An entry with a form above 1 is proposed only
after every voter has announced that it supports that form."""
from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from threadshift.consensus.member import CommittedEntry

SNAPSHOT_FORM = 1
# of entries, for detecting repeats: about the entries of a day, and no proposer retries for that long
MAX_REMEMBERED_IDS = 4_096
MAX_UNKNOWN_ENTRIES = 4_096        # kept in a snapshot; older ones are left out


class StateMachine(Protocol):
    """One replicated state. apply() must be deterministic: its result follows from the state and the entry alone."""

    @property
    def entry_forms(self) -> Mapping[str, int]: ...    # kind of entry that it applies: latest supported form
    def apply(self, log_index: int, body: dict[str, Any]) -> Any: ...
    def dump(self) -> dict[str, Any]: ...
    def load(self, state: dict[str, Any]) -> None: ...


class StateMachineRegistry:
    """All state machines of one front end, and the index of the last entry applied to them."""

    def __init__(self, machines: Mapping[str, StateMachine], voters: Sequence[str] = ()):
        self.machines, self.voters = dict(machines), tuple(voters)
        self.applied_index = 0
        self.ids: OrderedDict[str, int] = OrderedDict()    # entry id: index
        self.results: dict[str, Any] = {}                  # entry id: result of apply(), for the last entries
        self.announced_forms: dict[str, dict[str, int]] = {}       # front end: the forms that it supports
        self.unknown_entries: list[list[Any]] = []         # [index, body]
        self.unknown_machines: dict[str, Any] = {}         # name: state, of machines that this program does not have

    @property
    def supported_forms(self) -> dict[str, int]:
        """The latest form of each kind of entry that this program supports."""
        return {kind: form for machine in self.machines.values() for kind, form in machine.entry_forms.items()}

    def writable_form(self, kind: str) -> int:
        """The latest form of this kind of entry that every voter supports."""
        announced = [self.announced_forms.get(voter, {}).get(kind, 1) for voter in self.voters]
        return min([self.supported_forms.get(kind, 1), *announced])

    def apply(self, committed: CommittedEntry) -> bool:
        """Applies one committed entry or a snapshot. Returns False if nothing changed, because the entry was applied
        before or is not supported."""
        if committed.state is not None:
            if committed.log_index > self.applied_index or not self.applied_index:
                self.load(committed.state)
            return True
        if committed.log_index <= self.applied_index:
            return False
        self.applied_index, body = committed.log_index, committed.entry.body
        kind, id_ = body.get("do"), body.get("id")
        if kind == "hold" or isinstance(id_, str) and id_ in self.ids:
            return False
        if isinstance(id_, str):
            self.ids[id_] = committed.log_index
            while len(self.ids) > MAX_REMEMBERED_IDS:
                self.results.pop(self.ids.popitem(last=False)[0], None)
        if kind == "reads":
            self.announced_forms[str(body.get("who"))] = dict(body.get("forms") or {})
            return True
        machine = self.find_machine(body)
        if machine is None:
            self.unknown_entries.append([committed.log_index, body])
            return False
        result = machine.apply(committed.log_index, body)
        if isinstance(id_, str):
            self.results[id_] = result
        return True

    def dump(self) -> dict[str, Any]:
        """The whole state for a snapshot, including entries and machines that this program does not support."""
        return {"form": SNAPSHOT_FORM, "place": self.applied_index,
                "ids": [[id_, index] for id_, index in self.ids.items()],
                "reads": self.announced_forms, "strange": self.unknown_entries[-MAX_UNKNOWN_ENTRIES:],
                "machines": {**self.unknown_machines,
                             **{name: each.dump() for name, each in self.machines.items()}}}

    def load(self, state: dict[str, Any]) -> None:
        """Replaces the whole state with that of a snapshot."""
        self.applied_index = state["place"]
        self.ids = OrderedDict((id_, index) for id_, index in state["ids"])
        self.results = {}
        self.announced_forms, self.unknown_entries = dict(state["reads"]), list(state["strange"])
        self.unknown_machines = {name: each for name, each in state["machines"].items() if name not in self.machines}
        for name, machine in self.machines.items():
            machine.load(state["machines"].get(name, {}))
        # Entries that an older program stored without applying them, and that this one supports, are applied now.
        entries, self.unknown_entries = self.unknown_entries, []
        for index, body in entries:
            supporting = self.find_machine(body)
            if supporting is None:
                self.unknown_entries.append([index, body])
            else:
                supporting.apply(index, body)

    def find_machine(self, body: dict[str, Any]) -> StateMachine | None:
        """The machine that applies an entry, or None if its kind or form is not supported."""
        kind = str(body.get("do"))
        return next((each for each in self.machines.values()
                     if body.get("form", 1) <= each.entry_forms.get(kind, 0)), None)
