"""The adapter for the simulator's line protocol: decodes lines, calls the balancer, encodes its decisions."""
