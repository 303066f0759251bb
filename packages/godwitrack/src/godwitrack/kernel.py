"""The micro-kernel: services are registered, found by name, started and stopped."""

import abc

from godwitrack.exceptions import GodwitrackError, StartError


class Service(abc.ABC):
    """A part of a process that the kernel connects, starts, drains and stops."""

    @property
    @abc.abstractmethod
    def name(self):
        """Name by which other services find this one."""

    def connect(self, kernel):
        """Find collaborators with `kernel.find`; none of them runs yet."""

    def start(self):
        """Begin to work; every service is connected by now."""

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
        """Connect every service, then start each in order of registration.

        Raises:
            StartError: A service failed; those started before it were stopped.
        """
        for service in self._services.values():
            service.connect(self)
        for service in self._services.values():
            try:
                service.start()
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
