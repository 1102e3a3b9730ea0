"""What streams are bound to: the service and software version that began them.

What two software versions write does not fit together, so a stream goes on
only where its binding allows it; see ``docs/design/stream-versions.md``.
"""

import dataclasses
import typing as t

__all__ = ["Binding"]


class Target(t.Protocol):
    """What a binding looks at in a target."""

    service: str
    release: str


@dataclasses.dataclass(frozen=True)
class Binding:
    """Service and software version of a stream's events.

    Attributes
    ----------
    release : str
        Software version; empty if unknown, which fits no target.
    """

    service: str
    release: str

    def fits(self, target: Target) -> bool:
        """Return whether `target` may go on with the stream."""
        return (
            bool(self.release)
            and target.release == self.release
            and target.service == self.service
        )


def of_target(target: Target) -> Binding:
    """Return the binding of a stream that `target` begins."""
    return Binding(target.service, target.release)
