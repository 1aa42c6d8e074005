"""`python -m threadshift.node`: one front end. It doesn't load the command line, which would slow down 200 starts."""
import os
import sys

from threadshift.node.start import main

sys.exit(main(os.environ))
