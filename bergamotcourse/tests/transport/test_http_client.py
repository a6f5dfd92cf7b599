import contextlib
from contextlib import asynccontextmanager

import pytest
import trio
from expression import Result
from trio.testing import MockClock, lockstep_stream_pair, memory_stream_pair

from bergamotcourse.errors import Step
from bergamotcourse.transport.http import HttpError, HttpRequest, HttpResponse, Sent
from bergamotcourse.transport.http_client import (
    HttpClient,
    IdentityCheck,
    parse_http_address,
)
from bergamotcourse.transport.http_server import HttpServer
from bergamotcourse.transport.http_wire import is_readable

GET = HttpRequest("GET", "/a")
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
CLOSING = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
TIMEOUT = 5.0


class Dialer:
    """Opens connections in memory and keeps their server ends."""

    def __init__(self, answers=(), pair=memory_stream_pair):
        self.answers = list(answers)
        self.pair = pair
        self.servers = []

    async def connect(self, host, port):
        client, server = self.pair()
        self.servers.append(server)
        if self.answers:
            await server.send_all(self.answers.pop(0))
        return client


def run(script, clock=None):
    async def main():
        with trio.fail_after(1000 if clock else 30):
            return await script()

    return trio.run(main, clock=clock)


def run_on_virtual_clock(script):
    return run(script, MockClock(autojump_threshold=0))


def error_of(result) -> tuple[Step, Sent]:
    match result:
        case Result(tag="error", error=HttpError() as error):
            assert error.peer == "a:1"
            return error.step, error.sent
    raise AssertionError(result)


def request_with_response(answer: bytes, request=GET, end=True):
    """Return the result of a request, and whether its connection was closed.

    Args:
        answer: Bytes that the server sends.
        request: The request.
        end: Whether the server ends its stream after the request.
    """

    async def script():
        dialer = Dialer([answer])
        client = HttpClient("a", 1, body_bytes=10, connect=dialer.connect)
        async with trio.open_nursery() as nursery:

            @nursery.start_soon
            async def end_after_request():
                await trio.testing.wait_all_tasks_blocked()
                if end:
                    await dialer.servers[0].send_eof()

            result = await client.request(request, TIMEOUT)
            nursery.cancel_scope.cancel()
        closed = await is_closed(dialer.servers[0])
        assert len(client.idle) == (0 if closed else 1)
        return result, closed

    return run_on_virtual_clock(script)


async def is_closed(server) -> bool:
    """Return whether the client closes its end; discard what it has sent."""
    with trio.move_on_after(1):
        while await server.receive_some():
            pass
        return True
    return False


class TestResponses:
    @pytest.mark.parametrize(
        ("answer", "method", "body", "closed"),
        [
            (OK, "GET", b"hi", False),
            (OK, "POST", b"hi", False),
            (OK, "HEAD", b"", True),
            (OK.replace(b"\r\n\r\nhi", b"\r\n\r\n"), "HEAD", b"", False),
            (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, "GET", b"hi", False),
            (CLOSING, "GET", b"hi", True),
            (OK + b"more", "GET", b"hi", True),
            (b"HTTP/1.1 204 None\r\n\r\n", "GET", b"", False),
            (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                b"1\r\nh\r\n1\r\ni\r\n0\r\n\r\n",
                "GET",
                b"hi",
                False,
            ),
        ],
    )
    def test_complete_response_is_returned(self, answer, method, body, closed):
        result, was_closed = request_with_response(
            answer, HttpRequest(method, "/a"), end=False
        )
        assert result.ok.body == body
        assert was_closed is closed

    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            b"noise\r\n\r\n",
            OK[:20],
            OK[:-1],
            b"HTTP/1.1 200 OK\r\n\r\nuntold",
            b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n12345678901",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
        ],
    )
    def test_broken_response_is_an_error_and_closes(self, answer):
        result, closed = request_with_response(answer)
        assert error_of(result) == (Step.RECEIVE, Sent.MAYBE)
        assert closed

    def test_request_is_encoded_with_own_framing_headers(self):
        async def script():
            dialer = Dialer([OK])
            client = HttpClient("a", 1, connect=dialer.connect)
            headers = [
                ("Connection", "close"),
                ("Content-Length", "9"),
                ("x", "\u00e9"),
            ]
            await client.request(HttpRequest("POST", "/a?b", headers, b"abc"), TIMEOUT)
            return await dialer.servers[0].receive_some()

        head, _, body = run_on_virtual_clock(script).partition(b"\r\n\r\n")
        lines = [b"POST /a?b HTTP/1.1", b"host: a:1", b"x: \xe9", b"content-length: 3"]
        assert head.lower().split(b"\r\n")[1:] == lines[1:]
        assert head.startswith(lines[0])
        assert body == b"abc"


