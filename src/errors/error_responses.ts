/**
 * The HTTP response for each error kind.
 */
import { ErrorKind } from './failure.ts';
import type { Failure } from './failure.ts';

/** Whether the work of a failed request has run. */
export const ExecutionStatus = {
  /** The work certainly did not run. */
  NotRun: 'no',
  /** The work may have run. */
  MayHaveRun: 'unknown',
  /** The work ran. */
  HasRun: 'yes',
} as const;

/** One of the values of {@link ExecutionStatus}. */
export type ExecutionStatus = (typeof ExecutionStatus)[keyof typeof ExecutionStatus];

/** The HTTP response for an error kind. */
export interface ErrorResponse {
  status: number;
  ran: ExecutionStatus;
  /** Default value of the Retry-After header; absent if a retry cannot succeed. */
  retryAfterMs?: number;
}

const retrySoonMs = 1_000;
const retryLaterMs = 5_000;

function makeNotRunResponse(status: number, retryAfterMs?: number): ErrorResponse {
  return retryAfterMs === undefined
    ? { status, ran: ExecutionStatus.NotRun }
    : { status, ran: ExecutionStatus.NotRun, retryAfterMs };
}

/**
 * The response for each error kind.
 *
 * @example
 * errorResponses[ErrorKind.QueueFull].status; // 429
 */
export const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
  [ErrorKind.MalformedRequest]: makeNotRunResponse(400),
  [ErrorKind.BodyTooLarge]: makeNotRunResponse(413),
  [ErrorKind.HeaderTooLarge]: makeNotRunResponse(431),
  [ErrorKind.NotFound]: makeNotRunResponse(404),
  [ErrorKind.MethodNotAllowed]: makeNotRunResponse(405),
  [ErrorKind.KeyMissing]: makeNotRunResponse(401),
  [ErrorKind.KeyRejected]: makeNotRunResponse(403),
  [ErrorKind.TeamUnknown]: makeNotRunResponse(403),
  [ErrorKind.QueueUnknown]: makeNotRunResponse(404),
  [ErrorKind.SizeInfeasible]: makeNotRunResponse(422),
  [ErrorKind.RequestConflict]: makeNotRunResponse(409),
  [ErrorKind.QueueFull]: makeNotRunResponse(429, retrySoonMs),
  [ErrorKind.TooManyConnections]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.TeamLimit]: makeNotRunResponse(429, retrySoonMs),
  [ErrorKind.NoRoom]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.DeadlineUnreachable]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.NotFresh]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.Draining]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.WitnessUnavailable]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.DataCentreOut]: makeNotRunResponse(503, retryLaterMs),
  [ErrorKind.WorkerRefused]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.WorkerUnreachable]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.PeerUnavailable]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.NotOwner]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.EpochStale]: makeNotRunResponse(503, retrySoonMs),
  [ErrorKind.Expelled]: makeNotRunResponse(503, retryLaterMs),
  [ErrorKind.BudgetExhausted]: makeNotRunResponse(503, retryLaterMs),
  [ErrorKind.TableConflict]: makeNotRunResponse(409, retrySoonMs),
  [ErrorKind.TableUnavailable]: makeNotRunResponse(503, retryLaterMs),
  [ErrorKind.TableRejected]: makeNotRunResponse(413),
  [ErrorKind.TableUnknown]: { status: 504, ran: ExecutionStatus.MayHaveRun },
  [ErrorKind.ObjectUnavailable]: {
    status: 503,
    ran: ExecutionStatus.HasRun,
    retryAfterMs: retryLaterMs,
  },
  [ErrorKind.HostsUnavailable]: makeNotRunResponse(503, retryLaterMs),
  [ErrorKind.OutcomeUnknown]: { status: 504, ran: ExecutionStatus.MayHaveRun },
  [ErrorKind.RequestRepeated]: { status: 409, ran: ExecutionStatus.MayHaveRun },
  [ErrorKind.TaskFailed]: { status: 502, ran: ExecutionStatus.HasRun },
  [ErrorKind.Cancelled]: { status: 409, ran: ExecutionStatus.MayHaveRun },
  [ErrorKind.SettingsInvalid]: makeNotRunResponse(422),
  [ErrorKind.SettingsConflict]: makeNotRunResponse(409),
  [ErrorKind.SettingsBlocked]: makeNotRunResponse(503, retryLaterMs),
  [ErrorKind.OperatorRejected]: makeNotRunResponse(403),
  [ErrorKind.Internal]: { status: 500, ran: ExecutionStatus.MayHaveRun },
};

/**
 * Whether the work of the failed request certainly did not run.
 *
 * @example
 * hasNotRun({ kind: ErrorKind.OutcomeUnknown, message: 'connection reset' }); // false
 */
export function hasNotRun({ kind }: Failure): boolean {
  return errorResponses[kind].ran === ExecutionStatus.NotRun;
}
