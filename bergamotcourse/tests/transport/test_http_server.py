import re

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock, lockstep_stream_pair, memory_stream_pair

from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_connection import (
    PIPELINE_BYTES,
    STOP_GRACE_SECONDS,
    ServerConnection,
)
from bergamotcourse.transport.http_server import HttpServer, ServerLimits
from bergamotcourse.transport.http_wire import RECEIVE_BYTES

GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
LAST_GET = b"GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nhost: a\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
FLOOD = 5000
"""Pipelined requests, whose bytes exceed ``PIPELINE_BYTES``."""

LIMITS = ServerLimits(header_bytes=200, body_bytes=10, connections=1)
EDGE_CASE_RESPONSES = {
    "/204": HttpResponse(204, body=b"dropped"),
    "/framing": HttpResponse(200, [("Content-Length", "99"), ("Connection", "x")]),
    "/header": HttpResponse(200, [("x", "a\r\nb")]),
    "/name": HttpResponse(200, [("\u00e9", "a")]),
    "/status": HttpResponse(99),
    "/close": HttpResponse(200, close=True),
}


async def echo(request: HttpRequest) -> HttpResponse:
    if request.target == "/raise":
        raise RuntimeError("fault of the handler")
    if request.target == "/group":
        async with trio.open_nursery():
            raise RuntimeError("fault of a task of the handler")
    if request.target in EDGE_CASE_RESPONSES:
        return EDGE_CASE_RESPONSES[request.target]
    text = f"{request.method} {request.target} {request.body.decode()}"
    return HttpResponse(200, [("x-peer", request.peer)], text.encode())


async def read_all(stream) -> bytes:
    return b"".join([data async for data in stream])


async def read_until(stream, end: bytes) -> bytes:
    data = b""
    while not data.endswith(end):
        part = await stream.receive_some()
        assert part, data
        data += part
    return data


def statuses(data: bytes) -> list[int]:
    return [int(code) for code in re.findall(rb"HTTP/1\.1 (\d+) ", data)]


def converse(script, handler=echo, limits=LIMITS, pair=memory_stream_pair):
    """Run a script against one connection in memory on a virtual clock."""

    async def main():
        client, server = pair()
        connection = ServerConnection(server, handler, limits, "peer", 7)
        with trio.fail_after(1000):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                return await script(client, connection)

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def exchange(sent: bytes, end: bool = False, **options) -> bytes:
    """Return all bytes that the server sends until it closes."""

    async def script(client, connection):
        await client.send_all(sent)
        if end:
            await client.send_eof()
        return await read_all(client)

    return converse(script, **options)


def serve(script, handler=echo, limits=LIMITS):
    """Run a script against a server on TCP."""

    async def main():
        server = HttpServer("127.0.0.1", 0, handler, limits)
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run)
                await server.wait_open()
                await script(server)
                nursery.cancel_scope.cancel()
        assert server.open_connections == 0

    trio.run(main)


async def dial(server: HttpServer) -> trio.SocketStream:
    return await trio.open_tcp_stream(server.host, server.port)


