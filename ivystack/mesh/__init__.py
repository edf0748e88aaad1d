"""Lasting links between proxies: signed, bounded, and needed by no req."""
