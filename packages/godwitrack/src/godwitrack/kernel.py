"""The micro-kernel: services are registered, found by name, started and stopped."""

import abc

from godwitrack.exceptions import GodwitrackError, StartError


class Service(abc.ABC):
    """A part of a process that the kernel starts and stops.

    Subclasses find their collaborators with `kernel.find(name)` in `start`.
    """

    name = ""

    @abc.abstractmethod
    def start(self, kernel):
        """Start the service; services registered earlier are running already."""

    def drain(self):
        """Stop taking new work; called before any service is stopped."""

    def stop(self):
        """Release what the service holds."""


class Kernel:
    """Registers services and starts them in order of registration."""

    def __init__(self):
        self._services = {}
        self._started = []

    def register(self, service):
        """Add a service under its own name and return it."""
        if service.name in self._services:
            raise GodwitrackError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service
        return service

    def find(self, name):
        """Return the service of this name.

        Raises:
            GodwitrackError: No service of this name is registered.
        """
        try:
            return self._services[name]
        except KeyError:
            raise GodwitrackError(f"no service named {name!r}") from None

    def start(self):
        """Start every service; on a failure, stop what was started and raise."""
        for service in self._services.values():
            try:
                service.start(self)
            except Exception as error:
                errors = [error, *self._stop_started()]
                raise StartError(f"service {service.name!r} failed", errors) from None
            self._started.append(service)

    def stop(self):
        """Drain every service, last started first, then stop each in that order.

        Raises:
            StartError: One or more services failed; the others were stopped.
        """
        errors = []
        for service in reversed(self._started):
            try:
                service.drain()
            except Exception as error:
                errors.append(error)
        errors.extend(self._stop_started())
        if errors:
            raise StartError("services failed to stop", errors)

    def _stop_started(self):
        errors = []
        while self._started:
            try:
                self._started.pop().stop()
            except Exception as error:
                errors.append(error)
        return errors
