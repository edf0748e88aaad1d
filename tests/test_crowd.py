"""Idle clients use up the file descriptors while discovery is down, under a real descriptor limit."""

import json
import os
import resource
import socket
import subprocess
import sys

import pytest
from moments import DiscoveryServer, CacheServer, SocketConnection, encode_gets
from test_main import connected, free_port

from ivystack.net.resp import encode_command


@pytest.mark.parametrize("sockets", [128, 1024])
@pytest.mark.parametrize("clients_state", ["silent", "answered"])
def test_the_list_and_a_new_client_get_descriptors_when_discovery_is_back(tmp_path, sockets, clients_state):
    node, port, discovery_port = CacheServer("n0"), free_port(), free_port()
    path = tmp_path / "config.json"
    request_class = {"name": "read", "semantics": "pure", "latency_budget": 10**10, "give_up": 10**10}
    path.write_text(json.dumps({
        "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery_port}",
        "limits": {"sockets": sockets},
        "settings": {"methods": [request_class], "limits": {"connect_timeout": 10**9, "conn_idle": 10**10}},
    }))  # fmt: skip
    log = (tmp_path / "log").open("wb")  # no pipe, because nothing reads it during the test
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "ivystack"], env=os.environ | {"LB_CONFIG": str(path)},
        stderr=log, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets,) * 2),
    )  # fmt: skip
    try:
        first = SocketConnection(connected(port))  # the proxy serves clients, but knows no server
        clients = [first]
        for _ in range(2 * sockets):  # all new clients are accepted, and the oldest are closed
            clients.append(SocketConnection(socket.create_connection(("127.0.0.1", port), timeout=10)))
            if clients_state == "answered":
                clients[-1].send(encode_command(b"PING"))
        agent = DiscoveryServer.__new__(DiscoveryServer)
        agent.listener = socket.create_server(("127.0.0.1", discovery_port))
        agent.listener.settimeout(10)
        watch, since = agent.accept_watch()  # the call for the list gets a descriptor
        agent.send_update(watch, 1, node.endpoint_entry(), whole=True)
        new_client = SocketConnection(socket.create_connection(("127.0.0.1", port), timeout=10))
        new_client.send(encode_gets(1, b"x", b"c=read,d=9000"))
        server_connection = node.accept()  # and so do a new client and its connection to a server
        assert server_connection.receive()[0] == b"OBJ.GET"
        server_connection.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
        assert since == 0 and new_client.receive() == b"v" and process.poll() is None
        assert len(os.listdir(f"/proc/{process.pid}/fd")) <= sockets
    finally:
        process.kill()
        process.wait()
        for client in clients:
            client.end()
    text = (tmp_path / "log").read_bytes()
    assert b"Too many open files" not in text and b"twisted:" not in text
