"""A router's client of a group of keepers: finds the leader, repeats safely.

A call is repeated only where nothing was accepted, or where the command
carries an id that makes the repeat harmless: such a command class has the
class variable ``repeatable = True``.
"""

import asyncio
import math
import random
import typing as t

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import wire
from amaranthring.keepers import messages

TRY_SECONDS = 1.0
# With less left a command is not sent: it would only end as unknown.
SEND_SECONDS = 0.02
FRESH_SECONDS = 0.5
PING_SECONDS = 0.5
PAUSE_SECONDS = 0.05
# An election takes less; a call waits that long for a new leader once, and
# later calls find out at once that there is none.
LEADERLESS_SECONDS = 2.0

NOT_ACCEPTED = (errors.NotLeaderError, errors.NoQuorumError)
FATE_UNKNOWN = (
    errors.CommitUnknownError,
    errors.LinkClosedError,
    errors.LinkTimeoutError,
)


class KeeperClient:
    """Calls to one group of keepers.

    Parameters
    ----------
    group : str
        Name of the group.
    keepers : list of settings.PeerAddress
        Every keeper of the settings.
    identity, keys, handlers
        For the streams; `handlers` answers what keepers send.
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
        """Dial every keeper."""
        for dialler in self.diallers.values():
            dialler.start()

    def stop(self) -> None:
        """Close every link."""
        for dialler in self.diallers.values():
            dialler.stop()

    async def propose(
        self, command: t.Any, timeout: float = 5.0, patient: bool = True
    ) -> t.Any:
        """Commit `command` and return its result.

        Parameters
        ----------
        command : object
            A registered message.
        timeout : float
            Seconds to go on for.
        patient : bool
            False gives up at once while there has been no leader for
            :data:`LEADERLESS_SECONDS`, for a caller who is told when to
            come back.

        Raises
        ------
        errors.NoQuorumError
            Nothing was accepted.
        errors.CommitUnknownError
            The command may be committed; only for one that may not be
            repeated, or if no keeper answered until the end.
        errors.AmaranthringError
            The result of the command.
        """
        repeatable = getattr(command, "repeatable", False)
        tag = wire.tag_of(type(command))

        def make(seconds: float) -> messages.Propose:
            return messages.Propose(self.group, tag, command, seconds)

        return await self._call(make, timeout, repeatable, patient)

    async def query(self, message: t.Any, timeout: float = 5.0) -> t.Any:
        """Send `message`, which changes nothing, to the leader.

        Raises
        ------
        errors.NoQuorumError
            No leader answered in time.
        errors.AmaranthringError
            What the handler of the message raised.
        """
        try:
            return await self._call(lambda _: message, timeout, True)
        except errors.CommitUnknownError as error:
            raise errors.NoQuorumError(
                "no leader of the keepers answers", retry_after=1.0
            ) from error

    async def change_members(self, message: messages.Change) -> t.Any:
        """Add or remove a keeper; see ``membership.change``."""
        return await self._call(lambda _: message, message.timeout, False)

    async def status(self, name: str, timeout: float = 1.0):
        """Return the :class:`messages.Status` of keeper `name`."""
        query = messages.StatusQuery(self.group)
        return await self.diallers[name].call(query, timeout)

    async def _call(
        self, make, timeout: float, repeatable: bool, patient: bool = True
    ) -> t.Any:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        unknown: errors.AmaranthringError | None = None
        tried: set[str] = set()
        leaderless: set[str] = set()
        while (left := deadline - loop.time()) > 0:
            if not patient and self._hopeless(leaderless, loop.time()):
                break
            name = self._choose(tried)
            try:
                await self._check(name, min(left, PING_SECONDS))
                left = deadline - loop.time()
                if left < SEND_SECONDS:
                    break
                seconds = min(left, TRY_SECONDS) if repeatable else left
                reply = await self.diallers[name].call(make(seconds), seconds)
            except NOT_ACCEPTED as error:
                await self._learn(name, error)
                if not error.expected:
                    leaderless.add(name)
            except FATE_UNKNOWN as error:
                if error.outcome != errors.Outcome.NOT_RUN:
                    unknown = error
                    if not repeatable:
                        break
                self._forget(name)
            except errors.LinkOverloadedError:
                self._forget(name)
            else:
                self.leader = name
                self.leaderless_since = None
                self.last_heard[name] = loop.time()
                return reply
            tried.add(name)
            if not self.leader:
                self.leaderless_since = self.leaderless_since or loop.time()
                await asyncio.sleep(PAUSE_SECONDS * random.uniform(0.5, 1.5))
        if unknown is not None:
            raise errors.CommitUnknownError(
                f"no answer in {timeout} s", retry_after=1.0
            ) from unknown
        raise errors.NoQuorumError(
            "no leader of the keepers answers", retry_after=1.0
        )

    def _linked(self) -> list[str]:
        return [n for n, dialler in self.diallers.items() if dialler.link]

    def _hopeless(self, leaderless: set[str], now: float) -> bool:
        """Return whether going on would only keep the caller waiting.

        Parameters
        ----------
        leaderless : set of str
            Keepers that said in this call that they know of no leader. One
            that was only slow, or names a leader, is asked again.
        """
        since = self.leaderless_since
        if since is None or now - since < LEADERLESS_SECONDS:
            return False
        return leaderless >= set(self._linked())

    async def _check(self, name: str, seconds: float) -> None:
        """Make sure that the link to keeper `name` answers.

        Behind a cut or before a frozen keeper, a command would lie in the
        connection for as long as the fault lasts and be committed after it,
        long after its caller was answered. Sent only on a link that has
        just answered, its fate is known in nearly every case.

        Raises
        ------
        errors.LinkClosedError
            With outcome ``not-run``.
        """
        loop = asyncio.get_running_loop()
        if loop.time() - self.last_heard.get(name, -math.inf) < FRESH_SECONDS:
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

    def _choose(self, tried: set[str]) -> str:
        reached = self._linked() or list(self.diallers)
        if self.leader in reached:
            return self.leader
        self.leader = ""
        return random.choice([n for n in reached if n not in tried] or reached)

    async def _learn(self, name: str, error) -> None:
        hinted = error.expected if error.expected != name else ""
        if hinted and hinted not in self.diallers:
            await self._find_members(name)
        self.leader = hinted if hinted in self.diallers else ""

    async def _find_members(self, name: str) -> None:
        # A keeper that operators added after this process started is not
        # in its settings, and may be the leader.
        try:
            status = await self.status(name)
        except errors.AmaranthringError:
            return
        for member in status.members:
            if member.name not in self.diallers:
                dialler = self.make_dialler(member.address)
                self.diallers[member.name] = dialler
                dialler.start()

    def _forget(self, name: str) -> None:
        self.last_heard.pop(name, None)
        if self.leader == name:
            self.leader = ""
