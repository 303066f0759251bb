"""The subcommands of the operators' client."""

import contextlib
import getpass
import json
import sys
import time
import uuid

from godwitrack.configuration import find_differences
from godwitrack.exceptions import GodwitrackError, SettingsError, StoreError
from godwitrack.plans import read_lists
from godwitrack_ctl.changetrace import (
    COLUMNS,
    make_rows,
    read_change,
    summarize_change,
)
from godwitrack_ctl.client import NodeRefused
from godwitrack_ctl.printing import format_differences, format_table
from godwitrack_ctl.requesttrace import explain_end, read_trace

EXIT_DONE = 0
EXIT_FAILED = 1
LIST_KEY_PREFIXES = ("plan", "customer")
IN_FORCE_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.5
RESEND_TIMEOUT_SECONDS = 20.0


class Commands:
    """Runs the subcommands; each public method returns an exit status.

    Attributes:
        values: Parsed flags.
        client: NodeClient, or None for commands that need no node.
        write: Function that prints one string.
        sleep: Function that sleeps for a number of seconds.
    """

    def __init__(self, values, client, write=print, sleep=time.sleep):
        self.values = values
        self.client = client
        self.write = write
        self.sleep = sleep

    def show_plans(self):
        """Show the two lists in force, with their revision."""
        data = self.client.get("/configuration")
        if self.values.json:
            return self._write_json(data)
        self.write(f"revision {data['revision']}")
        for key, record in sorted(data["records"].items()):
            self.write(f"{key}: {json.dumps(record, sort_keys=True)}")
        return EXIT_DONE

    def explain_request(self):
        """Show a request's way through the nodes, from their logs."""
        trace = read_trace(_read_log_lines(self.values.logs), self.values.request)
        if not trace:
            raise SettingsError(f"the logs do not hold request {self.values.request}")
        verdict = explain_end(trace)
        if self.values.json:
            lines = [line.format() for line in trace]
            return self._write_json({"lines": lines, "verdict": verdict})
        for line in trace:
            self.write(line.format())
        self.write(verdict)
        return EXIT_DONE

    def explain_change(self):
        """Show how a revision of the routes reached the nodes, from their logs."""
        revision = self.values.revision
        changes = read_change(_read_log_lines(self.values.logs), revision)
        verdict, rows = summarize_change(changes, revision), make_rows(changes)
        if self.values.json:
            nodes = [dict(zip(COLUMNS, row, strict=True)) for row in rows]
            return self._write_json({"nodes": nodes, "verdict": verdict})
        self.write(format_table(COLUMNS, rows))
        self.write(verdict)
        return EXIT_DONE

    def check_plans(self):
        """Check the two lists in files; nothing is changed."""
        records = self._read_lists()
        if self.values.json:
            return self._write_json({"records": len(records), "good": True})
        self.write(f"{len(records)} records, good")
        return EXIT_DONE

    def apply_plans(self):
        """Put the two lists in files in force, if none changed meanwhile."""
        new = self._read_lists()
        current = self.client.get("/configuration")
        base = self.values.base
        if base is None:
            base = current["revision"]
        old = current["records"]
        records = find_differences(old, new, LIST_KEY_PREFIXES)
        if base != current["revision"]:
            return self._report_conflict(base, current["revision"], old, records)
        if not self.values.json:
            self.write(format_differences(old, records))
        if not records:
            return self._report_revision(base)
        change = {
            "base": base,
            "records": records,
            "author": self._get_author(),
            "change_id": uuid.uuid4().hex,
        }
        try:
            answer = self._send_change(change)
        except NodeRefused as error:
            if error.status != 409:
                raise
            latest = self.client.get("/configuration")
            records = find_differences(latest["records"], new, LIST_KEY_PREFIXES)
            return self._report_conflict(
                base, latest["revision"], latest["records"], records
            )
        return self._report_revision(answer["revision"])

    def list_data_centres(self):
        """List data centres with their servers by state."""
        data = self.client.get("/status")
        rows = data["data_centres"]
        if self.values.json:
            return self._write_json(
                {"data_centres": rows, "out": _list_taken_out(data)}
            )
        self.write(
            format_table(
                ("REGION", "DATA CENTRE", "STATE", "SERVERS"),
                [
                    (row["region"], row["data_centre"], row["state"], row["servers"])
                    for row in rows
                ],
            )
        )
        return EXIT_DONE

    def take_out_data_centre(self):
        """Take a data centre out of service."""
        return self._send_order("data-centre", True)

    def bring_back_data_centre(self):
        """Bring a data centre back into service."""
        return self._send_order("data-centre", False)

    def list_servers(self):
        """List backend servers."""
        rows = self.client.get("/status")["servers"]
        if self.values.json:
            return self._write_json({"servers": rows})
        columns = ("name", "service", "data_centre", "state", "slots", "address")
        self.write(
            format_table(
                [name.upper().replace("_", " ") for name in columns],
                [[row[name] for name in columns] for row in rows],
            )
        )
        return EXIT_DONE

    def take_out_server(self):
        """Take a backend server out of service."""
        return self._send_order("server", True)

    def bring_back_server(self):
        """Bring a backend server back into service."""
        return self._send_order("server", False)

    def show_status(self):
        """Show the fleet at a glance, once or again and again."""
        if self.values.watch is None:
            return self._show_status()
        while True:
            self.write(time.strftime("%H:%M:%S"))
            try:
                self._show_status()
            except StoreError as error:
                # The node may be restarting, so the watch continues.
                self.write(f"no answer: {error}")
            self.write("")
            try:
                self.sleep(self.values.watch)
            except KeyboardInterrupt:
                return EXIT_DONE

    def _show_status(self):
        data = self.client.get("/status")
        if self.values.json:
            return self._write_json(data)
        node = data["node"]
        self.write(f"node {node['name']}, revision {data['revision']}")
        self.write(f"out: {', '.join(_list_taken_out(data)) or 'nothing'}")
        pending = ", ".join(data["orders_pending"]) or "none"
        self.write(f"orders not recorded yet: {pending}")
        self.write(f"store failures in a row: {node['store_failures']}")
        self.write(
            f"load: {node['in_flight']} in flight, {node['queued']} queued, "
            f"limit {node['limit']}"
        )
        sent = node["control_bytes_sent"]
        self.write(
            f"control bytes sent: {sent['local']} in the region, "
            f"{sent['regional']} across regions"
        )
        self.write(f"retry budget: {node['retry_balance']}")
        return self.list_data_centres()

    def explain(self):
        """Explain where a customer's request would go."""
        data = self.client.get(
            "/explanation",
            customer=self.values.customer,
            service=self.values.service,
            method=self.values.method,
            path=self.values.path,
        )
        if self.values.json:
            return self._write_json(data)
        if data["route"] is None:
            self.write(f"plan {data['plan']} has no such route: not_allowed")
            return EXIT_FAILED
        route = ", ".join(f"{key} {value}" for key, value in data["route"].items())
        self.write(f"plan {data['plan']}: {route}")
        self.write(f"regions: {', '.join(data['regions'])}")
        columns = ("tier", "server", "data_centre", "verdict", "use", "latency_ms")
        self.write(
            format_table(
                [name.upper().replace("_", " ") for name in columns],
                [[row[name] for name in columns] for row in data["servers"]],
            )
        )
        return EXIT_DONE

    def _read_lists(self):
        return read_lists(self.values.customers, self.values.plans)

    def _send_change(self, change):
        """Send a change, and resend it until the outcome is known.

        The node recognises the change by its `change_id`, so a resend after a lost
        answer does not apply it twice.

        Returns:
            The node's answer.

        Raises:
            NodeRefused: The status is not 503, or the node wrote nothing.
            GodwitrackError: The outcome is still unknown after
                RESEND_TIMEOUT_SECONDS.
        """
        deadline = time.monotonic() + RESEND_TIMEOUT_SECONDS
        while True:
            try:
                return self.client.post("/changes", change)
            except NodeRefused as error:
                if error.status != 503 or error.data.get("nothing_written", True):
                    raise
                failure = error
            except StoreError as error:
                failure = error
            if time.monotonic() > deadline:
                raise GodwitrackError(
                    f"{failure}; it is not known whether the change is in force: "
                    "look with 'godwitrack plans show' before you try again"
                )
            time.sleep(POLL_INTERVAL_SECONDS)

    def _send_order(self, sort, is_out):
        """Take a data centre or backend server out, or bring it back.

        An order that is not recorded yet succeeds if the nodes were notified of it.
        """
        data = self.client.post(
            "/orders",
            {
                "sort": sort,
                "name": self.values.name,
                "out": is_out,
                "author": self._get_author(),
                "reason": self.values.reason,
            },
        )
        if not self.values.json:
            word = "out" if is_out else "back"
            self.write(f"{sort} {self.values.name} {word}: {data['detail']}")
        if not data["recorded"]:
            if self.values.json:
                self._write_json(data)
            return EXIT_DONE if data["noticed"] else EXIT_FAILED
        return self._report_revision(data["revision"], data)

    def _report_conflict(self, base, current, old, records):
        """Report that the change is not based on the revision in force."""
        if self.values.json:
            self._write_json(
                {
                    "error": "lost race",
                    "base": base,
                    "current": current,
                    "difference": records,
                }
            )
            return EXIT_FAILED
        self.write(
            f"refused: your change is based on revision {base}, but {current} is in "
            "force. Against it, your lists would change:"
        )
        self.write(format_differences(old, records))
        return EXIT_FAILED

    def _report_revision(self, revision, data=None):
        report = {"revision": revision, **(data or {})}
        status = EXIT_DONE
        if self.values.wait:
            lagging = self._wait_until_in_force(revision)
            report["not_in_force_at"] = lagging
            status = EXIT_FAILED if lagging else EXIT_DONE
        if self.values.json:
            self._write_json(report)
            return status
        self.write(f"accepted: revision {revision}")
        if self.values.wait:
            where = ", ".join(report["not_in_force_at"])
            self.write(f"not in force at: {where}" if where else "in force everywhere")
        return status

    def _wait_until_in_force(self, revision):
        """Wait until a revision is in force at all nodes.

        Returns:
            Names of the nodes where it is not in force after
            IN_FORCE_TIMEOUT_SECONDS.
        """
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        while True:
            revisions = self.client.get("/revisions")
            lagging = sorted(
                name
                for name, found in revisions.items()
                if found is None or found < revision
            )
            if not lagging or time.monotonic() > deadline:
                return lagging
            time.sleep(POLL_INTERVAL_SECONDS)

    def _get_author(self):
        return self.values.author or getpass.getuser()

    def _write_json(self, data):
        self.write(json.dumps(data, indent=2, sort_keys=True))
        return EXIT_DONE


def _list_taken_out(data):
    return [*data["data_centres_out"], *data["servers_out"]]


def _read_log_lines(paths):
    """Yield the lines of log files, or of standard input.

    Args:
        paths: Comma-separated paths; "" or None for standard input.
    """
    if not paths:
        yield from sys.stdin
        return
    for path in paths.split(","):
        try:
            file = open(path, encoding="utf-8", errors="replace")
        except OSError as error:
            raise SettingsError(f"{path}: can't be read: {error.strerror}") from None
        with contextlib.closing(file):
            yield from file
