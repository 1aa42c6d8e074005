"""The command line: threadshift COMMAND. An error is one line, followed by advice, on standard error, with a non-zero
exit status."""
from threadshift.cli import announce, common, days, serve, standins
from threadshift.cli.base import main
from threadshift.trials.commands import hunt, trial

main.add_command(hunt)
main.add_command(trial)

__all__ = ["announce", "common", "days", "main", "serve", "standins"]
