"""python -m threadshift.node: what `run` starts. The command line is not loaded: two hundred starts pay for it."""
import os
import sys

from threadshift.node.start import main

sys.exit(main(os.environ))
