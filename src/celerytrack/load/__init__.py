"""The load and experiment tool: arrivals, a caller, and the checker."""
