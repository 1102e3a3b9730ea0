"""State of the other routers, and the messages of the mesh."""

import asyncio
import dataclasses

from amaranthring.core import links
from amaranthring.core import wire


@wire.message("mesh-heartbeat")
class Heartbeat:
    """Keeps an otherwise idle link alive."""


@wire.message("mesh-leaving")
class RouterLeaving:
    """Announces that the sender is stopping and takes no new work."""

    incarnation: int


@dataclasses.dataclass
class Peer:
    """Another configured router.

    Attributes
    ----------
    address : str
        Address of its fleet listener.
    link : Link, optional
        The link in use, dialled by either end.
    dialled_here : bool
        Whether this end dialled the link.
    dialler : Dialler, optional
        Set while this end dials or keeps the link.
    received_at : float
        When a frame last arrived, in monotonic seconds.
    sent_at : float
        When data was last sent on the link, in monotonic seconds.
    used_at : float
        When a message or call was last sent to it, in monotonic seconds.
    dialled_at : float
        When dialling last began, in monotonic seconds.
    incarnation : int
        Incarnation of the last accepted link.
    leaving_incarnation : int
        Incarnation that announced its leave; -1 if none did.
    received_bytes, sent_bytes : int
        Byte counts of the link at the last check.
    linked : Event
        Set while there is a link.
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
        """Return whether the router is linked and not leaving."""
        return (
            self.link is not None
            and self.leaving_incarnation != self.incarnation
        )
