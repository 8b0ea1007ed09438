"""The entry process on the users' platform: its tasks, listeners and handlers."""
