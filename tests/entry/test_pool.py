"""Take and put back connections to a target that answers and closes as told."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from chervilmill.aio import ClientConnection, ConnectError, RequestHead, ServerConnection
from chervilmill.entry._pool import MAX_IDLE, OpenReason, TargetPool
from chervilmill.routing import Target
from tests.aio.support import exchange, serving
from tests.support import free_address, play


async def _answer(conn: ServerConnection, head: RequestHead) -> None:
    await conn.answer(200, [], b"ok")


@asynccontextmanager
async def _target() -> AsyncIterator[Target]:
    async with serving(_answer) as (_, address):
        yield Target("t", 1, "app", address, "north-a", 6, False, 0.0)


async def _use_and_put_back(pool: TargetPool, target: Target) -> ClientConnection:
    conn = await pool.take(target)
    await exchange(conn)
    pool.put_back(target, conn)
    return conn


def test_connections_are_counted_by_why_they_were_opened() -> None:
    async def story() -> None:
        async with _target() as target:
            pool = TargetPool()
            first = await _use_and_put_back(pool, target)
            assert await pool.take(target) is first
            await _use_and_put_back(pool, target)
            await asyncio.sleep(0.7)  # the server's idle time-out is over
            await pool.take(target)
            assert pool.opened == {OpenReason.FIRST: 1, OpenReason.BUSY: 1, OpenReason.CLOSED: 1}

    play(story)


def test_rest_that_a_target_does_not_allow_opens_a_connection() -> None:
    async def story() -> None:
        async with _target() as target:
            pool = TargetPool()
            conn = await _use_and_put_back(pool, target)
            conn.idle_until_s = 0.0
            assert await pool.take(target) is not conn
            assert pool.opened[OpenReason.RESTED] == 1

    play(story)


def test_new_lifetime_of_a_target_takes_no_old_connection() -> None:
    async def story() -> None:
        async with _target() as target:
            pool = TargetPool()
            conn = await _use_and_put_back(pool, target)
            anew = Target("t", 2, "app", target.address, "north-a", 6, False, 0.0)
            assert await pool.take(anew) is not conn
            pool.drop(anew)
            assert await pool.take(target) is not conn

    play(story)


def test_no_more_than_a_few_connections_rest() -> None:
    async def story() -> None:
        async with _target() as target:
            pool = TargetPool()
            conns = [await pool.take(target) for _ in range(MAX_IDLE + 2)]
            for conn in conns:
                await exchange(conn)
                pool.put_back(target, conn)
            taken = [await pool.take(target) for _ in range(MAX_IDLE + 2)]
            assert len(set(taken) & set(conns)) == MAX_IDLE

    play(story)


def test_target_that_is_down_is_told_at_once() -> None:
    async def story() -> None:
        gone = Target("t", 1, "app", free_address(), "north-a", 6, False, 0.0)
        with pytest.raises(ConnectError):
            await TargetPool().take(gone)

    play(story)
