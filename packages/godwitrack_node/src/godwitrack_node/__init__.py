"""godwitrackd, the node beside each backend server."""
