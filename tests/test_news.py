"""Tests of godwitrack_node.news: hints of later routes from many answers at once."""

from godwitrack.exceptions import LinkError
from godwitrack_node.news import News
from godwitrack_node.routing import Location

REVISION = 5


class HeldExecutor:
    """Keeps jobs until they are run by hand."""

    def __init__(self):
        self.jobs = []

    def submit(self, job, *arguments):
        self.jobs.append((job, arguments))

    def run(self):
        jobs, self.jobs = self.jobs, []
        for job, arguments in jobs:
            job(*arguments)


class UnreachablePool:
    """A pool of links none of which can be opened."""

    def acquire(self, address, timeout):
        raise LinkError(f"{address} can't be reached")


class StandKernel:
    """Finds the pool; a roster is not needed."""

    def find(self, name):
        return UnreachablePool() if name == "link-pool" else None


def test_many_hints_lead_to_one_fetch_at_a_time(clock):
    """Seen as 288 fetches of 1,400 routes that filled slow links (CONFIG)."""
    executor = HeldExecutor()
    news = News(clock, executor, None, "127.0.0.1:1", Location("south", "dc-a"))
    news.connect(StandKernel())
    for _ in range(3):
        news.hint("127.0.0.1:2", REVISION)
    assert len(executor.jobs) == 1
    # One that failed makes way for the next.
    executor.run()
    news.hint("127.0.0.1:2", REVISION)
    assert len(executor.jobs) == 1
