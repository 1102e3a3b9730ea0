"""Configuration of the fleet as a flat map of parts, with deltas.

A :class:`fleet.FleetConfig` is split into small parts, so that a change
affects few of them: the scalar fields of a preset, each policy in it, each
account, each drained target. Keepers and routers hold the same map, so any of
them can send the parts changed since a revision to any other. The sum of the
parts' digests tells whether two maps are equal.
"""

import collections
import dataclasses
import typing as t

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import wire

MAX_CHANGE_LOG = 2000
_MODULUS = 1 << 128
_POLICY_CLASSES = {
    "classes": fleet.ClassPolicy,
    "accounts": fleet.AccountPolicy,
    "services": fleet.ServicePolicy,
    "desired_models": None,
    "desired_roles": None,
}
_FIELD_BY_PREFIX = {
    "account": "accounts",
    "drained": "drained",
    "quarantined": "quarantined",
}
IN_FORCE = "in_force"


@wire.message("revision-delta")
class Delta:
    """Parts that changed after revision `since`, up to `revision`.

    Attributes
    ----------
    since : int
        Revision that the receiver must have reached; -1 for a full map.
    revision : int
        Revision of the receiver after the delta.
    changed : dict
        Part name to its new value.
    removed : list of str
        Names of removed parts.
    digest : str
        Digest of the full map at `revision`.
    """

    since: int
    revision: int
    changed: dict[str, t.Any]
    removed: list[str]
    digest: str

    @property
    def whole(self) -> bool:
        """Return whether the delta is a full map."""
        return self.since < 0


def to_plain(value: t.Any) -> t.Any:
    """Return `value` as plain data, as decoded from msgpack."""
    return wire.decode_value(wire.encode_value(value))


def preset_parts(preset: fleet.Preset) -> dict[str, t.Any]:
    """Return the parts of `preset`."""
    return plain_preset_parts(to_plain(preset))


def plain_preset_parts(values: dict[str, t.Any]) -> dict[str, t.Any]:
    """Return the parts of a preset given as plain data."""
    values = dict(values)
    base = f"preset/{values['name']}"
    parts = {}
    for group in _POLICY_CLASSES:
        for name, value in values.pop(group).items():
            parts[f"{base}/{group}/{name}"] = value
    return {base: values} | parts


def account_parts(account: fleet.Account) -> dict[str, t.Any]:
    """Return the part of `account`, as a map."""
    return {f"account/{account.name}": to_plain(account)}


def belongs_to_preset(part: str, preset: str) -> bool:
    """Return whether `part` belongs to `preset`."""
    return part == f"preset/{preset}" or part.startswith(f"preset/{preset}/")


def _from_plain(part_class: type, values: dict[str, t.Any]) -> t.Any:
    # Ignores unknown fields, which a newer peer may send.
    known = {field.name for field in dataclasses.fields(part_class)}
    return part_class(**{k: v for k, v in values.items() if k in known})


def build_config(revision: int, items: dict[str, t.Any]) -> fleet.FleetConfig:
    """Return the configuration made of the parts in `items`."""
    empty = fleet.FleetConfig()
    return apply_changes(empty, revision, items, [])


def apply_changes(
    config: fleet.FleetConfig,
    revision: int,
    changed: dict[str, t.Any],
    removed: list[str],
) -> fleet.FleetConfig:
    """Return a copy of `config` with some parts changed or removed.

    Unchanged objects are shared with `config`, so that accounts and policies
    are not copied one by one.
    """
    updated = dataclasses.replace(
        config,
        revision=revision,
        presets=dict(config.presets),
        accounts=dict(config.accounts),
        drained=dict(config.drained),
        quarantined=dict(config.quarantined),
    )
    copied_presets: set[str] = set()
    for part in removed:
        _remove(updated, part, copied_presets)
    # Sorting puts the scalar fields of a preset before its policies.
    for part in sorted(changed):
        _set(updated, part, changed[part], copied_presets)
    return updated


def _remove(
    config: fleet.FleetConfig, part: str, copied_presets: set[str]
) -> None:
    prefix, _, rest = part.partition("/")
    if prefix != "preset":
        getattr(config, _FIELD_BY_PREFIX[prefix]).pop(rest, None)
    elif "/" not in rest:
        config.presets.pop(rest, None)
    else:
        name, group, policy = rest.split("/", 2)
        if name in config.presets:
            preset = _copied_preset(config, name, copied_presets)
            getattr(preset, group).pop(policy, None)


def _set(config, part: str, value: t.Any, copied_presets: set[str]) -> None:
    prefix, _, rest = part.partition("/")
    if part == IN_FORCE:
        config.in_force = value
    elif prefix == "account":
        config.accounts[rest] = _from_plain(fleet.Account, value)
    elif prefix in _FIELD_BY_PREFIX:
        getattr(config, _FIELD_BY_PREFIX[prefix])[rest] = value
    elif prefix == "preset" and "/" not in rest:
        new = _from_plain(fleet.Preset, value)
        if rest in config.presets:
            old = _copied_preset(config, rest, copied_presets)
            for group in _POLICY_CLASSES:
                setattr(new, group, getattr(old, group))
        copied_presets.add(rest)
        config.presets[rest] = new
    elif prefix == "preset":
        name, group, policy = rest.split("/", 2)
        part_class = _POLICY_CLASSES[group]
        new = value if part_class is None else _from_plain(part_class, value)
        getattr(_copied_preset(config, name, copied_presets), group)[
            policy
        ] = new


