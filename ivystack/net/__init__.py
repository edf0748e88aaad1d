"""The proxy's network layer: connections, encoding and timers; the balancer makes all decisions."""
