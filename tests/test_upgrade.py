"""Two real processes on one inherited socket."""

import os
import signal
import socket
import subprocess
import sys
import time

from ivystack.standin.apart import Client, Node
from test_main import free_port


def ended(process):
    told = process.communicate(timeout=10)[1]
    return process.returncode, told


def test_reqs_without_a_pause_pass_through_two_upgrades(make_launcher):
    node = Node(0.002)
    at = make_launcher(node)
    old = at.start()
    clients = [Client(at.address, b"%c" % letter) for letter in b"abcdefgh"]
    try:
        for _ in range(2):
            new = at.start()
            time.sleep(0.1)  # both serve
            old.send_signal(signal.SIGTERM)
            code, told = ended(old)
            assert code == 0 and b"ERROR" not in told
            old = new
            time.sleep(0.2)
    finally:
        for one in clients:
            one.on = False
        for one in clients:
            one.join()
    answers = {ident: answer for one in clients for ident, answer in one.answers.items()}
    assert not [ident for one in clients for ident in one.lost] and len(answers) > 200
    nacked = [ident for ident, answer in answers.items() if answer == b"-BUSY\r\n"]  # the window is small
    assert all(ident in answers[ident] for ident in answers.keys() - nacked)
    assert 10 * len(nacked) < len(answers)
    assert not set(nacked) & set(node.ids) and len(node.ids) == len(set(node.ids)) and new.poll() is None


def test_a_new_process_that_cannot_start_leaves_the_old_one_serving(make_launcher):
    at = make_launcher(Node())
    at.start()
    assert ended(at.start(settings=5))[0] == 2
    client = Client(at.address, b"x")
    time.sleep(0.2)
    client.on = False
    client.join()
    assert client.answers and not client.lost and not client.crossed


def test_a_descriptor_that_does_not_listen_ends_it_with_code_1_and_one_line(tmp_path):
    path = tmp_path / "config.json"
    path.write_text('{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}}')
    with socket.socket() as none, open(path) as file:
        for fd, code in ((none.fileno(), 1), (file.fileno(), 1), (900_000, 1), ("x", 2)):
            process = subprocess.run(
                [sys.executable, "-B", "-m", "ivystack"], stderr=subprocess.PIPE, timeout=10,
                env=os.environ | {"LB_CONFIG": str(path), "LB_FD": str(fd)},
                pass_fds=[none.fileno(), file.fileno()],
            )  # fmt: skip
            assert process.returncode == code and process.stderr.count(b"\n") == 1, process.stderr
            assert b"LB_FD" in process.stderr


def test_the_old_process_finishes_what_it_holds_and_the_new_one_takes_the_rest(make_launcher):
    node = Node(0.5)
    at = make_launcher(node)
    old = at.start()
    with socket.create_connection(at.address, timeout=10) as asking:
        asking.sendall(b"*4\r\n$7\r\nOBJ.GET\r\n$2\r\n7f\r\n$2\r\nid\r\n$11\r\nc=pay,d=900\r\n")
        while not node.ids:
            time.sleep(0.01)
        at.start()
        old.send_signal(signal.SIGTERM)
        assert asking.recv(100) == b"$2\r\nid\r\n" and asking.recv(100) == b""
    assert ended(old)[0] == 0 and node.ids == [b"id"]


def test_datagrams_go_to_the_new_process_once_the_old_one_lets_go(make_launcher):
    at = make_launcher(Node())
    talk = f"127.0.0.1:{free_port()}"
    old = at.start(peer_listen=talk, peers=[talk])
    new = at.start(peer_listen=talk, peers=[talk])  # serves though the address is taken
    old.send_signal(signal.SIGTERM)
    assert ended(old)[0] == 0
    host, port = talk.split(":")
    for _ in range(100):
        with open(f"/proc/{new.pid}/net/udp") as table:
            inodes = {line.split()[9] for line in table if f":{int(port):04X} " in line}
        held = {os.readlink(f"/proc/{new.pid}/fd/{fd}") for fd in os.listdir(f"/proc/{new.pid}/fd")}
        if any(f"socket:[{inode}]" in held for inode in inodes):
            return
        time.sleep(0.05)
    raise AssertionError("the new process never took the address")


def test_the_new_process_learns_the_slot_order_and_bounds_go_back_when_the_old_one_is_killed(make_launcher):
    at = make_launcher(Node(), Node(), Node())
    old = at.start()
    new = at.start()
    client = Client(at.address, b"x")
    time.sleep(0.2)
    old.kill()  # outright, half-way
    time.sleep(0.3)
    client.on = False
    client.join()
    assert not [ident for ident in client.lost if client.answers.get(ident)] and len(client.lost) <= 1
    assert len(client.answers) > 10
    new.send_signal(signal.SIGTERM)
    code, told = ended(new)
    assert code == 0 and b"hot restart: state imported generation=1 slots=3" in told
    assert told.index(b"other_process=True") < told.index(b"other_process=False")
    third = at.start()  # beside the killed one's leftover
    third.send_signal(signal.SIGTERM)
    assert ended(third)[0] == 0 and not [*(at.folder / "tmp").glob("*.sock")]
