/**
 * Retry rules of lookups: what may be sent again, and which failure the caller receives.
 */
import { ErrorKind, makeFailure, hasNotRun } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { Need, Size } from '../schema/mod.ts';

/** A lookup in flight. */
export interface Lookup {
  id: string;
  need: Need;
  size: Size;
  body: unknown;
  idempotent: boolean;
  arrivedAt: number;
  /** A lookup that has not started by then is refused. */
  deadlineAt: number;
  signal?: AbortSignal;
  /** Forwarded by a peer; it isn't forwarded again. */
  isForwarded: boolean;
}

/** The attempts of one lookup so far. */
export interface AttemptHistory {
  sentCount: number;
  triedWorkers: string[];
  triedPeers: Set<string>;
  /** Failure of an attempt that may have run; a later refusal doesn't clear it. */
  unknownOutcome?: Failure;
}

// Failures before any byte of the start was sent to a worker.
const notSentKinds: ReadonlySet<string> = new Set([
  ErrorKind.NotOwner,
  ErrorKind.WorkerUnreachable,
  ErrorKind.DataCentreOut,
]);

// Failures where the worker received the start and refused it.
const refusedByWorkerKinds: ReadonlySet<string> = new Set([
  ErrorKind.WorkerRefused,
  ErrorKind.EpochStale,
]);

/** True when a lookup may be sent to another worker after the failure. */
export function mayResend({ kind }: Failure, { idempotent }: Pick<Lookup, 'idempotent'>): boolean {
  if (notSentKinds.has(kind)) return true;
  return idempotent && (kind === ErrorKind.OutcomeUnknown || refusedByWorkerKinds.has(kind));
}

/** True when a lookup may be forwarded to one more peer after a peer's failure. */
export function mayForward(failed: Failure, { idempotent }: Pick<Lookup, 'idempotent'>): boolean {
  return hasNotRun(failed) && (idempotent || !refusedByWorkerKinds.has(failed.kind));
}

/** True when the failure means only that no capacity or unit of the limit is free now. */
export function isShortage({ kind }: Failure): boolean {
  return kind === ErrorKind.NoRoom || kind === ErrorKind.TeamLimit;
}

/** Picks the failure that holds for all attempts: an unknown outcome outranks a refusal. */
export function pickFinalFailure({ unknownOutcome }: AttemptHistory, failed: Failure): Failure {
  if (unknownOutcome && hasNotRun(failed)) return unknownOutcome;
  return failed;
}

/** Maps an internal failure to one that callers know. */
export function toCallerFailure(failed: Failure): Failure {
  if (failed.kind !== ErrorKind.EpochStale) return failed;
  return makeFailure(ErrorKind.WorkerRefused, failed.message, { retryAfterMs: 1_000 });
}
