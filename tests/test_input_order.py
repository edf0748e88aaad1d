"""Input that is read while an earlier value of the same connection is being handled."""

from dataclasses import replace

import pytest
from helpers import connect_client, encode_get, encode_hit, make_proxy, open_server_connection

from ivystack.net.resp import MAX_BUFFERED_VALUE, RespProtocol, StreamedValue, encode_bulk, encode_command

VALUE = b"x" * 12_000  # longer than LineReceiver's line, so that it is read as a bulk string


class NestingReader(RespProtocol):
    """Collects values, and receives further input while it handles the first one."""

    max_value_size = 2 * MAX_BUFFERED_VALUE

    def __init__(self, later):
        super().__init__()
        self.values, self.pieces, self.later, self.calls = [], [], later, 0

    def value_received(self, value):
        self.values.append(value)
        self._read_more()

    def stream_started(self, size):
        return self._piece_received

    def _piece_received(self, piece):
        self.pieces.append(piece)
        self._read_more()

    def _read_more(self):
        later, self.later = self.later, b""
        if later:
            self.dataReceived(later)

    def input_handled(self):
        self.calls += 1


@pytest.mark.parametrize("size", [1, len(VALUE), MAX_BUFFERED_VALUE + 1])
def test_input_read_while_a_value_is_handled_comes_after_what_was_read_before(size):
    # Guards against bytes of one connection that change places (docs/incidents, 2026-12-04, commands).
    value = b"x" * size
    data = encode_bulk(value) + encode_command(b"second") + encode_command(b"third", b"argument")
    reader = NestingReader(later=data[-12:])
    reader.dataReceived(data[:-12])
    first = reader.values.pop(0)
    assert (first.size if isinstance(first, StreamedValue) else len(first)) == size
    assert reader.values == [[b"second"], [b"third", b"argument"]] and reader.calls == 1


def encode_set(request_id):
    return encode_command(b"OBJ.SET", b"7f", request_id, b"c=read,t=t,d=500", VALUE)


def test_commands_are_executed_in_order_if_the_client_is_checked_between_them():
    # Guards against a client being served with the value of another of its requests, or cut off.
    proxy = make_proxy()
    client = connect_client(proxy)
    data = encode_set(b"1") + encode_get(b"2") + encode_get(b"3") + encode_get(b"4") + encode_get(b"5")
    unread = [data[-100:-30], data[-30:]]
    client.transport.look_for_end = lambda: client.dataReceived(unread.pop(0)) if unread else True
    begun, callbacks = [], proxy.client_server.callbacks

    def check_client_and_begin(slot):
        # A retry that is due is decided within `begin`, and checks its client.
        begun.append(proxy.request_handler.requests[slot].frame.request_id)
        client.is_connected()
        callbacks.begin(slot)

    proxy.client_server.callbacks = replace(callbacks, begin=check_client_and_begin)
    client.dataReceived(data[:5_000])
    client.dataReceived(data[5_000:-100])
    while unread:
        client.dataReceived(unread.pop(0))
    assert begun == [b"1", b"2", b"3", b"4", b"5"]
    assert client.code is None


def test_nothing_is_pipelined_on_a_connection_whose_answers_are_being_read():
    # Guards against an attempt that is written behind answers which its connection still has to read.
    proxy = make_proxy(may_duplicate=True, streams_per_conn=100)
    proxy.server_pools.PIPELINE_FROM = 1
    client = connect_client(proxy)
    client.dataReceived(encode_get(b"1"))
    connection = open_server_connection(proxy)
    client.dataReceived(encode_get(b"2"))
    assert len(connection.in_flight) == 2
    can_pipeline, on_outcome = [], proxy.server_pools.on_outcome

    def record(in_flight, outcome, value):
        can_pipeline.append(connection.can_pipeline(100))
        on_outcome(in_flight, outcome, value)

    proxy.server_pools.on_outcome = record
    answers = encode_hit(b"first") + encode_hit(b"second")
    connection.dataReceived(answers[:6])
    connection.dataReceived(answers[6:])
    assert can_pipeline == [False, False]
