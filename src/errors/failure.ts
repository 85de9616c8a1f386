/**
 * Failures as values: the closed list of kinds and the record that carries one.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

/**
 * Every kind of failure the program knows.
 *
 * @example
 * failure(Kind.TableUnavailable, 'the table service did not accept a connection');
 */
export const Kind = {
  // Requests that are wrong in themselves.
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
  // Refusals: the work certainly did not run.
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
  ObjectUnavailable: 'object-unavailable',
  HostsUnavailable: 'hosts-unavailable',
  // Work that may have run, or did run.
  OutcomeUnknown: 'outcome-unknown',
  RequestRepeated: 'request-repeated',
  TaskFailed: 'task-failed',
  Cancelled: 'cancelled',
  // Settings and operators.
  SettingsInvalid: 'settings-invalid',
  SettingsConflict: 'settings-conflict',
  SettingsBlocked: 'settings-blocked',
  OperatorRejected: 'operator-rejected',
  // Defects.
  Internal: 'internal',
} as const;

/** One of the values of {@link Kind}. */
export type Kind = (typeof Kind)[keyof typeof Kind];

/** What went wrong, with what was got and what was expected. */
export interface Failure {
  kind: Kind;
  message: string;
  got?: unknown;
  expected?: unknown;
  retryAfterMs?: number;
}

/** A result that arrives later and may be a failure. */
export type Outcome<T> = Promise<Either<Failure, T>>;

/**
 * Builds a failure.
 *
 * @example
 * failure(Kind.TeamUnknown, 'team is not in the settings', { got: 'millers' });
 */
export function failure(
  kind: Kind,
  message: string,
  options: { got?: unknown; expected?: unknown; retryAfterMs?: number } = {},
): Failure {
  return { kind, message, ...options };
}

/**
 * Builds a failure wrapped as the left side of an `Either`.
 *
 * @example
 * return refuse(Kind.NoRoom, 'no worker has 4 free processors');
 */
export function refuse<T = never>(
  kind: Kind,
  message: string,
  options: { got?: unknown; expected?: unknown; retryAfterMs?: number } = {},
): Either<Failure, T> {
  return Left(failure(kind, message, options));
}
