/**
 * Responses to clients, and the relay of requests that this process cannot serve.
 */
import { ErrorKind } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';

/** A client's request. */
export interface ClientRequest {
  method: string;
  host: string;
  path: string;
  key: string | undefined;
  body: string;
  /** Whether another entry process has relayed the request to this one. */
  isRelayed: boolean;
  /** Retry-After of a refusal; 1 s if undefined, since nothing is known of the job then. */
  retryAfterS?: number;
}

/** The response to a client's request. */
export interface ClientResponse {
  status: number;
  body: string;
  retryAfterS?: number;
}

const okStatus = 200;
const unavailableStatus = 503;
const unknownStatus = 504;
const defaultRetryAfterS = 1;

/** Makes a successful response. */
export function respondOk(body = '{}'): ClientResponse {
  return { status: okStatus, body };
}

/** Makes the response to a request that had no effect and may be sent again later. */
export function respondRetryLater(
  status: number,
  reason: string,
  retryAfterS = defaultRetryAfterS,
): ClientResponse {
  return { status, body: JSON.stringify({ error: reason }), retryAfterS };
}

/** Makes the response to an invalid request, or to one whose outcome is unknown. */
export function respondError(status: number, reason: string): ClientResponse {
  return { status, body: JSON.stringify({ error: reason }) };
}

/** Makes the response to a valid request that no process could serve. */
function failRequest({ retryAfterS }: ClientRequest, mayHaveRun: boolean): ClientResponse {
  return mayHaveRun
    ? respondError(unknownStatus, 'the outcome is unknown, send the call again')
    : respondRetryLater(unavailableStatus, 'the store is unavailable', retryAfterS);
}

/** Sends a request to another entry process; a Left when none of them served it. */
export type Relay = (request: ClientRequest) => Outcome<ClientResponse>;

/**
 * Responds to a request that failed in this process: with the response of another entry process, or
 * with an error.
 *
 * A write that this process has sent may still take effect whatever the other process responds. In
 * that case only a success of the other process is passed on.
 */
export async function relayOrRefuse(
  request: ClientRequest,
  cause: Failure,
  relay: Relay,
): Promise<ClientResponse> {
  const isUnknown = cause.kind === ErrorKind.TableUnknown;
  if (request.isRelayed) return failRequest(request, isUnknown);
  const relayed = await relay(request);
  return relayed.caseOf({
    Left: ({ kind }) => failRequest(request, isUnknown || kind === ErrorKind.OutcomeUnknown),
    Right: (other) => (isUnknown && other.status !== okStatus ? failRequest(request, true) : other),
  });
}
