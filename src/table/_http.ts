/**
 * The dialect `http-json`: `POST /read`, `/scan` and `/transact` with JSON bodies.
 *
 * The service responds to a conflict with 409 and the keys whose version differs. A transaction that
 * it rejects as malformed or too large (400, 413) has not committed. Any other failure after the
 * first byte was sent leaves the outcome of the transaction unknown.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';
import type { ExchangeResponse, Traffic } from '../exchange/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type { Commit, Row } from '../schema/mod.ts';
import type { Table } from './table.ts';

/** Address of the table service and limits of the client. */
export interface TableOptions {
  address: string;
  port: number;
  clock: Clock;
  timeoutMs?: number;
  connections?: number;
}

/** A table client with its own connections. */
export interface TableClient extends Table {
  traffic(): Traffic;
  close(): Promise<void>;
}

// A member's heartbeat must fail within this time, see section 4.3 of the design.
const defaultTimeoutMs = 600;

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

function decodeRows(response: ExchangeResponse): Either<Failure, Row[]> {
  const value = parseJson(response.body) as { rows?: unknown } | undefined;
  const rows = response.status === 200 && Array.isArray(value?.rows) ? value.rows : undefined;
  if (!rows?.every((row) => (validators.validateRow as (row: unknown) => boolean)(row))) {
    const got = { status: response.status, bytes: response.body.length };
    return failWith(ErrorKind.TableUnavailable, 'the table service gave no rows', { got });
  }
  return Right(rows as Row[]);
}

function decodeCommit(response: ExchangeResponse): Either<Failure, Commit> {
  const value = parseJson(response.body);
  if (response.status === 200) {
    return decode<Commit>(validators.validateCommit, value).mapLeft(({ message }) =>
      makeFailure(ErrorKind.TableUnknown, `the answer to the transaction is not valid: ${message}`),
    );
  }
  const { keys, message } = (value ?? {}) as { keys?: unknown; message?: unknown };
  if (response.status === 409 && Array.isArray(keys)) {
    return failWith(ErrorKind.TableConflict, 'rows have other versions', { got: keys });
  }
  if (response.status === 400 || response.status === 413) {
    return failWith(
      ErrorKind.MalformedRequest,
      `the table service rejected it: ${String(message)}`,
    );
  }
  return failWith(ErrorKind.TableUnknown, 'the table service failed', { got: response.status });
}

/**
 * Makes a client of the dialect `http-json`.
 *
 * `read` and `scan` change nothing, so they always fail with `table-unavailable`.
 *
 * @example
 * const table = makeHttpTable({ address: '127.0.0.1', port: 7000, clock: systemClock });
 */
export function makeHttpTable(options: TableOptions): TableClient {
  const { address, port, clock, timeoutMs = defaultTimeoutMs, connections = 8 } = options;
  const connectionPool = makeConnectionPool({
    address,
    port,
    clock,
    connections,
    connectTimeoutMs: timeoutMs,
  });
  const post = (path: string, body: unknown) =>
    connectionPool.exchange({ method: 'POST', path, body: JSON.stringify(body), timeoutMs });
  const fetchRows = async (path: string, body: unknown) =>
    (await post(path, body))
      .mapLeft(({ message }) =>
        makeFailure(ErrorKind.TableUnavailable, `${path} failed: ${message}`),
      )
      .chain(decodeRows);
  return {
    read: (keys) => fetchRows('/read', { keys }),
    scan: (prefix, { after, limit } = {}) => fetchRows('/scan', { prefix, after, limit }),
    async transact(transaction) {
      const response = await post('/transact', transaction);
      return response
        .mapLeft(({ mayBeSent: sent, message }) =>
          makeFailure(sent ? ErrorKind.TableUnknown : ErrorKind.TableUnavailable, message),
        )
        .chain(decodeCommit);
    },
    traffic: connectionPool.traffic,
    close: connectionPool.close,
  };
}
