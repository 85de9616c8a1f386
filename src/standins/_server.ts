/**
 * An HTTP server with injected faults, which `POST /_control` switches.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import type { Clock } from '../clock/mod.ts';

/** Injected faults that every stand-in supports. */
export interface Faults {
  /** Delay before a request takes effect. */
  slowMs: number;
  /** Requests get status 500 and take no effect. */
  fail: boolean;
  /** Number of requests that take effect but get no response. */
  lose: number;
}

/** An HTTP request, as passed to the handler of a stand-in. */
export interface StandinRequest {
  method: string;
  path: string;
  body: Buffer;
  /** The body parsed as a JSON object; empty if it is none. */
  json: Record<string, unknown>;
}

/** A handler's response; `send` replaces `value` for responses of another form. */
export interface StandinResponse {
  status: number;
  value?: unknown;
  bytes?: Buffer;
  send?: (response: ServerResponse) => void;
}

/** A running stand-in. */
export interface Standin {
  address: string;
  port: number;
  faults: Faults;
  /** With true, closes the listening socket and all connections; with false, listens again. */
  refuseConnections(shouldRefuse: boolean): Promise<void>;
  /** Closes all connections. */
  disconnect(): void;
  close(): Promise<void>;
}

/** Clock and listening address of a stand-in; port 0 selects a free port. */
export interface StandinOptions {
  clock: Clock;
  address?: string;
  port?: number;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

function parseObject(body: Buffer): Record<string, unknown> | undefined {
  try {
    const value: unknown = body.length > 0 ? JSON.parse(body.toString('utf8')) : {};
    return value !== null && typeof value === 'object' ? { ...value } : undefined;
  } catch {
    return undefined;
  }
}

function sendResponse(
  response: ServerResponse,
  { status, value, bytes, send }: StandinResponse,
): void {
  if (send) {
    send(response);
    return;
  }
  const body = bytes ?? Buffer.from(value === undefined ? '' : JSON.stringify(value));
  const type = bytes ? 'application/octet-stream' : 'application/json';
  response.writeHead(status, { 'content-type': type, 'content-length': body.length });
  response.end(body);
}

/**
 * Starts a server. `control` receives the fields of a `POST /_control`; fields of {@link Faults}
 * have already been applied. `refuseMs` closes the listening socket for that time.
 */
export async function startServer(
  options: StandinOptions & {
    handle: (call: StandinRequest) => StandinResponse | Promise<StandinResponse>;
    control?: (fields: Record<string, unknown>) => void;
  },
): Promise<Standin> {
  const { clock, address = '127.0.0.1', handle, control = () => undefined } = options;
  const faults: Faults = { slowMs: 0, fail: false, lose: 0 };
  const sockets = new Set<Socket>();
  let { port = 0 } = options;

  const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
    const body = await readBody(request);
    const { method = 'GET', url: path = '/' } = request;
    const json = parseObject(body) ?? {};
    if (path === '/_control') {
      Object.assign(faults, json);
      sendResponse(response, { status: 200, value: faults });
      // Deferred until the response is written, because a crash closes all connections.
      setImmediate(() => applyControl(json));
      return;
    }
    if (path.startsWith('/_')) {
      sendResponse(response, await handle({ method, path, body, json }));
      return;
    }
    // A delayed request takes effect even if its client has disconnected.
    if (faults.slowMs > 0) await clock.sleep(faults.slowMs);
    if (faults.fail) {
      sendResponse(response, { status: 500, value: { message: 'switched to fail' } });
      return;
    }
    const reply = await handle({ method, path, body, json });
    if (faults.lose > 0) {
      faults.lose -= 1;
      response.destroy();
    } else {
      sendResponse(response, reply);
    }
  };

  const server = createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
    handleRequest(request, response).catch(() => response.destroy());
  });
  server.on('connection', (socket) => {
    socket.setNoDelay(true);
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const listen = () =>
    new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, address, () => {
        server.off('error', reject);
        port = (server.address() as AddressInfo).port;
        resolve();
      });
    });
  const disconnect = () => sockets.forEach((socket) => socket.destroy());
  const stop = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      disconnect();
    });
  const refuse = async (shouldRefuse: boolean) => {
    if (shouldRefuse === server.listening) await (shouldRefuse ? stop() : listen());
  };
  const refuseFor = async (ms: number) => {
    await refuse(true);
    await clock.sleep(ms);
    await refuse(false);
  };
  function applyControl(fields: Record<string, unknown>): void {
    control(fields);
    if (typeof fields.refuseMs === 'number') refuseFor(fields.refuseMs).catch(() => undefined);
  }
  await listen();
  return {
    address,
    port,
    faults,
    refuseConnections: refuse,
    disconnect,
    close: () => refuse(true),
  };
}
