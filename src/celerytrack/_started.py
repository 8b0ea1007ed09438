"""The start time of this process; imported before everything else."""

import time

STARTED_S = time.monotonic()
"""When this process started, on the monotonic clock. Read before the libraries are
loaded, which takes half a second on a small instance."""
