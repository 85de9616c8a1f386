/**
 * An HTTP server with bounds on all resources that clients can occupy.
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
import { formatFailure, makeRetryHeaders, sendResponse } from './_response.ts';
import { trackConnections } from './_connections.ts';
import { readJson } from './request_context.ts';
import type { Handler, JsonResponse } from './request_context.ts';

/** Resource bounds of a server. */
export interface Bounds {
  maxBodyBytes: number;
  maxHeaderBytes: number;
  maxConnections: number;
  maxWaitingRequests: number;
}

/** Handlers by method and path, such as `GET /v1/jobs/:id`. */
export type Routes = Record<string, Handler>;

/** An HTTP server of the process. */
export interface HttpInterface {
  /** Binds the address and port; fails if they cannot be used. */
  listen(): Outcome<{ address: string; port: number }>;
  /** Stops accepting connections, completes open requests and resolves once all have closed. */
  drain(): Promise<void>;
  state(): { connections: number; open: number; begun: number; ended: number; draining: boolean };
}

/** Options of {@link makeServer}. */
export interface ServerOptions {
  /** Name in metrics and error messages. */
  name: string;
  address: string;
  port: number;
  bounds: Bounds;
  routes: Routes;
  /** Paths that are also served while draining and above the connection and request bounds. */
  alwaysServedPaths?: string[];
  clock: Clock;
  invariants: InvariantChecker;
  metrics: Metrics;
  log: Logger;
}

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;
// Longer than the idle timeout of common load balancers (60 s), so that the balancer closes
// idle connections first.
const keepAliveTimeoutMs = 75_000;
const requestIdPattern = /^[\x21-\x7e]{1,128}$/;

type PolkaRequest = IncomingMessage & {
  params: Record<string, string>;
  query: Record<string, string | string[] | undefined>;
  path: string;
};

function findAllowedMethods(routes: Routes, path: string): string[] {
  return Object.keys(routes)
    .map((route) => route.split(' ') as [string, string])
    .filter(([, pattern]) => {
      const patternParts = pattern.split('/');
      const pathParts = path.split('/');
      return (
        patternParts.length === pathParts.length &&
        patternParts.every(
          (part, i) => part === pathParts[i] || (part.startsWith(':') && pathParts[i] !== ''),
        )
      );
    })
    .map(([method]) => method);
}