class TestAnswers:
    @pytest.mark.parametrize(
        ("sent", "body"),
        [
            (GET, b"GET /a "),
            (POST + b"content-length: 3\r\n\r\nabc", b"POST /a abc"),
            (
                POST
                + b"transfer-encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
                b"POST /a abc",
            ),
        ],
    )
    def test_body_is_echoed_and_connection_kept(self, sent, body):
        answer = exchange(sent + LAST_GET)
        assert statuses(answer) == [200, 200]
        assert b"content-length: %d\r\n\r\n%sHTTP/" % (len(body), body) in answer
        assert answer.lower().endswith(b"connection: close\r\n\r\nget /last ")

    @pytest.mark.parametrize(
        ("target", "status", "present", "absent"),
        [
            ("/204", 204, b"HTTP/1.1 204 ", b"content-length"),
            ("/framing", 200, b"content-length: 0", b"99"),
            ("/header", 500, b"application/problem+json", b"x: a"),
            ("/name", 500, b"application/problem+json", b"a: "),
            ("/status", 500, b"application/problem+json", b" 99"),
            ("/raise", 500, b"application/problem+json", b"fault"),
            ("/group", 500, b"application/problem+json", b"fault"),
        ],
    )
    def test_invalid_response_or_failed_handler_keeps_connection(
        self, target, status, present, absent, caplog
    ):
        answer = exchange(GET.replace(b"/a", target.encode()) + LAST_GET)
        assert statuses(answer) == [status, 200]
        first = answer[: answer.rindex(b"HTTP/1.1")]
        assert present in first
        assert absent not in first
        assert [record.levelname for record in caplog.records] == (
            ["ERROR"] if status == 500 else []
        )

    def test_response_of_wrong_type_closes_only_its_connection(self, caplog):
        async def handler(request):
            return "text"

        assert exchange(GET, handler=handler) == b""
        assert "connection of peer failed" in caplog.text

    @pytest.mark.parametrize(
        "sent", [GET.replace(b"/a", b"/close") + GET, GET.replace(b"1.1", b"1.0") + GET]
    )
    def test_connection_closes_after_response(self, sent):
        answer = exchange(sent)
        assert statuses(answer) == [200]
        assert b"connection: close" in answer.lower()

    def test_head_response_has_length_and_no_body(self):
        answer = exchange(LAST_GET.replace(b"GET", b"HEAD"))
        assert b"content-length: 11\r\n" in answer
        assert answer.endswith(b"\r\n\r\n")

    @pytest.mark.parametrize(
        ("named", "body", "length"),
        [("99", b"", 99), ("99", b"abc", 3), ("x", b"", 0), ("\u0661", b"", 0)],
    )
    def test_head_response_without_body_has_the_length_that_it_names(
        self, named, body, length
    ):
        async def handler(request):
            return HttpResponse(200, [("Content-Length", named)], body)

        head = GET.replace(b"GET", b"HEAD")
        answer = exchange(head + LAST_GET, handler=handler)
        assert statuses(answer) == [200, 200]
        lengths = re.findall(rb"content-length: (\S+)\r\n", answer)
        assert lengths == [b"%d" % length, b"%d" % len(body)]

    def test_handler_gets_peer_and_connection_number(self):
        seen = []

        async def handler(request):
            seen.append((request.peer, request.connection, request.header("host")))
            return HttpResponse(200)

        exchange(GET + LAST_GET, handler=handler)
        assert seen == [("peer", 7, "a")] * 2

    @pytest.mark.parametrize("parts", [[b"\r\n"], [b"\r\n\r\n"], [b"\r", b"\n"]])
    @pytest.mark.parametrize("apart", [True, False])
    def test_empty_line_after_body_is_no_request(self, parts, apart):
        """Guards against an error that the client takes for its next response."""
        first = POST + b"content-length: 3\r\n\r\nabc"

        async def script(client, connection):
            if apart:
                await client.send_all(first)
                answer = await read_until(client, b"POST /a abc")
                for part in parts:
                    await client.send_all(part)
                    await trio.sleep(LIMITS.header_seconds)
                await client.send_all(LAST_GET)
            else:
                answer = b""
                await client.send_all(first + b"".join(parts) + LAST_GET)
            return answer + await read_all(client)

        answer = converse(script)
        assert statuses(answer) == [200, 200]
        assert answer.endswith(b"GET /last ")

    def test_empty_lines_do_not_keep_an_idle_connection(self):
        async def script(client, connection):
            await client.send_all(GET)
            with pytest.raises(trio.BrokenResourceError):
                while True:
                    await client.send_all(b"\r\n")
                    await trio.sleep(1)
            return trio.current_time()

        assert converse(script) == pytest.approx(LIMITS.idle_seconds, abs=2)

    @pytest.mark.parametrize("wait", [True, False])
    def test_expect_continue_is_sent_only_if_body_is_missing(self, wait):
        async def script(client, connection):
            head = POST + b"expect: 100-continue\r\ncontent-length: 3\r\n\r\n"
            await client.send_all(head if wait else head + b"abc")
            first = await read_until(client, b"\r\n\r\n") if wait else b""
            await client.send_all(b"abc" if wait else b"")
            rest = await read_until(client, b"POST /a abc")
            await client.aclose()
            return statuses(first + rest)

        assert converse(script) == ([100, 200] if wait else [200])

    def test_pipelined_requests_are_answered_in_order(self):
        async def handler(request):
            await trio.sleep(10 if request.target == "/a" else 1)
            return await echo(request)

        answer = exchange(GET + GET.replace(b"/a", b"/b") + LAST_GET, handler=handler)
        assert re.findall(rb"GET (/\w+) ", answer) == [b"/a", b"/b", b"/last"]

    def test_pipelined_flood_is_buffered_in_bounds_and_answered(self):
        async def handler(request):
            await trio.sleep(0.1)
            return HttpResponse(200)

        async def script(client, connection):
            await client.send_all(GET * FLOOD + LAST_GET)
            await trio.testing.wait_all_tasks_blocked()
            assert 0 < len(connection.received) < PIPELINE_BYTES + RECEIVE_BYTES
            return await read_all(client)

        assert len(statuses(converse(script, handler))) == FLOOD + 1


