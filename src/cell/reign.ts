/**
 * The term of one scheduler: from a won claim until it is resigned or lost.
 *
 * It reads all rows of the cell, raises the fencing token at every worker, and then decides. Each
 * decision is stored before its orders are sent; each end is stored before it is confirmed to the
 * worker.
 */
import type { Clock } from '../clock/mod.ts';
import type { Log } from '../logs/mod.ts';
import { isFinal, JobState, Rejection } from '../model/mod.ts';
import type {
  AcceptedJob,
  Configuration,
  Store,
  StoredRow,
  WorkerEntry,
  WorkerReport,
  Workers,
} from '../model/mod.ts';
import {
  addJob,
  cancelJob,
  countPending,
  decide,
  endRun,
  endsOfLostWorker,
  encodeProgress,
  judgeWorker,
  makeCellState,
  makeWorker,
  observe,
  restoreProgress,
  RunPhase,
  runKey,
  stalledRuns,
  stepName,
  takeAdvice,
  taskName,
  termsOf,
} from '../scheduler/mod.ts';
import type {
  AdviceRequest,
  CellState,
  Job,
  JobRecord,
  ObservedEnd,
  Run,
  Worker,
} from '../scheduler/mod.ts';
import type { AdvicePool } from './advice_pool.ts';
import { makeFollower } from './follower.ts';
import { makeJournal } from './journal.ts';
import type { Journal } from './journal.ts';
import { makeOrders } from './_orders.ts';
import type { Orders } from './_orders.ts';
import {
  cancelledJob,
  heartbeatRow,
  jobsTable,
  progressPart,
  progressRow,
  progressTable,
  sequenceRow,
} from './rows.ts';
import { makeWorkerLink } from './worker_link.ts';
import type { WorkerLink } from './worker_link.ts';

/** What the scheduler knows of the operator's wishes. */
export interface Wishes {
  configuration: Configuration;
  evacuated: ReadonlySet<string>;
  /** Monotonic time at which this was last known to be current. */
  currentAtMs: number;
}

/** What a reign uses. */
export interface ReignOptions {
  store: Store;
  workers: Workers;
  clock: Clock;
  log: Log;
  advicePool: AdvicePool;
  registryTable: string;
  decodeWorker(row: StoredRow): WorkerEntry | undefined;
  wishes(): Wishes | undefined;
  claim: { epoch: number; instance: string; sequence: { version: number; value: string } };
  /** Whether the predecessor may still renew leases. */
  predecessorMayAct: boolean;
  maxLeaseMs: number;
  onLost(reason: string): void;
}

/** The term of a scheduler. */
export interface Reign {
  /** Serves until the term ends. */
  run(): Promise<void>;
  /** Ends the term: sends no more orders. */
  stop(): void;
  journal: Journal;
  /** State of a job as it is stored or about to be stored. */
  stateOf(jobId: string): JobState | undefined;
}

const leaseMs = 4_500;
const heartbeatMs = 400;
const tickMs = 100;
const passDelayMs = 3;
const stallMs = 2_500;
const avoidUnhealthyMs = 1_500;
const wishesAgeLimitMs = 1_700;
/** A scheduler that cannot reach the store stops renewing leases after this time. */
const renewWithoutStoreMs = 12_000;
const leaseSlowness = 1.025;
const orderMarginMs = 40;
const keepEndedMs = 150_000;
const registryPauseMs = 150;

/**
 * Makes the term of a scheduler that has won its claim.
 *
 * @example
 * const reign = makeReign(options);
 * await reign.run();
 */
