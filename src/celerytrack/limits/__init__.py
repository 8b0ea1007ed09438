"""Rate limits that endpoints name, kept in the sum over all entries."""
