"""The other routers, as one router knows them, and the mesh's messages."""

import asyncio
import dataclasses

from amaranthring.core import links
from amaranthring.core import wire


@wire.message("mesh-heartbeat")
class Heartbeat:
    """Sent on a link on which nothing else went out."""


@wire.message("mesh-leaving")
class RouterLeaving:
    """Says that the sender ends soon; place nothing new on it."""

    incarnation: int


@dataclasses.dataclass
class Peer:
    """Another configured router.

    Attributes
    ----------
    address : str
        Its fleet listener.
    link : Link, optional
        The link in use, dialled by either end.
    ours : bool
        Whether this end dialled it.
    dialler : Dialler, optional
        Set while this end keeps or wants the link.
    heard : float
        When a frame last came, in monotonic seconds.
    spoke : float
        When something was last seen to go out on the link.
    used : float
        When something was last sent or called across data centres.
    incarnation : int
        Highest seen.
    left : int
        Incarnation that said it leaves; -1 if none did.
    """

    name: str
    data_centre: str
    address: str
    link: links.Link | None = None
    dialled_here: bool = False
    dialler: links.Dialler | None = None
    received_at: float = 0.0
    used_at: float = 0.0
    dialled_at: float = 0.0
    incarnation: int = 0
    leaving_incarnation: int = -1
    received_bytes: int = 0
    sent_bytes: int = 0
    sent_at: float = 0.0
    linked: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def is_live(self) -> bool:
        """Return whether it is linked and did not say that it goes."""
        return (
            self.link is not None
            and self.leaving_incarnation != self.incarnation
        )