class TestErrors:
    def test_refused_connection_is_not_sent(self):
        async def script():
            with trio.socket.socket() as socket:
                await socket.bind(("127.0.0.1", 0))
                client = HttpClient("127.0.0.1", socket.getsockname()[1])
                return (await client.request(GET, TIMEOUT)).error

        error = run(script)
        assert (error.step, error.sent) == (Step.CONNECT, Sent.NOTHING)

    def test_invalid_header_is_not_sent(self):
        async def script():
            client = HttpClient("a", 1, connect=Dialer().connect)
            request = HttpRequest("GET", "/a", [("x", "a\r\nb")])
            return await client.request(request, TIMEOUT)

        assert error_of(run(script)) == (Step.SEND, Sent.NOTHING)

    def test_closed_client_sends_nothing(self):
        async def script():
            client = HttpClient("a", 1, connect=Dialer().connect)
            await client.aclose()
            return await client.request(GET, TIMEOUT)

        assert error_of(run(script)) == (Step.CONNECT, Sent.NOTHING)

    def test_timeout_in_connect_is_not_sent(self):
        async def connect(host, port):
            await trio.sleep_forever()

        async def script():
            return await HttpClient("a", 1, connect=connect).request(GET, TIMEOUT)

        assert error_of(run_on_virtual_clock(script)) == (Step.CONNECT, Sent.NOTHING)

    @pytest.mark.parametrize(
        ("pair", "step"),
        [(memory_stream_pair, Step.RECEIVE), (lockstep_stream_pair, Step.SEND)],
    )
    def test_timeout_after_sending_began_closes_connection(self, pair, step):
        async def script():
            dialer = Dialer(pair=pair)
            client = HttpClient("a", 1, connect=dialer.connect)
            result = await client.request(GET, TIMEOUT)
            assert await is_closed(dialer.servers[0])
            return result

        assert error_of(run_on_virtual_clock(script)) == (step, Sent.MAYBE)

    def test_failure_of_a_reused_connection_is_not_retried(self):
        async def script():
            dialer = Dialer([OK, OK])
            client = HttpClient("a", 1, connect=dialer.connect)
            assert (await client.request(GET, TIMEOUT)).is_ok()
            await dialer.servers[0].aclose()
            result = await client.request(GET, TIMEOUT)
            assert len(dialer.servers) == 1
            assert (await client.request(GET, TIMEOUT)).is_ok()
            assert len(dialer.servers) == 2
            return result

        assert error_of(run_on_virtual_clock(script)) == (Step.SEND, Sent.MAYBE)

    def test_cancellation_closes_connection_and_frees_slot(self):
        async def script():
            dialer = Dialer([b"", OK])
            client = HttpClient("a", 1, 1, connect=dialer.connect)
            with trio.move_on_after(1) as scope:
                await client.request(GET, TIMEOUT)
            assert scope.cancelled_caught
            assert await is_closed(dialer.servers[0])
            return await client.request(GET, TIMEOUT)

        assert run_on_virtual_clock(script).is_ok()


