/**
 * The rules of a lookup's tries: what may be sent again, and which failure the caller hears.
 */
import { ErrorKind, makeFailure, hasNotRun } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { Need, Size } from '../schema/mod.ts';

/** A lookup on its way to an answer. */
export interface Lookup {
  id: string;
  need: Need;
  size: Size;
  body: unknown;
  idempotent: boolean;
  arrivedAt: number;
  /** The lookup starts by then or is refused. */
  deadlineAt: number;
  signal?: AbortSignal;
  /** Handed over by a peer; it isn't handed on. */
  isForwarded: boolean;
}

/** AttemptHistory of one lookup so far. */
export interface AttemptHistory {
  sentCount: number;
  /** Workers and peers that were tried. */
  triedWorkers: string[];
  triedPeers: Set<string>;
  /** Set once a try may have run; a later refusal doesn't change that. */
  unknownOutcome?: Failure;
}

// No byte of these starts was sent to a worker.
const notSentKinds: ReadonlySet<string> = new Set([
  ErrorKind.NotOwner,
  ErrorKind.WorkerUnreachable,
  ErrorKind.DataCentreOut,
]);

// The worker got the start and refused it.
const refusedByWorkerKinds: ReadonlySet<string> = new Set([
  ErrorKind.WorkerRefused,
  ErrorKind.EpochStale,
]);

/** True when a lookup may be sent to another worker after the failure. */
export function mayResend({ kind }: Failure, { idempotent }: Pick<Lookup, 'idempotent'>): boolean {
  if (notSentKinds.has(kind)) return true;
  return idempotent && (kind === ErrorKind.OutcomeUnknown || refusedByWorkerKinds.has(kind));
}

/** True when a lookup may be handed to one more peer after a peer's failure. */
export function mayForward(failed: Failure, { idempotent }: Pick<Lookup, 'idempotent'>): boolean {
  return hasNotRun(failed) && (idempotent || !refusedByWorkerKinds.has(failed.kind));
}

/** True when the failure only says that there is no place now. */
export function isShortage({ kind }: Failure): boolean {
  return kind === ErrorKind.NoRoom || kind === ErrorKind.TeamLimit;
}

/** The failure that is true for all tries together. */
export function pickFinalFailure({ unknownOutcome }: AttemptHistory, failed: Failure): Failure {
  if (unknownOutcome && hasNotRun(failed)) return unknownOutcome;
  return failed;
}

/** Brings failures between own parts into the terms of the caller. */
export function toCallerFailure(failed: Failure): Failure {
  if (failed.kind !== ErrorKind.EpochStale) return failed;
  return makeFailure(ErrorKind.WorkerRefused, failed.message, { retryAfterMs: 1_000 });
}
