"""A soak of real processes: entries, endpoints that stutter, faults from outside."""