class TestPool:
    def test_queued_requests_run_in_order_and_time_out_unsent(self):
        async def script():
            dialer = Dialer()
            client = HttpClient("a", 1, 1, connect=dialer.connect)
            results = {}

            async def send_request(name):
                results[name] = await client.request(HttpRequest("GET", name), TIMEOUT)

            async with trio.open_nursery() as nursery:
                for name in ("/0", "/1", "/2"):
                    nursery.start_soon(send_request, name)
                    await trio.testing.wait_all_tasks_blocked()
                await trio.sleep(1)
                await dialer.servers[0].send_all(OK)
            assert len(dialer.servers) == 1
            sent = await dialer.servers[0].receive_some()
            assert [part in sent for part in (b"/0", b"/1", b"/2")] == [1, 1, 0]
            return results

        results = run_on_virtual_clock(script)
        assert results["/0"].is_ok()
        assert error_of(results["/1"]) == (Step.RECEIVE, Sent.MAYBE)
        assert error_of(results["/2"]) == (Step.QUEUE, Sent.NOTHING)

    @pytest.mark.parametrize(("pause", "connections"), [(29, 1), (31, 2)])
    def test_idle_connections_expire(self, pause, connections):
        async def script():
            dialer = Dialer([OK, OK])
            client = HttpClient("a", 1, connect=dialer.connect)
            assert (await client.request(GET, TIMEOUT)).is_ok()
            await trio.sleep(pause)
            if connections == 1:
                await dialer.servers[0].send_all(OK)
            assert (await client.request(GET, TIMEOUT)).is_ok()
            return len(dialer.servers)

        assert run_on_virtual_clock(script) == connections

    @pytest.mark.parametrize(("close_idle", "connections"), [(False, 2), (True, 3)])
    def test_timeout_closes_idle_connections_if_configured(
        self, close_idle, connections
    ):
        async def script():
            dialer = Dialer()
            client = HttpClient(
                "a", 1, connect=dialer.connect, close_idle_on_timeout=close_idle
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.request, GET, TIMEOUT)
                nursery.start_soon(client.request, GET, TIMEOUT)
                await trio.testing.wait_all_tasks_blocked()
                for server in dialer.servers:
                    await server.send_all(OK)
            assert (await client.request(GET, TIMEOUT)).is_error()
            dialer.answers = [OK]
            await client.request(GET, TIMEOUT)
            return len(dialer.servers)

        assert run_on_virtual_clock(script) == connections

    def test_aclose_closes_idle_connections(self):
        async def script():
            dialer = Dialer([OK])
            client = HttpClient("a", 1, connect=dialer.connect)
            await client.request(GET, TIMEOUT)
            await client.aclose()
            return await is_closed(dialer.servers[0])

        assert run_on_virtual_clock(script)


@asynccontextmanager
async def open_server(handler):
    server = HttpServer("127.0.0.1", 0, handler)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        await server.wait_open()
        yield server
        nursery.cancel_scope.cancel()


async def return_connection_number(request):
    return HttpResponse(200, body=f"{request.connection} {request.target}".encode())


class TestAbandonedRequest:
    """The server sends each response in parts, one each second."""

    PARTS = [b"HTTP/1.1 200 ", b"OK\r\n", b"content-length: 2\r\n", b"\r\n", b"o"]

    @pytest.mark.parametrize("by_timeout", [True, False], ids=["timeout", "cancel"])
    @pytest.mark.parametrize("checked", [True, False], ids=["check", "no check"])
    def test_next_request_gets_its_own_response(self, checked, by_timeout):
        """Guards against a late response that a reused connection delivers."""
        check = IdentityCheck(HttpRequest("GET", "/i"), lambda _response: None)

        async def serve(server):
            data = b""
            with trio.move_on_after(1000):
                while part := await server.receive_some():
                    data += part
                    while b"\r\n\r\n" in data:
                        head, _, data = data.partition(b"\r\n\r\n")
                        for piece in [*self.PARTS, head[5:6]]:
                            await trio.sleep(1)
                            await server.send_all(piece)

        async def give_up_after(seconds):
            async with trio.open_nursery() as nursery:

                async def connect(host, port):
                    client, server = memory_stream_pair()
                    nursery.start_soon(ignore_broken, serve, server)
                    return client

                identity = check if checked else None
                client = HttpClient(
                    "a", 1, connections=1, connect=connect, identity_check=identity
                )
                with trio.move_on_after(1000 if by_timeout else seconds):
                    await client.request(
                        HttpRequest("GET", "/1"), seconds if by_timeout else 1000
                    )
                result = await client.request(HttpRequest("GET", "/2"), 100)
                nursery.cancel_scope.cancel()
            return result.ok.body

        async def script():
            return [await give_up_after(half / 2) for half in range(1, 28)]

        assert set(run_on_virtual_clock(script)) == {b"o2"}


