"""The files by which a front end and its supervisor tell each other which version should run, and which failed."""
from __future__ import annotations

import json
from pathlib import Path

from threadshift.rollout.swap import Wanted
from threadshift.storage.disk import Disk

FORM = 1


class VersionFiles:
    """Of one front end."""

    def __init__(self, folder: Path, name: str):
        self.folder, self.name, self.disk = folder, name, Disk()

    def wanted(self) -> Wanted | None:
        told = self.read("version")
        try:
            return Wanted(int(told["place"]), str(told["version"]), str(told["conf"]), str(told["tree"]))
        except (KeyError, ValueError):
            return None

    def want(self, it: Wanted) -> None:
        """Raises OSError."""
        self.put("version", it._asdict())

    def failed(self) -> str:
        return str(self.read("failed").get("version", ""))

    def note_failed(self, version: str) -> None:
        """Raises OSError."""
        self.put("failed", {"version": version})

    def conf(self, version: str) -> Path:
        return self.folder / f"{self.name}.{version or 'installed'}.conf"

    def read(self, what: str) -> dict:
        """Empty where there is none, or it is of another form: then what is installed runs."""
        try:
            told = json.loads(self.disk.read(self.folder / f"{self.name}.{what}"))
            return told if isinstance(told, dict) and told.get("form") == FORM else {}
        except (OSError, ValueError):
            return {}

    def put(self, what: str, told: dict) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.disk.put(self.folder / f"{self.name}.{what}", json.dumps({"form": FORM, **told}).encode())
