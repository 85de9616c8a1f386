/**
 * Answers to clients, and the relay of calls that this process cannot serve.
 */
import { ErrorKind } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';

/** A client's call. */
export interface ClientCall {
  method: string;
  host: string;
  path: string;
  key: string | undefined;
  body: string;
  /** Another entry process has passed the call on. */
  isRelayed: boolean;
  /** When to come back after a refusal; 1 s where nothing is known of the job. */
  retryAfterS?: number;
}

/** The answer to a call. */
export interface ClientAnswer {
  status: number;
  body: string;
  retryAfterS?: number;
}

const okStatus = 200;
const unavailableStatus = 503;
const unknownStatus = 504;
const defaultRetryAfterS = 1;

/** A success. */
export function success(body = '{}'): ClientAnswer {
  return { status: okStatus, body };
}

/** A call that did not take effect and may be sent again later. */
export function refusal(
  status: number,
  reason: string,
  retryAfterS = defaultRetryAfterS,
): ClientAnswer {
  return { status, body: JSON.stringify({ error: reason }), retryAfterS };
}

/** A call that is wrong, or whose outcome is not known. */
export function errorAnswer(status: number, reason: string): ClientAnswer {
  return { status, body: JSON.stringify({ error: reason }) };
}

function giveUp({ retryAfterS }: ClientCall, mayHaveRun: boolean): ClientAnswer {
  return mayHaveRun
    ? errorAnswer(unknownStatus, 'the outcome is unknown, send the call again')
    : refusal(unavailableStatus, 'the store is unavailable', retryAfterS);
}

/** Passes a call on; a Left when no other process answered it. */
export type Relay = (call: ClientCall) => Outcome<ClientAnswer>;

/**
 * Answers a call that met a problem here: with the answer of another process, or with a refusal.
 *
 * A write that was sent from here may still take effect, whatever the other process answers; so then
 * only its success is passed on.
 */
export async function passOn(
  call: ClientCall,
  problem: Failure,
  relay: Relay,
): Promise<ClientAnswer> {
  const isUnknown = problem.kind === ErrorKind.TableUnknown;
  if (call.isRelayed) return giveUp(call, isUnknown);
  const relayed = await relay(call);
  return relayed.caseOf({
    Left: ({ kind }) => giveUp(call, isUnknown || kind === ErrorKind.OutcomeUnknown),
    Right: (answer) => (isUnknown && answer.status !== okStatus ? giveUp(call, true) : answer),
  });
}
