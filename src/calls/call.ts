/**
 * JSON calls over HTTP with one deadline for the whole exchange.
 */
import request from 'undici/lib/api/api-request.js';
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
    async call({ method, path, body, headers = {}, timeoutMs }) {
      const abort = new AbortController();
      const timer = setTimeout(() => abort.abort(), timeoutMs);
      try {
        const response = await request.call(pool, {
          method,
          path,
          signal: abort.signal,
          ...(body === undefined
            ? { headers }
            : {
                headers: { 'content-type': 'application/json', ...headers },
                body: JSON.stringify(body),
              }),
        });
        const text = await response.body.text();
        return { status: response.statusCode, body: decodeBody(text) };
      } catch (error) {
        const { code = 'aborted', message } = error as Error & { code?: string };
        return {
          unsent: unsentCodes.has(String(code)),
          isRefused: code === 'ECONNREFUSED',
          reason: `${code}: ${message}`,
        };
      } finally {
        clearTimeout(timer);
      }
    },
    close: () => {
      pool.destroy().catch(() => undefined);
    },
  };
}
