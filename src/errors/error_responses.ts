/**
 * The table from a failure kind to the answer a caller gets.
 */
import { ErrorKind } from './failure.ts';
import type { Failure } from './failure.ts';

/** What a failure means for the request that met it. */
export const Ran = {
  /** The work certainly did not run. */
  No: 'no',
  /** The work may have run. */
  Unknown: 'unknown',
  /** The work ran. */
  Yes: 'yes',
} as const;

/** One of the values of {@link Ran}. */
export type Ran = (typeof Ran)[keyof typeof Ran];

/** How a failure kind is answered over HTTP. */
export interface Answer {
  status: number;
  ran: Ran;
  /** Default for the Retry-After header; absent where a repeat cannot help. */
  retryAfterMs?: number;
}

const retrySoonMs = 1_000;
const retryLaterMs = 5_000;

function refused(status: number, retryAfterMs?: number): Answer {
  return retryAfterMs === undefined
    ? { status, ran: Ran.No }
    : { status, ran: Ran.No, retryAfterMs };
}

/**
 * One answer for every kind.
 *
 * @example
 * answers[ErrorKind.QueueFull].status; // 429
 */
export const errorResponses: Readonly<Record<ErrorKind, Answer>> = {
  [ErrorKind.MalformedRequest]: refused(400),
  [ErrorKind.BodyTooLarge]: refused(413),
  [ErrorKind.HeaderTooLarge]: refused(431),
  [ErrorKind.NotFound]: refused(404),
  [ErrorKind.MethodNotAllowed]: refused(405),
  [ErrorKind.KeyMissing]: refused(401),
  [ErrorKind.KeyRejected]: refused(403),
  [ErrorKind.TeamUnknown]: refused(403),
  [ErrorKind.QueueUnknown]: refused(404),
  [ErrorKind.SizeInfeasible]: refused(422),
  [ErrorKind.RequestConflict]: refused(409),
  [ErrorKind.QueueFull]: refused(429, retrySoonMs),
  [ErrorKind.TooManyConnections]: refused(503, retrySoonMs),
  [ErrorKind.TeamLimit]: refused(429, retrySoonMs),
  [ErrorKind.NoRoom]: refused(503, retrySoonMs),
  [ErrorKind.DeadlineUnreachable]: refused(503, retrySoonMs),
  [ErrorKind.NotFresh]: refused(503, retrySoonMs),
  [ErrorKind.Draining]: refused(503, retrySoonMs),
  [ErrorKind.WitnessUnavailable]: refused(503, retrySoonMs),
  [ErrorKind.DataCentreOut]: refused(503, retryLaterMs),
  [ErrorKind.WorkerRefused]: refused(503, retrySoonMs),
  [ErrorKind.WorkerUnreachable]: refused(503, retrySoonMs),
  [ErrorKind.PeerUnavailable]: refused(503, retrySoonMs),
  [ErrorKind.NotOwner]: refused(503, retrySoonMs),
  [ErrorKind.EpochStale]: refused(503, retrySoonMs),
  [ErrorKind.Expelled]: refused(503, retryLaterMs),
  [ErrorKind.BudgetExhausted]: refused(503, retryLaterMs),
  [ErrorKind.TableConflict]: refused(409, retrySoonMs),
  [ErrorKind.TableUnavailable]: refused(503, retryLaterMs),
  [ErrorKind.TableUnknown]: { status: 504, ran: Ran.Unknown },
  [ErrorKind.ObjectUnavailable]: { status: 503, ran: Ran.Yes, retryAfterMs: retryLaterMs },
  [ErrorKind.HostsUnavailable]: refused(503, retryLaterMs),
  [ErrorKind.OutcomeUnknown]: { status: 504, ran: Ran.Unknown },
  [ErrorKind.RequestRepeated]: { status: 409, ran: Ran.Unknown },
  [ErrorKind.TaskFailed]: { status: 502, ran: Ran.Yes },
  [ErrorKind.Cancelled]: { status: 409, ran: Ran.Unknown },
  [ErrorKind.SettingsInvalid]: refused(422),
  [ErrorKind.SettingsConflict]: refused(409),
  [ErrorKind.SettingsBlocked]: refused(503, retryLaterMs),
  [ErrorKind.OperatorRejected]: refused(403),
  [ErrorKind.Internal]: { status: 500, ran: Ran.Unknown },
};

/**
 * Says whether the work behind a failure certainly did not run.
 *
 * @example
 * hasNotRun({ kind: ErrorKind.OutcomeUnknown, message: 'connection reset' }); // false
 */
export function hasNotRun({ kind }: Failure): boolean {
  return errorResponses[kind].ran === Ran.No;
}
