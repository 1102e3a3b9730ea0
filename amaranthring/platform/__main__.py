"""Daemons on the platform: ``python -m amaranthring.platform ROLE``."""

import gc
import importlib
import sys

# Loaded first: it notes when this process began.
from amaranthring.core import clocks  # noqa: F401

if __name__ == "__main__":
    # Nothing that is loaded at the start is garbage; looking for some takes
    # a twentieth of the time until a keeper listens. The daemon enables
    # collection again once it has started.
    gc.disable()
    daemon = importlib.import_module("amaranthring.platform.daemon")
    sys.exit(daemon.main(sys.argv[1] if len(sys.argv) == 2 else ""))
