/**
 * Client for the `http-json` dialect of the host list: `GET /hosts`.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';
import type { ExchangeResponse } from '../exchange/mod.ts';
import type { Host, Hosts } from './hosts.ts';

/** A host list client that owns connections. */
export interface HostsClient extends Hosts {
  close(): Promise<void>;
}

const defaultTimeoutMs = 2_000;

function isHost(value: unknown): value is Host {
  const { address, state } = (value ?? {}) as Partial<Host>;
  return typeof address === 'string' && (state === 'live' || state === 'leaving');
}

function decodeHosts({ status, body }: ExchangeResponse): Either<Failure, Host[]> {
  let hosts: unknown;
  try {
    hosts = (JSON.parse(body.toString('utf8')) as { hosts?: unknown } | null)?.hosts;
  } catch {
    // Rejected below, like any other malformed response.
  }
  if (status === 200 && Array.isArray(hosts) && hosts.every(isHost)) return Right(hosts);
  return failWith(ErrorKind.HostsUnavailable, 'the host list gave no hosts', { got: status });
}

/**
 * Creates a client for the `http-json` dialect.
 *
 * @example
 * const hosts = makeHttpHosts({ address: '127.0.0.1', port: 7002, clock: systemClock });
 */
export function makeHttpHosts(options: {
  address: string;
  port: number;
  clock: Clock;
  timeoutMs?: number;
}): HostsClient {
  const { address, port, clock, timeoutMs = defaultTimeoutMs } = options;
  const pool = makeConnectionPool({ address, port, clock, connections: 1 });
  return {
    async list() {
      const outcome = await pool.exchange({ method: 'GET', path: '/hosts', timeoutMs });
      return outcome
        .mapLeft(({ message }) => makeFailure(ErrorKind.HostsUnavailable, `/hosts: ${message}`))
        .chain(decodeHosts);
    },
    close: pool.close,
  };
}
