/**
 * Decides whether an answer of a worker is whole.
 *
 * An answer either has a `content-length` that it fills, or is streamed (`x-answer: streamed`) and
 * ends with a line `{"end":N}`, where N is the number of bytes before that line. An answer with
 * neither could have been cut without a trace.
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
 * Returns the JSON value of a whole answer, or why it is not whole.
 *
 * @example
 * readWhole(answer).map((value) => decode(validators.validateStartAnswer, value));
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
