"""Commands that were sent whole before the end of a graceful shutdown are answered."""

import signal
import threading
import time

import pytest
from helpers import encode_command

CONNECTIONS, COMMANDS_EACH = 40, 10
# Seconds after SIGTERM: the proxy drops commands that have arrived in part from 0.7 s on.
SENT_AFTER = 0.62
PART_BYTES = 5  # of a command
ENDED_WITHIN = 3.7  # seconds from SIGTERM: SIGKILL may come then (3 s at most for an answer, and 0.7 s)


def read_answers(client):
    """Return how many answers arrive before the connection ends, up to those of all its commands."""
    client.settimeout(10)
    data = b""
    while data.count(b"\r\n") < 2 * COMMANDS_EACH:
        try:
            received = client.recv(65_536)
        except ConnectionError:
            break
        if not received:
            break
        data += received
    return data.count(b"\r\n") // 2


@pytest.mark.parametrize("stalled_for", [0.0, 0.6])
def test_commands_that_wait_for_their_turn_at_the_end_of_a_shutdown_are_answered(play, stalled_for):
    # Guards against whole commands that are taken for half ones, because they wait for their turn.
    play.start()
    play.connect(CONNECTIONS)
    batches = [
        b"".join(play.command(number * COMMANDS_EACH + place) for place in range(COMMANDS_EACH))
        for number in range(CONNECTIONS)
    ]
    play.process.send_signal(signal.SIGTERM)
    terminated_at = time.monotonic()
    for client, batch in zip(play.clients, batches, strict=True):
        client.sendall(batch[:PART_BYTES])  # keeps the connection open
    time.sleep(terminated_at + SENT_AFTER - time.monotonic())
    if stalled_for:
        play.process.send_signal(signal.SIGSTOP)
    for client, batch in zip(play.clients, batches, strict=True):
        client.sendall(batch[PART_BYTES:])
    time.sleep(stalled_for)
    play.process.send_signal(signal.SIGCONT)
    answers = [read_answers(client) for client in play.clients]
    assert sum(answers) == CONNECTIONS * COMMANDS_EACH, answers
    assert play.process.wait(timeout=10) == 0


def test_the_first_command_of_a_new_connection_may_come_late_in_a_shutdown(play):
    # Guards against 0.1 s without a command that are taken for a client that sends nothing.
    play.start()
    play.connect(1)
    play.process.send_signal(signal.SIGTERM)
    terminated_at = time.monotonic()
    time.sleep(0.2)
    play.connect(CONNECTIONS)
    time.sleep(terminated_at + SENT_AFTER - time.monotonic())
    for number, client in enumerate(play.clients):
        client.sendall(b"".join(play.command(number * COMMANDS_EACH + n) for n in range(COMMANDS_EACH)))
    assert sum(map(read_answers, play.clients)) == CONNECTIONS * COMMANDS_EACH


def test_a_part_of_a_command_does_not_hold_up_a_shutdown(play):
    play.start()
    play.connect(CONNECTIONS)
    for number, client in enumerate(play.clients):
        client.sendall(play.command(number)[:PART_BYTES])
    time.sleep(0.1)
    play.process.send_signal(signal.SIGTERM)
    terminated_at = time.monotonic()
    assert play.process.wait(timeout=10) == 0
    assert time.monotonic() - terminated_at < ENDED_WITHIN


class Flood(threading.Thread):
    """Sends PINGs over one connection, without a pause, until the connection ends."""

    def __init__(self, client):
        super().__init__(daemon=True)
        self.client = client
        self.start()

    def run(self):
        reader = threading.Thread(target=self.read, daemon=True)
        reader.start()
        try:
            while True:
                self.client.sendall(encode_command(b"PING") * 1000)
        except OSError:
            reader.join()

    def read(self):
        try:
            while self.client.recv(1 << 20):
                pass
        except OSError:
            return


def test_a_flood_of_commands_does_not_hold_up_a_shutdown(play):
    play.start()
    play.connect(4)
    floods = [Flood(client) for client in play.clients]
    time.sleep(0.3)
    play.process.send_signal(signal.SIGTERM)
    terminated_at = time.monotonic()
    assert play.process.wait(timeout=10) == 0
    assert time.monotonic() - terminated_at < ENDED_WITHIN
    for flood in floods:
        flood.join()