class TestRefusals:
    @pytest.mark.parametrize(
        ("sent", "end", "status"),
        [
            (b"\x00\xff\r\n\r\n", False, 400),
            (b"GET /a HTTP/1.1\r\n\r\n", False, 400),
            (b"GET /a HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n", False, 400),
            (POST + b"content-length: -1\r\n\r\n", False, 400),
            (CHUNKED + b"zz\r\n", False, 400),
            (POST + b"transfer-encoding: gzip\r\n\r\n", False, 501),
            (GET.replace(b"GET", b"CONNECT"), False, 501),
            (GET[:-2] + b"x: " + b"a" * 200 + b"\r\n\r\n", False, 431),
            (GET[:-2] + b"x: " + b"a" * 200, False, 431),
            (POST + b"content-length: 11\r\n\r\n", False, 413),
            (POST + b"expect: 100-continue\r\ncontent-length: 11\r\n\r\n", False, 413),
            (CHUNKED + b"b\r\n" + b"a" * 11, False, 413),
            (b"\r\n", True, 400),
            (GET[:-2], True, 400),
            (POST + b"content-length: 3\r\n\r\nab", True, 400),
            (POST + b"content-length: 3\r\n\r\nab", False, 408),
            (GET[:-2], False, 408),
            (GET[:3], False, 408),
        ],
    )
    def test_bad_request_gets_problem_then_close(self, sent, end, status):
        calls = []
        answer = exchange(sent, end, handler=calls.append)
        assert statuses(answer) == [status]
        assert b"content-type: application/problem+json" in answer
        assert b"connection: close" in answer
        assert b'"status":%d' % status in answer
        assert calls == []

    def test_client_that_sends_nothing_gets_no_response(self):
        assert exchange(b"", end=True) == b""


class TestTimeouts:
    @pytest.mark.parametrize(
        ("sent", "seconds"),
        [
            (b"", LIMITS.idle_seconds),
            (GET, LIMITS.idle_seconds),
            (GET[:-2], LIMITS.header_seconds),
            (POST + b"content-length: 3\r\n\r\nab", LIMITS.body_seconds),
        ],
    )
    def test_slow_client_is_closed_after_timeout(self, sent, seconds):
        async def script(client, connection):
            start = trio.current_time()
            await client.send_all(sent)
            await read_all(client)
            return trio.current_time() - start

        assert converse(script) == pytest.approx(seconds)

    def test_trickled_headers_do_not_extend_timeout(self):
        async def script(client, connection):
            async with trio.open_nursery() as nursery:

                @nursery.start_soon
                async def trickle():
                    for at in range(len(GET)):
                        await client.send_all(GET[at : at + 1])
                        await trio.sleep(1)

                answer = await read_all(client)
                nursery.cancel_scope.cancel()
            return answer

        assert statuses(converse(script)) == [408]

    def test_no_response_follows_a_part_of_100_continue(self):
        """Guards against a response inside of another one."""

        def pair():
            client, server = memory_stream_pair()
            send_all = server.send_all

            async def stall(data):
                if data.startswith(b"HTTP/1.1 100"):
                    await send_all(data[:5])
                    await trio.sleep_forever()
                await send_all(data)

            server.send_all = stall
            return client, server

        head = POST + b"expect: 100-continue\r\ncontent-length: 3\r\n\r\n"
        assert exchange(head, pair=pair) == b"HTTP/"

    def test_client_that_does_not_read_is_closed(self):
        async def script(client, connection):
            await client.send_all(GET)
            await trio.sleep(LIMITS.write_seconds + 1)
            with pytest.raises(trio.BrokenResourceError):
                await client.send_all(GET)

        converse(script, pair=lockstep_stream_pair)


class TestDisconnect:
    def test_end_of_stream_cancels_handler(self):
        async def handler(request):
            await trio.sleep_forever()

        assert exchange(GET, end=True, handler=handler) == b""

    @pytest.mark.parametrize("ahead", [b"", GET])
    def test_disconnect_cancels_handler(self, ahead):
        events = []

        async def handler(request):
            events.append("started")
            try:
                await trio.sleep_forever()
            except trio.Cancelled:
                events.append("cancelled")
                raise

        async def script(client, connection):
            await client.send_all(GET + ahead)
            await trio.testing.wait_all_tasks_blocked()
            await client.aclose()

        converse(script, handler=handler)
        assert events == ["started", "cancelled"]


class TestCloseAfterNextResponses:
    def test_idle_connection_gets_one_more_response(self):
        async def script(server):
            client = await dial(server)
            await client.send_all(GET)
            assert b"connection: close" not in await read_until(client, b"GET /a ")
            server.close_after_next_responses()
            await trio.sleep(STOP_GRACE_SECONDS * 2)
            await client.send_all(GET)
            answer = await read_all(client)
            assert statuses(answer) == [200]
            assert b"connection: close" in answer
            await client.aclose()

        serve(script, echo, ServerLimits())

    def test_new_connection_gets_one_response(self):
        async def script(server):
            server.close_after_next_responses()
            client = await dial(server)
            await client.send_all(GET + GET)
            assert statuses(await read_all(client)) == [200]
            await client.aclose()

        serve(script, echo, ServerLimits())


