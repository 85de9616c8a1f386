/**
 * JSON calls over HTTP with one deadline for the whole exchange.
 */
import type { Dispatcher } from 'undici';
import Pool from 'undici/lib/dispatcher/pool.js';

/** An answer, whatever its status. */
export interface Answer {
  status: number;
  body: Record<string, unknown>;
}

/** No answer arrived. */
export interface NoAnswer {
  /** The call certainly did not reach the other side. */
  unsent: boolean;
  /** The other host answered that nothing listens there. */
  isRefused: boolean;
  reason: string;
}

/** A call and its deadline. */
export interface Call {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
  timeoutMs: number;
}

/** Calls to one address. */
export interface Caller {
  call(call: Call): Promise<Answer | NoAnswer>;
  close(): void;
}

const connectTimeoutMs = 800;
const keepAliveMs = 60_000;
const unsentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/** Whether a call ended without an answer. */
export function isNoAnswer(result: Answer | NoAnswer): result is NoAnswer {
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

function noAnswer(error: Error & { code?: string }): NoAnswer {
  const code = String(error.code ?? 'aborted');
  return {
    unsent: unsentCodes.has(code),
    isRefused: code === 'ECONNREFUSED',
    reason: `${code}: ${error.message}`,
  };
}

/**
 * Collects one answer. The handlers of a dispatch take less than half of the processor time of
 * undici's `request`, which matters to a scheduler that makes a thousand calls a second.
 */
function makeCollector(
  timeoutMs: number,
  resolve: (result: Answer | NoAnswer) => void,
): Dispatcher.DispatchHandler {
  const chunks: Buffer[] = [];
  let status = 0;
  let controller: Dispatcher.DispatchController | undefined;
  let isOver = false;
  const timer = setTimeout(() => {
    isOver = true;
    const reason = new Error(`no answer within ${timeoutMs} ms`);
    // A call that still waits for a connection has no controller; it is aborted when it gets one.
    resolve({ unsent: controller === undefined, isRefused: false, reason: reason.message });
    controller?.abort(reason);
  }, timeoutMs);
  return {
    onRequestStart(next) {
      controller = next;
      if (isOver) next.abort(new Error('the call has timed out'));
    },
    onResponseStart(_controller, statusCode) {
      status = statusCode;
    },
    onResponseData(_controller, chunk) {
      chunks.push(chunk);
    },
    onResponseEnd() {
      clearTimeout(timer);
      const whole = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      resolve({ status, body: decodeBody(whole.toString('utf8')) });
    },
    onResponseError(_controller, error) {
      clearTimeout(timer);
      resolve(noAnswer(error));
    },
  };
}

/**
 * Makes the calls to one address, over at most so many connections.
 *
 * @example
 * const caller = makeCaller('10.0.0.7:8182', { connections: 4 });
 * await caller.call({ method: 'GET', path: '/v1/rows-get?table=op', timeoutMs: 500 });
 */
export function makeCaller(address: string, options: { connections: number }): Caller {
  const pool = new Pool(`http://${address}`, {
    connections: options.connections,
    pipelining: 1,
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
    connect: { timeout: connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    call({ method, path, body, headers = {}, timeoutMs }) {
      return new Promise((resolve) => {
        const collector = makeCollector(timeoutMs, resolve);
        pool.dispatch(
          {
            method,
            path,
            ...(body === undefined
              ? { headers }
              : {
                  headers: { 'content-type': 'application/json', ...headers },
                  body: JSON.stringify(body),
                }),
          },
          collector,
        );
      });
    },
    close: () => {
      pool.destroy().catch(() => undefined);
    },
  };
}
