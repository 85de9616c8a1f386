/**
 * HTTP servers of an entry process, with a limit on the size of bodies and a graceful shutdown.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { FrontEnd } from './front.ts';

/** A request, with its whole body. */
export interface HttpRequest {
  method: string;
  path: string;
  headers: IncomingMessage['headers'];
  body: string;
}

/** The response of a handler. */
export interface HttpResponse {
  status: number;
  body: string;
  headers?: Record<string, string>;
}

/** A listening server. */
export interface HttpServer {
  /** Closes idle connections, and each of the others after its response in flight. */
  drain(): void;
  openConnections(): number;
  close(): void;
}

const bodyTooLarge = Symbol('body too large');

async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<string | typeof bodyTooLarge> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes) return bodyTooLarge;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Starts a server.
 *
 * @example
 * const server = await listen({ address: '10.0.0.7:8080', maxBodyBytes: () => 65_536, handle });
 */
export function listen(options: {
  address: string;
  maxBodyBytes(): number;
  handle(request: HttpRequest): Promise<HttpResponse> | HttpResponse;
  /** Takes over a connection whose request asks for another protocol; without it, none is upgraded. */
  upgrade?(protocol: string | undefined, socket: Socket, head: Buffer): void;
  onError(error: unknown): void;
}): Promise<HttpServer> {
  const { address, maxBodyBytes, handle, onError } = options;
  const [host = '', port = ''] = address.split(':');
  let isDraining = false;
  let connectionCount = 0;

  function writeResponse(
    response: ServerResponse,
    { status, body, headers = {} }: HttpResponse,
  ): void {
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(isDraining ? { connection: 'close' } : {}),
      ...headers,
    });
    response.end(body);
  }

  async function serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, maxBodyBytes());
    if (body === bodyTooLarge) {
      writeResponse(response, { status: 413, body: '{}', headers: { connection: 'close' } });
      return;
    }
    const result = await handle({
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.headers,
      body,
    });
    writeResponse(response, result);
  }

  const server: Server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    serveRequest(request, response).catch((error: unknown) => {
      onError(error);
      if (!response.headersSent) writeResponse(response, { status: 500, body: '{}' });
    });
  });
  const { upgrade } = options;
  if (upgrade) {
    server.on('upgrade', ({ headers }: IncomingMessage, socket: Socket, head: Buffer) =>
      upgrade(headers.upgrade, socket, head),
    );
  }
  server.on('connection', (socket) => {
    connectionCount += 1;
    socket.on('close', () => {
      connectionCount -= 1;
    });
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, 1_024, () =>
      resolve({
        drain() {
          isDraining = true;
          server.closeIdleConnections();
        },
        openConnections: () => connectionCount,
        close() {
          server.close();
          server.closeAllConnections();
        },
      }),
    );
  });
}

/**
 * Serves a client's request through the front end.
 *
 * @example
 * handle: (request) => handleClientRequest(frontEnd, request);
 */
export async function handleClientRequest(
  frontEnd: FrontEnd,
  request: HttpRequest,
): Promise<HttpResponse> {
  const { method, path, headers, body } = request;
  const {
    status,
    body: text,
    retryAfterS,
  } = await frontEnd.handle({
    method,
    path,
    host: headers.host ?? '',
    key: /^Bearer (.+)$/i.exec(headers.authorization ?? '')?.[1],
    body,
    isRelayed: false,
  });
  return {
    status,
    body: text,
    ...(retryAfterS === undefined ? {} : { headers: { 'retry-after': String(retryAfterS) } }),
  };
}
