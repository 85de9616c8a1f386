/**
 * The term of a scheduler: from the claim it won until it resigns or loses its role.
 *
 * A term loads all rows of the cell, raises the fencing token at every worker, and then schedules.
 * Each decision is stored before its orders are sent, and each end of a run is stored before it is
 * confirmed to the worker.
 */
import type { Outcome } from '../errors/mod.ts';
import { Rejection } from '../model/mod.ts';
import type { VersionedRows } from '../model/mod.ts';
import {
  countPendingJobs,
  makeLostRunEnd,
  makeCellState,
  getRefusalReason,
  getTaskName,
  isServable,
  RefusalReason,
} from '../scheduler/mod.ts';
import { makeRunEndHandler } from './_run_end_handler.ts';
import { heartbeatIntervalMs, isCalmTerm } from './_heartbeat_age.ts';
import { makeFleet } from './_fleet.ts';
import type { Fleet } from './_fleet.ts';
import { getMaxPredecessorLeaseMs, getMaxPredecessorOrderMs } from './_leases.ts';
import {
  readAcceptedJobs,
  readJobRows,
  readProgress,
  stopRunsOfEndedJobs,
  addAcceptedJobs,
  applyCancellations,
  applyJobRows,
  restoreJobs,
} from './_job_rows.ts';
import { makeLoadReport } from './_load_report.ts';
import { makeOrderSender } from './_orders.ts';
import type { OrderSender } from './_orders.ts';
import { makePassRunner } from './_pass_runner.ts';
import type { PassRunner } from './_pass_runner.ts';
import { makeRetention } from './_retention.ts';
import { findStartObstacle } from './_start_conditions.ts';
import { computeOrderTimes } from './_start_report.ts';
import { makePressureCache } from './_pressure_cache.ts';
import type { Term, TermOptions } from './_term_state.ts';
import { makeTableWatcher } from './table_watcher.ts';
import { makeBatchWriter } from './batch_writer.ts';
import type { BatchWriter } from './batch_writer.ts';
import { makeSchedulerService } from './service.ts';
import type { SchedulerService } from './service.ts';
import { markJobDirty } from './_job_progress.ts';
import { heartbeatRow, jobsTable, sequenceRow } from './rows.ts';

/** The term of a scheduler. */
export interface SchedulerTerm {
  service: SchedulerService;
  /** Whether it has scheduled for long enough that a hand-over does not follow a takeover at once. */
  isCalm(): boolean;
  /** Runs until the term ends. */
  run(): Promise<void>;
  /** Ends the term; no further orders are sent. */
  stop(): void;
}

interface TermComponents {
  writer: BatchWriter;
  fleet: Fleet;
  orderSender: OrderSender;
  passRunner: PassRunner;
}

const tickIntervalMs = 100;
const readRetryDelayMs = 100;
const unhealthyBackoffMs = 1_500;
const jobsWatchPauseMs = 6;
const registryWatchPauseMs = 700;

/**
 * Makes the term of a scheduler that has won its claim.
 *
 * @example
 * const term = makeTerm(options);
 * await term.run();
 */
