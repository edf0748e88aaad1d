"""The balancing decisions: whether, when, how often and to which server a request is sent.

Each rule has a module.  This package opens no sockets and reads no clocks: callers pass the time in whole
microseconds.  The entry point is `balancer`.  docs/design.md describes what is taken from the paper and when
each rule applies.
"""