export function makeReign(options: ReignOptions): Reign {
  const { store, workers, clock, log, claim, wishes, advicePool } = options;
  const state: CellState = makeCellState();
  const links = new Map<string, { link: WorkerLink; abort: AbortController }>();
  const over = new AbortController();
  const startedAtMs = clock.now();
  const predecessorUntilMs =
    startedAtMs +
    options.maxLeaseMs * leaseSlowness +
    (options.predecessorMayAct ? renewWithoutStoreMs : 0);
  let passTimer: NodeJS.Timeout | undefined;

  function end(reason: string): void {
    if (over.signal.aborted) return;
    log.warn('the term as scheduler ends', { event: 'scheduler-lost', epoch: claim.epoch, reason });
    over.abort();
    journal.close();
    clearTimeout(passTimer);
    links.forEach(({ abort }) => abort.abort());
    options.onLost(reason);
  }

  const journal = makeJournal({
    store,
    clock,
    log,
    sequenceRow,
    start: claim.sequence,
    author: `${claim.epoch}.${claim.instance}`,
    onDeposed: () => end('another scheduler has written'),
  });

  function markJob(job: Job): void {
    journal.mark(progressRow(job.accepted.id), () =>
      JSON.stringify(encodeProgress(job, clock.wall())),
    );
  }

  function schedulePass(): void {
    if (passTimer !== undefined || over.signal.aborted) return;
    passTimer = setTimeout(() => {
      passTimer = undefined;
      pass();
    }, passDelayMs);
  }

  function maxAttemptsOf(job: Job): number {
    const queues = new Map(wishes()?.configuration.queues.map((queue) => [queue.name, queue]));
    return termsOf(job, queues).maxAttempts;
  }

  const orders: Orders = makeOrders({
    state,
    workers,
    clock,
    log,
    fencingToken: claim.epoch,
    linkOf: (id) => links.get(id)?.link,
    isOver: () => over.signal.aborted,
    onRejected(run, rejection) {
      const worker = state.workers.get(run.workerId);
      if (rejection === Rejection.Ticket) run.step.advice.tickets.delete(run.workerId);
      if (rejection === Rejection.Unhealthy && worker) {
        worker.avoidUntilMs = Math.max(worker.avoidUntilMs, clock.now() + avoidUnhealthyMs);
      }
      applyEnds([{ run, end: 'expired', checkpoint: '' }], `rejected: ${rejection}`);
      schedulePass();
    },
    onStarted(run) {
      log.info('started', {
        event: 'started',
        id: run.step.job.accepted.id,
        task: taskName(run),
        attempt: run.attempt,
        worker: run.workerId,
        afterMs: Math.round(clock.now() - run.orderedAtMs),
      });
    },
    onFenced: () => end('a worker has seen a higher fencing token'),
  });

  function stopRuns(runs: Run[], reason: string): void {
    runs.forEach((run) => {
      orders.stop(run, reason).catch((error: unknown) => {
        log.error('a stop failed', { reason: String(error) });
      });
    });
  }

  function applyEnds(ends: ObservedEnd[], reason: string): void {
    const nowMs = clock.now();
    ends.forEach(({ run, end: how, checkpoint }) => {
      const { job } = run.step;
      const before = job.state;
      const { toStop } = endRun(
        state,
        run,
        { end: how, checkpoint },
        { maxAttempts: maxAttemptsOf(job), nowMs },
      );
      log.info('ended', {
        event: 'ended',
        id: job.accepted.id,
        task: taskName(run),
        attempt: run.attempt,
        worker: run.workerId,
        how,
        reason,
      });
      if (job.state !== before && isFinal(job.state)) {
        log.info('job ended', {
          event: 'job-ended',
          id: job.accepted.id,
          state: job.state,
          afterMs: Math.round(nowMs - job.acceptedAtMs),
        });
      }
      stopRuns(toStop, `follows the end of ${taskName(run)}`);
      markJob(job);
    });
  }

  function sendAdvice(request: AdviceRequest): void {
    const { step, terms } = request;
    const { decisionMs, perWorkerMs, validityMs } = terms.advice!;
    const expectedMs = decisionMs + perWorkerMs * request.workers.length;
    advicePool
      .ask({
        step: stepName(step),
        workers: request.workers.map(({ entry }) => entry.id),
        expectedMs,
      })
      .then((answer) => {
        const nowMs = clock.now();
        const valid = answer && answer.validityMs > 0 ? answer.validityMs : validityMs;
        takeAdvice(request, answer?.tickets, { validUntilMs: nowMs + valid, nowMs });
        log.info('advice', {
          event: 'advice',
          id: step.job.accepted.id,
          step: stepName(step),
          asked: request.workers.length,
          allowed: answer?.tickets.length ?? -1,
        });
        schedulePass();
      })
      .catch((error: unknown) => log.error('advice failed', { reason: String(error) }));
  }

  function pass(): void {
    if (over.signal.aborted) return;
    const nowMs = clock.now();
    const current = wishes();
    if (!current || nowMs - current.currentAtMs > wishesAgeLimitMs) return;
    const { starts, adviceRequests } = decide(state, {
      nowMs,
      wallMs: clock.wall(),
      configuration: current.configuration,
      evacuated: current.evacuated,
      orderDelayMs: orderMarginMs + 2 * journal.latencyMs(),
    });
    adviceRequests.forEach(sendAdvice);
    if (starts.length === 0) return;
    new Set(starts.map(({ step }) => step.job)).forEach(markJob);
    journal
      .flush()
      .then((isStored) => {
        if (!isStored) return;
        starts.forEach((run) => {
          orders.start(run).catch((error: unknown) => {
            log.error('a start failed', { reason: String(error) });
          });
        });
      })
      .catch((error: unknown) => log.error('starts failed', { reason: String(error) }));
  }

  async function takeReport(
    worker: Worker,
    report: WorkerReport,
    sentAtMs: number,
  ): Promise<boolean> {
    const nowMs = clock.now();
    const wasUsable = worker.isSettled && worker.isAnswering;
    if (!wasUsable) {
      log.info('worker found', {
        event: 'worker-found',
        worker: worker.entry.id,
        born: report.bornMs,
      });
    }
    const { ends, strangers } = observe(worker, report, { nowMs, sentAtMs });
    ends.forEach(({ end: how }) => judgeWorker(worker, how, nowMs));
    applyEnds(ends, 'reported');
    strangers.forEach(({ task, attempt }) => stopStranger(worker, task, attempt));
    if (ends.length > 0 || !wasUsable) schedulePass();
    return report.ended.length === 0 || journal.flush();
  }

  function stopStranger(worker: Worker, task: string, attempt: number): void {
    log.warn('a worker runs what this scheduler did not order', {
      event: 'stop-stranger',
      task,
      attempt,
      worker: worker.entry.id,
    });
    workers
      .stop(worker.entry, { task, attempt, fencingToken: claim.epoch })
      .catch((error: unknown) => log.error('a stop failed', { reason: String(error) }));
  }

  function linkWorker(worker: Worker): void {
    const { id } = worker.entry;
    const abort = new AbortController();
    const link = makeWorkerLink({
      workers,
      clock,
      entry: () => worker.entry,
      fencingToken: claim.epoch,
      leaseMs: Math.min(leaseMs, options.maxLeaseMs),
      predecessorUntilMs,
      mayRenew: () => clock.now() - journal.confirmedAtMs() < renewWithoutStoreMs,
      onReport: (report, sentAtMs) => takeReport(worker, report, sentAtMs),
      onSilence(rejection) {
        if (worker.isAnswering) {
          log.warn('worker does not answer', { event: 'worker-silent', worker: id, rejection });
        }
        worker.isAnswering = false;
      },
      onFenced: () => end('a worker has seen a higher fencing token'),
    });
    links.set(id, { link, abort });
    link.run(abort.signal).catch((error: unknown) => {
      log.error('a worker link failed', { worker: id, reason: String(error) });
    });
  }

  function unlinkWorker(id: string): void {
    links.get(id)?.abort.abort();
    links.delete(id);
  }

  function takeWorkerEntry(entry: WorkerEntry): void {
    const known = state.workers.get(entry.id);
    if (!known) {
      const worker = makeWorker(entry);
      state.workers.set(entry.id, worker);
      linkWorker(worker);
      return;
    }
    const hadNoLink = !links.has(entry.id);
    known.entry = entry;
    known.isRegistered = true;
    if (hadNoLink) linkWorker(known);
  }

  function takeRegistryRow(row: StoredRow): void {
    const entry = row.deleted ? undefined : options.decodeWorker(row);
    const known = state.workers.get(row.key);
    if (entry) {
      if (entry.draining && known && !known.entry.draining) {
        log.info('worker drains', { event: 'worker-draining', worker: entry.id });
        schedulePass();
      }
      takeWorkerEntry(entry);
    } else if (known) {
      known.isRegistered = false;
    }
  }

  function takeRegistry(rows: StoredRow[], isWhole: boolean): void {
    if (isWhole) {
      const listed = new Set(rows.map(({ key }) => key));
      state.workers.forEach((worker, id) => {
        if (!listed.has(id)) worker.isRegistered = false;
      });
    }
    rows.forEach(takeRegistryRow);
  }

  function takeJobRow(row: StoredRow): Job | undefined {
    if (row.deleted || cancelledJob(row.key) !== undefined) return undefined;
    const accepted = JSON.parse(row.value) as AcceptedJob;
    if (state.jobs.has(accepted.id)) return undefined;
    const ageMs = Math.max(0, clock.wall() - accepted.acceptedAtMs);
    return addJob(state, accepted, clock.now() - ageMs);
  }

  function takeCancellation(id: string): void {
    const job = state.jobs.get(id);
    if (!job || isFinal(job.state)) return;
    const runs = cancelJob(state, job, clock.now());
    log.info('job cancelled', { event: 'job-ended', id, state: job.state, runs: runs.length });
    stopRuns(runs, 'job cancelled');
    markJob(job);
  }

  function takeJobRows(rows: StoredRow[]): void {
    rows.forEach((row) => {
      const job = takeJobRow(row);
      if (job)
        log.info('job found', { event: 'job-found', id: job.accepted.id, version: row.version });
    });
    rows.forEach((row) => {
      const id = cancelledJob(row.key);
      if (id !== undefined && !row.deleted) takeCancellation(id);
    });
    schedulePass();
  }

  async function readJobs() {
    const parts = await store.parts(jobsTable);
    if (parts.isLeft()) return parts as never;
    const names = parts.orDefault([]);
    const views = await Promise.all(names.map((part) => store.read({ table: jobsTable, part })));
    const failed = views.find((view) => view.isLeft());
    if (failed) return failed;
    const whole = views.map((view) => view.orDefault({ rows: [], version: 0 }));
    const empty = await store.read({ table: jobsTable, part: 'none' });
    return empty.map(({ version }) => ({
      rows: whole.flatMap(({ rows }) => rows),
      version: whole.length === 0 ? version : Math.min(...whole.map((view) => view.version)),
    }));
  }

  async function readUntilRead<T>(read: () => Promise<{ isRight(): boolean; extract(): unknown }>) {
    for (;;) {
      const result = await read();
      if (result.isRight()) return result.extract() as T;
      if (over.signal.aborted) return undefined;
      await clock.sleep(tickMs);
    }
  }

  /** Reads the progress of all jobs and what was accepted; nothing is decided before. */
  async function load(): Promise<boolean> {
    const [progress, jobs, registry] = await Promise.all([
      readUntilRead<{ rows: StoredRow[] }>(() =>
        store.read({ table: progressTable, part: progressPart }),
      ),
      readUntilRead<{ rows: StoredRow[] }>(readJobs),
      readUntilRead<{ rows: StoredRow[] }>(() =>
        store.read({ table: options.registryTable, part: '' }),
      ),
    ]);
    if (!progress || !jobs || !registry) return false;
    jobs.rows.forEach(takeJobRow);
    // Entries come before the runs, so that runs on known workers find them.
    registry.rows.forEach((row) => {
      const entry = options.decodeWorker(row);
      if (entry) state.workers.set(entry.id, makeWorker(entry));
    });
    progress.rows.forEach(({ key, value }) => {
      const job = state.jobs.get(key);
      if (job) restoreProgress(state, job, JSON.parse(value) as JobRecord, clock.now());
    });
    state.workers.forEach((worker) => {
      if (worker.isRegistered) linkWorker(worker);
    });
    jobs.rows.forEach(({ key }) => {
      const id = cancelledJob(key);
      if (id !== undefined) takeCancellation(id);
    });
    [...state.jobs.values()]
      .filter((job) => isFinal(job.state))
      .forEach((job) => {
        job.occurrences.forEach((steps) =>
          stopRuns(
            steps.flatMap(({ tasks }) => tasks.flatMap(({ runs }) => runs)),
            'job ended',
          ),
        );
      });
    return true;
  }

  function expireSilentWorkers(nowMs: number): void {
    state.workers.forEach((worker, id) => {
      if (worker.isAnswering) return;
      const deadAtMs = links.get(id)?.link.deadAtMs() ?? predecessorUntilMs;
      if (nowMs < deadAtMs) return;
      const ends = endsOfLostWorker(worker);
      if (ends.length > 0) {
        log.warn('worker lost', { event: 'worker-lost', worker: id, runs: ends.length });
        applyEnds(ends, 'lease ran out');
        schedulePass();
      }
      if (!worker.isRegistered) {
        unlinkWorker(id);
        state.workers.delete(id);
        if (worker.entry.address !== '') workers.forget(worker.entry);
      }
    });
  }

  function stopStalledRuns(nowMs: number): void {
    stalledRuns(state, nowMs, stallMs).forEach((run) => {
      const worker = state.workers.get(run.workerId);
      if (worker) judgeWorker(worker, 'failed', nowMs);
      stopRuns([run], 'no progress');
    });
  }

  function forgetOldJobs(nowMs: number): void {
    state.jobs.forEach((job, id) => {
      if (job.endedAtMs !== undefined && nowMs - job.endedAtMs > keepEndedMs) state.jobs.delete(id);
    });
  }

  async function tick(): Promise<void> {
    while (!over.signal.aborted) {
      const nowMs = clock.now();
      expireSilentWorkers(nowMs);
      stopStalledRuns(nowMs);
      forgetOldJobs(nowMs);
      schedulePass();
      await clock.sleep(tickMs, over.signal);
    }
  }

  async function beat(): Promise<void> {
    while (!over.signal.aborted) {
      journal.mark(heartbeatRow, () =>
        JSON.stringify({
          epoch: claim.epoch,
          atMs: Math.round(clock.now()),
          pending: Object.fromEntries(countPending(state)),
        }),
      );
      await clock.sleep(heartbeatMs, over.signal);
    }
  }

  return {
    journal,
    stop: () => end('resigned'),
    stateOf: (jobId) => state.jobs.get(jobId)?.state,
    async run() {
      const beating = beat();
      if (!(await load())) return;
      log.info('the cell is loaded', {
        event: 'scheduler-loaded',
        epoch: claim.epoch,
        jobs: state.active.size,
        workers: state.workers.size,
        afterMs: Math.round(clock.now() - startedAtMs),
      });
      const followJobs = makeFollower({
        store,
        clock,
        log,
        table: jobsTable,
        readAll: readJobs,
        onRows: takeJobRows,
      });
      const followRegistry = makeFollower({
        store,
        clock,
        log,
        table: options.registryTable,
        readAll: () => store.read({ table: options.registryTable, part: '' }),
        onRows: takeRegistry,
        pauseMs: registryPauseMs,
      });
      await Promise.all([
        beating,
        tick(),
        followJobs.run(over.signal),
        followRegistry.run(over.signal),
      ]);
    },
  };
}

void RunPhase;
void runKey;
