"""Adapters to the users' platform: its names, formats and calls, without decisions.

Data from the wire is decoded here into the project's own types, and encoded here.
Names used on the wire do not appear outside this package.
"""
