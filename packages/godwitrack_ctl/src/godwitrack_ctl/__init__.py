"""godwitrack, the operators' command-line client."""
