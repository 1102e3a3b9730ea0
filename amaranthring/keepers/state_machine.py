"""Replicated state machine of the fleet state.

Applying commands is deterministic: the result depends only on the state, the
command and the timestamp of its log entry, so that all keepers and every
replay of the log agree.
"""

import collections
import typing as t

from amaranthring import errors
from amaranthring.core import config_parts
from amaranthring.core import hashing
from amaranthring.core import wire
from amaranthring.keepers import commands
from amaranthring.keepers import ledger
from amaranthring.keepers import orders
from amaranthring.keepers import presets
from amaranthring.keepers import quarantine

SNAPSHOT_VERSION = 1
MAX_ANSWERS = 5000
ANSWER_RETENTION_SECONDS = 24 * 3600.0


class StateMachine:
    """State of one group of keepers.

    Parameters
    ----------
    claim_retention_seconds : float
        Retention of claims.
    max_answer_bytes : int
        Maximum size of a stored answer.

    Attributes
    ----------
    book : presets.Book
        Configuration and its history.
    ledger : ledger.Ledger
        Claims of idempotency keys.
    orders : orders.Orders
        Orders to targets and the fencing number.
    answers : dict
        First answers to operator commands by command id, oldest first.
    stamp : float
        Highest log timestamp applied, in seconds.
    index : int
        Index of the last log entry applied.
    on_revision : list of callable
        Called without arguments after the revision changed.
    """

    def __init__(
        self,
        claim_retention_seconds: float = ledger.RETENTION_SECONDS,
        max_answer_bytes: int = ledger.MAX_ANSWER_BYTES,
    ):
        self.claim_retention_seconds = claim_retention_seconds
        self.max_answer_bytes = max_answer_bytes
        self.book = presets.Book()
        self.ledger = ledger.Ledger(claim_retention_seconds, max_answer_bytes)
        self.orders = orders.Orders()
        self.answers: collections.OrderedDict[str, list[t.Any]]
        self.answers = collections.OrderedDict()
        self.stamp = 0.0
        self.index = 0
        self.on_revision: list[t.Callable[[], None]] = []

    def apply(self, index: int, stamp: float, command: t.Any) -> t.Any:
        """Apply the command of log entry `index`; return its result.

        Parameters
        ----------
        index : int
            Index of the log entry.
        stamp : float
            Timestamp of the log entry, in seconds.
        command : object
            A message of :mod:`amaranthring.keepers.commands`.

        Raises
        ------
        errors.AmaranthringError
            If the command is rejected; the state is unchanged.
        """
        # Time must not go backwards when a leader's clock is set back, or
        # expired entries would become valid again.
        self.stamp = max(self.stamp, stamp)
        self.index = index
        revision = self.book.parts.revision
        try:
            return self._dispatch(command)
        finally:
            if self.book.parts.revision != revision:
                self.orders.set_desired(self._desired_digest())
                self._notify()

    def _dispatch(self, command: t.Any) -> t.Any:
        if isinstance(command, commands.Claim):
            claim = self.ledger.claim(self.stamp, command)
            return commands.ClaimResult(claim)
        if isinstance(command, commands.Settle):
            claim = self.ledger.settle(self.stamp, command)
            return commands.ClaimResult(claim)
        if isinstance(command, commands.OperatorCommand):
            return self._apply_once(command)
        if isinstance(command, commands.AddQuarantine):
            quarantine.add(self.book, self.stamp, command)
            return self.book.accepted()
        if isinstance(command, commands.BeginOrder):
            return self.orders.begin(self.stamp, command)
        if isinstance(command, commands.EndOrder):
            return self.orders.end(self.stamp, command)
        if isinstance(command, commands.Bootstrap):
            return self.book.bootstrap(self.stamp, command)
        raise errors.BadRequestError(
            "not a log command",
            given=type(command).__name__,
            expected="a command",
        )

    def _desired_digest(self) -> str:
        """Return a digest of the desired models and roles."""
        prefix = f"preset/{self.book.in_force}/desired_"
        items = self.book.parts.items.items()
        desired = sorted(i for i in items if i[0].startswith(prefix))
        return hashing.digest(wire.encode_value(desired))

    def _apply_once(self, command: commands.OperatorCommand) -> t.Any:
        """Apply an operator command, or repeat its first answer."""
        content = hashing.digest(
            wire.tag_of(type(command)), wire.encode_value(command)
        )
        stored = self.answers.get(command.command_id)
        if stored is not None:
            return self._repeat_answer(stored, content)
        try:
            result = self.book.apply_command(self.stamp, command)
        except errors.AmaranthringError as error:
            self._store_answer(command, content, "", error.to_record())
            raise
        self._store_answer(command, content, *wire.encode_message(result))
        return result

    def _repeat_answer(self, stored: list[t.Any], content: str) -> t.Any:
        _, stored_content, tag, body = stored
        if stored_content != content:
            raise errors.CommandReusedError(
                "the command id was used for another command",
                given="different content",
                expected="the original content or a new command id",
            )
        if tag == "":
            raise errors.from_record(body)
        return wire.decode_message(tag, body)

    def _store_answer(self, command, content, tag, body) -> None:
        self.answers[command.command_id] = [self.stamp, content, tag, body]
        while len(self.answers) > MAX_ANSWERS or self._oldest_expired():
            self.answers.popitem(last=False)

    def _oldest_expired(self) -> bool:
        stamp = next(iter(self.answers.values()))[0]
        return stamp < self.stamp - ANSWER_RETENTION_SECONDS

    def _notify(self) -> None:
        for callback in self.on_revision:
            callback()

    def snapshot(self) -> bytes:
        """Return the state as bytes for :meth:`restore`."""
        return wire.encode_value(
            {
                "version": SNAPSHOT_VERSION,
                "stamp": self.stamp,
                "index": self.index,
                "book": self.book.dump(),
                "ledger": self.ledger.dump(),
                "orders": self.orders.dump(),
                "answers": list(self.answers.items()),
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that from :meth:`snapshot`.

        Raises
        ------
        errors.StorageError
            If `data` is not a snapshot of a supported version; the state is
            unchanged.
        """
        try:
            values = wire.decode_value(data)
            version = values["version"]
        except (errors.FrameError, KeyError, TypeError) as error:
            raise errors.StorageError("not a snapshot") from error
        if version != SNAPSHOT_VERSION:
            raise errors.StorageError(
                "unsupported snapshot version",
                given=version,
                expected=SNAPSHOT_VERSION,
            )
        self.book = presets.Book.load(values["book"])
        self.ledger.load(values["ledger"])
        self.orders.load(values["orders"])
        self.answers = collections.OrderedDict(values["answers"])
        self.stamp = values["stamp"]
        self.index = values["index"]
        self._notify()

    def config_since(self, revision: int) -> config_parts.Delta:
        """Return the configuration changes after `revision`."""
        return self.book.parts.delta_since(revision)
