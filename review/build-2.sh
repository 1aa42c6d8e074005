#!/bin/sh
# Builds the stand-ins of the second review (parts2.py and the cases), after the build of the deploy file. They need no
# package beyond those that it installed.
set -eu
cd "$(dirname "$0")"
python=../.venv/bin/python
test -x "$python" || { echo "no .venv: run the build of the deploy file first"; exit 2; }
"$python" -m compileall -q parts2.py 6 7 8 9 10 2> /dev/null || "$python" -m compileall -q parts2.py
"$python" -c "import asyncio, msgpack, tomllib"
