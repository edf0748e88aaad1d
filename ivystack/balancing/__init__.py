"""The balancing decisions: where a request goes, when, how often and whether at all; one module a rule.

Nothing here opens a socket or reads a clock: the callers pass the time in whole microseconds.  `balancer` is
the entry point; docs/design.md says what comes from the paper and when each rule acts.
"""