function makeRouteFailure(routes: Routes, { method = '', path }: PolkaRequest): Failure {
  const methods = findAllowedMethods(routes, path);
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
      const endpoint = `${address}:${port}`;
      const problems: Record<string, string> = {
        EADDRINUSE: 'is in use by another process',
        EADDRNOTAVAIL: 'is not an address of this host',
        EACCES: 'may not be used by this user',
      };
      const problem = problems[error.code ?? ''] ?? `cannot be used: ${error.message}`;
      const message = `${endpoint} of section [${name}] ${problem}`;
      resolve(
        failWith(ErrorKind.SettingsInvalid, message, { got: endpoint, expected: 'a free port' }),
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
 * Makes a server; it accepts no connections before `listen` is called.
 *
 * @example
 * const server = makeServer({ ...options, routes: { 'GET /healthz': () => ok({}) } });
 * await server.listen();
 */
export function makeServer(options: ServerOptions): HttpInterface {
  const { name, bounds, routes, alwaysServedPaths = [], clock, invariants, metrics, log } = options;
  const server = createServer({
    maxHeaderSize: bounds.maxHeaderBytes,
    headersTimeout: headersTimeoutMs,
    requestTimeout: requestTimeoutMs,
    keepAliveTimeout: keepAliveTimeoutMs,
  });
  const { maxConnections, maxHeaderBytes } = bounds;
  const connections = trackConnections({ server, maxConnections, maxHeaderBytes, clock });
  let isDraining = false;
  let startedRequests = 0;
  let endedRequests = 0;
  let activeRequests = 0;

  const findEarlyFailure = (request: PolkaRequest): Failure | undefined => {
    if (alwaysServedPaths.includes(request.path)) return undefined;
    if (isDraining)
      return makeFailure(ErrorKind.Draining, 'this process is shutting down; ask another one');
    if (connections.isExcess(request.socket)) {
      const expected = `at most ${maxConnections}`;
      return makeFailure(ErrorKind.TooManyConnections, 'too many open connections', { expected });
    }
    if (activeRequests >= bounds.maxWaitingRequests) {
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

  const runHandler = async (request: PolkaRequest, response: ServerResponse, handler: Handler) => {
    const abortController = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) abortController.abort();
    });
    activeRequests += 1;
    try {
      return await handler({
        params: request.params,
        query: request.query,
        header: (key) => request.headers[key]?.toString(),
        readJson: () => readJson({ request, response, maxBytes: bounds.maxBodyBytes }),
        signal: abortController.signal,
      });
    } catch (error) {
      const cause = error instanceof Error ? (error.stack ?? error.message) : String(error);
      log.error('A request handler threw an error.', { path: request.path, cause });
      return failWith<JsonResponse>(ErrorKind.Internal, 'the process met a defect; see its log');
    } finally {
      activeRequests -= 1;
    }
  };

  const respond = (
    request: PolkaRequest,
    response: ServerResponse,
    result: Either<Failure, JsonResponse>,
  ) => {
    const id = request.headers['x-request-id']?.toString();
    const echoHeaders: Record<string, string> =
      id && requestIdPattern.test(id) ? { 'x-request-id': id } : {};
    const close = isDraining || connections.isExcess(request.socket);
    const commonOptions = { request, response, close, clock };
    result.caseOf({
      Left: (failure) => {
        metrics.count(`${name}.failures`, 1, { kind: failure.kind });
        const allowHeaders: Record<string, string> =
          failure.kind === ErrorKind.MethodNotAllowed
            ? { allow: findAllowedMethods(routes, request.path).join(', ') }
            : {};
        const headers = { ...echoHeaders, ...allowHeaders, ...makeRetryHeaders(failure) };
        sendResponse({
          ...commonOptions,
          status: errorResponses[failure.kind].status,
          body: formatFailure(failure),
          headers,
        });
      },
      Right: ({ status, body }) =>
        sendResponse({
          ...commonOptions,
          status,
          body: JSON.stringify(body),
          headers: echoHeaders,
        }),
    });
  };

  const handleRequest = async (
    request: PolkaRequest,
    response: ServerResponse,
    handler?: Handler,
  ) => {
    const startedAt = clock.now();
    startedRequests += 1;
    response.once('close', () => {
      endedRequests += 1;
      invariants.check(
        Invariant.Drain,
        response.writableFinished || connections.isClosedByClient(request.socket),
        () => `${name}: ${request.method ?? ''} ${request.path} ended without a complete response`,
      );
      metrics.timing(`${name}.request`, clock.now() - startedAt);
    });
    const earlyFailure = findEarlyFailure(request);
    if (earlyFailure) respond(request, response, Left(earlyFailure));
    else if (!handler) respond(request, response, Left(makeRouteFailure(routes, request)));
    else respond(request, response, await runHandler(request, response, handler));
  };

  const startRequest = (request: IncomingMessage, response: ServerResponse, handler?: Handler) => {
    handleRequest(request as PolkaRequest, response, handler).catch((error: unknown) => {
      log.error('A response could not be sent.', { cause: String(error) });
      response.destroy();
    });
  };

  const app = polka({ server, onNoMatch: (request, response) => startRequest(request, response) });
  Object.entries(routes).forEach(([route, handler]) => {
    const [method, path] = route.split(' ') as ['GET', string];
    app.add(method, path, (request, response) => startRequest(request, response, handler));
  });
  // Only handlers send `100 Continue`, after the checks of the request headers.
  server.on('checkContinue', (request, response) => {
    app.handler(request as Parameters<typeof app.handler>[0], response);
  });

  return {
    listen: () => listen(options, app),
    async drain() {
      if (isDraining) return;
      isDraining = true;
      if (!server.listening) return;
      await connections.close(() => startedRequests - endedRequests);
      invariants.check(
        Invariant.Drain,
        startedRequests === endedRequests && activeRequests === 0,
        () =>
          `${name}: ${startedRequests - endedRequests} requests unfinished at the end of the drain`,
      );
      log.info('All requests and connections have been drained.', { requests: endedRequests });
    },
    state: () => ({
      connections: connections.count(),
      open: startedRequests - endedRequests,
      begun: startedRequests,
      ended: endedRequests,
      draining: isDraining,
    }),
  };
}
