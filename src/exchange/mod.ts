/**
 * One HTTP exchange over a kept connection, for the clients of the outside protocols.
 *
 * Every exchange that fails says whether a byte of the request may have been sent, because only an
 * unsent request certainly has no effect. Bytes are counted on the sockets, so headers are included.
 */
import type { Socket } from 'node:net';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import type { Dispatcher, buildConnector } from 'undici';
// The package's main module loads several times as much code at start.
import makeConnector from 'undici/lib/core/connect.js';
import Pool from 'undici/lib/dispatcher/pool.js';

import type { Clock } from '../clock/mod.ts';

/** An exchange that did not give a whole answer. */
export interface ExchangeFailure {
  /** False when certainly no byte of the request was sent, and none will be. */
  sent: boolean;
  message: string;
  /** Error code of the system or of undici, where there is one. */
  code?: string;
}

/** A whole HTTP answer. */
export interface ExchangeResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
}

/** A request as it is sent. */
export interface ExchangeRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  body?: string | Uint8Array;
  headers?: Record<string, string>;
  timeoutMs: number;
  signal?: AbortSignal;
}

/** Bytes over all connections of one client. */
export interface Traffic {
  bytesIn: number;
  bytesOut: number;
}

/** Connections to one server. */
export interface ConnectionPool {
  exchange(request: ExchangeRequest): Promise<Either<ExchangeFailure, ExchangeResponse>>;
  traffic(): Traffic;
  close(): Promise<void>;
}

/** Where the server is, and how connections to it are kept. */
export interface ConnectionOptions {
  address: string;
  port: number;
  clock: Clock;
  connections?: number;
  connectTimeoutMs?: number;
  keepAliveMs?: number;
}

type Finish = (result: Either<ExchangeFailure, ExchangeResponse>) => void;

// A longer answer is refused, so that one server cannot fill the memory of the process.
const maxAnswerBytes = 64 * 1024 * 1024;

/** Collects one answer; it keeps the exchange unsent when it was stopped before the send began. */
class Collector implements Dispatcher.DispatchHandler {
  private readonly finish: Finish;

  private controller: Dispatcher.DispatchController | undefined;

  private chunks: Buffer[] = [];

  private size = 0;

  private status = 0;

  private headers: ExchangeResponse['headers'] = {};

  private stopped: string | undefined;

  constructor(finish: Finish) {
    this.finish = finish;
  }

  stop(message: string): void {
    if (this.stopped !== undefined) return;
    this.stopped = message;
    const sent = this.controller !== undefined;
    this.controller?.abort(new Error(message));
    this.finish(Left({ sent, message }));
  }

  // The first byte is written after this returns, unless it aborts.
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.stopped !== undefined) controller.abort(new Error(this.stopped));
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
    this.size += chunk.length;
    if (this.size > maxAnswerBytes) this.stop(`answer is longer than ${maxAnswerBytes} bytes`);
    else this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const { status, headers } = this;
    this.finish(Right({ status, headers, body: Buffer.concat(this.chunks) }));
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    const { code } = error as NodeJS.ErrnoException;
    const message = error.message || code || error.name;
    this.finish(Left({ sent: this.controller !== undefined, message, ...(code ? { code } : {}) }));
  }
}

function makeCountedConnector(connectTimeoutMs: number) {
  const closed: Traffic = { bytesIn: 0, bytesOut: 0 };
  const open = new Set<Socket>();
  const connectSocket = makeConnector({ timeout: connectTimeoutMs });
  const connect: buildConnector.connector = (options, callback) => {
    connectSocket(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        socket.setNoDelay(true);
        open.add(socket);
        socket.once('close', () => {
          open.delete(socket);
          closed.bytesIn += socket.bytesRead;
          closed.bytesOut += socket.bytesWritten;
        });
      }
      callback(...result);
    });
  };
  const traffic = (): Traffic => {
    const sum = { ...closed };
    open.forEach((socket) => {
      sum.bytesIn += socket.bytesRead;
      sum.bytesOut += socket.bytesWritten;
    });
    return sum;
  };
  return { connect, traffic };
}

/**
 * Keeps connections to one server; an exchange waits for a free one within its own timeout.
 *
 * @example
 * const table = makeConnectionPool({ address: '127.0.0.1', port: 7000, clock: systemClock });
 * await table.exchange({ method: 'POST', path: '/read', body: '{"keys":[]}', timeoutMs: 600 });
 */
export function makeConnectionPool(options: ConnectionOptions): ConnectionPool {
  const { address, port, clock, connections = 8 } = options;
  const { connectTimeoutMs = 1_000, keepAliveMs = 60_000 } = options;
  const { connect, traffic } = makeCountedConnector(connectTimeoutMs);
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
        const collector = new Collector((result) => {
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
        cancelTimer = clock.startTimer(timeoutMs, () =>
          collector.stop(`no answer within ${timeoutMs} ms`),
        );
        const type = body === undefined ? {} : { 'content-type': 'application/json' };
        try {
          pool.dispatch({ path, method, body, headers: { ...type, ...headers } }, collector);
        } catch (error) {
          collector.stop((error as Error).message);
        }
      });
    },
  };
}
