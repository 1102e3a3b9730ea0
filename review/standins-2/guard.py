"""Ends the processes of a script that has ended without doing so itself.

Reads lines from the script: ``+ID`` for a process that it has started, ``-ID``
for one that has ended. Once the script is gone, however it ended, its side of
the pipe is closed, and what is left is killed.
"""

import os
import signal
import sys


def main() -> None:
    """Follow the script until its end."""
    running: set[int] = set()
    for line in sys.stdin:
        number = int(line[1:])
        if line[0] == "+":
            running.add(number)
        else:
            running.discard(number)
    for number in running:
        try:
            os.kill(number, signal.SIGKILL)
        except ProcessLookupError:
            continue


if __name__ == "__main__":
    main()
