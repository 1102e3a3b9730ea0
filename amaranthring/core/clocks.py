"""Clock for leases and for timeouts of unreachable peers."""

import time


def boottime() -> float:
    """Return monotonic seconds that include the time the VM is suspended.

    ``CLOCK_MONOTONIC`` stops during a suspension, so a lease measured with
    it would outlive its expiry.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Approximate start of the process: daemons import this module first.
STARTED_AT = boottime()
