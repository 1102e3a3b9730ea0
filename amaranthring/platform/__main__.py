"""Runs a daemon on the platform: ``python -m amaranthring.platform ROLE``."""

import gc
import importlib
import os
import signal
import sys

if __name__ == "__main__":
    # Nothing is imported before: SIGHUP ends a process that has no handler
    # yet. The daemon reads its settings once it has one, so that no change
    # is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Records when this process started.
    from amaranthring.core import clocks  # noqa: F401

    # Objects loaded at startup are not garbage, and collecting would delay
    # the start. The daemon enables collection once it has started.
    gc.disable()
    daemon = importlib.import_module("amaranthring.platform.daemon")
    code = daemon.main(sys.argv[1] if len(sys.argv) == 2 else "")
    sys.stdout.flush()
    sys.stderr.flush()
    # Skips the finalization of the interpreter. It has nothing left to do, and
    # on a small share of a core it would outlast the grace period of a stop.
    os._exit(code)
