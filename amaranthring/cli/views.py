"""Tables for the terminal, from responses of the operators' API."""

import collections
import datetime
import typing as t

from amaranthring.cli import output

Response = dict[str, t.Any]


def status(response: Response) -> str:
    """Return the revision in force and a row for each router."""
    routers = response["routers"]
    unconfirmed = response["not_confirmed"]
    lines = [
        f"revision {response['revision']}, "
        f"preset {response['in_force']} in force",
        f"answered by {response['answered_by']} from the {response['source']}",
    ]
    if unconfirmed:
        lines.append(
            f"NOT CONFIRMED by {len(unconfirmed)}: {', '.join(unconfirmed)}"
        )
    else:
        lines.append(f"confirmed by all {len(routers)} routers")
    rows = [{"router": name, **row} for name, row in sorted(routers.items())]
    columns = ("router", "data_centre", "revision", "age_seconds")
    return "\n".join([*lines, output.format_table(rows, columns)])


def keepers(response: Response) -> str:
    """Return the leader, the safe losses and a row for each keeper."""
    states = response["keepers"]
    leaders = [
        state for state in states.values() if state.get("role") == "leader"
    ]
    lines = ["NO LEADER: changes and keyed bookings are refused"]
    members: dict[str, Response] = {}
    if leaders:
        leader = max(leaders, key=lambda state: state["term"])
        members = {member["name"]: member for member in leader["members"]}
        losses = leader["safe_losses"]
        lines = [
            f"leader {leader['keeper']}, term {leader['term']}, "
            f"{losses} more losses are safe"
        ]
    rows = [
        _keeper_row(name, states.get(name, {}), members) for name in states
    ]
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


def _keeper_row(
    name: str, state: Response, members: dict[str, Response]
) -> Response:
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


def presets(response: Response) -> str:
    """Return the presets, marking the one in force."""
    rows = []
    for name, preset in sorted(response["presets"].items()):
        state = "in force" if name == response["in_force"] else ""
        rows.append({**preset, "preset": name, "state": state})
    columns = ("preset", "state", "load_bound", "retry_budget")
    heading = f"revision {response['revision']}"
    return heading + "\n" + output.format_table(rows, columns)


def history(response: Response) -> str:
    """Return the accepted changes, newest last."""
    rows = [
        {**row, "at": format_time(row["at"])} for row in response["history"]
    ]
    return output.format_table(rows, ("revision", "at", "operator", "change"))


def targets(response: Response) -> str:
    """Return targets with state and load, and the count of each state."""
    rows = response["targets"]
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


def quarantine(response: Response) -> str:
    """Return quarantined requests with their expiry."""
    rows = [
        {"fingerprint": name, "expires": format_time(expiry)}
        for name, expiry in sorted(response["quarantine"].items())
    ]
    return output.format_table(rows, ("fingerprint", "expires"))


def explanation(response: Response) -> str:
    """Return the decisions about one request, in order."""
    rows = []
    for decision in response["decisions"]:
        fields = decision["fields"].items()
        details = " ".join(f"{key}={value}" for key, value in fields)
        rows.append({**decision, "on": details})
    begun = format_time(response["begun"])
    heading = f"request {response['request_id']}, begun {begun}"
    return (
        heading + "\n" + output.format_table(rows, ("seconds", "event", "on"))
    )


def format_time(seconds: float) -> str:
    """Format Unix time `seconds` as UTC, to the second."""
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.strftime("%Y-%m-%dT%H:%M:%SZ")
