#!/bin/sh
# Builds what the scripts start besides the front end: the stand-ins, which need nothing but Python's standard library.
cd "$(dirname "$0")" && exec ../.venv/bin/python -m compileall -q standins.py 1 2 3
