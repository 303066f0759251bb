"""Collects the YAML files of scenarios as tests."""

import pytest

from godwitrack_lab.scenario import Scenario


def pytest_collect_file(file_path, parent):
    """Return the collector of a YAML file, or None for other files."""
    if file_path.suffix == ".yaml":
        return ScenarioFile.from_parent(parent, path=file_path)
    return None


class ScenarioFile(pytest.File):
    """A YAML file with one scenario."""

    def collect(self):
        """Yield the only test of the file."""
        yield ScenarioItem.from_parent(self, name=self.path.stem)


class ScenarioItem(pytest.Item):
    """A test that runs one scenario."""

    def runtest(self):
        """Run the scenario; fail if an outcome does not hold."""
        figures, broken = Scenario(self.path).check()
        self.add_report_section("call", "figures", "\n".join(figures))
        if broken:
            raise BrokenOutcomes("\n".join([*broken, *figures]))

    def repr_failure(self, excinfo, style=None):
        """Return the failure report, with the outcomes that do not hold."""
        if isinstance(excinfo.value, BrokenOutcomes):
            return str(excinfo.value)
        return super().repr_failure(excinfo, style)

    def reportinfo(self):
        """Return the path, the line and the title of the scenario."""
        return self.path, 0, f"scenario {self.name}"


class BrokenOutcomes(Exception):
    """One or more outcomes of a scenario do not hold."""
