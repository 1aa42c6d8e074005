#!/bin/sh
# Plays the case of this folder; TROUBLE=0 leaves out the disruption. Exit: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "no .venv: run the build of the deploy file first"; exit 2; }
exec ../../.venv/bin/python case.py
