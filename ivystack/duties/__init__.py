"""Duties that only one proxy of the fleet may hold at a time."""
