"""Role changes of a keeper: new term, leader, follower, step-down, fault."""

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.keepers import election
from amaranthring.keepers import membership
from amaranthring.keepers import store

log = logbook.Logger(__name__)


def set_term(group, term: int, vote: str = "") -> None:
    """Enter `term`, with a vote for disk `vote` if one is given.

    The change is only queued for the disk: flush the writer before replying
    to a message that relies on it.
    """
    if term < group.term or (term == group.term and vote in ("", group.vote)):
        return
    if term > group.term:
        election.end_ballot(group)
        step_down(group, "saw a higher term")
        group.leader_disk = ""
    group.term = term
    group.vote = vote
    group.store.save_hard_state(term=term, vote=vote)


def become_leader(group) -> None:
    """Become the leader of the current term."""
    now = group.clocks.monotonic()
    group.leading = True
    group.leader_disk = group.disk_id
    group.leader_since = now
    for peer in group.peers.values():
        peer.reset(group.log.last_index + 1, now)
        peer.disk = peer.disk or membership.disk_of(group.members, peer.name)
    logs.event(
        log,
        "keeper.leads",
        group=group.name,
        keeper=group.keeper.name,
        term=group.term,
    )
    group.metrics.count("keeper.elected")
    # Entries of earlier terms commit only together with one of this term,
    # and reads wait for it.
    entry = group.new_entry(
        store.MEMBERS_TAG,
        wire.encode_value(group.members),
        group.log.last_stamp,
    )
    group.term_start_index = entry.index


def follow(group, term: int, leader_disk: str) -> None:
    """Accept the sender of a valid message of `term` as the leader."""
    set_term(group, term)
    if group.leader_disk != leader_disk:
        group.leader_disk = leader_disk
        election.end_ballot(group)
        logs.event(
            log,
            "keeper.follows",
            group=group.name,
            keeper=group.keeper.name,
            leader=group.leader(),
            term=term,
        )
    group.heard_at = group.clocks.monotonic()
    election.reset_election_timer(group)


def record_leader(group, term: int, leader_disk: str) -> None:
    """Record the leader while this keeper's disk has failed.

    Such a keeper still forwards operators' commands and reads to the leader.
    """
    if term >= group.term:
        group.leader_disk = leader_disk
        group.heard_at = group.clocks.monotonic()


def step_down(group, reason: str) -> None:
    """Stop being the leader; proposals in flight stay pending."""
    if not group.leading:
        return
    group.leading = False
    group.leader_disk = ""
    logs.event(
        log,
        "keeper.steps-down",
        group=group.name,
        keeper=group.keeper.name,
        term=group.term,
        reason=reason.replace(" ", "-"),
        voters=election.ack_ages(group),
    )
    election.reset_election_timer(group)
    group.lease_changed.set()
    group.applied_changed.set()
    if group.leadership_announced:
        group.leadership_announced = False
        for callback in group.on_follower:
            callback()


def fail_disk(group, error: Exception) -> None:
    """Stop participating until the disk can be opened again."""
    if group.fault is None:
        group.recoverable = True
        fail(group, error)


def fail(group, error: Exception) -> None:
    """Stop participating in the group because of `error`."""
    if group.fault is not None:
        return
    if isinstance(error, OSError):
        error = disk.storage_error(group.store.folder, error)
    group.fault = error
    log.error("keeper.fault group={} fault={}", group.name, error)
    group.metrics.count("keeper.faults")
    election.end_ballot(group)
    step_down(group, "fault")
    for _, future in group.pending_proposals.values():
        if not future.done():
            future.set_exception(
                errors.CommitUnknownError(str(error), retry_after=1.0)
            )
