/**
 * JSON calls over HTTP exchanges.
 */
import type { Clock } from '../clock/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';

/** An answer, whatever its status. */
export interface Answer {
  status: number;
  body: Record<string, unknown>;
}

/** No answer arrived. */
export interface NoResponse {
  /** The call certainly did not reach the other side. */
  unsent: boolean;
  /** The other host answered that nothing listens there. */
  isConnectionRefused: boolean;
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
export interface JsonClient {
  request(call: Call): Promise<Answer | NoResponse>;
  close(): void;
}

const connectTimeoutMs = 800;

/** Whether a call ended without an answer. */
export function isNoResponse(result: Answer | NoResponse): result is NoResponse {
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
 * const caller = makeJsonClient('10.0.0.7:8182', { connections: 4, clock: systemClock });
 * await caller.call({ method: 'GET', path: '/v1/rows-get?table=op', timeoutMs: 500 });
 */
export function makeJsonClient(
  target: string,
  { connections, clock }: { connections: number; clock: Clock },
): JsonClient {
  const [address = '', port] = target.split(':');
  const link = makeConnectionPool({
    address,
    port: Number(port),
    clock,
    connections,
    connectTimeoutMs,
  });
  return {
    async request({ body, ...request }) {
      const result = await link.exchange({
        ...request,
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      return result.caseOf<Answer | NoResponse>({
        Left: ({ sent, code, message }) => ({
          unsent: !sent,
          isConnectionRefused: code === 'ECONNREFUSED',
          reason: message,
        }),
        Right: (answer) => ({
          status: answer.status,
          body: decodeBody(answer.body.toString('utf8')),
        }),
      });
    },
    close: () => {
      link.close().catch(() => undefined);
    },
  };
}
