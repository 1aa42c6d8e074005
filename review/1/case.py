"""One client sends an endless message. Do the requests of usual clients still get their answers?"""
import asyncio
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins  # noqa: E402
from standins import BEGIN, PARAMS, STDIN, Case, Traffic, encode_pairs, instance, record_of  # noqa: E402

WORKERS, PER_SECOND = 6, 25
CALM_S, ENDLESS_S = 3.0, 6.0


async def send_endless_message(case: Case, address: str) -> None:
    """A request for a class that does not exist, whose body is followed by empty records without end."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(record_of(BEGIN, 1, struct.pack(">HB5x", 1, 1))
                 + record_of(PARAMS, 1, encode_pairs({"SCRIPT_NAME": "/ops/no-such-class"})) + record_of(PARAMS, 1)
                 + record_of(STDIN, 1, b"x"))
    case.record.note("bad client", "begins")
    drained = asyncio.create_task(read_all(case, reader))
    endless, sent, until = record_of(STDIN, 1) * 2048, 0, case.record.now() + ENDLESS_S
    try:
        while case.record.now() < until and not drained.done():
            writer.write(endless)
            sent += len(endless)
            await asyncio.wait_for(writer.drain(), until - case.record.now())
    except (OSError, TimeoutError):
        pass
    case.record.note("bad client", "ends", bytes=sent, closed_on=drained.done())
    drained.cancel()
    standins.reset(writer)


async def read_all(case: Case, reader: asyncio.StreamReader) -> None:
    """Reads whatever is sent, until the connection is closed."""
    try:
        while data := await reader.read(65536):
            case.record.note("bad client", "got", bytes=len(data))
    except OSError:
        pass


async def story(case: Case) -> str:
    coordinator = await case.coordinator()
    workers = [await case.worker(f"s-{n}") for n in range(WORKERS)]
    coordinator.add(*(instance(worker) for worker in workers), full=True)
    front_end = case.front_end("n0", coordinator, standins.settings(), memory_mb=96, sockets=256)
    front_end.start()
    await front_end.until_ready()
    traffic = Traffic(case, front_end, PER_SECOND)
    running = case.spawn(traffic.run())
    await asyncio.sleep(CALM_S)
    if case.has_trouble:
        await send_endless_message(case, front_end.address)
    else:
        await asyncio.sleep(ENDLESS_S)
    await asyncio.sleep(CALM_S)
    running.cancel()
    await traffic.settle()
    case.record.note("case", "usual clients", **traffic.kinds, lag=f"{case.lag.most:.3f}")
    if front_end.has_ended:
        return "the front end has ended"
    return (f"{len(traffic.lost)} of {sum(traffic.kinds.values())} requests of usual clients had no final answer "
            f"half a second after their time" if traffic.lost else "")


standins.play(__file__, story)
