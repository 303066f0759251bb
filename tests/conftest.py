"""Settings and fixtures that all tests share."""

import os

import pytest
from hypothesis import settings

from godwitrack.clock import ManualClock
from godwitrack.logs import configure_logs

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=200)
settings.register_profile("dev", deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def clock():
    return ManualClock()


configure_logs("console", "error")
