"""Micro-kernel that registers services, looks them up, starts and stops them."""

import abc

from godwitrack.exceptions import GodwitrackError, StartCancelled, StartError


class Service(abc.ABC):
    """A component of a process; the kernel connects, starts, drains and stops it."""

    @property
    @abc.abstractmethod
    def name(self):
        """Name under which other services look this one up."""

    def connect(self, kernel):
        """Look up the services it uses with `kernel.find`; none has started yet."""

    def start(self):
        """Start working; every service is connected by now."""

    def drain(self):
        """Stop accepting new work; called before any service is stopped."""

    def stop(self):
        """Release the resources of the service."""


class Kernel:
    """Registers services, starts them in that order and stops them in reverse."""

    def __init__(self):
        self._services = {}
        self._started = []

    def register(self, service):
        """Register a service under its name and return it."""
        if service.name in self._services:
            raise GodwitrackError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service
        return service

    def find(self, name):
        """Return the service with this name.

        Raises:
            GodwitrackError: No service with this name is registered.
        """
        try:
            return self._services[name]
        except KeyError:
            raise GodwitrackError(f"no service named {name!r}") from None

    def start(self):
        """Connect all services, then start them in order of registration.

        Raises:
            StartError: A service failed to start; those already started were stopped.
            StartCancelled: A stop was requested while a service waited for what it
                needs; those already started were stopped.
        """
        for service in self._services.values():
            service.connect(self)
        for service in self._services.values():
            try:
                service.start()
            except StartCancelled:
                self._stop_started()
                raise
            except Exception as error:
                errors = [error, *self._stop_started()]
                raise StartError(
                    f"service {service.name!r} failed to start", errors
                ) from None
            self._started.append(service)

    def stop(self):
        """Drain all services, last started first, then stop them in that order.

        Raises:
            StartError: One or more services failed to drain or stop; the others were
                stopped.
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
