"""Collects scenario YAML files as tests."""

import pytest

from godwitrack_lab.scenario import Scenario


def pytest_collect_file(file_path, parent):
    """Collect a YAML file as a scenario."""
    if file_path.suffix == ".yaml":
        return ScenarioFile.from_parent(parent, path=file_path)
    return None


class ScenarioFile(pytest.File):
    """A file that holds one scenario."""

    def collect(self):
        """Yield the single test of the file."""
        yield ScenarioItem.from_parent(self, name=self.path.stem)


class ScenarioItem(pytest.Item):
    """The test of one scenario."""

    def runtest(self):
        """Run the scenario and fail if an expected outcome does not hold."""
        figures, failures = Scenario(self.path).check()
        self.add_report_section("call", "figures", "\n".join(figures))
        if failures:
            raise OutcomeFailure("\n".join([*failures, *figures]))

    def repr_failure(self, excinfo, style=None):
        """Return the outcomes that do not hold as text."""
        if isinstance(excinfo.value, OutcomeFailure):
            return str(excinfo.value)
        return super().repr_failure(excinfo, style)

    def reportinfo(self):
        """Return path, line and title of the scenario for the report."""
        return self.path, 0, f"scenario {self.name}"


class OutcomeFailure(Exception):
    """One or more expected outcomes of a scenario do not hold."""
