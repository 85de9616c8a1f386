/**
 * Answers clients: accepts jobs, cancels them, shows their state and counts those that wait.
 *
 * A job is handed to the scheduler of the cell, which stores it. While no scheduler answers, the job's
 * row is stored from here, and the next scheduler finds it there. A call that neither can serve is
 * relayed, whole, to another entry process.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { acceptedRow, cancellationRow, jobRow, progressRow, SubmitResult } from '../cell/mod.ts';
import { makeFailure, ErrorKind } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { JobState } from '../model/mod.ts';
import type { AcceptedJob, JobSpec, Store } from '../model/mod.ts';
import { errorAnswer, passOn as passOnTo, refusal, success } from './_responses.ts';
import type { ClientAnswer, ClientCall, Relay } from './_responses.ts';
import { retryAfterFor } from './_retry_after.ts';
import type { CellAccess } from './scheduler_client.ts';
import { authorise } from './_routed_request.ts';
import type { RoutedCall } from './_routed_request.ts';
import { makeJobWriter, Written } from './job_writer.ts';
import type { RouteTable } from './routes.ts';

/** What the front end uses. */
export interface FrontOptions {
  store: Store;
  /** The scheduler of the cell. */
  cell: CellAccess;
  clock: Clock;
  log: Logger;
  /** The routes in force; undefined when they are unknown or may be out of date. */
  routes(): RouteTable | undefined;
  /** Jobs that wait in a queue; undefined when the count is too old. */
  pendingIn(queue: string): number | undefined;
  /** Whether there is no room for a further job of the organisation in the queue. */
  isOverloaded(queue: string, organisation: string): boolean;
  /** Whether the store is known not to answer. */
  isStoreDown(): boolean;
  /** Passes a call on; a Left when no other process answered it. */
  relay: Relay;
  isJobId(text: string): boolean;
  decodeJob(text: string): Either<Failure, JobSpec>;
  encodeState(state: JobState): string;
  encodePending(count: number): string;
}

/** Answers calls. */
export interface Front {
  answer(call: ClientCall): Promise<ClientAnswer>;
}

/** Answers from this status on say that the call was not served here. */
const serverErrorStatus = 500;

function storeIsDown(): Failure {
  return makeFailure(ErrorKind.TableUnavailable, 'the store does not answer');
}

/**
 * Makes the front end.
 *
 * @example
 * const { status } = await front.answer(call);
 */
