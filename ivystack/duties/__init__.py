"""Duties: named leases, each of which is held by at most one process of the fleet at a time."""
