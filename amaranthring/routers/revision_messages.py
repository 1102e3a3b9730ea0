"""Messages between routers about the revision they run."""

from amaranthring.core import wire


@wire.message("revision-number")
class RunningRevision:
    """The revision that a router runs, and whether it is ready.

    Sent once a second to a relay, which answers with its own.
    """

    router: str
    revision: int
