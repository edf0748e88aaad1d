"""Hot restart with two real processes that accept on one inherited socket."""

import os
import signal
import socket
import subprocess
import sys
import time

from ivystack.standin.apart import Client, Node
from test_main import free_port


def wait_for_exit(process):
    """Return the exit code and the log of a process that ends."""
    log = process.communicate(timeout=10)[1]
    return process.returncode, log


def test_continuous_requests_are_served_through_two_upgrades(make_launcher):
    node = Node(0.002)
    launcher = make_launcher(node)
    old = launcher.start()
    clients = [Client(launcher.address, b"%c" % letter) for letter in b"abcdefgh"]
    try:
        for _ in range(2):
            new = launcher.start()
            time.sleep(0.1)  # both processes serve
            old.send_signal(signal.SIGTERM)
            code, log = wait_for_exit(old)
            assert code == 0 and b"ERROR" not in log
            old = new
            time.sleep(0.2)
    finally:
        for client in clients:
            client.running = False
        for client in clients:
            client.join()
    answers = {ident: answer for client in clients for ident, answer in client.answers.items()}
    assert not [ident for client in clients for ident in client.lost] and len(answers) > 200
    # Some requests are rejected, because the concurrency limit is low.
    rejected = [ident for ident, answer in answers.items() if answer == b"-BUSY\r\n"]
    assert all(ident in answers[ident] for ident in answers.keys() - rejected)
    assert 10 * len(rejected) < len(answers)
    assert not set(rejected) & set(node.ids) and len(node.ids) == len(set(node.ids)) and new.poll() is None


def test_a_new_process_that_cannot_start_leaves_the_old_one_serving(make_launcher):
    launcher = make_launcher(Node())
    launcher.start()
    assert wait_for_exit(launcher.start(settings=5))[0] == 2
    client = Client(launcher.address, b"x")
    time.sleep(0.2)
    client.running = False
    client.join()
    assert client.answers and not client.lost and not client.resent


def test_an_inherited_descriptor_that_does_not_listen_ends_the_process_with_one_line(tmp_path):
    path = tmp_path / "config.json"
    path.write_text('{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}}')
    with socket.socket() as unbound, open(path) as file:
        for fd, code in ((unbound.fileno(), 1), (file.fileno(), 1), (900_000, 1), ("x", 2)):
            process = subprocess.run(
                [sys.executable, "-B", "-m", "ivystack"], stderr=subprocess.PIPE, timeout=10,
                env=os.environ | {"LB_CONFIG": str(path), "LB_FD": str(fd)},
                pass_fds=[unbound.fileno(), file.fileno()],
            )  # fmt: skip
            assert process.returncode == code and process.stderr.count(b"\n") == 1, process.stderr
            assert b"LB_FD" in process.stderr


def test_the_old_process_answers_its_active_requests_before_it_ends(make_launcher):
    node = Node(0.5)
    launcher = make_launcher(node)
    old = launcher.start()
    with socket.create_connection(launcher.address, timeout=10) as client:
        client.sendall(b"*4\r\n$7\r\nOBJ.GET\r\n$2\r\n7f\r\n$2\r\nid\r\n$11\r\nc=pay,d=900\r\n")
        while not node.ids:
            time.sleep(0.01)
        launcher.start()
        old.send_signal(signal.SIGTERM)
        assert client.recv(100) == b"$2\r\nid\r\n" and client.recv(100) == b""
    assert wait_for_exit(old)[0] == 0 and node.ids == [b"id"]


def test_the_new_process_binds_the_gossip_address_after_the_old_one_ends(make_launcher):
    launcher = make_launcher(Node())
    gossip_address = f"127.0.0.1:{free_port()}"
    old = launcher.start(peer_listen=gossip_address, peers=[gossip_address])
    # Serves although the gossip address is in use.
    new = launcher.start(peer_listen=gossip_address, peers=[gossip_address])
    old.send_signal(signal.SIGTERM)
    assert wait_for_exit(old)[0] == 0
    host, port = gossip_address.split(":")
    for _ in range(100):
        with open(f"/proc/{new.pid}/net/udp") as table:
            inodes = {line.split()[9] for line in table if f":{int(port):04X} " in line}
        open_files = {os.readlink(f"/proc/{new.pid}/fd/{fd}") for fd in os.listdir(f"/proc/{new.pid}/fd")}
        if any(f"socket:[{inode}]" in open_files for inode in inodes):
            return
        time.sleep(0.05)
    raise AssertionError("the new process did not bind the gossip address")


def test_the_new_process_imports_the_slot_order_and_restores_its_limits_when_the_old_one_is_killed(
    make_launcher,
):
    launcher = make_launcher(Node(), Node(), Node())
    old = launcher.start()
    new = launcher.start()
    client = Client(launcher.address, b"x")
    time.sleep(0.2)
    old.kill()  # SIGKILL during the hot restart
    time.sleep(0.3)
    client.running = False
    client.join()
    assert not [ident for ident in client.lost if client.answers.get(ident)] and len(client.lost) <= 1
    assert len(client.answers) > 10
    new.send_signal(signal.SIGTERM)
    code, log = wait_for_exit(new)
    assert code == 0 and b"hot restart: state imported generation=1 slots=3" in log
    assert log.index(b"other_process=True") < log.index(b"other_process=False")
    third = launcher.start()  # finds the socket that the killed process left behind
    third.send_signal(signal.SIGTERM)
    assert wait_for_exit(third)[0] == 0 and not [*(launcher.folder / "tmp").glob("*.sock")]
