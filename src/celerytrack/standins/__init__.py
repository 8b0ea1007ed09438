"""Stand-ins for the platform and the replicas, each run as its own process.

They serve tests, the demo and benches. A test injects faults through
``POST /_faults``.
"""
