"""The entry instance: admits, routes, streams and bills requests."""