export function makeFront(options: FrontOptions): Front {
  const { store, cell, clock, log, routes, relay } = options;
  const jobWriter = makeJobWriter(store, log);

  async function passOn(
    call: ClientCall & { jobId?: string },
    problem: Failure,
  ): Promise<ClientAnswer> {
    const answer = await passOnTo(call, problem, relay);
    if (answer.status >= serverErrorStatus) {
      log.warn('call not served', {
        event: 'call-not-served',
        ...(call.jobId ? { id: call.jobId } : { path: call.path }),
        method: call.method,
        status: answer.status,
        kind: problem.kind,
        reason: problem.message,
      });
    }
    return answer;
  }

  function acceptedJob(call: RoutedCall, spec: JobSpec): AcceptedJob {
    const { queue, organisation, jobId } = call;
    const { priority, maxAttempts, targetFactor, targetLatencyMs, advice } = queue;
    return {
      id: jobId,
      queue: queue.name,
      organisation,
      service: queue.service,
      acceptedAtMs: clock.wallTime(),
      terms: {
        priority,
        maxAttempts,
        targetFactor,
        targetLatencyMs,
        ...(advice ? { advice } : {}),
      },
      spec,
    };
  }

  /** Whether a job is stored, by the scheduler or by an entry process. */
  async function isKnown(jobId: string): Outcome<boolean> {
    const accepted = await store.read(acceptedRow(jobId));
    if (accepted.map(({ rows }) => rows.length > 0).orDefault(true)) {
      return accepted.map(() => true);
    }
    const stored = await store.read(jobRow(jobId));
    return stored.map(({ rows }) => rows.length > 0);
  }

  /** Refuses a job, unless an earlier call with its id was accepted without the client hearing so. */
  async function refuseForLoad(call: RoutedCall, reason: string): Promise<ClientAnswer> {
    const known = await isKnown(call.jobId);
    return known.caseOf<ClientAnswer | Promise<ClientAnswer>>({
      Left: (problem) => passOn(call, problem),
      Right: (isStored) => {
        if (isStored) return success();
        log.info('job refused', {
          event: 'job-refused',
          id: call.jobId,
          queue: call.queue.name,
          organisation: call.organisation,
          reason,
        });
        return refusal(429, 'there is no room for more work of the organisation', call.retryAfterS);
      },
    });
  }

  async function accept(received: RoutedCall): Promise<ClientAnswer> {
    const decoded = options.decodeJob(received.body);
    if (decoded.isLeft()) {
      const { message } = decoded.swap().orDefault(makeFailure(ErrorKind.MalformedRequest, ''));
      log.info('job rejected', { event: 'job-rejected', id: received.jobId, reason: message });
      return errorAnswer(400, message);
    }
    const spec = decoded.extract() as JobSpec;
    const call = { ...received, retryAfterS: retryAfterFor(received.queue, spec) };
    const job = acceptedJob(call, spec);
    log.info('job received', { event: 'job-received', id: call.jobId, queue: call.queue.name });
    const outcome = await cell.submit(job);
    if (outcome === SubmitResult.Stored) return acceptedBy(call, 'the scheduler');
    if (outcome === SubmitResult.Overloaded) {
      return refuseForLoad(call, 'the scheduler has turned it away');
    }
    return storeJob(call, job, outcome === SubmitResult.Unknown);
  }

  function acceptedBy(call: RoutedCall, storedBy: string): ClientAnswer {
    log.info('job accepted', {
      event: 'job-accepted',
      id: call.jobId,
      queue: call.queue.name,
      organisation: call.organisation,
      storedBy,
    });
    return success();
  }

  /** Stores a job without the scheduler; `mayBeStored` tells that the scheduler may have done so. */
  async function storeJob(
    call: RoutedCall,
    job: AcceptedJob,
    mayBeStored: boolean,
  ): Promise<ClientAnswer> {
    if (options.isStoreDown()) {
      const kind = mayBeStored ? ErrorKind.TableUnknown : ErrorKind.TableUnavailable;
      return passOn(call, makeFailure(kind, 'neither the scheduler nor the store answers'));
    }
    if (!mayBeStored && options.isOverloaded(call.queue.name, call.organisation)) {
      return refuseForLoad(call, 'the organisation is beyond its share and the queue is busy');
    }
    const stored = await jobWriter.write({ ...jobRow(call.jobId), value: JSON.stringify(job) });
    return stored.caseOf<ClientAnswer | Promise<ClientAnswer>>({
      Right: (written) => (written === Written.New ? acceptedBy(call, 'this process') : success()),
      Left: (problem) => {
        log.warn('job not stored', {
          event: 'job-not-stored',
          id: call.jobId,
          kind: problem.kind,
          reason: problem.got,
        });
        return passOn(call, mayBeStored ? { ...problem, kind: ErrorKind.TableUnknown } : problem);
      },
    });
  }

  /** The state that the progress of a job tells; undefined while there is none. */
  async function readProgress(jobId: string): Outcome<JobState | undefined> {
    const progress = await store.read(progressRow(jobId));
    return progress.map(({ rows: [row] }) =>
      row ? (JSON.parse(row.value) as { state: JobState }).state : undefined,
    );
  }

  /** The stored state; undefined for a job that is not known. */
  async function readState(jobId: string): Outcome<JobState | undefined> {
    const state = await readProgress(jobId);
    if (state.isLeft() || state.orDefault(undefined) !== undefined) return state;
    const known = await isKnown(jobId);
    if (known.isLeft()) return known.map(() => undefined);
    if (known.orDefault(false)) return Right(JobState.Queued);
    // A job that ended between the readings has lost its accepted row and has progress now.
    return readProgress(jobId);
  }

  async function show(call: RoutedCall): Promise<ClientAnswer> {
    const told = await cell.stateOf(call.jobId);
    if (told !== undefined) return success(options.encodeState(told));
    if (options.isStoreDown()) return passOn(call, storeIsDown());
    const result = await readState(call.jobId);
    return result.caseOf<ClientAnswer | Promise<ClientAnswer>>({
      Left: (problem) => passOn(call, problem),
      Right: (state) =>
        state === undefined
          ? errorAnswer(410, 'there is no such job')
          : success(options.encodeState(state)),
    });
  }

  function cancelled({ jobId }: RoutedCall): ClientAnswer {
    log.info('cancellation stored', { event: 'cancellation-stored', id: jobId });
    return success();
  }

  async function cancel(call: RoutedCall): Promise<ClientAnswer> {
    if (await cell.cancel(call.jobId)) return cancelled(call);
    if (options.isStoreDown()) return passOn(call, storeIsDown());
    const known = await isKnown(call.jobId);
    if (known.isLeft()) {
      return passOn(call, known.swap().orDefault(storeIsDown()));
    }
    if (!known.orDefault(false)) return errorAnswer(410, 'there is no such job');
    const stored = await store.transact({
      expected: [],
      writes: [{ ...cancellationRow(call.jobId), value: '{}' }],
      deletes: [],
    });
    return stored.caseOf<ClientAnswer | Promise<ClientAnswer>>({
      Right: () => cancelled(call),
      Left: (problem) => passOn(call, problem),
    });
  }

  async function count(call: RoutedCall): Promise<ClientAnswer> {
    const pending = options.pendingIn(call.queue.name);
    if (pending !== undefined) return success(options.encodePending(pending));
    return passOn(call, makeFailure(ErrorKind.NotFresh, 'the count is too old'));
  }

  function serve(call: RoutedCall): Promise<ClientAnswer> {
    const { method, jobId } = call;
    if (jobId === '') {
      return method === 'GET'
        ? count(call)
        : Promise.resolve(errorAnswer(405, 'only GET is possible here'));
    }
    if (!options.isJobId(jobId)) {
      return Promise.resolve(errorAnswer(404, 'a job id has 16 hexadecimal digits'));
    }
    if (method === 'POST') return accept(call);
    if (method === 'GET') return show(call);
    if (method === 'DELETE') return cancel(call);
    return Promise.resolve(errorAnswer(405, 'POST, GET and DELETE are possible here'));
  }

  return {
    async answer(call) {
      const table = routes();
      if (!table)
        return passOn(call, makeFailure(ErrorKind.NotFresh, 'the configuration is not current'));
      return authorise(call, table).caseOf<ClientAnswer | Promise<ClientAnswer>>({
        Left: (answer) => {
          log.info('call rejected', {
            event: 'call-rejected',
            path: call.path,
            status: answer.status,
            version: table.version,
          });
          return answer;
        },
        Right: serve,
      });
    },
  };
}
