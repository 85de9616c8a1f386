/**
 * Writes answers. A request refused before its body was read keeps its connection just long enough
 * for the caller to read the answer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Clock } from '../clock/mod.ts';
import { errorResponses } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';

// Closing while the caller still writes resets the connection, and the caller may lose the answer.
const lingerMs = 1_000;
const maxValueLength = 500;
const msPerSecond = 1_000;

/** Keeps what was got readable; a caller need not get back its whole body. */
function truncateValue(value: unknown): unknown {
  const text = JSON.stringify(value) as string | undefined;
  return text && text.length > maxValueLength ? `${text.slice(0, maxValueLength)}...` : value;
}

/** The JSON body that tells a failure. */
export function formatFailure({ kind, message, got, expected }: Failure): string {
  const { ran } = errorResponses[kind];
  return JSON.stringify({ error: { kind, message, ran, got: truncateValue(got), expected } });
}

/** The `retry-after` header of a failure, in whole seconds. */
export function makeRetryHeaders({ kind, retryAfterMs }: Failure): Record<string, string> {
  const ms = retryAfterMs ?? errorResponses[kind].retryAfterMs;
  if (ms === undefined) return {};
  return { 'retry-after': String(Math.max(1, Math.ceil(ms / msPerSecond))) };
}

/** Sends a whole answer. */
export function sendResponse(options: {
  request: IncomingMessage;
  response: ServerResponse;
  status: number;
  body: string;
  headers: Record<string, string>;
  close: boolean;
  clock: Clock;
}): void {
  const { request, response, status, body, headers, clock } = options;
  if (response.destroyed) return;
  const isBodyUnread = !request.complete;
  const payload = Buffer.from(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': payload.length,
    ...headers,
    ...(options.close || isBodyUnread ? { connection: 'close' } : {}),
  });
  if (!isBodyUnread) {
    response.end(payload);
    return;
  }
  response.write(payload);
  request.resume();
  const lingerAbort = new AbortController();
  request.once('end', () => lingerAbort.abort());
  request.once('close', () => lingerAbort.abort());
  clock
    .sleep(lingerMs, lingerAbort.signal)
    .then(() => response.end())
    .catch(() => undefined);
}

/** An answer to bytes that are not a request, written to the bare socket. */
export function formatRawResponse(failure: Failure): string {
  const body = formatFailure(failure);
  return [
    `HTTP/1.1 ${errorResponses[failure.kind].status} Refused`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}
