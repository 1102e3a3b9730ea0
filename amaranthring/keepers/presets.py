"""The operators' decisions: presets, accounts, drains, with their history.

Exactly one preset is in force; a switch is one entry of the log. A command
names the revision that its operator saw. It is refused when an operator's
change was accepted since, so that of two operators with the same number one
wins, and a command resent past the retention of answers does nothing.
"""

import collections
import dataclasses
import typing as t

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import parts
from amaranthring.core import wire
from amaranthring.keepers import commands

HISTORY_MOST = 1000
HISTORY_BYTES_MOST = 4 * 1024 * 1024
PRESETS_MOST = 64
ACCOUNTS_MOST = 10_000
DRAINS_MOST = 10_000


@dataclasses.dataclass
class Entry:
    """One accepted change.

    Attributes
    ----------
    revision : int
        Revision that it made.
    stamp : float
        Wall time of the leader, in seconds.
    operator, action, subject : str
        Who did what to what.
    content : bytes
        The preset that it made, as msgpack; empty where it made none.
    """

    revision: int
    stamp: float
    operator: str
    action: str
    subject: str
    content: bytes = b""


class Book:
    """The configuration and the history of its changes.

    Attributes
    ----------
    parts : parts.Parts
        The configuration in force.
    operated : int
        Revision of the last change made by an operator. The quarantine
        list moves the revision on its own and must not make operators'
        commands conflict.
    """

    def __init__(self):
        self.parts = parts.Parts()
        self.operated = 0
        self.history: collections.deque[Entry] = collections.deque()
        self.history_bytes = 0
        self.actions = {
            commands.PutPreset: self.put_preset,
            commands.SwitchPreset: self.switch_preset,
            commands.RemovePreset: self.remove_preset,
            commands.RestorePreset: self.restore_preset,
            commands.PutAccount: self.put_account,
            commands.RemoveAccount: self.remove_account,
            commands.DrainTarget: self.drain,
            commands.UndrainTarget: self.undrain,
            commands.LiftQuarantine: self.lift_quarantine,
        }

    @property
    def in_force(self) -> str:
        """Return the name of the preset in force."""
        return self.parts.items.get(parts.IN_FORCE, "")

    def bootstrap(self, stamp: float, command: commands.Bootstrap) -> t.Any:
        """Take the first configuration in, unless there is one."""
        if self.parts.revision == 0:
            changed = {parts.IN_FORCE: command.in_force}
            for preset in command.presets:
                changed |= parts.of_preset(preset)
            for account in command.accounts:
                changed |= parts.of_account(account)
            self.commit(stamp, "initial", "bootstrap", "", changed, [])
            for preset in command.presets:
                self._note(stamp, "initial", "preset-put", preset)
        return self.accepted()

    def operate(self, stamp: float, command: commands.Operated) -> t.Any:
        """Apply a command of an operator.

        Raises
        ------
        errors.RevisionConflictError
            If the operator had not seen the last change.
        errors.RefusedError
            If the command does not fit the state.
        """
        if not self.operated <= command.if_match <= self.parts.revision:
            raise errors.RevisionConflictError(
                f"revision {self.parts.revision} is in force, with preset "
                f"{self.in_force}",
                given=command.if_match,
                expected=self.parts.revision,
            )
        self.actions[type(command)](stamp, command)
        return self.accepted()

    def accepted(self) -> commands.Accepted:
        """Return the answer to an accepted command."""
        return commands.Accepted(self.parts.revision, self.in_force)

    def put_preset(self, stamp, command) -> None:
        """Create or replace a preset."""
        self._put_preset(stamp, command.operator, "preset-put", command.preset)

    def switch_preset(self, stamp, command) -> None:
        """Put another preset in force."""
        self._need(f"preset/{command.name}", "preset", command.name)
        changed = {parts.IN_FORCE: command.name}
        self._operated(stamp, command, command.name, changed, [])

    def remove_preset(self, stamp, command) -> None:
        """Remove a preset that is not in force."""
        self._need(f"preset/{command.name}", "preset", command.name)
        if command.name == self.in_force:
            raise errors.BadRequestError(
                "the preset in force cannot be removed",
                given=command.name,
                expected="a preset that is not in force",
            )
        removed = self._parts_of(command.name)
        self._operated(stamp, command, command.name, {}, removed)

    def restore_preset(self, stamp, command) -> None:
        """Give a preset an earlier content, as a new revision."""
        best = None
        for entry in self.history:
            if entry.subject == command.name and entry.content:
                if entry.revision > command.revision:
                    break
                best = entry
        if best is None:
            raise errors.NotFoundError(
                f"history holds no content of preset {command.name}",
                given=command.revision,
                expected=f"one of {self._revisions_of(command.name)}",
            )
        preset = preset_of(best.content)
        self._put_preset(stamp, command.operator, "preset-restore", preset)

    def put_account(self, stamp, command) -> None:
        """Create or replace an account."""
        changed = parts.of_account(command.account)
        self._bound("account/", next(iter(changed)), ACCOUNTS_MOST)
        self._operated(stamp, command, command.account.name, changed, [])

    def remove_account(self, stamp, command) -> None:
        """Remove an account."""
        part = f"account/{command.name}"
        self._need(part, "account", command.name)
        self._operated(stamp, command, command.name, {}, [part])

    def drain(self, stamp, command) -> None:
        """Drain a target."""
        part = f"drained/{command.target}"
        self._bound("drained/", part, DRAINS_MOST)
        changed = {part: command.reason}
        self._operated(stamp, command, command.target, changed, [])

    def undrain(self, stamp, command) -> None:
        """End the drain of a target."""
        part = f"drained/{command.target}"
        self._need(part, "drained target", command.target)
        self._operated(stamp, command, command.target, {}, [part])

    def lift_quarantine(self, stamp, command) -> None:
        """Take a request off the quarantine list."""
        part = f"quarantined/{command.fingerprint}"
        self._need(part, "quarantined request", command.fingerprint)
        self._operated(stamp, command, command.fingerprint, {}, [part])

    def _parts_of(self, preset: str) -> list[str]:
        return [p for p in self.parts.items if parts.belongs(p, preset)]

    def _put_preset(self, stamp, operator, action, preset) -> None:
        changed = parts.of_preset(preset)
        own = f"preset/{preset.name}"
        self._bound("preset/", own, PRESETS_MOST)
        removed = set(self._parts_of(preset.name)) - changed.keys()
        # Only what differs travels to the routers.
        changed = {
            part: value
            for part, value in changed.items()
            if self.parts.items.get(part) != value
        }
        self.commit(stamp, operator, "", "", changed, sorted(removed))
        self.operated = self.parts.revision
        self._note(stamp, operator, action, preset)

    def _need(self, part: str, kind: str, name: str) -> None:
        if part not in self.parts.items:
            raise errors.NotFoundError(
                f"no such {kind}", given=name, expected=f"a known {kind}"
            )

    def _bound(self, prefix: str, part: str, most: int) -> None:
        known = self.parts.items
        if part in known:
            return
        held = [p for p in known if p.startswith(prefix)]
        if prefix == "preset/":
            held = [p for p in held if p.count("/") == 1]
        if len(held) >= most:
            raise errors.RefusedError(
                f"no room for another {prefix.rstrip('/')}",
                given=most + 1,
                expected=f"at most {most}",
            )

    def _operated(self, stamp, command, subject, changed, removed) -> None:
        action = wire.tag_of(type(command))
        self.commit(stamp, command.operator, action, subject, changed, removed)
        self.operated = self.parts.revision

    def commit(self, stamp, operator, action, subject, changed, removed):
        """Make one revision and note `action`, if any, in the history."""
        revision = self.parts.revision + 1
        self.parts.change(revision, changed, removed)
        if action:
            self._append(Entry(revision, stamp, operator, action, subject))

    def _note(self, stamp, operator, action, preset) -> None:
        content = wire.encode_value(preset)
        revision = self.parts.revision
        self._append(
            Entry(revision, stamp, operator, action, preset.name, content)
        )

    def _append(self, entry: Entry) -> None:
        self.history.append(entry)
        self.history_bytes += len(entry.content)
        while (
            len(self.history) > HISTORY_MOST
            or self.history_bytes > HISTORY_BYTES_MOST
        ):
            self.history_bytes -= len(self.history.popleft().content)

    def _revisions_of(self, name: str) -> list[int]:
        return [e.revision for e in self.history if e.subject == name]

    def dump(self) -> dict[str, t.Any]:
        """Return the plain form that :meth:`load` reads."""
        return {
            "parts": self.parts.dump(),
            "operated": self.operated,
            "history": [dataclasses.astuple(e) for e in self.history],
        }

    @classmethod
    def load(cls, values: dict[str, t.Any]) -> "Book":
        """Return the book that :meth:`dump` wrote."""
        made = cls()
        made.parts = parts.Parts.load(values["parts"])
        made.operated = values["operated"]
        for entry in values["history"]:
            made._append(Entry(*entry))
        return made


def preset_of(content: bytes) -> fleet.Preset:
    """Return the preset kept as `content` in the history."""
    values = wire.decode_value(content)
    name = values["name"]
    found = parts.compose(0, parts.of_plain_preset(values))
    return found.presets[name]