export function makeTerm(options: TermOptions): SchedulerTerm {
  const { store, clock, log, claim, workers } = options;
  const endController = new AbortController();
  const startedAtMs = clock.now();
  const state = makeCellState();
  // The components refer to each other through this record, since their dependencies are circular.
  const components = {} as TermComponents;

  function end(reason: string): void {
    if (endController.signal.aborted) return;
    log.warn('the term of the scheduler has ended', {
      event: 'scheduler-lost',
      epoch: claim.epoch,
      reason,
    });
    endController.abort();
    components.writer.close();
    components.passRunner.close();
    components.fleet.close();
    options.onEnded(reason);
  }

  components.writer = makeBatchWriter({
    store,
    clock,
    log,
    sequenceRow,
    claimedSequence: claim.sequence,
    author: `${claim.epoch}.${claim.instance}`,
    maxRowBytes: options.maxRowBytes,
    onDeposed: () => end('another scheduler has replaced the sequence row'),
  });
  const term: Term = {
    ...options,
    state,
    endSignal: endController.signal,
    predecessorLeasesEndAtMs: startedAtMs + getMaxPredecessorLeaseMs(options),
    predecessorOrdersEndAtMs: startedAtMs + getMaxPredecessorOrderMs(options.predecessorMayAct),
    writer: components.writer,
    markJobDirty: (job) => markJobDirty(components.writer, job),
    schedulePass: () => components.passRunner.schedule(),
    end,
  };
  const endHandler = makeRunEndHandler(term, () => components.orderSender);
  const fleet = makeFleet(term, endHandler);
  components.fleet = fleet;
  components.orderSender = makeOrderSender({
    state,
    workers,
    clock,
    log,
    findLink: fleet.findLink,
    hasEnded: () => endController.signal.aborted,
    findObstacle: (run, worker) => findStartObstacle(term, run, worker),
    onRejected(run, rejection) {
      const worker = state.workers.get(run.workerId);
      if (rejection === Rejection.Ticket) run.step.advice.tickets.delete(run.workerId);
      if (rejection === Rejection.Unhealthy && worker) {
        worker.backoffUntilMs = Math.max(worker.backoffUntilMs, clock.now() + unhealthyBackoffMs);
      }
      endHandler.applyEnds([makeLostRunEnd(run)], `rejected: ${rejection}`);
      term.schedulePass();
    },
    onStarted(run) {
      run.step.job.hasConfirmedStart = true;
      // A successor does not wait for a late start of a run that is stored as started.
      if (!run.hasTicket) term.markJobDirty(run.step.job);
      log.info('started', {
        event: 'started',
        id: run.step.job.accepted.id,
        task: getTaskName(run),
        attempt: run.attempt,
        worker: run.workerId,
        ...computeOrderTimes(run, clock.now()),
      });
    },
    onFenced: () => end('a worker has seen a higher fencing token'),
  });
  components.passRunner = makePassRunner(term, components.orderSender);
  const retention = makeRetention(term);

  async function readWithRetry(read: () => Outcome<VersionedRows>): Promise<VersionedRows> {
    for (;;) {
      const result = await read();
      if (result.isRight()) return result.extract();
      if (endController.signal.aborted) return { rows: [], version: 0 };
      await clock.sleep(readRetryDelayMs);
    }
  }

  let loadedAtMs: number | undefined;
  const pressureCache = makePressureCache(term);
  const service = makeSchedulerService(term, endHandler, {
    isLoaded: () => loadedAtMs !== undefined,
    findRefusalReason(job) {
      if (!isServable(job, state.workers)) return RefusalReason.Capacity;
      return getRefusalReason(pressureCache.current(), job);
    },
  });
  const readRegistry = () => store.read({ table: options.registryTable, part: '' });

  /** Loads the state that predecessors have stored; no pass runs before. */
  async function loadCell(): Promise<void> {
    const [progress, accepted, jobs, registry] = await Promise.all([
      readWithRetry(() => readProgress(store)),
      readWithRetry(() => readAcceptedJobs(store)),
      readWithRetry(() => readJobRows(store)),
      readWithRetry(readRegistry),
    ]);
    if (endController.signal.aborted) return;
    addAcceptedJobs(term, accepted.rows, false);
    addAcceptedJobs(term, jobs.rows, true);
    fleet.addWorkers(registry.rows);
    restoreJobs(term, progress.rows);
    fleet.openLinks();
    applyCancellations(term, endHandler, jobs.rows);
    stopRunsOfEndedJobs(term, endHandler);
    loadedAtMs = clock.now();
    log.info('the cell has been loaded', {
      event: 'scheduler-loaded',
      epoch: claim.epoch,
      jobs: state.activeJobs.size,
      workers: state.workers.size,
      afterMs: Math.round(clock.now() - startedAtMs),
    });
  }

  const loadReport = makeLoadReport({ state, clock, log, ...components });

  async function runTicks(): Promise<void> {
    let dueAtMs = clock.now();
    while (!endController.signal.aborted) {
      loadReport.log(clock.now() - dueAtMs);
      dueAtMs = clock.now() + tickIntervalMs;
      fleet.checkWorkers();
      retention.deleteOldJobs();
      term.schedulePass();
      await clock.sleep(tickIntervalMs, endController.signal);
    }
  }

  function encodeHeartbeat(): string {
    // The number of pending jobs is unknown until the jobs are loaded.
    const isLoaded = loadedAtMs !== undefined;
    const pending = isLoaded ? Object.fromEntries(countPendingJobs(state)) : undefined;
    const { busyQueues, beyondShare } = pressureCache.current();
    return JSON.stringify({ epoch: claim.epoch, pending, busyQueues, beyondShare });
  }

  async function writeHeartbeats(): Promise<void> {
    while (!endController.signal.aborted) {
      term.writer.markDirtyFirst(heartbeatRow, encodeHeartbeat);
      await clock.sleep(heartbeatIntervalMs, endController.signal);
    }
  }

  return {
    service,
    isCalm: () => loadedAtMs !== undefined && isCalmTerm(clock.now() - loadedAtMs),
    stop: () => end('resigned'),
    async run() {
      const heartbeatLoop = writeHeartbeats();
      await loadCell();
      const watcherOptions = { store, clock, log };
      await Promise.all([
        heartbeatLoop,
        runTicks(),
        makeTableWatcher({
          ...watcherOptions,
          table: jobsTable,
          readAll: () => readJobRows(store),
          onRows: (rows) => applyJobRows(term, endHandler, rows),
          pauseMs: () => jobsWatchPauseMs,
        }).run(endController.signal),
        makeTableWatcher({
          ...watcherOptions,
          table: options.registryTable,
          readAll: readRegistry,
          onRows: fleet.applyRegistryRows,
          pauseMs: () => registryWatchPauseMs,
        }).run(endController.signal),
      ]);
    },
  };
}
