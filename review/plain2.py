"""Plain worker in a process of its own, which answers in two parts; each Nth answer has no length.

Usage: plain2.py NAME HOST PORT WORK LONG_WORK N; answers without a length take LONG_WORK seconds, the others WORK. Each
request that it runs is printed on one line as it begins, and those without a length once more when half is written.
"""

import asyncio
import json
import sys

PART = 400 * b'a'
#: Requests that run at once; the others wait.
SLOTS = 6


class Worker:
    """Server of one address."""

    def __init__(self, name: str, work_seconds: float, long_work_seconds: float, every: int) -> None:
        self.name = name
        self.work_seconds = work_seconds
        self.long_work_seconds = long_work_seconds
        self.every = every
        self.requests = 0
        self.slots = asyncio.Semaphore(SLOTS)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
                fields = {key.lower(): text for key, _, text in (line.partition(': ') for line in head[1:])}
                await reader.readexactly(int(fields.get('content-length', '0')))
                async with self.slots:
                    goes_on = await self.answer(writer, fields)
                if not goes_on:
                    return
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def answer(self, writer: asyncio.StreamWriter, fields: dict[str, str]) -> bool:
        """Answer one request; return whether the connection goes on."""
        request_id = fields['tamarackfield-request-id']
        lines = [f'Tamarackfield-Request-Id: {request_id}', 'Tamarackfield-Server-Signature: 3e1b.07', 'Content-Type: text/plain']
        if fields.get('tamarackfield-expect-instance', self.name) != self.name:
            writer.write('\r\n'.join(['HTTP/1.1 421 Misdirected', lines[0], 'Content-Length: 0', '', '']).encode())
            await writer.drain()
            return True
        self.requests += 1
        unframed = self.requests % self.every == 0
        half_seconds = (self.long_work_seconds if unframed else self.work_seconds) / 2
        print(json.dumps({'run': request_id, 'unframed': unframed}), flush=True)
        if not unframed:
            lines.append(f'Content-Length: {2 * len(PART)}')
        await asyncio.sleep(half_seconds)
        writer.write('\r\n'.join(['HTTP/1.1 200 OK', *lines, '', '']).encode() + PART)
        await writer.drain()
        if unframed:
            print(json.dumps({'half': request_id}), flush=True)
        await asyncio.sleep(half_seconds)
        writer.write(PART)
        await writer.drain()
        return not unframed


async def main() -> None:
    """Serve until killed."""
    name, host, port, work, long_work, every = sys.argv[1:]
    server = await asyncio.start_server(Worker(name, float(work), float(long_work), int(every)).serve, host, int(port))
    print(json.dumps({'up': True}), flush=True)
    await server.serve_forever()


asyncio.run(main())
