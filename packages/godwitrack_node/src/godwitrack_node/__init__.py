"""godwitrackd, the node process beside each backend server."""
