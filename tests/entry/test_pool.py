"""Acquire and release connections to a stand-in target."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from chervilmill.aio import ClientConnection, ConnectError, RequestHead, ServerConnection
from chervilmill.entry._pool import MAX_IDLE_PER_TARGET, OpenReason, TargetPool
from chervilmill.routing import Target
from tests.aio.support import exchange, serving
from tests.support import free_address, run_async


async def _answer(conn: ServerConnection, head: RequestHead) -> None:
    await conn.answer(200, [], b"ok")


@asynccontextmanager
async def _target() -> AsyncIterator[Target]:
    async with serving(_answer) as (_, address):
        yield Target("t", 1, "app", address, "north-a", 6, False, 0.0)


async def _use_and_release(pool: TargetPool, target: Target) -> ClientConnection:
    conn = await pool.acquire(target)
    await exchange(conn)
    pool.release(target, conn)
    return conn


def test_opened_connections_are_counted_by_reason() -> None:
    async def scenario() -> None:
        async with _target() as target:
            pool = TargetPool()
            first = await _use_and_release(pool, target)
            assert await pool.acquire(target) is first
            await _use_and_release(pool, target)
            await asyncio.sleep(0.7)  # longer than the server's idle time-out
            await pool.acquire(target)
            assert pool.opened == {OpenReason.FIRST: 1, OpenReason.BUSY: 1, OpenReason.CLOSED: 1}

    run_async(scenario)


def test_connection_idle_for_too_long_is_not_reused() -> None:
    async def scenario() -> None:
        async with _target() as target:
            pool = TargetPool()
            conn = await _use_and_release(pool, target)
            conn.idle_until_s = 0.0
            assert await pool.acquire(target) is not conn
            assert pool.opened[OpenReason.RESTED] == 1

    run_async(scenario)


def test_connection_to_an_old_lifetime_is_not_reused() -> None:
    async def scenario() -> None:
        async with _target() as target:
            pool = TargetPool()
            conn = await _use_and_release(pool, target)
            anew = Target("t", 2, "app", target.address, "north-a", 6, False, 0.0)
            assert await pool.acquire(anew) is not conn
            pool.close_idle(anew)
            assert await pool.acquire(target) is not conn

    run_async(scenario)


def test_number_of_idle_connections_is_limited() -> None:
    async def scenario() -> None:
        async with _target() as target:
            pool = TargetPool()
            conns = [await pool.acquire(target) for _ in range(MAX_IDLE_PER_TARGET + 2)]
            for conn in conns:
                await exchange(conn)
                pool.release(target, conn)
            taken = [await pool.acquire(target) for _ in range(MAX_IDLE_PER_TARGET + 2)]
            assert len(set(taken) & set(conns)) == MAX_IDLE_PER_TARGET

    run_async(scenario)


def test_acquire_raises_if_the_target_is_down() -> None:
    async def scenario() -> None:
        gone = Target("t", 1, "app", free_address(), "north-a", 6, False, 0.0)
        with pytest.raises(ConnectError):
            await TargetPool().acquire(gone)

    run_async(scenario)
