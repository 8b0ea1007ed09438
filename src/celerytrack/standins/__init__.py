"""Stand-ins of the platform and back ends, each run as its own process.

They exist for tests, the demo and benches; each has fault knobs that a test
turns through ``POST /_faults``.
"""