class TestCloseChosenConnections:
    """Closing an idle connection, or a wrong one, could lose a request."""

    @pytest.mark.parametrize("kept_open", [False, True])
    def test_chosen_connection_gets_one_more_response(self, kept_open):
        async def script(server):
            other, chosen = await dial(server), await dial(server)
            for client in (other, chosen):
                await client.send_all(GET)
                await read_until(client, b"GET /a ")
            ages = {one.number: one.opened_at for one in server.connections}
            assert ages == dict(sorted(ages.items(), key=lambda item: item[1]))
            server.close_after_next_response({max(ages)})
            if kept_open:
                server.keep_open({max(ages)})
            await trio.sleep(STOP_GRACE_SECONDS * 2)
            for client in (other, chosen):
                await client.send_all(GET)
                answer = await read_until(client, b"GET /a ")
                closes = client is chosen and not kept_open
                assert (b"connection: close" in answer) == closes
                await client.aclose()

        serve(script, echo, ServerLimits())

    def test_stop_is_not_undone(self):
        async def script(server):
            client = await dial(server)
            await client.send_all(GET)
            await read_until(client, b"GET /a ")
            (connection,) = server.connections
            server.close_after_next_responses()
            server.keep_open({connection.number})
            await client.send_all(GET)
            assert b"connection: close" in await read_all(client)
            await client.aclose()

        serve(script, echo, ServerLimits())


class TestStop:
    @pytest.mark.parametrize(("delay", "expected"), [(0.2, [200]), (0.3, [])])
    def test_idle_connection_stays_open_for_grace_time(self, delay, expected):
        async def script(client, connection):
            await trio.testing.wait_all_tasks_blocked()
            connection.begin_stop()
            await trio.sleep(delay)
            if expected:
                await client.send_all(GET)
            return statuses(await read_all(client))

        assert converse(script) == expected

    def test_stop_finishes_requests_and_closes_connections(self):
        started, finish = trio.Event(), trio.Event()

        async def handler(request):
            started.set()
            await finish.wait()
            return HttpResponse(200)

        async def script(server):
            busy, idle = await dial(server), await dial(server)
            await busy.send_all(GET)
            await started.wait()
            server.begin_stop()
            assert await read_all(idle) == b""
            with pytest.raises(OSError):
                await dial(server)
            finish.set()
            answer = await read_all(busy)
            assert statuses(answer) == [200]
            assert b"connection: close" in answer
            await busy.aclose()
            await idle.aclose()
            await server.wait_stopped()
            assert server.open_connections == 0

        serve(script, handler, ServerLimits())

    def test_connection_queued_in_kernel_is_answered_after_stop(self):
        async def main():
            server = HttpServer("127.0.0.1", 0, echo)
            (listener,) = await server.open()
            client = await dial(server)
            await client.send_all(GET)
            with trio.fail_after(30):
                await trio.lowlevel.wait_readable(listener.socket)
                server.begin_stop()
                async with trio.open_nursery() as nursery:
                    await server.accept_until_stop(listener, nursery)
                    assert statuses(await read_all(client)) == [200]
                    await client.aclose()

        trio.run(main)


class TestConnectionLimit:
    def test_connection_above_limit_gets_503_until_one_closes(self):
        async def script(server):
            first = await dial(server)
            await first.send_all(GET)
            await read_until(first, b"GET /a ")
            assert server.open_connections == 1
            second = await dial(server)
            refusal = await read_all(second)
            assert statuses(refusal) == [503]
            assert b"retry-after: 1\r\n" in refusal
            await second.aclose()
            await first.send_all(LAST_GET)
            assert statuses(await read_all(first)) == [200]
            await first.aclose()
            while server.open_connections:
                await trio.sleep(0.001)
            third = await dial(server)
            await third.send_all(LAST_GET)
            assert statuses(await read_all(third)) == [200]
            await third.aclose()

        serve(script)


PIECES = st.sampled_from([GET, POST, b"content-length: 3\r\n", b"\r\n", b"abc", b"\0"])


class TestFuzz:
    @settings(max_examples=60)
    @given(st.lists(PIECES | st.binary(max_size=30), max_size=6).map(b"".join))
    def test_server_survives_any_bytes(self, noise):
        async def script(server):
            bad = await dial(server)
            try:
                await bad.send_all(noise)
                await bad.send_eof()
                await read_all(bad)
            except trio.BrokenResourceError:
                pass
            await bad.aclose()
            good = await dial(server)
            await good.send_all(LAST_GET)
            assert statuses(await read_all(good)) == [200]
            await good.aclose()

        serve(script, limits=ServerLimits())
