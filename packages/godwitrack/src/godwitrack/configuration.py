"""The configuration: records in one order of revisions, and the changes between."""

import hashlib

from godwitrack.exceptions import GodwitrackError
from godwitrack.plans import Customer, Plan, check_record, check_references


class Change:
    """One accepted change of the configuration.

    Attributes:
        revision: Revision that the change makes; the first is 1.
        change_id: Unique text chosen by the operator's client, to recognise the
            change after a lost answer.
        records: Mapping from key to the new record, or None where it is removed.
        author: Who made it.
        created: Seconds since the Unix epoch.
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
        """Return the Change held by plain data.

        Raises:
            ValueError: The data has another shape.
        """
        if not isinstance(data, list) or len(data) != 5:
            raise ValueError("a change has five fields")
        revision, change_id, records, author, created = data
        if type(revision) is not int or not isinstance(records, dict):
            raise ValueError("a change has a revision and records")
        return cls(revision, str(change_id), records, str(author), float(created))


class Configuration:
    """All records at one revision; never changed once made.

    Attributes:
        revision: Number of changes that led here; 0 is empty.
        records: Mapping from key to record.
        customers: Mapping from the SHA-256 of a key to Customer.
        plans: Mapping from name to Plan.
        data_centres_out: Names of data centres taken out, a frozenset.
        servers_out: Names of backend servers taken out, a frozenset.
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
        named = _group_records(self.records)
        self.plans = {name: Plan(name, item) for name, item in named["plan"].items()}
        customers = [Customer(name, item) for name, item in named["customer"].items()]
        self.customers = {item.key_sha256: item for item in customers}
        self.customers_by_name = {item.name: item for item in customers}
        self.data_centres_out = frozenset(named["out-data-centre"])
        self.servers_out = frozenset(named["out-server"])
        self._customers_by_key = {}

    def apply(self, change):
        """Return the Configuration after one more change.

        Raises:
            GodwitrackError: The change does not follow this revision.
        """
        if change.revision != self.revision + 1:
            raise GodwitrackError(
                f"change {change.revision} does not follow revision {self.revision}"
            )
        return Configuration(change.revision, merge_records(self.records, change))

    def find_customer(self, key):
        """Return the Customer who holds a key, or None.

        Args:
            key: The key as text, as the caller sent it.
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
    """Return a copy of the records with a change made."""
    merged = dict(records)
    for key, record in change.records.items():
        if record is None:
            merged.pop(key, None)
        else:
            merged[key] = record
    return merged


def check_change(configuration, change, source):
    """Check that a change leaves a valid configuration.

    Raises:
        SettingsError: A record is wrong or a reference leads nowhere.
    """
    for key, record in change.records.items():
        if record is not None:
            check_record(key, record, source)
    check_references(merge_records(configuration.records, change), source)


def find_differences(old, new, prefixes):
    """Return the records to change so that those under some prefixes become new.

    Args:
        old: Mapping from key to record.
        new: Mapping from key to record.
        prefixes: Sorts of records compared, such as ("plan", "customer").

    Returns:
        Mapping from key to the new record, or None where it is removed.
    """
    differences = {}
    for key in sorted(set(old) | set(new)):
        if key.partition("/")[0] in prefixes and old.get(key) != new.get(key):
            differences[key] = new.get(key)
    return differences


def _group_records(records):
    named = {"customer": {}, "plan": {}, "out-data-centre": {}, "out-server": {}}
    for key, record in records.items():
        sort, _, name = key.partition("/")
        if sort in named:
            named[sort][name] = record
    return named
