/**
 * Answers clients: accepts jobs, cancels them, shows their state and counts those that wait.
 *
 * A job is accepted by storing its row; the scheduler of the cell finds it there. A call for which the
 * store turns this process away is relayed, whole, to another entry process.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { cancellationRow, jobRow, progressRow } from '../cell/mod.ts';
import { failure, Kind } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Log } from '../logs/mod.ts';
import { JobState } from '../model/mod.ts';
import type {
  AcceptedJob,
  JobSpec,
  Organisation,
  Queue,
  Store,
  StoreChange,
} from '../model/mod.ts';
import type { RouteTable } from './routes.ts';

/** A client's call. */
export interface ClientCall {
  method: string;
  host: string;
  path: string;
  key: string | undefined;
  body: string;
  /** Another entry process has passed the call on. */
  isRelayed: boolean;
}

/** The answer to a call. */
export interface ClientAnswer {
  status: number;
  body: string;
  retryAfterS?: number;
}

/** What the front end uses. */
export interface FrontOptions {
  store: Store;
  clock: Clock;
  log: Log;
  /** The routes in force; undefined when they are unknown or may be out of date. */
  routes(): RouteTable | undefined;
  /** Jobs that wait in a queue; undefined when the count is too old. */
  pendingIn(queue: string): number | undefined;
  /** Passes a call on; a Left when no other process answered it. */
  relay(call: ClientCall): Outcome<ClientAnswer>;
  isJobId(text: string): boolean;
  decodeJob(text: string): Either<Failure, JobSpec>;
  encodeState(state: JobState): string;
  encodePending(count: number): string;
}

/** Answers calls. */
export interface Front {
  answer(call: ClientCall): Promise<ClientAnswer>;
}

const retryAfterS = 1;
const storeTries = 2;

/** A call whose queue and organisation are known. */
interface RoutedCall extends ClientCall {
  queue: Queue;
  organisation: string;
  jobId: string;
}

function answerOf(status: number, body = '{}'): ClientAnswer {
  return { status, body };
}

function refusal(status: number, reason: string): ClientAnswer {
  return { status, body: JSON.stringify({ error: reason }), retryAfterS };
}

function errorAnswer(status: number, reason: string): ClientAnswer {
  return { status, body: JSON.stringify({ error: reason }) };
}

/**
 * Makes the front end.
 *
 * @example
 * const { status } = await front.answer(call);
 */
