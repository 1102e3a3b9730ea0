"""The fleet's configuration as a flat map of parts, and its deltas.

A :class:`fleet.FleetConfig` is cut into parts small enough that one change
touches one or few of them: a preset's own figures, each policy in it, each
account, each drain. Keepers and routers hold the same map, so any of them
can hand the parts that changed since a revision to any other, and the sum
of the parts' digests tells whether two maps are equal.
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
_POLICIES = {
    "classes": fleet.ClassPolicy,
    "accounts": fleet.AccountPolicy,
    "services": fleet.ServicePolicy,
    "desired_models": None,
    "desired_roles": None,
}
_FIELDS = {
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
        Revision that the receiver must hold; -1 for a whole map.
    revision : int
        Revision that the receiver then holds.
    changed : dict
        Part to its new value.
    removed : list of str
        Parts that are gone.
    digest : str
        Digest of the whole map at `revision`.
    """

    since: int
    revision: int
    changed: dict[str, t.Any]
    removed: list[str]
    digest: str

    @property
    def whole(self) -> bool:
        """Return whether this is a whole map."""
        return self.since < 0


def to_plain(value: t.Any) -> t.Any:
    """Return `value` as the plain data that msgpack carries."""
    return wire.decode_value(wire.encode_value(value))


def preset_parts(preset: fleet.Preset) -> dict[str, t.Any]:
    """Return the parts of `preset`."""
    return plain_preset_parts(to_plain(preset))


def plain_preset_parts(own: dict[str, t.Any]) -> dict[str, t.Any]:
    """Return the parts of a preset given as plain data."""
    own = dict(own)
    base = f"preset/{own['name']}"
    found = {}
    for group in _POLICIES:
        for name, value in own.pop(group).items():
            found[f"{base}/{group}/{name}"] = value
    return {base: own} | found


def account_parts(account: fleet.Account) -> dict[str, t.Any]:
    """Return the part of `account`."""
    return {f"account/{account.name}": to_plain(account)}


def belongs_to_preset(part: str, preset: str) -> bool:
    """Return whether `part` is a part of `preset`."""
    return part == f"preset/{preset}" or part.startswith(f"preset/{preset}/")


def _made(kind: type, values: dict[str, t.Any]) -> t.Any:
    # A newer peer may know more fields; they are left out, not refused.
    known = {field.name for field in dataclasses.fields(kind)}
    return kind(**{k: v for k, v in values.items() if k in known})


def build_config(revision: int, items: dict[str, t.Any]) -> fleet.FleetConfig:
    """Return the configuration that the parts in `items` describe."""
    empty = fleet.FleetConfig()
    return apply_changes(empty, revision, items, [])


def apply_changes(
    config: fleet.FleetConfig,
    revision: int,
    changed: dict[str, t.Any],
    removed: list[str],
) -> fleet.FleetConfig:
    """Return `config` with some parts changed; `config` itself stays.

    What did not change is shared between both, so the time that it takes
    follows the change and not the number of accounts and policies.
    """
    made = dataclasses.replace(
        config,
        revision=revision,
        presets=dict(config.presets),
        accounts=dict(config.accounts),
        drained=dict(config.drained),
        quarantined=dict(config.quarantined),
    )
    copied: set[str] = set()
    for part in removed:
        _remove(made, part, copied)
    # A preset's own figures sort before its policies.
    for part in sorted(changed):
        _set(made, part, changed[part], copied)
    return made


def _remove(config: fleet.FleetConfig, part: str, copied: set[str]) -> None:
    head, _, rest = part.partition("/")
    if head != "preset":
        getattr(config, _FIELDS[head]).pop(rest, None)
    elif "/" not in rest:
        config.presets.pop(rest, None)
    else:
        name, group, policy = rest.split("/", 2)
        if name in config.presets:
            preset = _own(config, name, copied)
            getattr(preset, group).pop(policy, None)


def _set(config, part: str, value: t.Any, copied: set[str]) -> None:
    head, _, rest = part.partition("/")
    if part == IN_FORCE:
        config.in_force = value
    elif head == "account":
        config.accounts[rest] = _made(fleet.Account, value)
    elif head in _FIELDS:
        getattr(config, _FIELDS[head])[rest] = value
    elif head == "preset" and "/" not in rest:
        made = _made(fleet.Preset, value)
        if rest in config.presets:
            old = _own(config, rest, copied)
            for group in _POLICIES:
                setattr(made, group, getattr(old, group))
        copied.add(rest)
        config.presets[rest] = made
    elif head == "preset":
        name, group, policy = rest.split("/", 2)
        kind = _POLICIES[group]
        made = value if kind is None else _made(kind, value)
        getattr(_own(config, name, copied), group)[policy] = made


