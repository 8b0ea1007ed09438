"""Which entries there are, and how they keep each other informed of it."""
