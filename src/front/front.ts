/**
 * Serves clients: accepts and cancels jobs, shows their state and the number of pending jobs.
 *
 * The cell's scheduler stores the jobs. While no scheduler responds, this process stores a job's row for
 * the next one. A request that cannot be served here is relayed, whole, to another entry process.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { acceptedRow, cancellationRow, jobRow, progressRow, SubmitResult } from '../cell/mod.ts';
import { ErrorKind, errorResponses, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { JobState } from '../model/mod.ts';
import type { AcceptedJob, JobSpec, Store } from '../model/mod.ts';
import { relayOrRefuse, respondError, respondOk, respondRetryLater } from './_responses.ts';
import type { ClientRequest, ClientResponse, Relay } from './_responses.ts';
import { computeRetryAfterS, maxRetryAfterS } from './_retry_after.ts';
import type { SchedulerClient } from './scheduler_client.ts';
import { authorise } from './_routed_request.ts';
import type { RoutedRequest } from './_routed_request.ts';
import { findLimitProblem, findSizeProblem, makeAcceptedJob } from './_new_job.ts';
import { makeJobWriter, RowStatus } from './job_writer.ts';
import type { RouteTable } from './routes.ts';

/** Dependencies of the front end. */
export interface FrontEndOptions {
  store: Store;
  scheduler: SchedulerClient;
  clock: Clock;
  log: Logger;
  /** The routes in force; undefined if they are unknown or may be stale. */
  getRoutes(): RouteTable | undefined;
  /** The number of pending jobs in a queue; undefined if it is stale. */
  getPendingCount(queue: string): number | undefined;
  /** Whether a further job of the organisation in the queue is to be refused. */
  isOverloaded(queue: string, organisation: string): boolean;
  /** Largest stored form of a job, in bytes. */
  maxJobBytes: number;
  /** Whether the last calls to the store have all failed. */
  isStoreDown(): boolean;
  relay: Relay;
  isJobId(text: string): boolean;
  decodeJob(text: string): Either<Failure, JobSpec>;
  encodeState(state: JobState): string;
  encodePending(count: number): string;
}

/** Responds to the requests of clients. */
export interface FrontEnd {
  handle(request: ClientRequest): Promise<ClientResponse>;
}

/** Responses from this status on mean that the request was not served. */
const serverErrorStatus = 500;

function makeStoreDownFailure(): Failure {
  return makeFailure(ErrorKind.TableUnavailable, 'the store does not answer');
}

/**
 * Makes the front end.
 *
 * @example
 * const { status } = await frontEnd.handle(request);
 */
