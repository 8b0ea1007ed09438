"""Which endpoints an entry reaches, and what it does while it reaches none."""
