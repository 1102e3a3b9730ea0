"""Tables for people, made from the answers of the operators' HTTP."""

import collections
import datetime
import typing as t

from amaranthring.cli import output

Answer = dict[str, t.Any]


def status(answer: Answer) -> str:
    """Return the fleet at a glance, with what needs attention first."""
    routers = answer["routers"]
    late = answer["not_confirmed"]
    lines = [
        f"revision {answer['revision']}, preset {answer['in_force']} in force",
        f"answered by {answer['answered_by']} from the {answer['source']}",
    ]
    if late:
        lines.append(f"NOT CONFIRMED by {len(late)}: {', '.join(late)}")
    else:
        lines.append(f"confirmed by all {len(routers)} routers")
    rows = [{"router": name, **row} for name, row in sorted(routers.items())]
    columns = ("router", "data_centre", "revision", "age_seconds")
    return "\n".join([*lines, output.format_table(rows, columns)])


def keepers(answer: Answer) -> str:
    """Return leader, safe losses, and a line a keeper."""
    found = answer["keepers"]
    leaders = [
        state for state in found.values() if state.get("role") == "leader"
    ]
    lines = ["NO LEADER: changes and keyed bookings are refused"]
    members: dict[str, Answer] = {}
    if leaders:
        leader = max(leaders, key=lambda state: state["term"])
        members = {member["name"]: member for member in leader["members"]}
        losses = leader["safe_losses"]
        lines = [
            f"leader {leader['keeper']}, term {leader['term']}, "
            f"{losses} more losses are safe"
        ]
    rows = [_keeper(name, found.get(name, {}), members) for name in found]
    columns = (
        "keeper",
        "role",
        "data_centre",
        "votes",
        "lag",
        "silent_seconds",
        "fault",
    )
    return "\n".join([*lines, output.format_table(rows, columns)])


def _keeper(name: str, state: Answer, members: dict[str, Answer]) -> Answer:
    member = members.get(name, {})
    return {
        "keeper": name,
        "role": state.get("role", "unreachable"),
        "data_centre": member.get("data_centre"),
        "votes": member.get("voter"),
        "lag": member.get("lag"),
        "silent_seconds": member.get("silent_seconds"),
        "fault": state.get("fault") or state.get("unreachable"),
    }


def presets(answer: Answer) -> str:
    """Return the presets, the one in force marked."""
    rows = []
    for name, preset in sorted(answer["presets"].items()):
        mark = "in force" if name == answer["in_force"] else ""
        rows.append({**preset, "preset": name, "state": mark})
    columns = ("preset", "state", "load_bound", "retry_budget")
    heading = f"revision {answer['revision']}"
    return heading + "\n" + output.format_table(rows, columns)


def history(answer: Answer) -> str:
    """Return accepted changes, newest last."""
    rows = [{**row, "at": format_time(row["at"])} for row in answer["history"]]
    return output.format_table(rows, ("revision", "at", "operator", "change"))


def targets(answer: Answer) -> str:
    """Return targets with state and load, and a count by state."""
    rows = answer["targets"]
    for row in rows:
        if row.get("drained") is not None:
            row["state"] = "drained"
    counts = collections.Counter(row["state"] for row in rows)
    heading = ", ".join(f"{n} {state}" for state, n in sorted(counts.items()))
    columns = (
        "name",
        "kind",
        "state",
        "data_centre",
        "serves",
        "running",
        "waiting",
        "address",
    )
    return (heading or "none") + "\n" + output.format_table(rows, columns)


def quarantine(answer: Answer) -> str:
    """Return quarantined requests with their expiry."""
    rows = [
        {"fingerprint": name, "expires": format_time(expiry)}
        for name, expiry in sorted(answer["quarantine"].items())
    ]
    return output.format_table(rows, ("fingerprint", "expires"))


def explanation(answer: Answer) -> str:
    """Return the decisions about one request in order."""
    rows = []
    for decision in answer["decisions"]:
        fields = decision["fields"].items()
        said = " ".join(f"{key}={value}" for key, value in fields)
        rows.append({**decision, "on": said})
    begun = format_time(answer["begun"])
    heading = f"request {answer['request_id']}, begun {begun}"
    return (
        heading + "\n" + output.format_table(rows, ("seconds", "event", "on"))
    )


def format_time(seconds: float) -> str:
    """Return wall time `seconds` in UTC, to the second."""
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.strftime("%Y-%m-%dT%H:%M:%SZ")
