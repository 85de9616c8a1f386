/**
 * An HTTP server with bounds on everything that a caller can make it hold.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import polka from 'polka';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, errorResponses, makeFailure, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import { formatFailure, retryAfter, send } from './_response.ts';
import { watchConnections } from './_connections.ts';
import { readJson } from './request_context.ts';
import type { Handler, Reply } from './request_context.ts';

/** Bounds of a server. */
export interface Bounds {
  maxBodyBytes: number;
  maxHeaderBytes: number;
  maxConnections: number;
  maxWaitingRequests: number;
}

/** Handlers by method and path, such as `GET /v1/jobs/:id`. */
export type Routes = Record<string, Handler>;

/** An HTTP interface of the process. */
export interface HttpInterface {
  /** Fails where the address or port cannot be used. */
  listen(): Outcome<{ address: string; port: number }>;
  /** Stops accepting, ends the open requests and resolves when the last connection has closed. */
  drain(): Promise<void>;
  state(): { connections: number; open: number; begun: number; ended: number; draining: boolean };
}

/** Where and how a server works. */
export interface ServerOptions {
  /** Name in metrics and error messages. */
  name: string;
  address: string;
  port: number;
  bounds: Bounds;
  routes: Routes;
  /** Paths that are answered while draining and beyond the bound on waiting requests. */
  always?: string[];
  clock: Clock;
  invariants: InvariantChecker;
  metrics: Metrics;
  log: Logger;
}

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;
// Longer than the idle time of common balancers (60 s), so that they close idle connections first.
const keepAliveTimeoutMs = 75_000;
const requestIdPattern = /^[\x21-\x7e]{1,128}$/;

type PolkaRequest = IncomingMessage & {
  params: Record<string, string>;
  query: Record<string, string | string[] | undefined>;
  path: string;
};

function methodsFor(routes: Routes, path: string): string[] {
  return Object.keys(routes)
    .map((route) => route.split(' ') as [string, string])
    .filter(([, pattern]) => {
      const wanted = pattern.split('/');
      const parts = path.split('/');
      return (
        wanted.length === parts.length &&
        wanted.every((part, i) => part === parts[i] || (part.startsWith(':') && parts[i] !== ''))
      );
    })
    .map(([method]) => method);
}

function noRoute(routes: Routes, { method = '', path }: PolkaRequest): Failure {
  const methods = methodsFor(routes, path);
  if (methods.length > 0) {
    const expected = methods.join(', ');
    return makeFailure(ErrorKind.MethodNotAllowed, `${path} does not take this method`, {
      got: method,
      expected,
    });
  }
  return makeFailure(ErrorKind.NotFound, 'there is no such path', {
    got: path.slice(0, 200),
    expected: `one of ${Object.keys(routes).join(', ')}`,
  });
}

function listen(
  { name, address, port }: ServerOptions,
  app: polka.Polka,
): ReturnType<HttpInterface['listen']> {
  const { server } = app;
  if (!server) throw new Error('the server was not passed to polka');
  return new Promise((resolve) => {
    const onError = (error: NodeJS.ErrnoException) => {
      const place = `${address}:${port}`;
      const causes: Record<string, string> = {
        EADDRINUSE: 'is in use by another process',
        EADDRNOTAVAIL: 'is not an address of this host',
        EACCES: 'may not be used by this user',
      };
      const cause = causes[error.code ?? ''] ?? `cannot be used: ${error.message}`;
      const message = `${place} of section [${name}] ${cause}`;
      resolve(
        failWith(ErrorKind.SettingsInvalid, message, { got: place, expected: 'a free port' }),
      );
    };
    server.once('error', onError);
    app.listen(port, address, () => {
      server.off('error', onError);
      const bound = server.address() as AddressInfo;
      resolve(Right({ address: bound.address, port: bound.port }));
    });
  });
}

/**
 * Makes a server; it accepts nothing before `listen`.
 *
 * @example
 * const server = makeServer({ ...options, routes: { 'GET /healthz': () => ok({}) } });
 * await server.listen();
 */
