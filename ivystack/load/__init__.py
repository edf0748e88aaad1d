"""Open-loop load: arrivals drawn before the run, and clients that send them when due and record the outcomes."""
