/**
 * Checks that the response of a worker is complete.
 *
 * A response either has a `content-length` that matches its body, or is streamed
 * (`x-answer: streamed`) and ends with a line `{"end":N}`, where N is the number of bytes before
 * that line. Without either, truncation could not be detected.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { ExchangeResponse } from '../exchange/mod.ts';

const newline = 0x0a;

function parseJson(bytes: Buffer): Either<string, unknown> {
  try {
    return Right(JSON.parse(bytes.toString('utf8')) as unknown);
  } catch {
    return Left('the answer is not JSON');
  }
}

function removeEndMarker(body: Buffer): Either<string, Buffer> {
  const markerStart = body.lastIndexOf(newline);
  const marker = parseJson(body.subarray(markerStart + 1)).orDefault(undefined);
  const { end } = (marker ?? {}) as { end?: unknown };
  if (markerStart < 0 || end !== markerStart)
    return Left(`the streamed answer was cut after ${body.length} bytes`);
  return Right(body.subarray(0, markerStart));
}

/**
 * Parses the JSON body of a complete response, or returns why the response is not complete.
 *
 * @example
 * parseCompleteResponse(response).map((value) => decode(validators.validateStartAnswer, value));
 */
export function parseCompleteResponse({
  headers,
  body,
}: ExchangeResponse): Either<string, unknown> {
  if (headers['x-answer'] === 'streamed') return removeEndMarker(body).chain(parseJson);
  const length = headers['content-length'];
  if (length === undefined) return Left('the answer has neither a length nor a final marker');
  if (Number(length) !== body.length) return Left(`got ${body.length} of ${String(length)} bytes`);
  return parseJson(body);
}
