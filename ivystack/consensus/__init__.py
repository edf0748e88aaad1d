"""A few proxies that agree on one log, and the state that follows from it."""
