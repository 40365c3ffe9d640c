"""A backend that is sound until SIGUSR1; then its answers never end: chunks of one byte each."""

import asyncio
import signal
import sys

from light_target import LightTarget

from chervilmill.addresses import Address

PIECES = b"1\r\na\r\n" * 4000


class BadTarget(LightTarget):
    """A backend that may turn faulty."""

    is_bad = False

    async def _answer(self, writer, status, request_id, lines, content, *, close=False):  # type: ignore[no-untyped-def]
        if not BadTarget.is_bad or not content:
            await super()._answer(writer, status, request_id, lines, content, close=close)
            return
        print(f"answers {request_id.decode()} without end", flush=True)
        own = [*lines, b"X-Chervilmill-Request-Id: " + request_id, b"Transfer-Encoding: chunked"]
        writer.write(b"\r\n".join([b"HTTP/1.1 " + status, *own, b"", b""]))
        while True:
            writer.write(PIECES)
            await writer.drain()


async def main() -> None:
    """Serve as NAME at HOST and PORT."""

    def turn_bad() -> None:
        BadTarget.is_bad = True

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, turn_bad)
    target = BadTarget(sys.argv[1], slots=int(sys.argv[4]), work_s=float(sys.argv[5]))
    await target.listen(Address(sys.argv[2], int(sys.argv[3])))
    print("listens", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
