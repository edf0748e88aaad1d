"""Open-loop load: arrivals drawn ahead, clients that send them when they are due, what came of each."""
