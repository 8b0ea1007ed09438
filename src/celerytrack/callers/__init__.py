"""What callers may hold of a process: bytes, connections and time."""
