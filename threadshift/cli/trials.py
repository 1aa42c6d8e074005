"""Adds the commands of experiments on the emulator, hunt and trial."""
from __future__ import annotations

from threadshift.cli.base import main
from threadshift.trials.commands import hunt, trial

main.add_command(hunt)
main.add_command(trial)
