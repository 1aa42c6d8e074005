"""Reads batches of events from standard input and writes one reply for each batch to standard output."""
import sys

from threadshift.adapter.codec import InvalidInput, read_batches
from threadshift.adapter.host import DispatcherHost


def main() -> int:
    """Serves until the end of input. Returns the exit status: 2 for malformed input."""
    host = DispatcherHost()
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    try:
        for batch in read_batches(sys.stdin):
            sys.stdout.write("\n".join(host.handle_batch(batch)) + "\n")
            sys.stdout.flush()
    except InvalidInput as problem:
        print(f"threadshift: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
