"""Names of the topics and keys in the platform's store."""

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
ENDPOINTS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = "keyed.celerytrack-entries"
"""The project's own: one row of each entry."""
SUSPECTS_TOPIC = "keyed.celerytrack-suspects"
"""The project's own: what each entry found of requests that end endpoints."""
