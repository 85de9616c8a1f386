/**
 * Client for the `http` dialect of the object store: `PUT`, `GET`, `DELETE` of `/objects/{name}`.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';
import type { ExchangeResponse, ExchangeRequest } from '../exchange/mod.ts';
import type { Objects } from './objects.ts';

/** An object store client that owns connections. */
export interface ObjectsClient extends Objects {
  close(): Promise<void>;
}

// Longer than for other services, because large results take longer to transfer.
const defaultTimeoutMs = 5_000;

/**
 * Creates a client for the `http` dialect. Every call fails with `object-unavailable`.
 *
 * @example
 * const objects = makeHttpObjects({ address: '127.0.0.1', port: 7001, clock: systemClock });
 */
export function makeHttpObjects(options: {
  address: string;
  port: number;
  clock: Clock;
  timeoutMs?: number;
}): ObjectsClient {
  const { address, port, clock, timeoutMs = defaultTimeoutMs } = options;
  const pool = makeConnectionPool({ address, port, clock });
  async function requestObject<T>(
    name: string,
    request: Pick<ExchangeRequest, 'method' | 'body' | 'headers'>,
    decodeResponse: (response: ExchangeResponse) => Either<Failure, T> | undefined,
  ): Outcome<T> {
    const path = `/objects/${encodeURIComponent(name)}`;
    const outcome = await pool.exchange({ ...request, path, timeoutMs });
    return outcome
      .mapLeft(({ message }) => makeFailure(ErrorKind.ObjectUnavailable, `${path}: ${message}`))
      .chain((response) => {
        const { status } = response;
        return (
          decodeResponse(response) ??
          failWith(ErrorKind.ObjectUnavailable, `${path} failed`, { got: status })
        );
      });
  }
  const decodeEmpty = ({ status }: ExchangeResponse) =>
    status === 204 ? Right<void, Failure>(undefined) : undefined;
  return {
    put(name, body) {
      const headers = { 'content-type': 'application/octet-stream' };
      return requestObject(name, { method: 'PUT', body, headers }, decodeEmpty);
    },
    remove: (name) => requestObject(name, { method: 'DELETE' }, decodeEmpty),
    get: (name) =>
      requestObject<Uint8Array | undefined>(
        name,
        { method: 'GET' },
        ({ status, headers, body }) => {
          if (status === 404) return Right(undefined);
          const isComplete = Number(headers['content-length']) === body.length;
          return status === 200 && isComplete ? Right(body) : undefined;
        },
      ),
    close: pool.close,
  };
}
