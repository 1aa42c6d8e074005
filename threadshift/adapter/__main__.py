"""Reads batches from standard input and writes one reply a batch to standard output."""
import sys

from threadshift.adapter.codec import Malformed, frames
from threadshift.adapter.host import Host


def main() -> int:
    host = Host()
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    try:
        for frame in frames(sys.stdin):
            sys.stdout.write("\n".join(host.reply(frame)) + "\n")
            sys.stdout.flush()
    except Malformed as problem:
        print(f"threadshift: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
