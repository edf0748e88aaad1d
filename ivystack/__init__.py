"""Spreads keys over cache nodes before a slow origin."""
