"""Model worker: one process that serves a listening socket which its supervisor passes on.

Arguments: number of the socket's descriptor, id of the worker, Unix milliseconds of its start, name of the model, names
of the adapters that it holds, separated by commas, events of a stream, milliseconds between two events, and
milliseconds for which it is silent, and when: ``before`` the end of each stream, between its last event and its end, or
once, as a whole process, right ``after`` the end of its first stream. Streams have neither a length nor chunks and end
with their connection. What it runs is written to standard output, one line each.
"""

import json
import socket
import sys
import threading
import time


class Worker:
    """State of the worker."""

    def __init__(self, name, born, model, adapters, events, interval_seconds, silence_seconds, silent):
        self.name, self.born, self.model, self.adapters = name, born, model, adapters
        self.events, self.interval_seconds, self.silence_seconds = events, interval_seconds, silence_seconds
        self.silent = silent
        self.lock = threading.Lock()
        self.running = 0
        self.silent_until = 0.0

    def say(self, text):
        """Write a line."""
        with self.lock:
            sys.stdout.write(text + '\n')
            sys.stdout.flush()

    def keep_silent(self):
        """Wait until the silence of the process is over."""
        time.sleep(max(0.0, self.silent_until - time.monotonic()))

    def report(self):
        """Return the report of the worker."""
        models = [{'name': self.model, 'version': 1, 'adapters': [f'{adapter}@1' for adapter in self.adapters]}]
        return {
            'stage': 'colocated', 'models': models, 'busy': False, 'seq': 0, 'queued': 0, 'running': self.running,
            'kv_used': 0, 'kv_total': 157544, 'handles': 0, 'incoming': [], 'born': self.born,
        }  # fmt: skip

    def serve(self, connection):
        """Serve the requests of one connection."""
        with connection:
            stream = connection.makefile('rb')
            while line := stream.readline():
                method, path, _ = line.decode('latin-1').split()
                headers = {}
                while (field := stream.readline()) not in {b'\r\n', b''}:
                    key, _, text = field.decode('latin-1').partition(':')
                    headers[key.strip().lower()] = text.strip()
                body = stream.read(int(headers.get('content-length', 0)))
                self.keep_silent()
                request_id = headers.get('tamarackfield-request-id', '')
                named = f'Tamarackfield-Request-Id: {request_id}\r\n' if request_id else ''
                if headers.get('tamarackfield-expect-instance', self.name) != self.name:
                    self.answer(connection, '421 Misdirected Request', named, b'')
                elif path == '/v1/report':
                    self.answer(connection, '200 OK', named, json.dumps(self.report()).encode())
                elif path == '/v1/order':
                    order = json.loads(body)
                    holds = order.get('operation') == 'load' and order.get('adapter') in {None, *self.adapters}
                    self.answer(connection, '200 OK' if holds else '400 Bad Request', named, b'{}')
                elif headers.get('tamarackfield-model', '').partition('/')[2] not in self.adapters:
                    self.answer(connection, '421 Misdirected Request', named, b'')
                else:
                    if self.run(connection, request_id, named, int(headers.get('last-event-id', 0))):
                        # The connection ends first: what is left of the process is silent after that.
                        connection.shutdown(socket.SHUT_RDWR)
                        self.fall_silent(request_id)
                    return

    def fall_silent(self, request_id):
        """Begin the silence of the process, if it is to begin now."""
        if self.silent == 'after' and self.silence_seconds and not self.silent_until:
            self.silent_until = time.monotonic() + self.silence_seconds
            self.say(f'silent for {self.silence_seconds} s after the end of {request_id}')

    def answer(self, connection, status, named, body):
        """Send a short answer."""
        head = f'HTTP/1.1 {status}\r\n{named}Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
        connection.sendall(head.encode() + body)

    def run(self, connection, request_id, named, last_event):
        """Run a request: send the events after the last one that its caller has; return whether it came to its end."""
        self.running += 1
        self.say(f'runs {request_id} after event {last_event}')
        try:
            head = f'HTTP/1.1 200 OK\r\n{named}Tamarackfield-Server-Signature: 3e1b.{request_id}\r\n'
            connection.sendall(f'{head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n'.encode())
            for number in range(last_event + 1, self.events + 1):
                time.sleep(self.interval_seconds)
                self.keep_silent()
                connection.sendall(f'id: {number}\ndata: {request_id}:{number}\n\n'.encode())
            self.say(f'last event of {request_id} is out')
            if last_event < self.events and self.silent == 'before':
                # A worker that is asked to go on after the last event has nothing to write and ends at once.
                connection.settimeout(self.silence_seconds or 0.001)
                try:
                    if not connection.recv(1):
                        self.say(f'the connection of {request_id} was closed by its caller before the end of the stream')
                        return False
                except TimeoutError:
                    pass
            self.say(f'ends {request_id}')
            return True
        except OSError as exc:
            self.say(f'the connection of {request_id} was closed by its caller: {exc!r}')
            return False
        finally:
            self.running -= 1


def main():
    """Serve until the process is killed."""
    number, name, born, model, adapters, events, interval_ms, silence_ms, silent = sys.argv[1:]
    listener = socket.socket(fileno=int(number))
    worker = Worker(
        name, int(born), model, adapters.split(','), int(events), int(interval_ms) / 1000, int(silence_ms) / 1000, silent
    )
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=worker.serve, args=(connection,), daemon=True).start()


if __name__ == '__main__':
    main()
