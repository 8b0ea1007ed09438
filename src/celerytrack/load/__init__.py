"""The load generator: arrivals, the caller, the checker and the report."""
