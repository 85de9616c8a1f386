/**
 * A JSON server and a JSON client on loopback addresses, as the stand-ins and the clients use them.
 */
import { Agent, createServer, request as sendRequest } from 'node:http';

/** Resolves after the given time. */
export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function readBody(stream) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    stream.on('data', (chunk) => chunks.push(chunk));
    stream.on('end', () => resolve(Buffer.concat(chunks)));
    stream.on('error', reject);
  });
}

async function answer(handler, request, reply) {
  const bytes = await readBody(request);
  const url = new URL(request.url, 'http://standin');
  const response = await handler({
    method: request.method,
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    bytes: bytes.length,
    body: bytes.length === 0 ? {} : JSON.parse(bytes.toString('utf8')),
  });
  // A handler that returns nothing leaves the call unanswered.
  if (!response) return;
  reply.writeHead(response.status, { 'content-type': 'application/json' });
  reply.end(JSON.stringify(response.body ?? {}));
}

/** Serves a handler on `ip` and a free port. */
export function serve(ip, handler) {
  const server = createServer((request, reply) => {
    answer(handler, request, reply).catch(() => reply.destroy());
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, 4_096, () => {
      resolve({
        address: `${ip}:${server.address().port}`,
        close() {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
}

const agent = new Agent({ keepAlive: true, maxSockets: 64 });

/** Sends a call; resolves with `{ status, body }`, and with status 0 without a response in time. */
export function call(address, { method, path, headers = {}, body, timeoutMs = 3_000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = sendRequest({ host, port, method, path, headers, agent }, (response) => {
      readBody(response).then(
        (bytes) => {
          let decoded = {};
          try {
            decoded = JSON.parse(bytes.toString('utf8') || '{}');
          } catch {
            decoded = {};
          }
          resolve({ status: response.statusCode, body: decoded });
        },
        () => resolve({ status: 0, body: {} }),
      );
    });
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error('no response in time')));
    outgoing.on('error', () => resolve({ status: 0, body: {} }));
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}
