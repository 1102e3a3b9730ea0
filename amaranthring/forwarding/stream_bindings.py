"""What streams are bound to, as one router knows and finds out."""

import asyncio
import collections
import typing as t

import logbook

from amaranthring import errors
from amaranthring import routing
from amaranthring.core import clocks
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.forwarding import records
from amaranthring.policy import bindings
from amaranthring.policy import route_history
from amaranthring.registry import sharing
from amaranthring.registry import stream_messages
from amaranthring.registry import subscriber
from amaranthring.registry import targets as tables

__all__ = ["StreamBindings"]

log = logbook.Logger(__name__)

# Streams of this router in one generation of bindings.
MAX_STREAMS = 20_000
# Reported at once; the rest follows with the next reports.
MAX_REPORTED = 4_096
# Streams that begin within this time are reported together while several
# versions serve. Streams of which no keeper knows cannot go on elsewhere, and
# short ones last some tenths of a second.
PROMPT_SECONDS = 0.03
# A stream in use is recorded again after this time, before it is forgotten.
RENEW_SECONDS = 20.0
# What was reported to the previous home keeper within this time before the
# last report may not have reached the other keepers: it may have been silent
# for as long as that goes unnoticed, and passes on within a second.
REPEATED_SECONDS = subscriber.CUT_OFF_SECONDS + 1.0
# A keeper answers within a round trip.
ANSWER_SECONDS = 0.3
# After a start, for this long keepers are asked again until one knows enough;
# while one says that it soon will, for longer, but callers give a stream up
# after 2 s without an event.
ASK_SECONDS = 0.5
MAX_ASK_SECONDS = 1.6
ASK_PAUSE_SECONDS = 0.1
# ``Retry-After`` in seconds: a report reaches all keepers within this time.
RETRY_UNKNOWN = 0.5


