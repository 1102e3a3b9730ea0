"""Lookup tables over a routing plan, used for each request."""

import random

from amaranthring.routing import plan as plans


class RouteTable:
    """Lookup of routes, services and accounts of one plan.

    Parameters
    ----------
    plan : Plan
        A valid plan.

    Attributes
    ----------
    services : dict of str to Service
        By name.
    needs_key : bool
        Whether requests of routes that are not public need a key.
    """

    def __init__(self, plan: plans.Plan):
        self.plan = plan
        self.services = {service.name: service for service in plan.services}
        self.needs_key = plan.accounts is not None
        # Of several routes at one place, which an earlier release may have
        # acknowledged, the last one counts, as it did there.
        self._routes = {route.place: route for route in plan.routes}
        self._accounts = {
            key: account
            for account in plan.accounts or ()
            for key in account.keys
        }

    @property
    def version(self) -> int:
        """Return the version of the plan."""
        return self.plan.version

    def match(self, host: str, path: str) -> plans.Route | None:
        """Return the route whose prefix is the longest match, if any.

        Parameters
        ----------
        host : str
            The ``Host`` header, with or without a port.
        path : str
            Path without the query.
        """
        host = plans.fold_host(host)
        route = self._longest_match(host, path)
        if route is None and ":" in host:
            route = self._longest_match(host.rpartition(":")[0], path)
        return route

    def _longest_match(self, host: str, path: str) -> plans.Route | None:
        # Prefixes end with a slash, so only such substrings can match.
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get(plans.Place(host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def account_of(self, key: str) -> plans.Account | None:
        """Return the account with `key`, if any."""
        return self._accounts.get(key)


def draw_service(route: plans.Route, draw: float | None = None) -> str:
    """Return a random service of `route`, by weight.

    Parameters
    ----------
    draw : float, optional
        Number in ``[0, 1)``; random by default.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    point = random.random() if draw is None else draw
    point *= sum(share.weight for share in route.shares)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
