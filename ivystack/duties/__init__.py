"""Duties: named leases, each held by at most one process of the fleet at a time."""
