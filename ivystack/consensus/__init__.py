"""A consensus group: a few proxies that replicate one log, and the state machine that follows from it.

``core`` is Raft without I/O; ``replica`` runs it in a proxy with ``storage`` and the mesh; ``client`` asks
the group from any proxy; ``simulation`` plays groups in virtual time.
"""
