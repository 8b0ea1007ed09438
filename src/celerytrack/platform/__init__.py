"""The users' platform: its names, formats and calls, and nothing that decides.

Everything that comes over the wire is decoded here into the project's own
types, and encoded back here. No name of the wire is used outside.
"""
