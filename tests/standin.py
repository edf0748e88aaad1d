"""Stand-ins on loopback for tests with real processes: a node, discovery, a client that never pauses."""

import json
import socket
import threading
import time

from helpers import command


class Node(threading.Thread):
    """Answers each command after a while, with its id as value; keeps the ids in their order."""

    def __init__(self, wait=0.0, value=None):
        super().__init__(daemon=True)
        self.wait, self.value, self.ids = wait, value, []
        self.door = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.door.getsockname()[1]}"
        self.start()

    def run(self):
        while True:
            try:
                one = self.door.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.kept, args=(one,), daemon=True).start()

    def kept(self, one):
        try:
            self.serve(one)
        except OSError:  # the other side has gone
            pass

    def serve(self, one):
        with one, one.makefile("rb") as lines:
            while head := lines.readline():
                args = []
                for _ in range(int(head[1:])):
                    size = int(lines.readline()[1:])
                    args.append(lines.read(size + 2)[:-2])
                self.ids.append(args[2])
                time.sleep(self.wait)
                value = self.value or args[2]
                one.sendall(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value))


class Discovery(threading.Thread):
    """Keeps watches open and tells the same list to each."""

    def __init__(self, *nodes):
        super().__init__(daemon=True)
        entries = [
            {"instanceId": f"n{i}", "hostPort": node.address, "lifecycle": "SERVING", "startedAtMs": 0}
            for i, node in enumerate(nodes)
        ]
        self.known = {"generation": 1, "reset": True, "instances": entries}
        self.door = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.door.getsockname()[1]}"
        self.watches = []
        self.start()

    def run(self):
        line = json.dumps(self.known).encode() + b"\n"
        while True:
            try:
                one = self.door.accept()[0]
            except OSError:
                return
            one.recv(4_000)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            one.sendall(head + b"%x\r\n%b\r\n" % (len(line), line))
            self.watches.append(one)


class Client(threading.Thread):
    """Asks without a pause over one connection, anew when that ends; keeps each answer, and what was lost: a
    command on a new connection that ended without an answer; on a kept one it may cross the end, and goes out
    again once."""

    def __init__(self, address, name, fields=b"c=read,d=900"):
        super().__init__(daemon=True)
        self.address, self.name_, self.fields = address, name, fields
        self.answers, self.lost, self.crossed, self.on = {}, [], 0, True
        self.start()

    def run(self):
        number, one = 0, None
        while self.on:
            number += 1
            ident = b"%b%d" % (self.name_, number)
            for kept in (True, False):
                fresh = one is None
                if fresh:
                    one = socket.create_connection(self.address, timeout=10)
                answer = self.ask(one, ident)
                if answer:
                    self.answers[ident] = answer
                    break
                one.close()
                one = None
                self.crossed += not fresh
                if fresh or not kept:
                    self.lost.append(ident)
                    break
        if one:
            one.close()

    def ask(self, one, ident):
        text = b""
        try:
            one.sendall(command(b"OBJ.GET", b"7f", ident, self.fields))
            while not text.endswith(b"\r\n") or (text[:1] == b"$" and text.count(b"\r\n") < 2):
                more = one.recv(65_536)
                if not more:
                    return b""
                text += more
        except OSError:
            return b""
        return text
