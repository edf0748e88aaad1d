"""What the proxies of a fleet do together: the operators' file, and the parts that it switches on."""
