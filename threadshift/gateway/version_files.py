"""Files through which a front end and its supervisor exchange which version should run and which version failed."""
from __future__ import annotations

import json
from pathlib import Path

from threadshift.rollout.process_replacement import TargetVersion
from threadshift.storage.disk import Disk

FORM = 1                   # of these files


class VersionFiles:
    """The files of one front end."""

    def __init__(self, folder: Path, name: str):
        self.folder, self.name, self.disk = folder, name, Disk()

    def read_wanted(self) -> TargetVersion | None:
        fields = self.read("version")
        try:
            return TargetVersion(int(fields["place"]), str(fields["version"]), str(fields["conf"]),
                                 str(fields["tree"]))
        except (KeyError, ValueError):
            return None

    def write_wanted(self, wanted: TargetVersion) -> None:
        """Raises OSError."""
        self.write("version", wanted._asdict())

    def read_failed(self) -> str:
        return str(self.read("failed").get("version", ""))

    def write_failed(self, version: str) -> None:
        """Raises OSError."""
        self.write("failed", {"version": version})

    def configuration_path(self, version: str) -> Path:
        return self.folder / f"{self.name}.{version or 'installed'}.conf"

    def read(self, kind: str) -> dict:
        """The fields of a file; empty if there is none or its form is another: then the installed version runs."""
        try:
            fields = json.loads(self.disk.read(self.folder / f"{self.name}.{kind}"))
            return fields if isinstance(fields, dict) and fields.get("form") == FORM else {}
        except (OSError, ValueError):
            return {}

    def write(self, kind: str, fields: dict) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.disk.put(self.folder / f"{self.name}.{kind}", json.dumps({"form": FORM, **fields}).encode())
