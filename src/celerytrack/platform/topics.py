"""Names of the topics and keys in the platform's store."""

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
ENDPOINTS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = "keyed.celerytrack-entries"
"""The project's own: one row of each entry."""
