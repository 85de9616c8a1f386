/**
 * HTTP exchanges over persistent connections, on which the HTTP clients of the program are built.
 *
 * A failed exchange states whether any byte of the request may have been sent, because only an
 * unsent request certainly has no effect. Bytes are counted on the sockets, so headers are included.
 */
import type { Socket } from 'node:net';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import type { buildConnector, Dispatcher } from 'undici';
// The main module of the package loads several times as much code at startup.
import makeConnector from 'undici/lib/core/connect.js';
import Pool from 'undici/lib/dispatcher/pool.js';

import type { Clock } from '../clock/mod.ts';

/** Why an exchange did not yield a complete response. */
export interface ExchangeFailure {
  /** False only if no byte of the request was sent, and none will be. */
  mayBeSent: boolean;
  message: string;
  /** Error code of the system or of undici, if there is one. */
  code?: string;
}

/** A complete HTTP response. */
export interface ExchangeResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
}

/** An HTTP request and its timeout. */
export interface ExchangeRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  body?: string | Uint8Array;
  headers?: Record<string, string>;
  timeoutMs: number;
  signal?: AbortSignal;
}

/** Bytes transferred over all connections of a pool. */
export interface Traffic {
  bytesIn: number;
  bytesOut: number;
}

/** A pool of connections to one server. */
export interface ConnectionPool {
  exchange(request: ExchangeRequest): Promise<Either<ExchangeFailure, ExchangeResponse>>;
  traffic(): Traffic;
  close(): Promise<void>;
}

/** The address of the server, and the limits of the connections to it. */
export interface ConnectionOptions {
  address: string;
  port: number;
  clock: Clock;
  connections?: number;
  connectTimeoutMs?: number;
  keepAliveMs?: number;
}

type Finish = (result: Either<ExchangeFailure, ExchangeResponse>) => void;

// A longer response is rejected, so that a server cannot exhaust the memory of the process.
const maxResponseBytes = 64 * 1024 * 1024;

/** Collects one response. If stopped before the request starts, it prevents sending. */
class ResponseCollector implements Dispatcher.DispatchHandler {
  private readonly finish: Finish;

  private controller: Dispatcher.DispatchController | undefined;

  private chunks: Buffer[] = [];

  private bodyBytes = 0;

  private status = 0;

  private headers: ExchangeResponse['headers'] = {};

  private stopReason: string | undefined;

  constructor(finish: Finish) {
    this.finish = finish;
  }

  stop(message: string): void {
    if (this.stopReason !== undefined) return;
    this.stopReason = message;
    const mayBeSent = this.controller !== undefined;
    this.controller?.abort(new Error(message));
    this.finish(Left({ mayBeSent, message }));
  }

  // The first byte is written after this method returns, unless it aborts the request.
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.stopReason !== undefined) controller.abort(new Error(this.stopReason));
    else this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: ExchangeResponse['headers'],
  ): void {
    this.status = status;
    this.headers = headers;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.bodyBytes += chunk.length;
    if (this.bodyBytes > maxResponseBytes)
      this.stop(`answer is longer than ${maxResponseBytes} bytes`);
    else this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const { status, headers } = this;
    this.finish(Right({ status, headers, body: Buffer.concat(this.chunks) }));
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    const { code } = error as NodeJS.ErrnoException;
    const message = error.message || code || error.name;
    this.finish(
      Left({ mayBeSent: this.controller !== undefined, message, ...(code ? { code } : {}) }),
    );
  }
}

function makeCountingConnector(connectTimeoutMs: number) {
  const closedTraffic: Traffic = { bytesIn: 0, bytesOut: 0 };
  const openSockets = new Set<Socket>();
  const connectSocket = makeConnector({ timeout: connectTimeoutMs });
  const connect: buildConnector.connector = (options, callback) => {
    connectSocket(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        socket.setNoDelay(true);
        openSockets.add(socket);
        socket.once('close', () => {
          openSockets.delete(socket);
          closedTraffic.bytesIn += socket.bytesRead;
          closedTraffic.bytesOut += socket.bytesWritten;
        });
      }
      callback(...result);
    });
  };
  const traffic = (): Traffic => {
    const sum = { ...closedTraffic };
    openSockets.forEach((socket) => {
      sum.bytesIn += socket.bytesRead;
      sum.bytesOut += socket.bytesWritten;
    });
    return sum;
  };
  return { connect, traffic };
}

/**
 * Makes a pool of connections to one server. An exchange waits for a free connection; this time
 * counts towards its timeout.
 *
 * @example
 * const pool = makeConnectionPool({ address: '127.0.0.1', port: 7000, clock: systemClock });
 * await pool.exchange({ method: 'POST', path: '/read', body: '{"keys":[]}', timeoutMs: 600 });
 */
export function makeConnectionPool(options: ConnectionOptions): ConnectionPool {
  const { address, port, clock, connections = 8 } = options;
  const { connectTimeoutMs = 1_000, keepAliveMs = 60_000 } = options;
  const { connect, traffic } = makeCountingConnector(connectTimeoutMs);
  const pool = new Pool(`http://${address}:${port}`, {
    connect,
    connections,
    pipelining: 1,
    keepAliveTimeout: keepAliveMs,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    traffic,
    close: () => pool.destroy(),
    exchange({ method, path, body, headers = {}, timeoutMs, signal }) {
      return new Promise((resolve) => {
        let cancelTimer = () => undefined as void;
        const collector = new ResponseCollector((result) => {
          cancelTimer();
          signal?.removeEventListener('abort', cancel);
          resolve(result);
        });
        function cancel(): void {
          collector.stop('cancelled by the caller');
        }
        if (signal?.aborted) {
          cancel();
          return;
        }
        signal?.addEventListener('abort', cancel);
        cancelTimer = clock.startTimer(timeoutMs, () => {
          // A process that was busy or paused first handles the responses that have arrived meanwhile.
          setImmediate(() => collector.stop(`no answer within ${timeoutMs} ms`));
        });
        const contentType = body === undefined ? {} : { 'content-type': 'application/json' };
        try {
          pool.dispatch({ path, method, body, headers: { ...contentType, ...headers } }, collector);
        } catch (error) {
          collector.stop((error as Error).message);
        }
      });
    },
  };
}
