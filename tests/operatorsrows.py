"""Rows as operators of the users' platform write them: routes, services, limits."""


def make_route(name, prefix, service, kind="idempotent", **changes):
    spec = {
        "host": "h.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutS": 3.0,
        "sloS": 2.0,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "allowedRegions": [],
        **changes,
    }
    return {"entryKind": "routes", "metadata": {"name": name}, "spec": spec}


def make_service(name, warmup_rate=20.0):
    spec = {
        "healthPath": "/health",
        "maxConnections": 100,
        "warmupS": 1.0,
        "warmupPerS": warmup_rate,
    }
    return {"entryKind": "services", "metadata": {"name": name}, "spec": spec}


def make_config(version, *resources, max_body_bytes=2**20):
    limits = {
        "headerBytes": 16384,
        "maxBodyBytes": max_body_bytes,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    entry = {"entryKind": "limits", "metadata": {}, "spec": limits}
    return {"version": f"r{version}", "resources": [*resources, entry]}
