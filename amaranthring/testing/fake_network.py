"""Small fakes of the target table and the mesh, for tests and benchmarks.

A :class:`Net` joins fake meshes in one process. Messages go through
``wire`` as they would on a stream, so that what cannot be encoded fails.
"""

import asyncio
import dataclasses
import inspect

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import records
from amaranthring.core import wire


def target(name, data_centre="dc1", serves=("m",), **fields):
    """Return an engine called `name`."""
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
    """Target table of one router."""

    def __init__(self, targets=()):
        self.targets = {each.name: each for each in targets}
        self.states = dict.fromkeys(self.targets, records.TargetState.READY)
        self.reports = {}
        self.callbacks = []

    def put(self, each, state=records.TargetState.READY):
        """Add or change a target."""
        self.targets[each.name] = each
        self.states[each.name] = state
        self.changed(each.name)

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
            each
            for name, each in self.targets.items()
            if each.kind == kind
            and serves in each.serves
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
    """Stands for the link that a message came on."""

    peer: links.Identity


class Network:
    """Joins meshes; holds what is cut, frozen or lost.

    Attributes
    ----------
    data_centres : dict
        Router to its data centre.
    frozen : set
        Routers that answer nothing.
    leaving : set
        Routers that said that they leave; they still answer.
    lose : callable
        Returns whether a one-way message from, to is lost.
    plain : bool
        Hand messages over as they are, for speed.
    pause : callable
        Awaitable; passes the time of a call that is not answered.
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

    def passes(self, sender, receiver):
        """Return whether messages get from `sender` to `receiver`."""
        if receiver not in self.meshes or sender not in self.meshes:
            return False
        return (sender, receiver) not in self.cut

    def stop(self, name):
        """Kill router `name`; the others learn of it at once."""
        del self.meshes[name]
        del self.data_centres[name]
        self.changed()

    def leave(self, name):
        """Let router `name` leave gracefully; it goes on answering."""
        self.leaving.add(name)
        self.changed()

    def changed(self):
        """Tell every router that the live list changed."""
        for mesh in list(self.meshes.values()):
            mesh.changed()

    def count(self, message):
        """Count a message that crosses the net; return it decoded."""
        if self.plain:
            return message
        tag, body = wire.encode_message(message)
        self.counts[tag] = self.counts.get(tag, 0) + 1
        self.sent_bytes += len(wire.encode(wire.ONE_WAY, 0, message))
        return wire.decode_message(tag, body)


class Mesh:
    """Mesh of one router within a :class:`Net`."""

    def __init__(self, name, net):
        self.name = name
        self.net = net
        self.handlers = links.Handlers()
        self.callbacks = []
        self.hidden = set()

    def live(self, data_centre=None):
        """Return live routers as this router sees them."""
        return sorted(
            name
            for name, centre in self.net.data_centres.items()
            if name not in self.hidden
            and name not in self.net.leaving
            and data_centre in (None, centre)
        )

    def data_centre_of(self, name):
        """Return the data centre of router `name`."""
        return self.net.data_centres.get(name, "")

    def subscribe(self, callback):
        """Call `callback` when the live list changes."""
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
        if not self.net.passes(self.name, name):
            return False
        if name in self.net.frozen:
            return True
        if self.net.is_dropped(self.name, name, message):
            return True
        self.net.meshes[name]._handle(self.name, self.net.count(message))
        return True

    async def call(self, name, message, timeout):
        """Call `name`; a frozen one lets the call time out."""
        if name == self.name:
            return await self._result(self.name, message)
        if not self.net.passes(self.name, name):
            raise errors.LinkClosedError(
                f"no link to {name}", outcome=errors.Outcome.NOT_RUN
            )
        if name in self.net.frozen:
            await self.net.pause(timeout)
            raise errors.LinkTimeoutError(f"no reply from {name}")
        there = self.net.meshes[name]
        answer = await there._result(self.name, self.net.count(message))
        return None if answer is None else self.net.count(answer)

    def _handle(self, sender, message):
        handler = self.handlers.by_class[type(message)]
        identity = links.Identity(sender, "router", "")
        return handler(FakeLink(identity), message)

    async def _result(self, sender, message):
        result = self._handle(sender, message)
        if inspect.isawaitable(result):
            return await result
        return result
