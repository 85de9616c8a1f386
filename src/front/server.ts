/**
 * HTTP servers of an entry process: bounded bodies, answers, and an orderly end.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import type { Front } from './front.ts';

/** What a handler gets. */
export interface HttpRequest {
  method: string;
  path: string;
  headers: IncomingMessage['headers'];
  body: string;
}

/** What a handler answers. */
export interface HttpAnswer {
  status: number;
  body: string;
  headers?: Record<string, string>;
}

/** A listening server. */
export interface HttpServer {
  /** Closes idle connections and lets the answers under way finish; then no connection is open. */
  drain(): void;
  openConnections(): number;
  close(): void;
}

const tooLarge = Symbol('body too large');

async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<string | typeof tooLarge> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes) return tooLarge;
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
  handle(request: HttpRequest): Promise<HttpAnswer> | HttpAnswer;
  onError(error: unknown): void;
}): Promise<HttpServer> {
  const { address, maxBodyBytes, handle, onError } = options;
  const [host = '', port = ''] = address.split(':');
  let isDraining = false;
  let open = 0;

  function write(response: ServerResponse, { status, body, headers = {} }: HttpAnswer): void {
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(isDraining ? { connection: 'close' } : {}),
      ...headers,
    });
    response.end(body);
  }

  async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, maxBodyBytes());
    if (body === tooLarge) {
      write(response, { status: 413, body: '{}', headers: { connection: 'close' } });
      return;
    }
    const answer = await handle({
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.headers,
      body,
    });
    write(response, answer);
  }

  const server: Server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    serve(request, response).catch((error: unknown) => {
      onError(error);
      if (!response.headersSent) write(response, { status: 500, body: '{}' });
    });
  });
  server.on('connection', (socket) => {
    open += 1;
    socket.on('close', () => {
      open -= 1;
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
        openConnections: () => open,
        close() {
          server.close();
          server.closeAllConnections();
        },
      }),
    );
  });
}

/**
 * Answers a client's request as the front end says.
 *
 * @example
 * handle: (request) => serveClient(front, request);
 */
export async function serveClient(front: Front, request: HttpRequest): Promise<HttpAnswer> {
  const { method, path, headers, body } = request;
  const {
    status,
    body: text,
    retryAfterS,
  } = await front.answer({
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
