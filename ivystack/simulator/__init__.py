"""Adapter for the simulator's line protocol: decode lines, call the balancer, encode its decisions."""
