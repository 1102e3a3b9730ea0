"""Client of a group of keepers: finds the leader and retries safely.

A call is retried only if it was certainly not accepted, or if its command is
idempotent, which its class declares with ``repeatable = True``.
"""

import asyncio
import math
import random
import typing as t

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import wire
from amaranthring.keepers import messages

ATTEMPT_SECONDS = 1.0
# With less time left a command is not sent, as its outcome would be unknown.
MIN_SEND_SECONDS = 0.02
LINK_FRESH_SECONDS = 0.5
PING_SECONDS = 0.5
RETRY_PAUSE_SECONDS = 0.05
# Longer than an election takes. After this time without a leader, calls that
# do not wait for one fail at once.
LEADERLESS_SECONDS = 2.0

NOT_ACCEPTED = (errors.NotLeaderError, errors.NoQuorumError)
OUTCOME_UNKNOWN = (
    errors.CommitUnknownError,
    errors.LinkClosedError,
    errors.LinkTimeoutError,
)


class KeeperClient:
    """Client of one group of keepers.

    Parameters
    ----------
    group : str
        Name of the group.
    keepers : list of settings.PeerAddress
        Keepers named in the settings.
    identity, keys, handlers
        Passed to the links; `handlers` serves messages from keepers.
    on_link : callable, optional
        Called with each new link to a keeper.
    """

    def __init__(
        self, group, keepers, identity, keys, handlers=None, on_link=None
    ):
        self.group = group
        self.leader = ""
        self.leaderless_since: float | None = None
        self.last_heard: dict[str, float] = {}
        handlers = handlers or links.Handlers()

        def make_dialler(address: str) -> links.Dialler:
            return links.Dialler(address, identity, keys, handlers, on_link)

        self.make_dialler = make_dialler
        self.diallers = {
            keeper.name: make_dialler(keeper.address) for keeper in keepers
        }

    def start(self) -> None:
        """Connect to every keeper."""
        for dialler in self.diallers.values():
            dialler.start()

    def stop(self) -> None:
        """Close every link."""
        for dialler in self.diallers.values():
            dialler.stop()

    async def propose(
        self,
        command: t.Any,
        timeout: float = 5.0,
        wait_for_leader: bool = True,
    ) -> t.Any:
        """Commit `command` and return its result.

        Parameters
        ----------
        command : object
            A registered message.
        timeout : float
            Time limit including retries, in seconds.
        wait_for_leader : bool
            If false, fail at once while there has been no leader for
            :data:`LEADERLESS_SECONDS`; for callers that can retry later.

        Raises
        ------
        errors.NoQuorumError
            If the command was certainly not accepted.
        errors.CommitUnknownError
            If the command may have been committed.
        errors.AmaranthringError
            If this is the result of the command.
        """
        repeatable = getattr(command, "repeatable", False)
        tag = wire.tag_of(type(command))

        def build_message(seconds: float) -> messages.Propose:
            return messages.Propose(self.group, tag, command, seconds)

        return await self._call(
            build_message, timeout, repeatable, wait_for_leader
        )

    async def query(self, message: t.Any, timeout: float = 5.0) -> t.Any:
        """Send the read-only `message` to the leader.

        Raises
        ------
        errors.NoQuorumError
            If no leader answered in time.
        errors.AmaranthringError
            If the handler of the message raised it.
        """
        try:
            return await self._call(lambda _: message, timeout, True)
        except errors.CommitUnknownError as error:
            raise errors.NoQuorumError(
                "no leading keeper answers", retry_after=1.0
            ) from error

    async def change_members(self, message: messages.Change) -> t.Any:
        """Add or remove a keeper; see ``membership.change``."""
        return await self._call(lambda _: message, message.timeout, False)

    async def status(self, name: str, timeout: float = 1.0):
        """Return the :class:`messages.Status` of keeper `name`."""
        query = messages.StatusQuery(self.group)
        return await self.diallers[name].call(query, timeout)

    async def _call(
        self,
        build_message,
        timeout: float,
        repeatable: bool,
        wait_for_leader: bool = True,
    ) -> t.Any:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        unknown: errors.AmaranthringError | None = None
        tried: set[str] = set()
        leaderless: set[str] = set()
        while (remaining := deadline - loop.time()) > 0:
            if not wait_for_leader and self._should_give_up(
                leaderless, loop.time()
            ):
                break
            name = self._choose_keeper(tried)
            try:
                await self._check_link(name, min(remaining, PING_SECONDS))
                remaining = deadline - loop.time()
                if remaining < MIN_SEND_SECONDS:
                    break
                seconds = (
                    min(remaining, ATTEMPT_SECONDS)
                    if repeatable
                    else remaining
                )
                reply = await self.diallers[name].call(
                    build_message(seconds), seconds
                )
            except NOT_ACCEPTED as error:
                await self._update_leader(name, error)
                if not error.expected:
                    leaderless.add(name)
            except OUTCOME_UNKNOWN as error:
                if error.outcome != errors.Outcome.NOT_RUN:
                    unknown = error
                    if not repeatable:
                        break
                self._forget_keeper(name)
            except errors.LinkOverloadedError:
                self._forget_keeper(name)
            else:
                self.leader = name
                self.leaderless_since = None
                self.last_heard[name] = loop.time()
                return reply
            tried.add(name)
            if not self.leader:
                self.leaderless_since = self.leaderless_since or loop.time()
                await asyncio.sleep(
                    RETRY_PAUSE_SECONDS * random.uniform(0.5, 1.5)
                )
        if unknown is not None:
            raise errors.CommitUnknownError(
                f"no answer in {timeout} s", retry_after=1.0
            ) from unknown
        raise errors.NoQuorumError(
            "no leading keeper answers", retry_after=1.0
        )

    def _linked(self) -> list[str]:
        return [n for n, dialler in self.diallers.items() if dialler.link]

    def _should_give_up(self, leaderless: set[str], now: float) -> bool:
        """Return whether all reachable keepers have known no leader for long.

        Parameters
        ----------
        leaderless : set of str
            Keepers that reported during this call that they know no leader.
        """
        since = self.leaderless_since
        if since is None or now - since < LEADERLESS_SECONDS:
            return False
        return leaderless >= set(self._linked())

    async def _check_link(self, name: str, seconds: float) -> None:
        """Ping keeper `name` unless its link has answered recently.

        During a network partition, or if the keeper is frozen, a command
        would stay in the connection and be committed after the fault, long
        after its caller was answered. Sending it only on a link that has
        just answered avoids nearly all of these cases.

        Raises
        ------
        errors.LinkClosedError
            If there is no answer; the outcome is ``not-run``.
        """
        loop = asyncio.get_running_loop()
        if (
            loop.time() - self.last_heard.get(name, -math.inf)
            < LINK_FRESH_SECONDS
        ):
            return
        dialler = self.diallers[name]
        link = dialler.link
        try:
            await dialler.call(messages.Ping(self.group), seconds)
        except errors.LinkError as error:
            if link is not None:
                link.close()
            raise errors.LinkClosedError(
                f"keeper {name} does not answer",
                outcome=errors.Outcome.NOT_RUN,
            ) from error
        self.last_heard[name] = loop.time()

    def _choose_keeper(self, tried: set[str]) -> str:
        candidates = self._linked() or list(self.diallers)
        if self.leader in candidates:
            return self.leader
        self.leader = ""
        return random.choice(
            [n for n in candidates if n not in tried] or candidates
        )

    async def _update_leader(self, name: str, error) -> None:
        hint = error.expected if error.expected != name else ""
        if hint and hint not in self.diallers:
            await self._discover_members(name)
        self.leader = hint if hint in self.diallers else ""

    async def _discover_members(self, name: str) -> None:
        # The leader may be a keeper that was added after this process
        # started and is therefore missing in its settings.
        try:
            status = await self.status(name)
        except errors.AmaranthringError:
            return
        for member in status.members:
            if member.name not in self.diallers:
                dialler = self.make_dialler(member.address)
                self.diallers[member.name] = dialler
                dialler.start()

    def _forget_keeper(self, name: str) -> None:
        self.last_heard.pop(name, None)
        if self.leader == name:
            self.leader = ""
