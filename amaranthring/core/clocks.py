"""The clock by which leases and silences are measured."""

import time


def boottime() -> float:
    """Return seconds that go on while the VM is suspended.

    ``CLOCK_MONOTONIC`` stands still then, and a lease would outlive its
    time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# When this process began, or a little later: a daemon loads this module
# first.
STARTED_AT = boottime()
