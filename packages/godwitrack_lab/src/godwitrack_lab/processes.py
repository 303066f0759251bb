"""Runs a fleet of real processes on this machine and stops all of them at the end."""

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
    """One godwitrackd process.

    Attributes:
        spec: ServerSpec of the backend server beside it.
        callers: "host:port" for callers.
        operators: "host:port" for operators.
        links: "host:port" for links from other nodes.
        settings_path: Path of the settings file.
        process: The process, or None before it is started.
    """

    def __init__(self, spec, ports, settings_path, log_path):
        self.spec = spec
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

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def read_log(self):
        """Return the log of the process."""
        return pathlib.Path(self._log_path).read_text()


class ProcessFleet:
    """A fake platform, fake backend servers and their nodes.

    Attributes:
        deployment: Deployment.
        backend_ports: Ports of the backend servers by name.
        nodes: NodeProcesses by name.
        platform_url: URL of the fake platform.
    """

    def __init__(self, deployment, servers=None, **extra):
        """Initialize the fleet without starting it.

        Args:
            deployment: Deployment.
            servers: ServerSpecs of the servers to run; by default, all of the
                deployment.
            **extra: Further settings of each node, as for `make_settings`.
        """
        self.deployment = deployment
        self._servers = servers or deployment.servers
        self._extra_settings = extra
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
        """Start all processes and wait until every node knows all others and serves."""
        self._start_platform()
        self._start_backends()
        self._start_nodes()
        for spec in self._servers:
            self.announce(spec.name, "warm")
        self.apply_configuration()
        self.wait(self._is_converged, "all nodes know each other")

    def stop(self):
        """Stop all processes and delete their files."""
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
        """Announce a backend server's state until its node accepts the announcement."""
        node = self.nodes[name]
        self.wait(
            lambda: announce(node.operators, node.spec.service, state, node.spec.slots),
            f"{name} accepts an announcement",
        )

    def apply_configuration(self):
        """Apply the deployment's customers and plans with the operators' client."""
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
        """Return a NodeClient for one node."""
        return NodeClient(self.nodes[name].operators, TOKEN)

    def set_platform_faults(self, **faults):
        """Set faults of the fake platform, which are fields of PlatformFaults."""
        body = json.dumps(faults).encode()
        HttpClient(5.0).fetch("POST", f"{self.platform_url}/faults", body)

    def read_platform_counts(self):
        """Return the numbers of calls that the fake platform served and refused."""
        response = HttpClient(5.0).fetch("GET", f"{self.platform_url}/counts")
        return json.loads(response.body)

    def set_backend_behaviour(self, name, **behaviour):
        """Set fields of a fake backend server's Behaviour."""
        self._send_to_backends({"name": name, **behaviour})

    def read_backend_reports(self):
        """Return the counts of each fake backend server by name."""
        return self._send_to_backends("report")

    def wait(self, condition, text, seconds=START_SECONDS):
        """Wait until a condition holds.

        Args:
            condition: Function that returns whether the condition holds.
            text: Description of the condition for the error message.
            seconds: Timeout.

        Raises:
            TimeoutError: The condition did not hold in time.
        """
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"timed out after {seconds} s waiting until {text}")
            time.sleep(POLL_SECONDS)

    def _start_platform(self):
        (port,) = find_ports(1)
        self.platform_url = f"http://127.0.0.1:{port}"
        module = "godwitrack_lab.platformserver"
        self._platform = subprocess.Popen(
            [sys.executable, "-m", module, f"--port={port}"]
        )
        self.wait(self._is_platform_up, "the fake platform serves")

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
        for spec, port in zip(self._servers, ports, strict=True):
            self.backend_ports[spec.name] = port
            self._send_to_backends(
                {"name": spec.name, "port": port, "seconds": spec.seconds}
            )

    def _send_to_backends(self, data):
        line = data if isinstance(data, str) else json.dumps(data)
        self._backends.stdin.write(line + "\n")
        self._backends.stdin.flush()
        answer = self._backends.stdout.readline().strip()
        return None if answer == "ok" else json.loads(answer)

    def _start_nodes(self):
        ports = find_ports(3 * len(self._servers))
        seeds = [f"127.0.0.1:{port}" for port in ports[2:9:3]]
        for index, spec in enumerate(self._servers):
            node_ports = ports[3 * index : 3 * index + 3]
            settings = make_settings(
                spec,
                node_ports,
                self.backend_ports[spec.name],
                seeds,
                self.platform_url,
                **self._extra_settings,
            )
            path = pathlib.Path(self._folder.name) / f"{spec.name}.yaml"
            path.write_text(yaml.safe_dump(settings))
            node = NodeProcess(spec, node_ports, path, path.with_suffix(".log"))
            self.nodes[spec.name] = node
            node.start()

    def _is_converged(self):
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