def _own(config: fleet.FleetConfig, name: str, copied: set[str]):
    """Return preset `name`, first copied if `config` shares it."""
    preset = config.presets[name]
    if name not in copied:
        groups = {group: dict(getattr(preset, group)) for group in _POLICIES}
        preset = dataclasses.replace(preset, **groups)
        config.presets[name] = preset
        copied.add(name)
    return preset


def _digest(part: str, value: t.Any) -> int:
    return int(hashing.digest(part, wire.encode_value(value)), 16)


class Parts:
    """One map of parts at one revision.

    Attributes
    ----------
    revision : int
        Grows with every change; 0 is the empty map.
    items : dict
        Part to plain value.
    """

    def __init__(self):
        self.revision = 0
        self.items: dict[str, t.Any] = {}
        self.digest_sum = 0
        self.change_log: collections.deque[tuple[int, list[str]]]
        self.change_log = collections.deque(maxlen=MAX_CHANGE_LOG)
        # Deltas since a revision below this one need the whole map.
        self.oldest_base = 0

    @property
    def digest(self) -> str:
        """Return the digest of the whole map; equal maps have equal ones."""
        return f"{self.digest_sum:032x}"

    def config(self) -> fleet.FleetConfig:
        """Return the configuration described."""
        return build_config(self.revision, self.items)

    def change(
        self, revision: int, changed: dict[str, t.Any], removed: list[str]
    ) -> None:
        """Change parts and move to `revision`, which must be higher."""
        for part in removed:
            self._drop(part)
        for part, value in changed.items():
            self._drop(part)
            self.items[part] = value
            self.digest_sum = (
                self.digest_sum + _digest(part, value)
            ) % _MODULUS
        if len(self.change_log) == MAX_CHANGE_LOG:
            self.oldest_base = self.change_log[0][0]
        self.change_log.append((revision, [*changed, *removed]))
        self.revision = revision

    def delta_since(self, revision: int) -> Delta:
        """Return what a holder of `revision` lacks, whole where unknown."""
        if not self.oldest_base <= revision <= self.revision:
            items = dict(self.items)
            return Delta(-1, self.revision, items, [], self.digest)
        touched: set[str] = set()
        for at, names in reversed(self.change_log):
            if at <= revision:
                break
            touched.update(names)
        changed = {p: self.items[p] for p in touched if p in self.items}
        removed = sorted(touched - changed.keys())
        return Delta(revision, self.revision, changed, removed, self.digest)

    def apply(self, delta: Delta) -> bool:
        """Take `delta` in, whole and only upward.

        Returns
        -------
        bool
            Whether the map moved; an older or known revision is ignored.

        Raises
        ------
        errors.FrameError
            If the map would not have the digest that `delta` names, or
            `delta` starts elsewhere. The map is unchanged then.
        """
        if delta.revision <= self.revision:
            return False
        # Parts from before this revision may come again; a gap may not be.
        if not delta.whole and delta.since > self.revision:
            raise errors.FrameError(
                "delta starts at another revision",
                given=delta.since,
                expected=self.revision,
            )
        trial = Parts()
        if not delta.whole:
            trial.items = dict(self.items)
            trial.digest_sum = self.digest_sum
        trial.change(delta.revision, delta.changed, delta.removed)
        # A delta lost or made wrongly on its way would leave this router
        # with rules that nobody accepted; the digest of the whole shows it.
        if trial.digest != delta.digest:
            raise errors.FrameError(
                "digest of the configuration",
                given=trial.digest,
                expected=delta.digest,
            )
        self.items = trial.items
        self.digest_sum = trial.digest_sum
        self.revision = delta.revision
        self._note(delta)
        return True

    def dump(self) -> dict[str, t.Any]:
        """Return the plain form that :meth:`load` reads."""
        return {
            "revision": self.revision,
            "items": self.items,
            "digest": self.digest,
            "journal": [[at, names] for at, names in self.change_log],
            "known_from": self.oldest_base,
        }

    @classmethod
    def load(cls, values: dict[str, t.Any]) -> "Parts":
        """Return the map that :meth:`dump` wrote.

        Raises
        ------
        errors.StorageError
            If the digest does not fit.
        """
        made = cls()
        made.change(values["revision"], values["items"], [])
        made.change_log.clear()
        made.change_log.extend((at, names) for at, names in values["journal"])
        made.oldest_base = values["known_from"]
        if made.digest != values["digest"]:
            raise errors.StorageError(
                "digest of the stored configuration",
                given=made.digest,
                expected=values["digest"],
            )
        return made

    def _note(self, delta: Delta) -> None:
        if delta.whole:
            self.change_log.clear()
            self.oldest_base = delta.revision
            return
        if len(self.change_log) == MAX_CHANGE_LOG:
            self.oldest_base = self.change_log[0][0]
        self.change_log.append(
            (delta.revision, [*delta.changed, *delta.removed])
        )

    def _drop(self, part: str) -> None:
        if part in self.items:
            old = self.items.pop(part)
            self.digest_sum = (self.digest_sum - _digest(part, old)) % _MODULUS
