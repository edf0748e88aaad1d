"""Stand-ins on loopback for the servers that a proxy uses: cache servers, their origin, and discovery."""
