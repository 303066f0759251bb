"""Configuration records, and the changes from one revision to the next."""

import hashlib

from godwitrack.exceptions import GodwitrackError
from godwitrack.plans import Customer, Plan, check_record, check_references


class Change:
    """One accepted change of the configuration.

    Attributes:
        revision: Revision that the change creates; the first is 1.
        change_id: Unique id chosen by the operator's client, which identifies the
            change after a lost answer.
        records: Mapping from key to the new record, or None where it is removed.
        author: Who made the change.
        created: Time of the change in seconds since the Unix epoch.
    """

    __slots__ = ("author", "change_id", "created", "records", "revision")

    def __init__(self, revision, change_id, records, author, created):
        self.revision = revision
        self.change_id = change_id
        self.records = records
        self.author = author
        self.created = created

    def to_data(self):
        """Return the change as plain data."""
        return [
            self.revision,
            self.change_id,
            self.records,
            self.author,
            self.created,
        ]

    @classmethod
    def from_data(cls, data):
        """Return the Change that plain data describes.

        Raises:
            ValueError: The data does not have the shape of a change.
        """
        if not isinstance(data, list) or len(data) != 5:
            raise ValueError("a change must be a list of five fields")
        revision, change_id, records, author, created = data
        if type(revision) is not int or not isinstance(records, dict):
            raise ValueError(
                "a change must have an integer revision and a mapping of records"
            )
        return cls(revision, str(change_id), records, str(author), float(created))


class Configuration:
    """All records at one revision; immutable.

    Attributes:
        revision: Number of changes applied so far; 0 for the empty configuration.
        records: Mapping from key to record.
        customers: Mapping from the SHA-256 of a key to Customer.
        customers_by_name: Mapping from name to Customer.
        plans: Mapping from name to Plan.
        data_centres_out: Names of data centres taken out of service, a frozenset.
        servers_out: Names of backend servers taken out of service, a frozenset.
    """

    __slots__ = (
        "_customers_by_key",
        "customers",
        "customers_by_name",
        "data_centres_out",
        "plans",
        "records",
        "revision",
        "servers_out",
    )

    def __init__(self, revision=0, records=None):
        self.revision = revision
        self.records = records or {}
        records_by_kind = _group_records(self.records)
        self.plans = {
            name: Plan(name, item) for name, item in records_by_kind["plan"].items()
        }
        customers = [
            Customer(name, item) for name, item in records_by_kind["customer"].items()
        ]
        self.customers = {item.key_sha256: item for item in customers}
        self.customers_by_name = {item.name: item for item in customers}
        self.data_centres_out = frozenset(records_by_kind["out-data-centre"])
        self.servers_out = frozenset(records_by_kind["out-server"])
        self._customers_by_key = {}

    def apply(self, change):
        """Return the Configuration that results from the next change.

        Raises:
            GodwitrackError: The change does not follow this revision.
        """
        if change.revision != self.revision + 1:
            raise GodwitrackError(
                f"change {change.revision} does not follow revision {self.revision}"
            )
        return Configuration(change.revision, merge_records(self.records, change))

    def find_customer(self, key):
        """Return the Customer with a key, or None.

        Args:
            key: The key in plain text, as the caller sent it.
        """
        customer = self._customers_by_key.get(key)
        if customer is None:
            customer = self.customers.get(hash_key(key))
            if customer is not None:
                self._customers_by_key[key] = customer
        return customer

    def find_plan(self, customer):
        """Return the Plan of a Customer."""
        return self.plans[customer.plan]


def hash_key(key):
    """Return the SHA-256 of a customer's key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def merge_records(records, change):
    """Return a copy of the records with a change applied."""
    merged = dict(records)
    for key, record in change.records.items():
        if record is None:
            merged.pop(key, None)
        else:
            merged[key] = record
    return merged


def check_change(configuration, change, source):
    """Check that the configuration is valid after a change.

    Raises:
        SettingsError: A record is invalid, a plan does not exist, or two customers
            have the same key.
    """
    for key, record in change.records.items():
        if record is not None:
            check_record(key, record, source)
    check_references(merge_records(configuration.records, change), source)


def find_differences(old, new, prefixes):
    """Return the changes that turn the old records of some kinds into the new ones.

    Args:
        old: Mapping from key to record.
        new: Mapping from key to record.
        prefixes: Kinds of records to compare, such as ("plan", "customer").

    Returns:
        Mapping from key to the new record, or None where it is removed.
    """
    differences = {}
    for key in sorted(set(old) | set(new)):
        if key.partition("/")[0] in prefixes and old.get(key) != new.get(key):
            differences[key] = new.get(key)
    return differences


def _group_records(records):
    records_by_kind = {
        "customer": {},
        "plan": {},
        "out-data-centre": {},
        "out-server": {},
    }
    for key, record in records.items():
        kind, _, name = key.partition("/")
        if kind in records_by_kind:
            records_by_kind[kind][name] = record
    return records_by_kind
