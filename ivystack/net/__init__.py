"""The proxy on sockets: connections, bytes and deadlines; it decides nothing."""
