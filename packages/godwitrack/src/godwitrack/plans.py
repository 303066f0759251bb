"""The operators' two lists: the customers' plans and what each plan may use."""

import enum

from jsonschema import Draft202012Validator

from godwitrack.exceptions import SettingsError
from godwitrack.settings import read_yaml


class RequestClass(enum.Enum):
    """Classes of requests, most urgent first."""

    INTERACTIVE = "interactive"
    BULK = "bulk"
    BACKGROUND = "background"

    @property
    def rank(self):
        """Position in the order of urgency; 0 is the most urgent."""
        return _RANKS[self]


_RANKS = {request_class: rank for rank, request_class in enumerate(RequestClass)}

_NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$"}

CUSTOMER_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["plan", "key_sha256"],
    "properties": {
        "plan": _NAME,
        "key_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    },
}

ROUTE_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["service", "methods", "path"],
    "properties": {
        "service": _NAME,
        "methods": {
            "type": "array",
            "minItems": 1,
            "items": {"enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]},
        },
        "path": {"type": "string", "pattern": "^/"},
        "class": {"enum": [item.value for item in RequestClass]},
        "idempotent": {"type": "boolean"},
        "max_retries": {"type": "integer", "minimum": 0, "maximum": 10},
        "regions": {"type": "array", "minItems": 1, "items": _NAME},
    },
}

PLAN_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["regions", "requests_per_second", "routes"],
    "properties": {
        "regions": {"type": "array", "minItems": 1, "items": _NAME},
        "requests_per_second": {"type": "number", "exclusiveMinimum": 0},
        "routes": {"type": "array", "items": ROUTE_SCHEMA},
    },
}

OUT_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "properties": {"reason": {"type": "string"}},
}

SCHEMAS = {
    "customer": CUSTOMER_SCHEMA,
    "plan": PLAN_SCHEMA,
    "out-data-centre": OUT_SCHEMA,
    "out-server": OUT_SCHEMA,
}


class Route:
    """What a plan says about one group of requests.

    Attributes:
        service: Name of the service.
        methods: HTTP methods, a frozenset.
        path: Prefix of the path within the service.
        request_class: RequestClass.
        idempotent: Whether a request may run more than once.
        max_retries: Most attempts after the first for one request.
        regions: Regions that may serve, send and store it, or None for the plan's.
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
        """Tell whether a request falls under this route."""
        if method not in self.methods or not path.startswith(self.path):
            return False
        rest = path[len(self.path) :]
        return not rest or rest[0] in "/?" or self.path.endswith("/")


class Plan:
    """What a plan may use.

    Attributes:
        name: Name of the plan.
        regions: Regions that may serve, send and store its requests, a frozenset.
        requests_per_second: Capacity that each of its customers buys.
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
        """Return the regions in which a request of this route may be served."""
        if route.regions is None:
            return self.regions
        return self.regions & route.regions


class Customer:
    """One customer.

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
    """Return the records of the two lists.

    Args:
        customers_path: YAML file with a mapping "customers" from name to customer.
        plans_path: YAML file with a mapping "plans" from name to plan.

    Returns:
        Mapping from key, such as "plan/basic", to record.

    Raises:
        SettingsError: A file can't be read or an entry is wrong.
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
        source: File or origin named in the message.

    Raises:
        SettingsError: The key is of no known sort or a field is wrong.
    """
    sort, _, name = key.partition("/")
    if sort not in SCHEMAS or not name:
        raise SettingsError(f"{source}: {key}: unknown sort of record")
    if not Draft202012Validator(_NAME).is_valid(name):
        raise SettingsError(f"{source}: {name!r}: not a name of lower-case letters")
    errors = Draft202012Validator(SCHEMAS[sort]).iter_errors(record)
    error = min(errors, key=lambda item: list(map(str, item.path)), default=None)
    if error is not None:
        field = ".".join([name, *map(str, error.path)])
        raise SettingsError(f"{source}: {field}: {error.message}")


def check_references(records, source):
    """Check that every customer's plan exists and that no key stands twice.

    Raises:
        SettingsError: A reference leads nowhere or a key is used twice.
    """
    owners = {}
    for key, record in sorted(records.items()):
        sort, _, name = key.partition("/")
        if sort != "customer":
            continue
        if f"plan/{record['plan']}" not in records:
            raise SettingsError(
                f"{source}: {name}.plan: no plan is named {record['plan']!r}"
            )
        owner = owners.setdefault(record["key_sha256"], name)
        if owner != name:
            raise SettingsError(f"{source}: {name}.key_sha256: also used by {owner}")