async def ignore_broken(serve, server):
    """Serve a connection until the client closes it."""
    with contextlib.suppress(trio.BrokenResourceError):
        await serve(server)


class TestWithServer:
    def test_concurrent_callers_share_connections_and_get_own_responses(self):
        seen = []

        async def script():
            async with open_server(return_connection_number) as server:
                client = HttpClient(server.host, server.port, connections=4)

                async def send_requests(caller):
                    for turn in range(20):
                        request = HttpRequest("GET", f"/{caller}/{turn}")
                        match await client.request(request, TIMEOUT):
                            case Result(tag="ok", ok=response):
                                connection, target = response.body.decode().split()
                                seen.append((connection, target == request.target))

                async with trio.open_nursery() as nursery:
                    for caller in range(8):
                        nursery.start_soon(send_requests, caller)
                await client.aclose()

        run(script)
        assert len(seen) == 160
        assert all(own for _, own in seen)
        assert len({connection for connection, _ in seen}) <= 4

    def test_idle_connection_closed_by_server_is_not_reused(self):
        async def script():
            server = await trio.open_tcp_listeners(0, host="127.0.0.1")
            client = HttpClient("127.0.0.1", server[0].socket.getsockname()[1])
            async with server[0], trio.open_nursery() as nursery:
                for _ in range(2):
                    results = []

                    @nursery.start_soon
                    async def send_request(results=results):
                        results.append(await client.request(GET, TIMEOUT))

                    stream = await server[0].accept()
                    await stream.receive_some()
                    await stream.send_all(OK)
                    while not results:
                        await trio.sleep(0.001)
                    assert results[0].is_ok()
                    await stream.aclose()
                    await trio.lowlevel.wait_readable(client.idle[0].stream.socket)
            await client.aclose()

        run(script)


class TestAddress:
    @pytest.mark.parametrize(
        ("url", "address"),
        [
            ("http://10.0.0.1:8000", ("10.0.0.1", 8000)),
            ("http://10.0.0.1", ("10.0.0.1", 80)),
            ("http://[::1]:80/", ("::1", 80)),
        ],
    )
    def test_valid_address_is_parsed(self, url, address):
        assert parse_http_address(url) == address

    @pytest.mark.parametrize(
        "url", ["https://10.0.0.1", "10.0.0.1:80", "http://", "http://a:b", ""]
    )
    def test_invalid_address_is_refused(self, url):
        with pytest.raises(ValueError):
            parse_http_address(url)


class TestIsReadable:
    def test_closed_socket_counts_as_readable(self):
        async def main():
            one, other = trio.socket.socketpair()
            with one, other:
                assert not is_readable(one)
                one.close()
                assert is_readable(one)

        trio.run(main)


class TestIdentityCheck:
    """The request that checks the identity of the server on each new connection."""

    def send_two_requests(self, accepted, answer=b"hi"):
        """Return the statuses of two responses and the targets of all requests."""
        targets = []

        async def handle(request):
            targets.append(request.target)
            return HttpResponse(200, [], answer)

        def check_response(response):
            return None if accepted else HttpResponse(421, [], response.body)

        async def script():
            server = HttpServer("127.0.0.1", 0, handle)
            identity_check = IdentityCheck(HttpRequest("GET", "/who"), check_response)
            client = HttpClient("127.0.0.1", 0, identity_check=identity_check)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run)
                await server.wait_open()
                client.port = server.port
                results = [await client.request(GET, TIMEOUT) for _ in range(2)]
                await client.aclose()
                nursery.cancel_scope.cancel()
            return [result.ok.status for result in results]

        return run(script), targets

    def test_check_runs_once_for_each_connection(self):
        assert self.send_two_requests(accepted=True) == (
            [200, 200],
            ["/who", "/a", "/a"],
        )

    def test_request_is_not_sent_after_failed_check(self):
        assert self.send_two_requests(accepted=False) == ([421, 421], ["/who", "/who"])
