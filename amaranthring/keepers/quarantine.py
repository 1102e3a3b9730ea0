"""The quarantine list: requests refused everywhere until they expire.

The list is part of the configuration, so it reaches every router as a
revision. It is bounded: the entry that expires first makes room.
"""

QUARANTINE_MOST = 1000
SECONDS_MOST = 7 * 86400.0
PREFIX = "quarantined/"


def entries(book) -> dict[str, float]:
    """Return fingerprints and the stamps of their expiry."""
    items = book.parts.items
    found = {p: v for p, v in items.items() if p.startswith(PREFIX)}
    return {part.removeprefix(PREFIX): until for part, until in found.items()}


def add(book, stamp: float, command) -> None:
    """Add a fingerprint to `book` and drop those that expired.

    Two routers that report the same request make one entry; the later
    expiry holds. A report that changes nothing makes no revision.
    """
    seconds = min(command.seconds, SECONDS_MOST)
    known = entries(book)
    wanted = max(stamp + seconds, known.get(command.fingerprint, 0.0))
    if known.get(command.fingerprint) == wanted:
        return
    known.pop(command.fingerprint, None)
    live = sorted((u, f) for f, u in known.items() if u > stamp)
    kept = live[-(QUARANTINE_MOST - 1) :]
    gone = known.keys() - {fingerprint for _, fingerprint in kept}
    changed = {PREFIX + command.fingerprint: wanted}
    removed = sorted(PREFIX + fingerprint for fingerprint in gone)
    book.commit(
        stamp, "fleet", "quarantine", command.fingerprint, changed, removed
    )
