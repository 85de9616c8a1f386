/**
 * Failures as values: the closed list of error kinds and the type of a failure.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

/**
 * All kinds of failure.
 *
 * @example
 * makeFailure(ErrorKind.TableUnavailable, 'the table service did not accept a connection');
 */
export const ErrorKind = {
  // Invalid requests.
  MalformedRequest: 'malformed-request',
  BodyTooLarge: 'body-too-large',
  HeaderTooLarge: 'header-too-large',
  NotFound: 'not-found',
  MethodNotAllowed: 'method-not-allowed',
  KeyMissing: 'key-missing',
  KeyRejected: 'key-rejected',
  TeamUnknown: 'team-unknown',
  QueueUnknown: 'queue-unknown',
  SizeInfeasible: 'size-infeasible',
  RequestConflict: 'request-conflict',
  // Refused requests: the work certainly did not run.
  QueueFull: 'queue-full',
  TooManyConnections: 'too-many-connections',
  TeamLimit: 'team-limit',
  NoRoom: 'no-room',
  DeadlineUnreachable: 'deadline-unreachable',
  NotFresh: 'not-fresh',
  Draining: 'draining',
  WitnessUnavailable: 'witness-unavailable',
  DataCentreOut: 'data-centre-out',
  WorkerRefused: 'worker-refused',
  WorkerUnreachable: 'worker-unreachable',
  PeerUnavailable: 'peer-unavailable',
  NotOwner: 'not-owner',
  EpochStale: 'epoch-stale',
  Expelled: 'expelled',
  BudgetExhausted: 'budget-exhausted',
  // Table service.
  TableConflict: 'table-conflict',
  TableUnavailable: 'table-unavailable',
  TableUnknown: 'table-unknown',
  TableRejected: 'table-rejected',
  ObjectUnavailable: 'object-unavailable',
  HostsUnavailable: 'hosts-unavailable',
  // The work may have run, or did run.
  OutcomeUnknown: 'outcome-unknown',
  RequestRepeated: 'request-repeated',
  TaskFailed: 'task-failed',
  Cancelled: 'cancelled',
  // Settings and operators.
  SettingsInvalid: 'settings-invalid',
  SettingsConflict: 'settings-conflict',
  SettingsBlocked: 'settings-blocked',
  OperatorRejected: 'operator-rejected',
  // Defects of the program.
  Internal: 'internal',
} as const;

/** One of the values of {@link ErrorKind}. */
export type ErrorKind = (typeof ErrorKind)[keyof typeof ErrorKind];

/** A failure, optionally with the actual and the expected value. */
export interface Failure {
  kind: ErrorKind;
  message: string;
  got?: unknown;
  expected?: unknown;
  retryAfterMs?: number;
}

/** A promise of a result or a failure. */
export type Outcome<T> = Promise<Either<Failure, T>>;

/**
 * Creates a failure.
 *
 * @example
 * makeFailure(ErrorKind.TeamUnknown, 'team is not in the settings', { got: 'millers' });
 */
export function makeFailure(
  kind: ErrorKind,
  message: string,
  options: { got?: unknown; expected?: unknown; retryAfterMs?: number } = {},
): Failure {
  return { kind, message, ...options };
}

/**
 * Creates a failure, wrapped in the left side of an `Either`.
 *
 * @example
 * return failWith(ErrorKind.NoRoom, 'no worker has 4 free processors');
 */
export function failWith<T = never>(
  kind: ErrorKind,
  message: string,
  options: { got?: unknown; expected?: unknown; retryAfterMs?: number } = {},
): Either<Failure, T> {
  return Left(makeFailure(kind, message, options));
}
