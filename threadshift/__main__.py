"""Runs the command line: python -m threadshift."""
from threadshift.cli import main

main()
