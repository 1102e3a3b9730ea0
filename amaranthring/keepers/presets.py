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
from amaranthring.core import parts
from amaranthring.core import wire
from amaranthring.keepers import commands

HISTORY_MOST = 1000
HISTORY_BYTES_MOST = 4 * 1024 * 1024
PRESETS_MOST = 64
ACCOUNTS_MOST = 10_000
DRAINS_MOST = 10_000
PRESET_ACTIONS = ("preset-put", "preset-restore", "preset-remove")
SWITCHES = ("bootstrap", "preset-switch")


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
    base : dict
        Contents of presets before the oldest entry of the history.
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
        self.base: dict[str, bytes] = {}
        self.base_in_force = ""
        self.actions = {
            commands.PutPreset: self.put_preset,
            commands.SwitchPreset: self.switch_preset,
            commands.RemovePreset: self.remove_preset,
            commands.RestorePresets: self.restore,
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
            self.commit(
                stamp,
                "initial",
                "bootstrap",
                command.in_force,
                changed,
                [],
            )
            for preset in command.presets:
                self._note(stamp, "initial", "preset-put", preset)
        return self.accepted()

    def apply_command(
        self, stamp: float, command: commands.OperatorCommand
    ) -> t.Any:
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

    def restore(self, stamp, command) -> None:
        """Take an earlier content of presets again, as a new revision."""
        wanted = self._presets_at(command.revision)
        name = command.name
        if name:
            if wanted.get(name) is None:
                raise errors.NotFoundError(
                    f"no preset {name} at revision {command.revision}",
                    given=name,
                    expected=f"one of {sorted(wanted)}",
                )
            wanted = {name: wanted[name]}
        changed = {}
        removed = []
        for preset, content in wanted.items():
            held = self._parts_of(preset)
            new = {} if content is None else of_content(content)
            removed += sorted(set(held) - new.keys())
            changed |= self._differing(new)
        if not name:
            changed[parts.IN_FORCE] = self._in_force_at(command.revision)
        self.commit(stamp, "", "", "", changed, removed)
        self.operated = self.parts.revision
        for preset, content in wanted.items():
            self._append(
                Entry(
                    self.parts.revision,
                    stamp,
                    command.operator,
                    "preset-restore" if content else "preset-remove",
                    preset,
                    content or b"",
                )
            )
        if not name:
            self._append(
                Entry(
                    self.parts.revision,
                    stamp,
                    command.operator,
                    "preset-switch",
                    self.in_force,
                )
            )

    def _presets_at(self, revision: int) -> dict[str, bytes | None]:
        """Return contents of presets at `revision`; None where absent.

        Raises
        ------
        errors.NotFoundError
            If the history does not reach back to `revision`.
        """
        oldest = self.history[0].revision if self.history else 0
        if not oldest <= revision <= self.parts.revision:
            raise errors.NotFoundError(
                "the history does not hold this revision",
                given=revision,
                expected=f"{oldest} to {self.parts.revision}",
            )
        found: dict[str, bytes | None] = dict(self.base)
        for entry in self.history:
            if entry.action not in PRESET_ACTIONS:
                continue
            if entry.revision <= revision:
                found[entry.subject] = entry.content or None
            else:
                found.setdefault(entry.subject, None)
        return found

    def _in_force_at(self, revision: int) -> str:
        found = self.base_in_force
        for entry in self.history:
            if entry.revision <= revision and entry.action in SWITCHES:
                found = entry.subject
        return found

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
        changed = self._differing(changed)
        self.commit(stamp, operator, "", "", changed, sorted(removed))
        self.operated = self.parts.revision
        self._note(stamp, operator, action, preset)

    def _differing(self, changed: dict[str, t.Any]) -> dict[str, t.Any]:
        """Return what differs from what is held; only that travels."""
        held = self.parts.items
        return {p: v for p, v in changed.items() if held.get(p) != v}

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
            self._forget(self.history.popleft())

    def _forget(self, entry: Entry) -> None:
        self.history_bytes -= len(entry.content)
        # What held before the oldest entry is still asked for when an
        # operator goes back to a revision of the history.
        if entry.action in SWITCHES:
            self.base_in_force = entry.subject
        elif entry.content:
            self.base[entry.subject] = entry.content
        elif entry.action in PRESET_ACTIONS:
            self.base.pop(entry.subject, None)

    def dump(self) -> dict[str, t.Any]:
        """Return the plain form that :meth:`load` reads."""
        return {
            "parts": self.parts.dump(),
            "operated": self.operated,
            "base": self.base,
            "base_in_force": self.base_in_force,
            "history": [dataclasses.astuple(e) for e in self.history],
        }

    @classmethod
    def load(cls, values: dict[str, t.Any]) -> "Book":
        """Return the book that :meth:`dump` wrote."""
        made = cls()
        made.parts = parts.Parts.load(values["parts"])
        made.operated = values["operated"]
        made.base = values["base"]
        made.base_in_force = values["base_in_force"]
        for entry in values["history"]:
            made._append(Entry(*entry))
        return made


def of_content(content: bytes) -> dict[str, t.Any]:
    """Return the parts of a preset kept as `content` in the history."""
    return parts.of_plain_preset(wire.decode_value(content))
