"""Reads, checks and applies the configuration of a proxy and of a simulated instance."""
