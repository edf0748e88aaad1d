"""Commands that were sent whole before the end of a graceful shutdown are answered."""

import signal
import time

import pytest
from stale_list import StaleListPlay

CONNECTIONS, COMMANDS_EACH = 40, 10
# Seconds after SIGTERM: the proxy drops commands that have arrived in part from 0.7 s on.
SENT_AFTER = 0.62


@pytest.fixture
def play(tmp_path):
    """Yield a play whose proxy is not started yet; end its processes."""
    play = StaleListPlay(tmp_path)
    yield play
    play.close()


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


def test_commands_that_wait_for_their_turn_at_the_end_of_a_shutdown_are_answered(play):
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
        client.sendall(batch[:5])  # part of a command keeps the connection open
    time.sleep(terminated_at + SENT_AFTER - time.monotonic())
    for client, batch in zip(play.clients, batches, strict=True):
        client.sendall(batch[5:])
    answers = [read_answers(client) for client in play.clients]
    assert sum(answers) == CONNECTIONS * COMMANDS_EACH, answers
