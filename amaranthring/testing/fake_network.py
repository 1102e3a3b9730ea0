"""Fakes of the target table and the mesh, for tests and benchmarks.

A :class:`Network` connects fake meshes in one process. Messages are encoded
and decoded with ``wire``, so that a message that cannot be encoded fails.
"""

import asyncio
import dataclasses
import inspect

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import records
from amaranthring.core import wire


def target(name, data_centre="dc1", serves=("m",), **fields):
    """Return the record of an engine."""
    fields.setdefault("kind", records.TargetKind.ENGINE)
    fields.setdefault("incarnation", 1)
    fields.setdefault("region", "north")
    return records.Target(
        name=name,
        address="127.0.0.1:1",
        data_centre=data_centre,
        serves=tuple(serves),
        **fields,
    )


def request(number=1, account="a", chat="", **fields):
    """Return a chat request for model ``m``."""
    fields.setdefault("deadline", 1e12)
    fields.setdefault("body_digest", f"body-{account}-{chat}-{number}")
    fields.setdefault("serves", "m")
    fields.setdefault("kind", records.TargetKind.ENGINE)
    return records.Request(
        request_id=f"request-{number}",
        account=account,
        cls=fields.pop("cls", "interactive"),
        priority=fields.pop("priority", 1),
        chat=chat,
        body=b"",
        **fields,
    )


class Table:
    """Fake target table of one router."""

    def __init__(self, targets=()):
        self.targets = {target.name: target for target in targets}
        self.states = dict.fromkeys(self.targets, records.TargetState.READY)
        self.reports = {}
        self.callbacks = []

    def put(self, target, state=records.TargetState.READY):
        """Add or change a target."""
        self.targets[target.name] = target
        self.states[target.name] = state
        self.changed(target.name)

    def set_state(self, name, state):
        """Change the state of a target."""
        self.states[name] = state
        self.changed(name)

    def changed(self, name):
        """Call the subscribers."""
        for callback in self.callbacks:
            callback(name)

    def eligible(self, kind, serves):
        """Return ready targets for `kind` and `serves`."""
        return [
            target
            for name, target in self.targets.items()
            if target.kind == kind
            and serves in target.serves
            and self.states[name] == records.TargetState.READY
        ]

    def all(self):
        """Return every target."""
        return list(self.targets.values())

    def get(self, name):
        """Return the target unless it is unknown or lost."""
        if self.state(name) == records.TargetState.LOST:
            return None
        return self.targets.get(name)

    def report(self, name):
        """Return the last report or None."""
        return self.reports.get(name)

    def state(self, name):
        """Return the state; unknown targets are lost."""
        return self.states.get(name, records.TargetState.LOST)

    def subscribe(self, callback):
        """Call `callback` with the name of each changed target."""
        self.callbacks.append(callback)


@dataclasses.dataclass
class FakeLink:
    """The link on which a message arrived."""

    peer: links.Identity


class Network:
    """Connects meshes; simulates partitions, frozen routers and loss.

    Attributes
    ----------
    data_centres : dict
        Data centre by router.
    frozen : set
        Routers that do not answer.
    leaving : set
        Routers that announced that they leave; they still answer.
    cut : set
        Pairs of sender and receiver between which messages do not pass.
    is_dropped : callable
        Returns whether a one-way message is dropped, given its sender, its
        receiver and the message.
    plain : bool
        Whether messages are passed without encoding, for speed.
    pause : callable
        Coroutine function; waits for the timeout of an unanswered call.
    """

    def __init__(self, data_centres, plain=False):
        self.plain = plain
        self.pause = asyncio.sleep
        self.data_centres = dict(data_centres)
        self.meshes = {}
        self.frozen = set()
        self.leaving = set()
        self.cut = set()
        self.is_dropped = lambda *_: False
        self.counts = {}
        self.sent_bytes = 0
        for name in self.data_centres:
            self.meshes[name] = Mesh(name, self)

    def can_reach(self, sender, receiver):
        """Return whether messages get from `sender` to `receiver`."""
        if receiver not in self.meshes or sender not in self.meshes:
            return False
        return (sender, receiver) not in self.cut

    def stop(self, name):
        """Kill router `name`; the others are notified at once."""
        del self.meshes[name]
        del self.data_centres[name]
        self.changed()

    def leave(self, name):
        """Let router `name` leave gracefully; it still answers."""
        self.leaving.add(name)
        self.changed()

    def changed(self):
        """Notify every router that the live routers changed."""
        for mesh in list(self.meshes.values()):
            mesh.changed()

    def count(self, message):
        """Count a message; return it as the receiver decodes it."""
        if self.plain:
            return message
        tag, body = wire.encode_message(message)
        self.counts[tag] = self.counts.get(tag, 0) + 1
        self.sent_bytes += len(wire.encode(wire.ONE_WAY, 0, message))
        return wire.decode_message(tag, body)


class Mesh:
    """Fake mesh of one router in a :class:`Network`.

    Attributes
    ----------
    hidden : set
        Routers that this router does not see as live.
    """

    def __init__(self, name, network):
        self.name = name
        self.network = network
        self.handlers = links.Handlers()
        self.callbacks = []
        self.hidden = set()

    def live(self, data_centre=None):
        """Return live routers as this router sees them."""
        return sorted(
            name
            for name, centre in self.network.data_centres.items()
            if name not in self.hidden
            and name not in self.network.leaving
            and data_centre in (None, centre)
        )

    def data_centre_of(self, name):
        """Return the data centre of router `name`."""
        return self.network.data_centres.get(name, "")

    def subscribe(self, callback):
        """Call `callback` when the live routers change."""
        self.callbacks.append(callback)

    def changed(self):
        """Call the subscribers."""
        for callback in self.callbacks:
            callback()

    def send(self, name, message):
        """Send one-way; the receiver handles it at once."""
        if name == self.name:
            self._handle(self.name, message)
            return True
        if not self.network.can_reach(self.name, name):
            return False
        if name in self.network.frozen:
            return True
        if self.network.is_dropped(self.name, name, message):
            return True
        self.network.meshes[name]._handle(
            self.name, self.network.count(message)
        )
        return True

    async def call(self, name, message, timeout):
        """Call `name`; a call to a frozen router times out."""
        if name == self.name:
            return await self._result(self.name, message)
        if not self.network.can_reach(self.name, name):
            raise errors.LinkClosedError(
                f"no link to {name}", outcome=errors.Outcome.NOT_RUN
            )
        if name in self.network.frozen:
            await self.network.pause(timeout)
            raise errors.LinkTimeoutError(f"no reply from {name}")
        receiver = self.network.meshes[name]
        answer = await receiver._result(self.name, self.network.count(message))
        return None if answer is None else self.network.count(answer)

    def _handle(self, sender, message):
        handler = self.handlers.by_class[type(message)]
        identity = links.Identity(sender, "router", "")
        return handler(FakeLink(identity), message)

    async def _result(self, sender, message):
        result = self._handle(sender, message)
        if inspect.isawaitable(result):
            return await result
        return result
