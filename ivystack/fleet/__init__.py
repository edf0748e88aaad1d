"""What the proxies of a fleet do together: its configuration file, and the services that it switches on."""
