"""Tests of godwitrack_node.splitting: steady requests on split routes."""

import random

import pytest

from godwitrack.routetable import HostRoute, SplitPart
from godwitrack_node.splitting import SplitChooser

MAX_SHARE_ERROR = 0.02


@pytest.mark.parametrize(
    "weights", [(90, 10), (50, 50), (1, 2, 3), (100, 0), (99, 1)], ids=str
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_parts_get_their_shares_within_few_requests(weights, seed):
    parts = [SplitPart(f"part-{i}", weight) for i, weight in enumerate(weights)]
    route = HostRoute("r", "h", "/", parts, idempotent=True, timeout=1, objective=1)
    chooser = SplitChooser(random.Random(seed))
    chosen = [chooser.choose(route) for _ in range(300)]
    for part in parts:
        share = chosen.count(part.service) / len(chosen)
        assert abs(share - part.weight / sum(weights)) <= MAX_SHARE_ERROR