class StreamBindings:
    """Bindings of the streams that this router passes on, and of others.

    Parameters
    ----------
    table : targets.TargetTable
        Targets as known to the keepers.
    open_links : callable
        Returns the open links to keepers.
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    known : bindings.BindingTable
        Bindings of the streams that this router has passed on.
    routes : route_history.RouteHistory
        Routes that led to other services of late, as this router knows.
    """

    def __init__(
        self,
        table: tables.TargetTable,
        open_links: t.Callable[[], t.Iterable[links.Link]] = list,
        clock: t.Callable[[], float] = clocks.boottime,
    ):
        self.table = table
        self.open_links = open_links
        self.clock = clock
        self.known = bindings.BindingTable(clock, MAX_STREAMS)
        self.unreported: collections.deque[tuple[bytes, bindings.Binding]] = (
            collections.deque(maxlen=MAX_STREAMS)
        )
        self.reported: collections.deque[
            tuple[float, bytes, bindings.Binding]
        ] = collections.deque(maxlen=MAX_REPORTED)
        self.is_urgent = asyncio.Event()
        self.routes = route_history.RouteHistory(clock)

    # -- streams that are passed on ----------------------------------

    def passed_on(
        self, context: records.RequestContext, binding: bindings.Binding
    ) -> None:
        """Bind a stream with its first events; called before all events.

        Raises
        ------
        errors.UpstreamError
            If the stream is bound to something else.
        """
        if context.binding is None:
            context.binding = binding
        elif context.binding != binding:
            raise errors.UpstreamError(
                "the target may not go on with the stream",
                given=str(binding),
                expected=str(context.binding),
            )
        now = self.clock()
        if now - context.bound_at < RENEW_SECONDS:
            return
        context.bound_at = now
        if context.handover is not None:
            context.handover.binding = context.binding
        if context.binding.release:
            key = _key(context)
            self.known.record(key, context.binding)
            self.unreported.append((key, context.binding))
            if self._serves_versions(context.binding.service):
                self.is_urgent.set()

    def _serves_versions(self, service: str) -> bool:
        """Return whether targets of several versions serve."""
        releases = {
            record.release
            for record in self.table.active()
            if record.service == service
        }
        return len(releases) > 1

    async def report_promptly(
        self, home_link: t.Callable[[], links.Link | None]
    ) -> None:
        """Report streams that cannot wait for the next report.

        Parameters
        ----------
        home_link : callable
            Returns the link to the keeper that this router reports to.
        """
        while True:
            await self.is_urgent.wait()
            await asyncio.sleep(PROMPT_SECONDS)
            self.is_urgent.clear()
            link = home_link()
            if link is not None and (self.unreported or self.routes.untold):
                message = stream_messages.StreamsBound(
                    self.take_report(), self.routes.take_untold()
                )
                sharing.send_if_open(link, message)

    def take_report(self) -> list[stream_messages.BoundStreams]:
        """Return the streams to report to the home keeper."""
        now = self.clock()
        by_binding = collections.defaultdict(list)
        for _ in range(min(MAX_REPORTED, len(self.unreported))):
            key, binding = self.unreported.popleft()
            by_binding[binding].append(key)
            self.reported.append((now, key, binding))
        return stream_messages.pack(by_binding)

    def report_again(self) -> None:
        """Report again what the home keeper before may not have passed on."""
        newest = self.reported[-1][0] if self.reported else 0.0
        oldest = newest - REPEATED_SECONDS
        self.unreported.extend(
            (key, binding)
            for at, key, binding in self.reported
            if at >= oldest
        )
        self.reported.clear()
        self.routes.tell_again()

    def record_plan(self, plan: routing.Plan) -> None:
        """Note which routes lead to other services than before."""
        self.routes.record(route_history.PlanRoutes.of(plan.routes))
        if self.routes.untold:
            self.is_urgent.set()

    # -- streams that are taken up again -----------------------------

    async def bind(self, context: records.RequestContext) -> None:
        """Bind a request that takes a stream up again as its first attempt.

        Raises
        ------
        errors.StreamUnknownError
            If nobody knows which version began the stream.
        """
        if context.binding is not None or not context.incoming.is_resumed:
            return
        key = _key(context)
        found = self.known.find(key)
        if found is not None:
            self._bind(context, found.binding, "here", found.age)
            return
        asked_at = self.clock()
        give_up_at = asked_at + ASK_SECONDS
        answers: dict[str, stream_messages.StreamFound] = {}
        while True:
            # An answer counts whenever it came: the stream's first event was
            # sent before the first question.
            answers |= await self._ask_keepers(context, key)
            if self._bind_by_answers(context, answers):
                return
            if not self._is_worth_asking_again(answers):
                break
            give_up_at = max(give_up_at, self._settled_at(answers))
            if self.clock() >= min(give_up_at, asked_at + MAX_ASK_SECONDS):
                break
            await asyncio.sleep(ASK_PAUSE_SECONDS)
        raise self._unknown(context, answers)

    def _bind_by_answers(
        self,
        context: records.RequestContext,
        answers: dict[str, stream_messages.StreamFound],
    ) -> bool:
        """Bind a request if the keepers' answers allow it."""
        for keeper, answer in answers.items():
            if answer.known:
                binding = bindings.Binding(answer.service, answer.release)
                self._bind(context, binding, keeper, answer.age)
                return True
        release = self._only_release(context, answers)
        if release:
            binding = bindings.Binding(context.service, release)
            logs.event(
                log,
                "stream.one-release",
                id=context.incoming.request_id,
                release=release,
                answers=_summary(answers),
            )
            self._bind(context, binding, "only-release", 0.0)
        return bool(release)

    def _bind(
        self,
        context: records.RequestContext,
        binding: bindings.Binding,
        source: str,
        age: float,
    ) -> None:
        if binding == bindings.AMBIGUOUS:
            raise self._unknown(context, {}, "ambiguous")
        context.binding = binding
        logs.event(
            log,
            "stream.bound",
            id=context.incoming.request_id,
            resumes=context.incoming.resumes,
            service=binding.service,
            release=binding.release,
            source=source,
            age=round(age, 3),
        )

    async def _ask_keepers(
        self, context: records.RequestContext, key: bytes
    ) -> dict[str, stream_messages.StreamFound]:
        """Return the answers of the keepers by name.

        One that knows the stream's binding is enough.
        """
        question = stream_messages.FindStream(
            key, context.service, _route_key(context.route)
        )
        tasks = [
            asyncio.ensure_future(_ask(link, question))
            for link in self.open_links()
        ]
        answers = {}
        try:
            for task in asyncio.as_completed(tasks):
                keeper, answer = await task
                if answer is not None:
                    answers[keeper] = answer
                if answer is not None and answer.known:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return answers

    def _only_release(
        self,
        context: records.RequestContext,
        answers: dict[str, stream_messages.StreamFound],
    ) -> str:
        """Return the version that alone can have begun the stream, or ""."""
        if len(context.route.shares) != 1:
            return ""
        if self._has_moved(context.route, answers):
            return ""
        if not _are_complete(answers):
            return ""
        releases = self._releases(context.service).union(
            *(answer.releases for answer in answers.values())
        )
        return releases.pop() if len(releases) == 1 else ""

    def _releases(self, service: str) -> set[str]:
        """Return the versions that this router knows of."""
        oldest = self.table.clock() - bindings.HISTORY_SECONDS
        return {
            entry.record.release
            for entry in self.table.entries.values()
            if entry.record.service == service
            and (not entry.gone_at or entry.gone_at >= oldest)
        }

    def _has_moved(
        self,
        route: routing.Route,
        answers: dict[str, stream_messages.StreamFound],
    ) -> bool:
        """Return whether the route led to other services of late."""
        if any(answer.moved for answer in answers.values()):
            return True
        return self.routes.has_moved(_route_key(route))

    def _is_worth_asking_again(
        self, answers: dict[str, stream_messages.StreamFound]
    ) -> bool:
        """Return whether keepers may soon know more, as after their start."""
        if _are_complete(answers):
            return False
        return not any(len(a.releases) > 1 for a in answers.values())

    def _settled_at(
        self, answers: dict[str, stream_messages.StreamFound]
    ) -> float:
        """Return when keepers that have just started know all targets."""
        settles_in = max(
            (answer.settles_in for answer in answers.values()), default=0.0
        )
        if not settles_in:
            return float("-inf")
        return self.clock() + settles_in + ASK_PAUSE_SECONDS

    def _unknown(
        self,
        context: records.RequestContext,
        answers: dict[str, stream_messages.StreamFound],
        reason: str = "unknown",
    ) -> errors.StreamUnknownError:
        logs.event(
            log,
            "stream.unknown",
            id=context.incoming.request_id,
            resumes=context.incoming.resumes,
            service=context.service,
            reason=reason,
            services=len(context.route.shares),
            moved=self._has_moved(context.route, answers),
            answers=_summary(answers),
            unheard=sorted(_unheard(answers)),
            releases=sorted(self._releases(context.service)),
        )
        return errors.StreamUnknownError(
            "it is not known which version of the service began the stream",
            given=context.incoming.resumes,
            expected="the id of the attempt that brought its first event",
            retry_after=RETRY_UNKNOWN,
        )