export function makeFrontEnd(options: FrontEndOptions): FrontEnd {
  const { store, scheduler, clock, log, getRoutes, relay } = options;
  const jobWriter = makeJobWriter(store, log);

  async function forward(
    request: ClientRequest & { jobId?: string },
    cause: Failure,
  ): Promise<ClientResponse> {
    const response = await relayOrRefuse(request, cause, relay);
    if (response.status >= serverErrorStatus) {
      log.warn('request not served', {
        event: 'call-not-served',
        ...(request.jobId ? { id: request.jobId } : { path: request.path }),
        method: request.method,
        status: response.status,
        kind: cause.kind,
        reason: cause.message,
      });
    }
    return response;
  }

  /** Whether a job is stored, by the scheduler or by an entry process. */
  async function isJobStored(jobId: string): Outcome<boolean> {
    const accepted = await store.read(acceptedRow(jobId));
    if (accepted.map(({ rows }) => rows.length > 0).orDefault(true)) {
      return accepted.map(() => true);
    }
    const stored = await store.read(jobRow(jobId));
    return stored.map(({ rows }) => rows.length > 0);
  }

  /** Refuses a job, unless an earlier request with its id was accepted but its response was lost. */
  async function refuse(request: RoutedRequest, reason: string): Promise<ClientResponse> {
    const exists = await isJobStored(request.jobId);
    return exists.caseOf<ClientResponse | Promise<ClientResponse>>({
      Left: (cause) => forward(request, cause),
      Right: (isStored) => {
        if (isStored) return respondOk();
        log.info('job refused', {
          event: 'job-refused',
          id: request.jobId,
          queue: request.queue.name,
          organisation: request.organisation,
          reason,
        });
        return respondRetryLater(
          429,
          'there is no room for more work of the organisation',
          request.retryAfterS,
        );
      },
    });
  }

  async function submitJob(received: RoutedRequest): Promise<ClientResponse> {
    const decoded = options.decodeJob(received.body);
    if (decoded.isLeft()) {
      const { message } = decoded.swap().orDefault(makeFailure(ErrorKind.MalformedRequest, ''));
      log.info('job rejected', { event: 'job-rejected', id: received.jobId, reason: message });
      return respondError(400, message);
    }
    const spec = decoded.extract() as JobSpec;
    const request = { ...received, retryAfterS: computeRetryAfterS(received.queue, spec) };
    const job = makeAcceptedJob(request, spec, clock.wallTime());
    const problem = findSizeProblem(job, options.maxJobBytes);
    if (problem !== undefined) return rejectTooLarge(request, problem);
    const limitProblem = findLimitProblem(spec, request.upperLimit);
    if (limitProblem !== undefined) {
      return refuse({ ...request, retryAfterS: maxRetryAfterS }, limitProblem);
    }
    log.info('job received', {
      event: 'job-received',
      id: request.jobId,
      queue: request.queue.name,
    });
    const outcome = await scheduler.submit(job);
    if (outcome === SubmitResult.Stored) return accept(request, 'the scheduler');
    if (outcome === SubmitResult.Overloaded) {
      return refuse(request, 'the scheduler has turned it away');
    }
    return storeJob(request, job, outcome === SubmitResult.Unknown);
  }

  /** Rejects a job at once that could never be served. */
  function rejectTooLarge({ jobId }: RoutedRequest, message: string): ClientResponse {
    log.info('job rejected', { event: 'job-rejected', id: jobId, reason: message });
    return respondError(errorResponses[ErrorKind.BodyTooLarge].status, message);
  }

  function accept(request: RoutedRequest, storedBy: string): ClientResponse {
    log.info('job accepted', {
      event: 'job-accepted',
      id: request.jobId,
      queue: request.queue.name,
      organisation: request.organisation,
      storedBy,
    });
    return respondOk();
  }

  /** Stores a job without the scheduler, which may have done so if `mayBeStored` is true. */
  async function storeJob(
    request: RoutedRequest,
    job: AcceptedJob,
    mayBeStored: boolean,
  ): Promise<ClientResponse> {
    if (options.isStoreDown()) {
      const kind = mayBeStored ? ErrorKind.TableUnknown : ErrorKind.TableUnavailable;
      return forward(request, makeFailure(kind, 'neither the scheduler nor the store responds'));
    }
    if (!mayBeStored && options.isOverloaded(request.queue.name, request.organisation)) {
      return refuse(request, 'the organisation exceeds its share and the queue is busy');
    }
    const stored = await jobWriter.write({ ...jobRow(request.jobId), value: JSON.stringify(job) });
    return stored.caseOf<ClientResponse | Promise<ClientResponse>>({
      Right: (result) => (result === RowStatus.New ? accept(request, 'this process') : respondOk()),
      Left: (cause) => {
        log.warn('job not stored', {
          event: 'job-not-stored',
          id: request.jobId,
          kind: cause.kind,
          reason: cause.got,
        });
        if (cause.kind === ErrorKind.TableRejected && !mayBeStored) {
          return rejectTooLarge(request, cause.message);
        }
        return forward(request, mayBeStored ? { ...cause, kind: ErrorKind.TableUnknown } : cause);
      },
    });
  }

  /** Reads the state in the progress row of a job; undefined if there is none. */
  async function readProgressState(jobId: string): Outcome<JobState | undefined> {
    const progress = await store.read(progressRow(jobId));
    return progress.map(({ rows: [row] }) =>
      row ? (JSON.parse(row.value) as { state: JobState }).state : undefined,
    );
  }

  /** Reads the stored state of a job; undefined if the job is unknown. */
  async function readStoredState(jobId: string): Outcome<JobState | undefined> {
    const state = await readProgressState(jobId);
    if (state.isLeft() || state.orDefault(undefined) !== undefined) return state;
    const exists = await isJobStored(jobId);
    if (exists.isLeft()) return exists.map(() => undefined);
    if (exists.orDefault(false)) return Right(JobState.Queued);
    // If the job ended between the two reads, its accepted row is deleted and its progress is stored.
    return readProgressState(jobId);
  }

  async function showState(request: RoutedRequest): Promise<ClientResponse> {
    const schedulerState = await scheduler.getState(request.jobId);
    if (schedulerState !== undefined) return respondOk(options.encodeState(schedulerState));
    if (options.isStoreDown()) return forward(request, makeStoreDownFailure());
    const result = await readStoredState(request.jobId);
    return result.caseOf<ClientResponse | Promise<ClientResponse>>({
      Left: (cause) => forward(request, cause),
      Right: (state) =>
        state === undefined
          ? respondError(410, 'there is no such job')
          : respondOk(options.encodeState(state)),
    });
  }

  function confirmCancelled({ jobId }: RoutedRequest): ClientResponse {
    log.info('cancellation stored', { event: 'cancellation-stored', id: jobId });
    return respondOk();
  }

  async function cancelJob(request: RoutedRequest): Promise<ClientResponse> {
    if (await scheduler.cancel(request.jobId)) return confirmCancelled(request);
    if (options.isStoreDown()) return forward(request, makeStoreDownFailure());
    const exists = await isJobStored(request.jobId);
    if (exists.isLeft()) {
      return forward(request, exists.swap().orDefault(makeStoreDownFailure()));
    }
    if (!exists.orDefault(false)) return respondError(410, 'there is no such job');
    const stored = await store.transact({
      expected: [],
      writes: [{ ...cancellationRow(request.jobId), value: '{}' }],
      deletes: [],
    });
    return stored.caseOf<ClientResponse | Promise<ClientResponse>>({
      Right: () => confirmCancelled(request),
      Left: (cause) => forward(request, cause),
    });
  }

  async function showPendingCount(request: RoutedRequest): Promise<ClientResponse> {
    const pending = options.getPendingCount(request.queue.name);
    if (pending !== undefined) return respondOk(options.encodePending(pending));
    return forward(request, makeFailure(ErrorKind.NotFresh, 'the pending count is stale'));
  }

  function serve(request: RoutedRequest): Promise<ClientResponse> {
    const { method, jobId } = request;
    if (jobId === '') {
      return method === 'GET'
        ? showPendingCount(request)
        : Promise.resolve(respondError(405, 'only GET is possible here'));
    }
    if (!options.isJobId(jobId)) {
      return Promise.resolve(respondError(404, 'a job id has 16 hexadecimal digits'));
    }
    if (method === 'POST') return submitJob(request);
    if (method === 'GET') return showState(request);
    if (method === 'DELETE') return cancelJob(request);
    return Promise.resolve(respondError(405, 'POST, GET and DELETE are possible here'));
  }

  return {
    async handle(request) {
      const routeTable = getRoutes();
      if (!routeTable)
        return forward(request, makeFailure(ErrorKind.NotFresh, 'the configuration is stale'));
      return authorise(request, routeTable).caseOf<ClientResponse | Promise<ClientResponse>>({
        Left: (response) => {
          log.info('request rejected', {
            event: 'call-rejected',
            path: request.path,
            status: response.status,
            version: routeTable.version,
          });
          return response;
        },
        Right: serve,
      });
    },
  };
}
