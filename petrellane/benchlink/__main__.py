"""Entry point that runs the adapter on standard input and output."""

import sys

from petrellane.benchlink.adapter import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
