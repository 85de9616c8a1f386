/**
 * A client for JSON requests over HTTP.
 */
import { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';
import type { ConnectionPool } from '../exchange/mod.ts';

/** A response with any status. */
export interface JsonResponse {
  status: number;
  body: Record<string, unknown>;
}

/** Why no response arrived. */
export interface NoResponse {
  /** The request was certainly not sent. */
  unsent: boolean;
  /** The host refused the connection, so no process listens at the address. */
  isConnectionRefused: boolean;
  reason: string;
}

/** A request and its timeout. */
export interface JsonRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
  timeoutMs: number;
}

/** Sends JSON requests to one address. */
export interface JsonClient {
  request(request: JsonRequest): Promise<JsonResponse | NoResponse>;
  close(): void;
}

const connectTimeoutMs = 800;

/** Whether a request ended without a response. */
export function isNoResponse(result: JsonResponse | NoResponse): result is NoResponse {
  return 'unsent' in result;
}

function decodeBody(text: string): Record<string, unknown> {
  if (text === '') return {};
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : {};
  } catch {
    return {};
  }
}

/** Makes the pool of an address; fails if no connection can be made to such an address. */
function makePool(
  hostAndPort: string,
  options: { connections: number; clock: Clock },
): Either<Error, ConnectionPool> {
  const [address = '', port] = hostAndPort.split(':');
  return Either.encase(() =>
    makeConnectionPool({ address, port: Number(port), connectTimeoutMs, ...options }),
  );
}

/** Makes a client whose requests all fail for the same reason. */
function makeUnreachableClient(reason: string): JsonClient {
  return {
    request: () => Promise.resolve({ unsent: true, isConnectionRefused: false, reason }),
    close: () => undefined,
  };
}

/**
 * Makes a client for one address (`ip:port`) that opens at most the given number of connections.
 *
 * @example
 * const client = makeJsonClient('10.0.0.7:8182', { connections: 4, clock: systemClock });
 * await client.request({ method: 'GET', path: '/v1/rows-get?table=op', timeoutMs: 500 });
 */
export function makeJsonClient(
  hostAndPort: string,
  { connections, clock }: { connections: number; clock: Clock },
): JsonClient {
  return makePool(hostAndPort, { connections, clock }).caseOf({
    Left: ({ message }) => makeUnreachableClient(`the address ${hostAndPort}: ${message}`),
    Right: makePooledClient,
  });
}

function makePooledClient(pool: ConnectionPool): JsonClient {
  return {
    async request({ body, ...request }) {
      const result = await pool.exchange({
        ...request,
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      return result.caseOf<JsonResponse | NoResponse>({
        Left: ({ mayBeSent: sent, code, message }) => ({
          unsent: !sent,
          isConnectionRefused: code === 'ECONNREFUSED',
          reason: message,
        }),
        Right: (response) => ({
          status: response.status,
          body: decodeBody(response.body.toString('utf8')),
        }),
      });
    },
    close: () => {
      pool.close().catch(() => undefined);
    },
  };
}
