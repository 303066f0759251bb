"""Runs a fleet of real processes on this machine and ends every one of them."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import yaml

from godwitrack.exceptions import StoreError
from godwitrack.store import HttpClient
from godwitrack_ctl.client import NodeClient, NodeRefused
from godwitrack_lab.backendserver import announce
from godwitrack_lab.deployment import TOKEN, find_ports, make_settings

START_SECONDS = 60.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.05


class NodeProcess:
    """One godwitrackd.

    Attributes:
        place: ServerPlace.
        callers: "host:port" for callers.
        operators: "host:port" for operators.
        links: "host:port" for other nodes.
        settings_path: Path of its settings.
        process: The running process, or None.
    """

    def __init__(self, place, ports, settings_path, log_path):
        self.place = place
        self.callers = f"127.0.0.1:{ports[0]}"
        self.operators = f"127.0.0.1:{ports[1]}"
        self.links = f"127.0.0.1:{ports[2]}"
        self.settings_path = settings_path
        self.process = None
        self._log_path = log_path

    def start(self):
        """Start the process."""
        command = [str(pathlib.Path(sys.executable).parent / "godwitrackd")]
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(
                [*command, f"--settings={self.settings_path}"],
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """End the process without warning."""
        self.process.kill()
        self.process.wait()

    def read_log(self):
        """Return what the process logged."""
        return pathlib.Path(self._log_path).read_text()


class ProcessFleet:
    """A platform stand-in, fake backend servers and their nodes.

    Attributes:
        nodes: NodeProcesses by name.
        platform_url: URL of the stand-in.
    """

    def __init__(self, deployment, servers=None, **extra):
        """Prepare a fleet.

        Args:
            deployment: Deployment.
            servers: ServerPlaces to run; all by default.
            **extra: Further settings of each node.
        """
        self.deployment = deployment
        self._servers = servers or deployment.servers
        self._extra = extra
        self._folder = tempfile.TemporaryDirectory(prefix="godwitrack-")
        self._platform = None
        self._backends = None
        self.backend_ports = {}
        self.nodes = {}
        self.platform_url = ""

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exception):
        self.stop()

    def start(self):
        """Start everything and wait until all nodes know each other and serve."""
        self._start_platform()
        self._start_backends()
        self._start_nodes()
        for place in self._servers:
            self.announce(place.name, "warm")
        self.apply_lists()
        self.wait(self._is_complete, "all nodes know each other")

    def stop(self):
        """End everything."""
        processes = [node.process for node in self.nodes.values() if node.process]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        _wait_all(processes)
        for process in (self._backends, self._platform):
            if process is not None:
                process.terminate()
                _wait_all([process])
        self._folder.cleanup()

    def announce(self, name, state):
        """Announce a backend server to its node."""
        node = self.nodes[name]
        self.wait(
            lambda: announce(
                node.operators, node.place.service, state, node.place.slots
            ),
            f"{name} takes an announcement",
        )

    def apply_lists(self):
        """Put the deployment's two lists in force with the operators' client."""
        folder = self.deployment.folder
        self.run_client(
            "plans",
            "apply",
            f"--customers={folder / 'customers.yaml'}",
            f"--plans={folder / 'plans.yaml'}",
            "--wait",
        )

    def run_client(self, *arguments, node=None, check=True):
        """Run the operators' client and return the finished process."""
        node = node or next(iter(self.nodes.values()))
        command = str(pathlib.Path(sys.executable).parent / "godwitrack")
        environment = {**os.environ, "GODWITRACK_TOKEN": TOKEN}
        return subprocess.run(
            [command, *arguments, f"--node={node.operators}"],
            check=check,
            env=environment,
            capture_output=True,
            text=True,
        )

    def make_client(self, name):
        """Return a NodeClient of one node."""
        return NodeClient(self.nodes[name].operators, TOKEN)

    def set_platform_faults(self, **faults):
        """Switch faults of the platform on or off."""
        body = json.dumps(faults).encode()
        HttpClient(5.0).fetch("POST", f"{self.platform_url}/faults", body)

    def read_platform_counts(self):
        """Return the calls that the platform served and refused."""
        _, body = HttpClient(5.0).fetch("GET", f"{self.platform_url}/counts")
        return json.loads(body)

    def change_backend(self, name, **behaviour):
        """Change how a fake backend server behaves."""
        self._tell_backends({"name": name, **behaviour})

    def read_backends(self):
        """Return what the fake backend servers counted."""
        return self._tell_backends("report")

    def wait(self, condition, text, seconds=START_SECONDS):
        """Wait until a condition holds.

        Raises:
            TimeoutError: It did not hold in time.
        """
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"not within {seconds} s: {text}")
            time.sleep(POLL_SECONDS)

    def _start_platform(self):
        (port,) = find_ports(1)
        self.platform_url = f"http://127.0.0.1:{port}"
        module = "godwitrack_lab.platformserver"
        self._platform = subprocess.Popen(
            [sys.executable, "-m", module, f"--port={port}"]
        )
        self.wait(self._is_platform_up, "the platform's stand-in serves")

    def _is_platform_up(self):
        try:
            return bool(self.read_platform_counts())
        except StoreError:
            return False

    def _start_backends(self):
        self._backends = subprocess.Popen(
            [sys.executable, "-m", "godwitrack_lab.backendserver"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        ports = find_ports(len(self._servers))
        for place, port in zip(self._servers, ports, strict=True):
            self.backend_ports[place.name] = port
            self._tell_backends(
                {"name": place.name, "port": port, "seconds": place.seconds}
            )

    def _tell_backends(self, data):
        line = data if isinstance(data, str) else json.dumps(data)
        self._backends.stdin.write(line + "\n")
        self._backends.stdin.flush()
        answer = self._backends.stdout.readline().strip()
        return None if answer == "ok" else json.loads(answer)

    def _start_nodes(self):
        ports = find_ports(3 * len(self._servers))
        seeds = [f"127.0.0.1:{port}" for port in ports[2:9:3]]
        for index, place in enumerate(self._servers):
            own = ports[3 * index : 3 * index + 3]
            settings = make_settings(
                place,
                own,
                self.backend_ports[place.name],
                seeds,
                self.platform_url,
                **self._extra,
            )
            path = pathlib.Path(self._folder.name) / f"{place.name}.yaml"
            path.write_text(yaml.safe_dump(settings))
            node = NodeProcess(place, own, path, path.with_suffix(".log"))
            self.nodes[place.name] = node
            node.start()

    def _is_complete(self):
        count = len(self._servers)
        for name in self.nodes:
            try:
                data = self.make_client(name).get("/status")
            except (StoreError, NodeRefused):
                return False
            if len(data["servers"]) < count or not data["revision"]:
                return False
        return True


def _wait_all(processes):
    deadline = time.monotonic() + STOP_SECONDS
    for process in processes:
        try:
            process.wait(max(deadline - time.monotonic(), 0.1))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
