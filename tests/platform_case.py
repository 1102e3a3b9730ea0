"""The harness of fleets on the platform, for scripts that import it here."""

import sys

from amaranthring.testing import platform_case

sys.modules[__name__] = platform_case