def _copied_preset(
    config: fleet.FleetConfig, name: str, copied_presets: set[str]
):
    """Return preset `name` of `config`, copied unless in `copied_presets`."""
    preset = config.presets[name]
    if name not in copied_presets:
        groups = {
            group: dict(getattr(preset, group)) for group in _POLICY_CLASSES
        }
        preset = dataclasses.replace(preset, **groups)
        config.presets[name] = preset
        copied_presets.add(name)
    return preset


def _digest(part: str, value: t.Any) -> int:
    return int(hashing.digest(part, wire.encode_value(value)), 16)


class Parts:
    """Map of parts at one revision, with a log of recent changes.

    Attributes
    ----------
    revision : int
        Grows with every change; 0 for the empty map.
    items : dict
        Part name to plain value.
    """

    def __init__(self):
        self.revision = 0
        self.items: dict[str, t.Any] = {}
        self.digest_sum = 0
        self.change_log: collections.deque[tuple[int, list[str]]]
        self.change_log = collections.deque(maxlen=MAX_CHANGE_LOG)
        # The change log has no deltas from revisions below this one.
        self.oldest_base = 0

    @property
    def digest(self) -> str:
        """Return the digest of the full map, which equal maps share."""
        return f"{self.digest_sum:032x}"

    def config(self) -> fleet.FleetConfig:
        """Return the configuration made of all parts."""
        return build_config(self.revision, self.items)

    def change(
        self, revision: int, changed: dict[str, t.Any], removed: list[str]
    ) -> None:
        """Change and remove parts and set `revision`, which must be higher."""
        for part in removed:
            self._remove_part(part)
        for part, value in changed.items():
            self._remove_part(part)
            self.items[part] = value
            self.digest_sum = (
                self.digest_sum + _digest(part, value)
            ) % _MODULUS
        if len(self.change_log) == MAX_CHANGE_LOG:
            self.oldest_base = self.change_log[0][0]
        self.change_log.append((revision, [*changed, *removed]))
        self.revision = revision

    def delta_since(self, revision: int) -> Delta:
        """Return the delta since `revision`, or the full map if unknown."""
        if not self.oldest_base <= revision <= self.revision:
            items = dict(self.items)
            return Delta(-1, self.revision, items, [], self.digest)
        changed_names: set[str] = set()
        for changed_at, names in reversed(self.change_log):
            if changed_at <= revision:
                break
            changed_names.update(names)
        changed = {p: self.items[p] for p in changed_names if p in self.items}
        removed = sorted(changed_names - changed.keys())
        return Delta(revision, self.revision, changed, removed, self.digest)

    def apply(self, delta: Delta) -> bool:
        """Apply `delta` atomically, if it leads to a higher revision.

        Returns
        -------
        bool
            Whether the map changed; older and equal revisions are ignored.

        Raises
        ------
        errors.FrameError
            If the digest of the result differs from that of `delta`, or
            `delta` starts after :attr:`revision`. The map is unchanged.
        """
        if delta.revision <= self.revision:
            return False
        # A delta may overlap known revisions but must not leave a gap.
        if not delta.whole and delta.since > self.revision:
            raise errors.FrameError(
                "delta starts after the held revision",
                given=delta.since,
                expected=self.revision,
            )
        candidate = Parts()
        if not delta.whole:
            candidate.items = dict(self.items)
            candidate.digest_sum = self.digest_sum
        candidate.change(delta.revision, delta.changed, delta.removed)
        # Rejects a wrong delta, which would yield a configuration that no
        # operator accepted.
        if candidate.digest != delta.digest:
            raise errors.FrameError(
                "configuration digest mismatch",
                given=candidate.digest,
                expected=delta.digest,
            )
        self.items = candidate.items
        self.digest_sum = candidate.digest_sum
        self.revision = delta.revision
        self._log_change(delta)
        return True

    def dump(self) -> dict[str, t.Any]:
        """Return a plain representation for :meth:`load`."""
        return {
            "revision": self.revision,
            "items": self.items,
            "digest": self.digest,
            "journal": [
                [changed_at, names] for changed_at, names in self.change_log
            ],
            "known_from": self.oldest_base,
        }

    @classmethod
    def load(cls, values: dict[str, t.Any]) -> "Parts":
        """Return the map that was dumped as `values`.

        Raises
        ------
        errors.StorageError
            If the digest does not match.
        """
        loaded = cls()
        loaded.change(values["revision"], values["items"], [])
        loaded.change_log.clear()
        loaded.change_log.extend(
            (changed_at, names) for changed_at, names in values["journal"]
        )
        loaded.oldest_base = values["known_from"]
        if loaded.digest != values["digest"]:
            raise errors.StorageError(
                "digest mismatch of the stored configuration",
                given=loaded.digest,
                expected=values["digest"],
            )
        return loaded

    def _log_change(self, delta: Delta) -> None:
        if delta.whole:
            self.change_log.clear()
            self.oldest_base = delta.revision
            return
        if len(self.change_log) == MAX_CHANGE_LOG:
            self.oldest_base = self.change_log[0][0]
        self.change_log.append(
            (delta.revision, [*delta.changed, *delta.removed])
        )

    def _remove_part(self, part: str) -> None:
        if part in self.items:
            old = self.items.pop(part)
            self.digest_sum = (self.digest_sum - _digest(part, old)) % _MODULUS
