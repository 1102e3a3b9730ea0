"""Routing plans: routes, services, client accounts and request limits."""

from amaranthring.routing.checks import check
from amaranthring.routing.checks import shadowed_routes
from amaranthring.routing.plan import Account
from amaranthring.routing.plan import Bounds
from amaranthring.routing.plan import Engine
from amaranthring.routing.plan import Kind
from amaranthring.routing.plan import Plan
from amaranthring.routing.plan import Route
from amaranthring.routing.plan import Service
from amaranthring.routing.plan import Share
from amaranthring.routing.table import RouteTable

__all__ = [
    "Account",
    "Bounds",
    "Engine",
    "Kind",
    "Plan",
    "Route",
    "RouteTable",
    "Service",
    "Share",
    "check",
    "shadowed_routes",
]
