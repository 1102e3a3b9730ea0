"""The quarantine list: requests that all routers reject until they expire.

The list is part of the configuration, so every change of it is distributed
to the routers as a revision. When it is full, the entry that expires first
is dropped.
"""

MAX_ENTRIES = 1000
MAX_SECONDS = 7 * 86400.0
PREFIX = "quarantined/"


def entries(book) -> dict[str, float]:
    """Return the expiry time of each quarantined fingerprint."""
    items = book.parts.items
    parts = {p: v for p, v in items.items() if p.startswith(PREFIX)}
    return {part.removeprefix(PREFIX): until for part, until in parts.items()}


def add(book, stamp: float, command) -> None:
    """Add a fingerprint and drop expired ones.

    If the fingerprint is already listed, the later expiry applies. No
    revision is created if nothing changes.
    """
    seconds = min(command.seconds, MAX_SECONDS)
    current = entries(book)
    expiry = max(stamp + seconds, current.get(command.fingerprint, 0.0))
    if current.get(command.fingerprint) == expiry:
        return
    current.pop(command.fingerprint, None)
    live = sorted((u, f) for f, u in current.items() if u > stamp)
    retained = live[-(MAX_ENTRIES - 1) :]
    dropped = current.keys() - {fingerprint for _, fingerprint in retained}
    changed = {PREFIX + command.fingerprint: expiry}
    removed = sorted(PREFIX + fingerprint for fingerprint in dropped)
    book.add_revision(
        stamp, "fleet", "quarantine", command.fingerprint, changed, removed
    )
