"""Configurations as the operator sends them."""

HOST = "ficu95.example"
SERVICE = "wuno96b"
OTHER_SERVICE = "huvo11a"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
UNSAFE = "/pufi791/"
SAFE = "/lohu930/"


def route(prefix, kind, **changes):
    """Return a route to the service."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 600,
        "latency_target_ms": 125,
        "priority": 0,
        "backend": SERVICE,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "itl_target_ms": 0,
    } | changes


def document(version, routes=None, keys=(KEY,)):
    """Return a whole configuration."""
    if routes is None:
        routes = [
            route(UNSAFE, "unsafe"),
            route(SAFE, "safe", backend=OTHER_SERVICE),
        ]
    return {
        "version": version,
        "routes": routes,
        "backends": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            }
            for name in (SERVICE, OTHER_SERVICE)
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": list(keys), "priority": 1}],
    }
