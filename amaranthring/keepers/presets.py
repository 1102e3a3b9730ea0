"""Fleet configuration set by operators, and the history of its changes.

Exactly one preset is in force; switching it is a single log entry. Commands
use optimistic concurrency: each names the revision that its operator saw and
is rejected if another operator's change was accepted since. This also
rejects a command that is resent after its stored answer has expired.
"""

import collections
import dataclasses
import typing as t

from amaranthring import errors
from amaranthring.core import config_parts
from amaranthring.core import wire
from amaranthring.keepers import commands

MAX_HISTORY_ENTRIES = 1000
MAX_HISTORY_BYTES = 4 * 1024 * 1024
MAX_PRESETS = 64
MAX_ACCOUNTS = 10_000
MAX_DRAINS = 10_000
PRESET_ACTIONS = ("preset-put", "preset-restore", "preset-remove")
SWITCH_ACTIONS = ("bootstrap", "preset-switch")


@dataclasses.dataclass
class Entry:
    """One accepted change in the history.

    Attributes
    ----------
    revision : int
        Revision created by the change.
    stamp : float
        Log timestamp in seconds.
    operator, action, subject : str
        Operator, kind of the change, and the name of what was changed.
    content : bytes
        New content of the preset as msgpack, or empty.
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
    parts : config_parts.Parts
        The current configuration.
    base_presets : dict
        Contents of presets before the oldest history entry.
    operator_revision : int
        Revision of the last change by an operator. Changes of the
        quarantine list also create revisions, but must not make operators'
        commands conflict.
    """

    def __init__(self):
        self.parts = config_parts.Parts()
        self.operator_revision = 0
        self.history: collections.deque[Entry] = collections.deque()
        self.history_bytes = 0
        self.base_presets: dict[str, bytes] = {}
        self.base_in_force = ""
        self.handlers = {
            commands.PutPreset: self.put_preset,
            commands.SwitchPreset: self.switch_preset,
            commands.RemovePreset: self.remove_preset,
            commands.RestorePresets: self.restore_presets,
            commands.PutAccount: self.put_account,
            commands.RemoveAccount: self.remove_account,
            commands.DrainTarget: self.drain,
            commands.UndrainTarget: self.undrain,
            commands.LiftQuarantine: self.lift_quarantine,
        }

    @property
    def in_force(self) -> str:
        """Return the name of the preset in force."""
        return self.parts.items.get(config_parts.IN_FORCE, "")

    def bootstrap(self, stamp: float, command: commands.Bootstrap) -> t.Any:
        """Set the initial configuration, unless there already is one."""
        if self.parts.revision == 0:
            changed = {config_parts.IN_FORCE: command.in_force}
            for preset in command.presets:
                changed |= config_parts.preset_parts(preset)
            for account in command.accounts:
                changed |= config_parts.account_parts(account)
            self.add_revision(
                stamp,
                "initial",
                "bootstrap",
                command.in_force,
                changed,
                [],
            )
            for preset in command.presets:
                self._append_preset(stamp, "initial", "preset-put", preset)
        return self.accepted()

    def apply_command(
        self, stamp: float, command: commands.OperatorCommand
    ) -> t.Any:
        """Apply an operator command.

        Raises
        ------
        errors.RevisionConflictError
            If the operator has not seen the last operator change.
        errors.RefusedError
            If the command is not valid in the current state.
        """
        if (
            not self.operator_revision
            <= command.if_match
            <= self.parts.revision
        ):
            raise errors.RevisionConflictError(
                f"revision {self.parts.revision} is in force, with preset "
                f"{self.in_force}",
                given=command.if_match,
                expected=self.parts.revision,
            )
        self.handlers[type(command)](stamp, command)
        return self.accepted()

    def accepted(self) -> commands.Accepted:
        """Return the result of an accepted command."""
        return commands.Accepted(self.parts.revision, self.in_force)

    def put_preset(self, stamp, command) -> None:
        """Create or replace a preset."""
        self._put_preset(stamp, command.operator, "preset-put", command.preset)

    def switch_preset(self, stamp, command) -> None:
        """Make another preset the one in force."""
        self._require(f"preset/{command.name}", "preset", command.name)
        changed = {config_parts.IN_FORCE: command.name}
        self._commit_command(stamp, command, command.name, changed, [])

    def remove_preset(self, stamp, command) -> None:
        """Remove a preset that is not in force."""
        self._require(f"preset/{command.name}", "preset", command.name)
        if command.name == self.in_force:
            raise errors.BadRequestError(
                "the preset in force cannot be removed",
                given=command.name,
                expected="a preset that is not in force",
            )
        removed = self._preset_parts(command.name)
        self._commit_command(stamp, command, command.name, {}, removed)

    def restore_presets(self, stamp, command) -> None:
        """Restore presets to an earlier revision, as a new revision."""
        contents = self._presets_at(command.revision)
        name = command.name
        if name:
            if contents.get(name) is None:
                raise errors.NotFoundError(
                    f"no preset {name} at revision {command.revision}",
                    given=name,
                    expected=f"one of {sorted(contents)}",
                )
            contents = {name: contents[name]}
        changed = {}
        removed = []
        for preset, content in contents.items():
            current = self._preset_parts(preset)
            new = {} if content is None else parts_of_content(content)
            removed += sorted(set(current) - new.keys())
            changed |= self._changed_only(new)
        if not name:
            changed[config_parts.IN_FORCE] = self._in_force_at(
                command.revision
            )
        self.add_revision(stamp, "", "", "", changed, removed)
        self.operator_revision = self.parts.revision
        for preset, content in contents.items():
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
        """Return the contents of presets at `revision`; None if absent.

        Raises
        ------
        errors.NotFoundError
            If `revision` is not covered by the history.
        """
        oldest = self.history[0].revision if self.history else 0
        if not oldest <= revision <= self.parts.revision:
            raise errors.NotFoundError(
                "the history does not contain this revision",
                given=revision,
                expected=f"{oldest} to {self.parts.revision}",
            )
        contents: dict[str, bytes | None] = dict(self.base_presets)
        for entry in self.history:
            if entry.action not in PRESET_ACTIONS:
                continue
            if entry.revision <= revision:
                contents[entry.subject] = entry.content or None
            else:
                contents.setdefault(entry.subject, None)
        return contents

    def _in_force_at(self, revision: int) -> str:
        name = self.base_in_force
        for entry in self.history:
            if entry.revision <= revision and entry.action in SWITCH_ACTIONS:
                name = entry.subject
        return name

    def put_account(self, stamp, command) -> None:
        """Create or replace an account."""
        changed = config_parts.account_parts(command.account)
        self._check_limit("account/", next(iter(changed)), MAX_ACCOUNTS)
        self._commit_command(stamp, command, command.account.name, changed, [])

    def remove_account(self, stamp, command) -> None:
        """Remove an account."""
        part = f"account/{command.name}"
        self._require(part, "account", command.name)
        self._commit_command(stamp, command, command.name, {}, [part])

    def drain(self, stamp, command) -> None:
        """Drain a target."""
        part = f"drained/{command.target}"
        self._check_limit("drained/", part, MAX_DRAINS)
        changed = {part: command.reason}
        self._commit_command(stamp, command, command.target, changed, [])

    def undrain(self, stamp, command) -> None:
        """Stop draining a target."""
        part = f"drained/{command.target}"
        self._require(part, "drained target", command.target)
        self._commit_command(stamp, command, command.target, {}, [part])

    def lift_quarantine(self, stamp, command) -> None:
        """Remove a request from the quarantine list."""
        part = f"quarantined/{command.fingerprint}"
        self._require(part, "quarantined request", command.fingerprint)
        self._commit_command(stamp, command, command.fingerprint, {}, [part])

    def _preset_parts(self, preset: str) -> list[str]:
        return [
            p
            for p in self.parts.items
            if config_parts.belongs_to_preset(p, preset)
        ]

    def _put_preset(self, stamp, operator, action, preset) -> None:
        changed = config_parts.preset_parts(preset)
        part = f"preset/{preset.name}"
        self._check_limit("preset/", part, MAX_PRESETS)
        removed = set(self._preset_parts(preset.name)) - changed.keys()
        changed = self._changed_only(changed)
        self.add_revision(stamp, operator, "", "", changed, sorted(removed))
        self.operator_revision = self.parts.revision
        self._append_preset(stamp, operator, action, preset)

    def _changed_only(self, changed: dict[str, t.Any]) -> dict[str, t.Any]:
        """Return the parts whose value changes, to keep deltas small."""
        current = self.parts.items
        return {p: v for p, v in changed.items() if current.get(p) != v}

    def _require(self, part: str, kind: str, name: str) -> None:
        if part not in self.parts.items:
            raise errors.NotFoundError(
                f"no such {kind}", given=name, expected=f"a known {kind}"
            )

    def _check_limit(self, prefix: str, part: str, limit: int) -> None:
        items = self.parts.items
        if part in items:
            return
        existing = [p for p in items if p.startswith(prefix)]
        if prefix == "preset/":
            existing = [p for p in existing if p.count("/") == 1]
        if len(existing) >= limit:
            raise errors.RefusedError(
                f"too many {prefix.rstrip('/')} entries",
                given=limit + 1,
                expected=f"at most {limit}",
            )

    def _commit_command(
        self, stamp, command, subject, changed, removed
    ) -> None:
        action = wire.tag_of(type(command))
        self.add_revision(
            stamp, command.operator, action, subject, changed, removed
        )
        self.operator_revision = self.parts.revision

    def add_revision(self, stamp, operator, action, subject, changed, removed):
        """Create a revision; record `action`, if any, in the history."""
        revision = self.parts.revision + 1
        self.parts.change(revision, changed, removed)
        if action:
            self._append(Entry(revision, stamp, operator, action, subject))

    def _append_preset(self, stamp, operator, action, preset) -> None:
        content = wire.encode_value(preset)
        revision = self.parts.revision
        self._append(
            Entry(revision, stamp, operator, action, preset.name, content)
        )

    def _append(self, entry: Entry) -> None:
        self.history.append(entry)
        self.history_bytes += len(entry.content)
        while (
            len(self.history) > MAX_HISTORY_ENTRIES
            or self.history_bytes > MAX_HISTORY_BYTES
        ):
            self._fold_into_base(self.history.popleft())

    def _fold_into_base(self, entry: Entry) -> None:
        self.history_bytes -= len(entry.content)
        # Restoring the oldest revisions in the history needs the contents
        # set by entries that were dropped from it.
        if entry.action in SWITCH_ACTIONS:
            self.base_in_force = entry.subject
        elif entry.content:
            self.base_presets[entry.subject] = entry.content
        elif entry.action in PRESET_ACTIONS:
            self.base_presets.pop(entry.subject, None)

    def dump(self) -> dict[str, t.Any]:
        """Return the state as plain data for :meth:`load`."""
        return {
            "parts": self.parts.dump(),
            "operated": self.operator_revision,
            "base": self.base_presets,
            "base_in_force": self.base_in_force,
            "history": [dataclasses.astuple(e) for e in self.history],
        }

    @classmethod
    def load(cls, values: dict[str, t.Any]) -> "Book":
        """Return an instance with the state from :meth:`dump`."""
        book = cls()
        book.parts = config_parts.Parts.load(values["parts"])
        book.operator_revision = values["operated"]
        book.base_presets = values["base"]
        book.base_in_force = values["base_in_force"]
        for entry in values["history"]:
            book._append(Entry(*entry))
        return book


def parts_of_content(content: bytes) -> dict[str, t.Any]:
    """Return the parts of a preset from the history."""
    return config_parts.plain_preset_parts(wire.decode_value(content))