export function makeFront(options: FrontOptions): Front {
  const { store, clock, log, routes, relay } = options;

  /** Sends a change again while its outcome is unknown; the change must be idempotent. */
  async function transact(change: StoreChange): Outcome<number> {
    let result = await store.transact(change);
    let isUnknown = false;
    for (let tries = 1; tries < storeTries; tries++) {
      const kind = result
        .swap()
        .toMaybe()
        .map((problem) => problem.kind)
        .extractNullable();
      if (kind !== Kind.TableUnknown && kind !== Kind.TableUnavailable) return result;
      isUnknown ||= kind === Kind.TableUnknown;
      result = await store.transact(change);
    }
    return result.mapLeft((problem) =>
      isUnknown && problem.kind === Kind.TableUnavailable
        ? { ...problem, kind: Kind.TableUnknown }
        : problem,
    );
  }

  /** The answer of another process, or a refusal of our own. */
  async function passOn(call: ClientCall, problem: Failure): Promise<ClientAnswer> {
    const isUnknown = problem.kind === Kind.TableUnknown;
    const giveUp = () =>
      isUnknown
        ? errorAnswer(504, 'the outcome is unknown, send the call again')
        : refusal(503, 'the store is unavailable');
    if (call.isRelayed) return giveUp();
    const relayed = await relay(call);
    return relayed.caseOf({
      Left: (relayProblem) => {
        const mayHaveRun = isUnknown || relayProblem.kind === Kind.OutcomeUnknown;
        return mayHaveRun
          ? errorAnswer(504, 'the outcome is unknown, send the call again')
          : refusal(503, 'the store is unavailable');
      },
      Right: (answer) =>
        // Another process knows only of its own try; ours may still take effect.
        isUnknown && answer.status !== 200
          ? errorAnswer(504, 'the outcome is unknown, send the call again')
          : answer,
    });
  }

  function acceptedJob(call: RoutedCall, spec: JobSpec): AcceptedJob {
    const { queue, organisation, jobId } = call;
    const { priority, maxAttempts, targetFactor, targetLatencyMs, advice } = queue;
    return {
      id: jobId,
      queue: queue.name,
      organisation,
      service: queue.service,
      acceptedAtMs: clock.wall(),
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

  async function accept(call: RoutedCall): Promise<ClientAnswer> {
    const decoded = options.decodeJob(call.body);
    if (decoded.isLeft()) {
      const problem = decoded.swap().orDefault(failure(Kind.MalformedRequest, ''));
      log.info('job rejected', { event: 'job-rejected', id: call.jobId, reason: problem.message });
      return errorAnswer(400, problem.message);
    }
    const spec = decoded.extract() as JobSpec;
    const row = jobRow(call.jobId);
    const stored = await transact({
      expected: [{ ...row, version: 0 }],
      writes: [{ ...row, value: JSON.stringify(acceptedJob(call, spec)) }],
      deletes: [],
    });
    return stored.caseOf<ClientAnswer | Promise<ClientAnswer>>({
      Right: () => {
        log.info('job accepted', {
          event: 'job-accepted',
          id: call.jobId,
          queue: call.queue.name,
          organisation: call.organisation,
        });
        return answerOf(200);
      },
      Left: (problem) => {
        // The row exists: the job was accepted before.
        if (problem.kind === Kind.TableConflict) return answerOf(200);
        log.warn('job not stored', {
          event: 'job-not-stored',
          id: call.jobId,
          kind: problem.kind,
          reason: problem.got,
        });
        return passOn(call, problem);
      },
    });
  }

  /** The stored state; undefined for a job that is not known. */
  async function readState(jobId: string): Outcome<JobState | undefined> {
    const progress = await store.read({ ...progressRow(jobId) });
    if (progress.isLeft()) return progress;
    const [row] = progress.orDefault({ rows: [], version: 0 }).rows;
    if (row) return Right((JSON.parse(row.value) as { state: JobState }).state);
    const job = await store.read({ ...jobRow(jobId) });
    return job.map(({ rows }) => (rows.length > 0 ? JobState.Queued : undefined));
  }

  async function show(call: RoutedCall): Promise<ClientAnswer> {
    const result = await readState(call.jobId);
    return result.caseOf<ClientAnswer | Promise<ClientAnswer>>({
      Left: (problem) => passOn(call, problem),
      Right: (state) =>
        state === undefined
          ? errorAnswer(410, 'there is no such job')
          : answerOf(200, options.encodeState(state)),
    });
  }

  async function cancel(call: RoutedCall): Promise<ClientAnswer> {
    const known = await store.read({ ...jobRow(call.jobId) });
    if (known.isLeft()) {
      return passOn(call, known.swap().orDefault(failure(Kind.TableUnavailable, '')));
    }
    if (known.orDefault({ rows: [], version: 0 }).rows.length === 0) {
      return errorAnswer(410, 'there is no such job');
    }
    const stored = await transact({
      expected: [],
      writes: [{ ...cancellationRow(call.jobId), value: '{}' }],
      deletes: [],
    });
    return stored.caseOf<ClientAnswer | Promise<ClientAnswer>>({
      Right: () => {
        log.info('cancellation stored', { event: 'cancellation-stored', id: call.jobId });
        return answerOf(200);
      },
      Left: (problem) => passOn(call, problem),
    });
  }

  async function count(call: RoutedCall): Promise<ClientAnswer> {
    const pending = options.pendingIn(call.queue.name);
    if (pending !== undefined) return answerOf(200, options.encodePending(pending));
    return passOn(call, failure(Kind.NotFresh, 'the count is too old'));
  }

  function authorise(call: ClientCall, table: RouteTable): Either<ClientAnswer, RoutedCall> {
    const path = call.path.split('?', 1)[0]!;
    const matched = table.match(call.host, path);
    if (!matched) return Left(errorAnswer(404, 'there is no such queue'));
    const { queue, rest } = matched;
    const organisation: Organisation | undefined =
      call.key === undefined ? undefined : table.organisationOf(call.key);
    if (!organisation && !queue.isPublic) return Left(errorAnswer(401, 'the key is not known'));
    return Right({ ...call, queue, organisation: organisation?.name ?? '', jobId: rest });
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
      if (!table) return passOn(call, failure(Kind.NotFresh, 'the configuration is not current'));
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
