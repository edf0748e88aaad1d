"""Stand-ins on loopback for what a proxy talks to: cache nodes, their origin, discovery."""
