/**
 * The interface between HTTP request handlers and the server, and the parsing of JSON bodies.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';

/** The request data that is passed to a handler. */
export interface RequestContext {
  params: Record<string, string>;
  query: Record<string, string | string[] | undefined>;
  header(name: string): string | undefined;
  /** Reads and parses the JSON body; fails if it exceeds the maximum size of the interface. */
  readJson(): Outcome<unknown>;
  /** Aborts if the client disconnects before the response has been sent. */
  signal: AbortSignal;
}

/** A successful response; its body is sent as JSON. */
export interface JsonResponse {
  status: number;
  body: unknown;
}

/** Handles one request. */
export type Handler = (context: RequestContext) => Outcome<JsonResponse>;

function failTooLarge(maxBytes: number, receivedBytes: number): Either<Failure, never> {
  return failWith(ErrorKind.BodyTooLarge, 'the body is too large', {
    got: `${receivedBytes} bytes or more`,
    expected: `at most ${maxBytes} bytes`,
  });
}

function readBodyText(request: IncomingMessage, maxBytes: number): Outcome<string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    const onData = (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes <= maxBytes) {
        chunks.push(chunk);
        return;
      }
      request.off('data', onData);
      resolve(failTooLarge(maxBytes, receivedBytes));
    };
    request.on('data', onData);
    request.once('end', () => resolve(Right(Buffer.concat(chunks).toString('utf8'))));
    request.once('close', () =>
      resolve(failWith(ErrorKind.MalformedRequest, 'the body ended early')),
    );
  });
}

/**
 * Reads the JSON body of a request. A body whose `content-length` is too large is rejected unread.
 *
 * @example
 * const body = await readJson({ request, response, maxBytes: 1_048_576 });
 */
export async function readJson(options: {
  request: IncomingMessage;
  response: ServerResponse;
  maxBytes: number;
}): Outcome<unknown> {
  const { request, response, maxBytes } = options;
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) return failTooLarge(maxBytes, declaredBytes);
  if (request.headers.expect?.toLowerCase() === '100-continue') response.writeContinue();
  const text = await readBodyText(request, maxBytes);
  return text.chain((json) => {
    try {
      return Right(JSON.parse(json) as unknown);
    } catch (error) {
      const cause = error instanceof Error ? error.message : String(error);
      const expected = 'a JSON document';
      return failWith(ErrorKind.MalformedRequest, `the body is not JSON: ${cause}`, { expected });
    }
  });
}
