"""The command line: threadshift COMMAND. An error is one line, followed by advice, on standard error, with a non-zero
exit status."""
from threadshift.cli.base import main

__all__ = ["main"]
