"""Names of the topics and keys in the platform's store."""

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
ENDPOINTS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = "keyed.celerytrack-entries"
"""The project's own topic: one row for each entry."""
SUSPECTS_TOPIC = "keyed.celerytrack-suspects"
"""The project's own topic: entries' findings about requests that crash endpoints."""