export function makeServer(options: ServerOptions): HttpInterface {
  const { name, bounds, routes, always = [], clock, invariants, metrics, log } = options;
  const server = createServer({
    maxHeaderSize: bounds.maxHeaderBytes,
    headersTimeout: headersTimeoutMs,
    requestTimeout: requestTimeoutMs,
    keepAliveTimeout: keepAliveTimeoutMs,
  });
  const { maxConnections, maxHeaderBytes } = bounds;
  const connections = watchConnections({ server, maxConnections, maxHeaderBytes, clock });
  let draining = false;
  let begun = 0;
  let ended = 0;
  let working = 0;

  const refuseEarly = (request: PolkaRequest): Failure | undefined => {
    if (always.includes(request.path)) return undefined;
    if (draining)
      return makeFailure(ErrorKind.Draining, 'this process is shutting down; ask another one');
    if (connections.isExcess(request.socket)) {
      const expected = `at most ${maxConnections}`;
      return makeFailure(ErrorKind.TooManyConnections, 'too many open connections', { expected });
    }
    if (working >= bounds.maxWaitingRequests) {
      const expected = `at most ${bounds.maxWaitingRequests}`;
      return makeFailure(ErrorKind.TooManyConnections, 'too many requests are in work', {
        expected,
      });
    }
    const id = request.headers['x-request-id'];
    if (id !== undefined && !requestIdPattern.test(String(id))) {
      const expected = '1 to 128 visible ASCII characters';
      return makeFailure(ErrorKind.MalformedRequest, 'x-request-id is not valid', {
        got: id,
        expected,
      });
    }
    return undefined;
  };

  const run = async (request: PolkaRequest, response: ServerResponse, handler: Handler) => {
    const abort = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) abort.abort();
    });
    working += 1;
    try {
      return await handler({
        params: request.params,
        query: request.query,
        header: (key) => request.headers[key]?.toString(),
        readJson: () => readJson({ request, response, maxBytes: bounds.maxBodyBytes }),
        signal: abort.signal,
      });
    } catch (error) {
      const cause = error instanceof Error ? (error.stack ?? error.message) : String(error);
      log.error('A handler failed.', { path: request.path, cause });
      return failWith<Reply>(ErrorKind.Internal, 'the process met a defect; see its log');
    } finally {
      working -= 1;
    }
  };

  const answer = (
    request: PolkaRequest,
    response: ServerResponse,
    result: Either<Failure, Reply>,
  ) => {
    const id = request.headers['x-request-id']?.toString();
    const echo: Record<string, string> =
      id && requestIdPattern.test(id) ? { 'x-request-id': id } : {};
    const close = draining || connections.isExcess(request.socket);
    const common = { request, response, close, clock };
    result.caseOf({
      Left: (cause) => {
        metrics.count(`${name}.failures`, 1, { kind: cause.kind });
        const allow: Record<string, string> =
          cause.kind === ErrorKind.MethodNotAllowed
            ? { allow: methodsFor(routes, request.path).join(', ') }
            : {};
        const headers = { ...echo, ...allow, ...retryAfter(cause) };
        send({
          ...common,
          status: errorResponses[cause.kind].status,
          body: formatFailure(cause),
          headers,
        });
      },
      Right: ({ status, body }) =>
        send({ ...common, status, body: JSON.stringify(body), headers: echo }),
    });
  };

  const serve = async (request: PolkaRequest, response: ServerResponse, handler?: Handler) => {
    const startedAt = clock.now();
    begun += 1;
    response.once('close', () => {
      ended += 1;
      invariants.check(
        Invariant.Drain,
        response.writableFinished || connections.isClosedByPeer(request.socket),
        () => `${name}: ${request.method ?? ''} ${request.path} was cut off`,
      );
      metrics.timing(`${name}.request`, clock.now() - startedAt);
    });
    const early = refuseEarly(request);
    if (early) answer(request, response, Left(early));
    else if (!handler) answer(request, response, Left(noRoute(routes, request)));
    else answer(request, response, await run(request, response, handler));
  };

  const begin = (request: IncomingMessage, response: ServerResponse, handler?: Handler) => {
    serve(request as PolkaRequest, response, handler).catch((error: unknown) => {
      log.error('An answer could not be sent.', { cause: String(error) });
      response.destroy();
    });
  };

  const app = polka({ server, onNoMatch: (request, response) => begin(request, response) });
  Object.entries(routes).forEach(([route, handler]) => {
    const [method, path] = route.split(' ') as ['GET', string];
    app.add(method, path, (request, response) => begin(request, response, handler));
  });
  // The body is asked for only once the request has passed the checks of its header.
  server.on('checkContinue', (request, response) => {
    app.handler(request as Parameters<typeof app.handler>[0], response);
  });

  return {
    listen: () => listen(options, app),
    async drain() {
      if (draining) return;
      draining = true;
      if (!server.listening) return;
      await connections.close(() => begun - ended);
      invariants.check(
        Invariant.Drain,
        begun === ended && working === 0,
        () => `${name}: ${begun - ended} requests without an answer at the end of the drain`,
      );
      log.info('Drained.', { requests: ended });
    },
    state: () => ({
      connections: connections.count(),
      open: begun - ended,
      begun,
      ended,
      draining,
    }),
  };
}
