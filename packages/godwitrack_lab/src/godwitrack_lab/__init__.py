"""Stand-ins, scenarios and benches for developing godwitrack; not shipped."""
