/**
 * Formats and sends HTTP responses. If a request is rejected before its body has been read, the
 * connection stays open long enough for the client to read the response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Clock } from '../clock/mod.ts';
import { errorResponses } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';

// Closing while the client is still sending resets the connection, and the response may be lost.
const lingerMs = 1_000;
const maxValueLength = 500;
const msPerSecond = 1_000;

/** Truncates a long value, so that an error response does not return a whole request body. */
function truncateValue(value: unknown): unknown {
  const text = JSON.stringify(value) as string | undefined;
  return text && text.length > maxValueLength ? `${text.slice(0, maxValueLength)}...` : value;
}

/** Formats the JSON body of an error response. */
export function formatFailure({ kind, message, got, expected }: Failure): string {
  const { ran } = errorResponses[kind];
  return JSON.stringify({ error: { kind, message, ran, got: truncateValue(got), expected } });
}

/** Makes the `retry-after` header of an error response, in whole seconds rounded up. */
export function makeRetryHeaders({ kind, retryAfterMs }: Failure): Record<string, string> {
  const ms = retryAfterMs ?? errorResponses[kind].retryAfterMs;
  if (ms === undefined) return {};
  return { 'retry-after': String(Math.max(1, Math.ceil(ms / msPerSecond))) };
}

/** Sends a response, and closes the connection if requested or if the request body is unread. */
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

/** Formats a complete HTTP error response for writing to a socket without a parsed request. */
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