async def _ask(
    link: links.Link, question: stream_messages.FindStream
) -> tuple[str, stream_messages.StreamFound | None]:
    """Return a keeper's name and its answer, if it gives one."""
    try:
        return link.peer.name, await link.call(question, ANSWER_SECONDS)
    except errors.AmaranthringError as error:
        logs.event(
            log,
            "stream.unanswered",
            keeper=link.peer.name,
            reason=error.code,
        )
        return link.peer.name, None


def _are_complete(
    answers: dict[str, stream_messages.StreamFound],
) -> bool:
    """Return whether no release can have served that no answer names.

    A keeper notices a cut late, so its word for the other keepers covers only
    what was before; they answer for themselves what they have heard since.
    """
    return not _unheard(answers) and any(
        answer.complete and answer.keepers for answer in answers.values()
    )


def _unheard(answers: dict[str, stream_messages.StreamFound]) -> set[str]:
    """Return the keepers that others name and that gave no answer."""
    named = {name for answer in answers.values() for name in answer.keepers}
    return named - answers.keys()


def _summary(
    answers: dict[str, stream_messages.StreamFound],
) -> dict[str, list[t.Any]]:
    """Return what keepers know of releases, for the log."""
    return {
        keeper: [answer.complete, answer.releases]
        for keeper, answer in answers.items()
    }


def _key(context: records.RequestContext) -> bytes:
    incoming = context.incoming
    first = incoming.resumes or incoming.request_id
    return bindings.stream_key(context.account, first)


def _route_key(route: routing.Route) -> str:
    return route_history.route_key(route.host, route.prefix)
