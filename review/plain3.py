"""Plain worker: one process that serves a listening socket which its supervisor passes on.

Arguments: number of the socket's descriptor, id of the worker, milliseconds of work, and ``framed`` or ``unframed``:
answers of the latter have no length and end with their connection. What it runs, and how far, is written to standard
output, one line each.
"""

import socket
import sys
import threading
import time

BODY_PARTS = 4
PART_BYTES = 200
#: Requests that run at once, as in the entry of the worker.
SLOTS = threading.Semaphore(6)


def make_body(request_id):
    """Return the whole body of the answer to a request: 800 bytes."""
    text = f'{request_id};'.encode()
    return (text * (BODY_PARTS * PART_BYTES // len(text) + 1))[: BODY_PARTS * PART_BYTES]


def main():
    """Serve until the process is killed."""
    listener = socket.socket(fileno=int(sys.argv[1]))
    name, work_seconds, framed = sys.argv[2], int(sys.argv[3]) / 1000, sys.argv[4] == 'framed'
    lock = threading.Lock()

    def say(text):
        with lock:
            sys.stdout.write(text + '\n')
            sys.stdout.flush()

    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, name, work_seconds, framed, say), daemon=True).start()


def serve(connection, name, work_seconds, framed, say):
    """Serve the requests of one connection."""
    with connection:
        stream = connection.makefile('rb')
        while line := stream.readline():
            path = line.decode('latin-1').split()[1]
            headers = {}
            while (field := stream.readline()) not in {b'\r\n', b''}:
                key, _, text = field.decode('latin-1').partition(':')
                headers[key.strip().lower()] = text.strip()
            stream.read(int(headers.get('content-length', 0)))
            request_id = headers.get('tamarackfield-request-id', '')
            named = f'Tamarackfield-Request-Id: {request_id}\r\n' if request_id else ''
            if headers.get('tamarackfield-expect-instance', name) != name:
                answer = f'HTTP/1.1 421 Misdirected Request\r\n{named}Tamarackfield-Instance-Id: {name}\r\n'
                connection.sendall(f'{answer}Content-Length: 0\r\n\r\n'.encode())
            elif path == '/healthz':
                say(f'health {request_id}')
                answer = f'HTTP/1.1 200 OK\r\n{named}Tamarackfield-Instance-Id: {name}\r\n'
                connection.sendall(f'{answer}Content-Length: 2\r\n\r\nok'.encode())
            else:
                run(connection, request_id, named, path, work_seconds, framed, say)
                if not framed:
                    return


def run(connection, request_id, named, path, work_seconds, framed, say):
    """Run a request and answer it."""
    say(f'runs {request_id} {path}')
    body = make_body(request_id)
    framing = f'Content-Length: {len(body)}' if framed else 'Connection: close'
    head = (
        f'HTTP/1.1 200 OK\r\n{named}Tamarackfield-Server-Signature: 3e1b.{request_id}\r\n'
        f'Content-Type: application/json\r\n{framing}\r\n\r\n'
    )
    if framed:
        with SLOTS:
            time.sleep(work_seconds)
        connection.sendall(head.encode() + body)
        say(f'ends {request_id}')
        return
    connection.sendall(head.encode())
    for number in range(BODY_PARTS):
        connection.sendall(body[number * PART_BYTES : (number + 1) * PART_BYTES])
        say(f'part {request_id} {number + 1}')
        time.sleep(work_seconds / BODY_PARTS)
    say(f'ends {request_id}')


if __name__ == '__main__':
    main()
