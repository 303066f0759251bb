"""Collects scenarios, which are YAML files, as tests."""

import pytest

from godwitrack_lab.scenario import Scenario


def pytest_collect_file(file_path, parent):
    """Collect a scenario."""
    if file_path.suffix == ".yaml":
        return ScenarioFile.from_parent(parent, path=file_path)
    return None


class ScenarioFile(pytest.File):
    """A file that holds one scenario."""

    def collect(self):
        """Return the one test of the file."""
        yield ScenarioItem.from_parent(self, name=self.path.stem)


class ScenarioItem(pytest.Item):
    """The run of one scenario."""

    def runtest(self):
        """Run the scenario; every outcome that does not hold is an error."""
        figures, broken = Scenario(self.path).check()
        self.add_report_section("call", "figures", "\n".join(figures))
        if broken:
            raise BrokenOutcomes("\n".join([*broken, *figures]))

    def repr_failure(self, excinfo, style=None):
        """Show the outcomes that do not hold."""
        if isinstance(excinfo.value, BrokenOutcomes):
            return str(excinfo.value)
        return super().repr_failure(excinfo, style)

    def reportinfo(self):
        """Name the scenario."""
        return self.path, 0, f"scenario {self.name}"


class BrokenOutcomes(Exception):
    """One or more outcomes of a scenario do not hold."""
