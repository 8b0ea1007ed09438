"""The entry process on the production platform: tasks, listeners and handlers."""
