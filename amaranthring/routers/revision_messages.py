"""Messages between routers about their active revisions."""

from amaranthring.core import wire


@wire.message("revision-number")
class RunningRevision:
    """The active revision of a router.

    Sent every second to a relay, which replies with its own.
    """

    router: str
    revision: int
