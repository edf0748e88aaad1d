"""Open-loop load: arrivals drawn before the run, and clients that send them and record the outcomes."""
