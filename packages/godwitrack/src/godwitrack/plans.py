"""The customer and plan lists that operators maintain, and their validation."""

import enum

from jsonschema import Draft202012Validator

from godwitrack.exceptions import SettingsError
from godwitrack.settings import read_yaml


class RequestClass(enum.Enum):
    """Request classes, most urgent first."""

    INTERACTIVE = "interactive"
    BULK = "bulk"
    BACKGROUND = "background"

    @property
    def rank(self):
        """Position in the order of urgency; 0 is the most urgent."""
        return _RANKS[self]


_RANKS = {request_class: rank for rank, request_class in enumerate(RequestClass)}

_NAME_SCHEMA = {"type": "string", "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$"}

CUSTOMER_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["plan", "key_sha256"],
    "properties": {
        "plan": _NAME_SCHEMA,
        "key_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    },
}

ROUTE_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["service", "methods", "path"],
    "properties": {
        "service": _NAME_SCHEMA,
        "methods": {
            "type": "array",
            "minItems": 1,
            "items": {"enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]},
        },
        "path": {"type": "string", "pattern": "^/"},
        "class": {"enum": [item.value for item in RequestClass]},
        "idempotent": {"type": "boolean"},
        "max_retries": {"type": "integer", "minimum": 0, "maximum": 10},
        "regions": {"type": "array", "minItems": 1, "items": _NAME_SCHEMA},
    },
}

PLAN_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["regions", "requests_per_second", "routes"],
    "properties": {
        "regions": {"type": "array", "minItems": 1, "items": _NAME_SCHEMA},
        "requests_per_second": {"type": "number", "exclusiveMinimum": 0},
        "routes": {"type": "array", "items": ROUTE_SCHEMA},
    },
}

EXCLUSION_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "properties": {"reason": {"type": "string"}},
}

SCHEMAS = {
    "customer": CUSTOMER_SCHEMA,
    "plan": PLAN_SCHEMA,
    "out-data-centre": EXCLUSION_SCHEMA,
    "out-server": EXCLUSION_SCHEMA,
}


class Route:
    """One route of a plan: which requests it covers and how they are served.

    Attributes:
        service: Name of the service.
        methods: HTTP methods, a frozenset.
        path: Path prefix within the service.
        request_class: RequestClass.
        idempotent: Whether a request may run more than once.
        max_retries: Most retries of one request.
        regions: Regions that may serve, forward and store its requests, or None for
            those of the plan.
    """

    __slots__ = (
        "idempotent",
        "max_retries",
        "methods",
        "path",
        "regions",
        "request_class",
        "service",
    )

    def __init__(self, record):
        self.service = record["service"]
        self.methods = frozenset(record["methods"])
        self.path = record["path"]
        self.request_class = RequestClass(record.get("class", "interactive"))
        self.idempotent = record.get("idempotent", False)
        self.max_retries = record.get("max_retries", 2)
        regions = record.get("regions")
        self.regions = frozenset(regions) if regions else None

    def matches(self, method, path):
        """Return whether this route covers a request."""
        if method not in self.methods or not path.startswith(self.path):
            return False
        rest = path[len(self.path) :]
        return not rest or rest[0] in "/?" or self.path.endswith("/")


class Plan:
    """The routes, regions and capacity that a customer buys.

    Attributes:
        name: Name of the plan.
        regions: Regions that may serve, forward and store its requests, a frozenset.
        requests_per_second: Capacity of each customer of the plan.
    """

    __slots__ = ("_routes", "name", "regions", "requests_per_second")

    def __init__(self, name, record):
        self.name = name
        self.regions = frozenset(record["regions"])
        self.requests_per_second = float(record["requests_per_second"])
        self._routes = {}
        for item in record["routes"]:
            route = Route(item)
            self._routes.setdefault(route.service, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.path))

    def find_route(self, service, method, path):
        """Return the Route with the longest matching path, or None."""
        for route in self._routes.get(service, ()):
            if route.matches(method, path):
                return route
        return None

    def find_regions(self, route):
        """Return the regions that may serve requests of a route."""
        if route.regions is None:
            return self.regions
        return self.regions & route.regions


class Customer:
    """A customer, identified by the hash of its key.

    Attributes:
        name: Name of the customer.
        plan: Name of its plan.
        key_sha256: SHA-256 of its key, in hexadecimal.
    """

    __slots__ = ("key_sha256", "name", "plan")

    def __init__(self, name, record):
        self.name = name
        self.plan = record["plan"]
        self.key_sha256 = record["key_sha256"]


def read_lists(customers_path, plans_path):
    """Read the customer and plan lists and return their records.

    Args:
        customers_path: YAML file with a mapping "customers" from name to customer.
        plans_path: YAML file with a mapping "plans" from name to plan.

    Returns:
        Mapping from key, such as "plan/basic", to record.

    Raises:
        SettingsError: A file can't be read or an entry is invalid.
    """
    records = {}
    for path, section, prefix in (
        (customers_path, "customers", "customer"),
        (plans_path, "plans", "plan"),
    ):
        body = read_yaml(path)
        if not isinstance(body, dict) or not isinstance(body.get(section), dict):
            raise SettingsError(f"{path}: {section}: expected a mapping from names")
        unknown = sorted(set(body) - {section})
        if unknown:
            raise SettingsError(f"{path}: {unknown[0]}: unknown key")
        for name, record in body[section].items():
            key = f"{prefix}/{name}"
            check_record(key, record, f"{path}: {section}")
            records[key] = record
    check_references(records, str(customers_path))
    return records


def check_record(key, record, source):
    """Check one record of the configuration.

    Args:
        key: Key of the record, such as "customer/north".
        record: Plain data.
        source: File or origin to name in the error message.

    Raises:
        SettingsError: The kind of record is unknown or a field is invalid.
    """
    kind, _, name = key.partition("/")
    if kind not in SCHEMAS or not name:
        raise SettingsError(f"{source}: {key}: unknown sort of record")
    if not Draft202012Validator(_NAME_SCHEMA).is_valid(name):
        raise SettingsError(f"{source}: {name!r}: not a name of lower-case letters")
    errors = Draft202012Validator(SCHEMAS[kind]).iter_errors(record)
    error = min(errors, key=lambda item: list(map(str, item.path)), default=None)
    if error is not None:
        field = ".".join([name, *map(str, error.path)])
        raise SettingsError(f"{source}: {field}: {error.message}")


def check_references(records, source):
    """Check that every customer's plan exists and that no two share a key.

    Raises:
        SettingsError: A plan does not exist, or two customers have the same key.
    """
    owners = {}
    for key, record in sorted(records.items()):
        kind, _, name = key.partition("/")
        if kind != "customer":
            continue
        if f"plan/{record['plan']}" not in records:
            raise SettingsError(
                f"{source}: {name}.plan: no plan is named {record['plan']!r}"
            )
        owner = owners.setdefault(record["key_sha256"], name)
        if owner != name:
            raise SettingsError(f"{source}: {name}.key_sha256: also used by {owner}")
