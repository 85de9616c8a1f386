/**
 * The table from a failure kind to the answer a caller gets.
 */
import { Kind } from './failure.ts';
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
 * answers[Kind.QueueFull].status; // 429
 */
export const answers: Readonly<Record<Kind, Answer>> = {
  [Kind.MalformedRequest]: refused(400),
  [Kind.BodyTooLarge]: refused(413),
  [Kind.HeaderTooLarge]: refused(431),
  [Kind.NotFound]: refused(404),
  [Kind.MethodNotAllowed]: refused(405),
  [Kind.KeyMissing]: refused(401),
  [Kind.KeyRejected]: refused(403),
  [Kind.TeamUnknown]: refused(403),
  [Kind.QueueUnknown]: refused(404),
  [Kind.SizeInfeasible]: refused(422),
  [Kind.RequestConflict]: refused(409),
  [Kind.QueueFull]: refused(429, retrySoonMs),
  [Kind.TooManyConnections]: refused(503, retrySoonMs),
  [Kind.TeamLimit]: refused(429, retrySoonMs),
  [Kind.NoRoom]: refused(503, retrySoonMs),
  [Kind.DeadlineUnreachable]: refused(503, retrySoonMs),
  [Kind.NotFresh]: refused(503, retrySoonMs),
  [Kind.Draining]: refused(503, retrySoonMs),
  [Kind.WitnessUnavailable]: refused(503, retrySoonMs),
  [Kind.DataCentreOut]: refused(503, retryLaterMs),
  [Kind.WorkerRefused]: refused(503, retrySoonMs),
  [Kind.WorkerUnreachable]: refused(503, retrySoonMs),
  [Kind.PeerUnavailable]: refused(503, retrySoonMs),
  [Kind.NotOwner]: refused(503, retrySoonMs),
  [Kind.EpochStale]: refused(503, retrySoonMs),
  [Kind.Expelled]: refused(503, retryLaterMs),
  [Kind.BudgetExhausted]: refused(503, retryLaterMs),
  [Kind.TableConflict]: refused(409, retrySoonMs),
  [Kind.TableUnavailable]: refused(503, retryLaterMs),
  [Kind.TableUnknown]: { status: 504, ran: Ran.Unknown },
  [Kind.ObjectUnavailable]: { status: 503, ran: Ran.Yes, retryAfterMs: retryLaterMs },
  [Kind.HostsUnavailable]: refused(503, retryLaterMs),
  [Kind.OutcomeUnknown]: { status: 504, ran: Ran.Unknown },
  [Kind.RequestRepeated]: { status: 409, ran: Ran.Unknown },
  [Kind.TaskFailed]: { status: 502, ran: Ran.Yes },
  [Kind.Cancelled]: { status: 409, ran: Ran.Unknown },
  [Kind.SettingsInvalid]: refused(422),
  [Kind.SettingsConflict]: refused(409),
  [Kind.SettingsBlocked]: refused(503, retryLaterMs),
  [Kind.OperatorRejected]: refused(403),
  [Kind.Internal]: { status: 500, ran: Ran.Unknown },
};

/**
 * Says whether the work behind a failure certainly did not run.
 *
 * @example
 * isNotRun({ kind: Kind.OutcomeUnknown, message: 'connection reset' }); // false
 */
export function isNotRun({ kind }: Failure): boolean {
  return answers[kind].ran === Ran.No;
}
