"""A Raft consensus group: a few proxies replicate a log and apply its entries to a state machine.

``core`` implements Raft without I/O. ``replica`` runs the core in a proxy, with ``storage`` and the mesh.
``client`` sends requests to the group from any proxy. ``simulation`` runs groups in virtual time.
"""
