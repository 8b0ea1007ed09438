"""When this process began. Imported before everything else."""

import time

STARTED_S = time.monotonic()
"""When this process began, on the steady clock, as near as can be told: before
the libraries are loaded, which takes half a second on a small instance."""
