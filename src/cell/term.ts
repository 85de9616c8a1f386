/**
 * The term of one scheduler: from a won claim until it is resigned or lost.
 *
 * It reads all rows of the cell, raises the fencing token at every worker, and then decides. Each
 * decision is stored before its orders are sent; each end is stored before it is confirmed to the
 * worker.
 */
import type { Outcome } from '../errors/mod.ts';
import { isTerminalState, Rejection } from '../model/mod.ts';
import type { VersionedRows } from '../model/mod.ts';
import {
  countPendingJobs,
  encodeProgress,
  computeFleetLoad,
  makeLostRunEnd,
  makeCellState,
  getRefusalReason,
  listRuns,
  getTaskName,
} from '../scheduler/mod.ts';
import { makeEnds } from './_run_end_handler.ts';
import { heartbeatMs } from './_heartbeat_age.ts';
import { makeFleet } from './_fleet.ts';
import type { Fleet } from './_fleet.ts';
import {
  readAccepted,
  readJobs,
  readProgress,
  stopLeftOvers,
  takeAcceptedJobs,
  takeCancellations,
  takeJobRows,
  takeProgress,
} from './_job_rows.ts';
import { makeOrders, orderTimes } from './_orders.ts';
import type { Orders } from './_orders.ts';
import { makePasses } from './_pass_runner.ts';
import type { Passes } from './_pass_runner.ts';
import { makeRetention } from './_retention.ts';
import { makePressureView } from './_pressure_cache.ts';
import { renewWithoutStoreMs } from './_term_state.ts';
import type { Term, TermOptions } from './_term_state.ts';
import { makeTableWatcher } from './table_watcher.ts';
import { makeJournal } from './batch_writer.ts';
import type { Journal } from './batch_writer.ts';
import { makeCellService } from './service.ts';
import type { CellService } from './service.ts';
import { clockSlowness } from './worker_link.ts';
import { acceptedRow, heartbeatRow, jobsTable, progressRow, sequenceRow } from './rows.ts';

/** The term of a scheduler. */
export interface SchedulerTerm {
  service: CellService;
  /** Serves until the term ends. */
  run(): Promise<void>;
  /** Ends the term: sends no more orders. */
  stop(): void;
}

interface Parts {
  journal: Journal;
  fleet: Fleet;
  orders: Orders;
  passes: Passes;
}

const tickMs = 100;
const reportMs = 1_000;
const readRetryMs = 100;
const avoidUnhealthyMs = 1_500;
const jobsPauseMs = 6;
const registryPauseMs = 300;

/**
 * Makes the term of a scheduler that has won its claim.
 *
 * @example
 * const term = makeTerm(options);
 * await term.run();
 */
export function makeTerm(options: TermOptions): SchedulerTerm {
  const { store, clock, log, claim, workers } = options;
  const over = new AbortController();
  const startedAtMs = clock.now();
  const state = makeCellState();
  // The parts know each other through this record, since they depend on each other in a circle.
  const parts = {} as Parts;

  function end(reason: string): void {
    if (over.signal.aborted) return;
    log.warn('the term as scheduler ends', { event: 'scheduler-lost', epoch: claim.epoch, reason });
    over.abort();
    parts.journal.close();
    parts.passes.close();
    parts.fleet.close();
    options.onEnded(reason);
  }

  parts.journal = makeJournal({
    store,
    clock,
    log,
    sequenceRow,
    start: claim.sequence,
    author: `${claim.epoch}.${claim.instance}`,
    onDeposed: () => end('another scheduler has written'),
  });
  const term: Term = {
    ...options,
    state,
    over: over.signal,
    predecessorUntilMs:
      startedAtMs +
      options.maxLeaseMs * clockSlowness +
      (options.predecessorMayAct ? renewWithoutStoreMs : 0),
    journal: parts.journal,
    markJob(job) {
      let { storedState } = job;
      parts.journal.mark(
        progressRow(job.accepted.id),
        () => {
          storedState = job.state;
          return JSON.stringify(encodeProgress(job));
        },
        () => {
          job.storedState = storedState;
        },
      );
      // Of an ended job its progress tells all that still matters.
      if (isTerminalState(job.state) && listRuns(job).length === 0) {
        parts.journal.mark(acceptedRow(job.accepted.id), () => undefined);
      }
    },
    schedulePass: () => parts.passes.schedule(),
    end,
  };
  const ends = makeEnds(term, () => parts.orders);
  const fleet = makeFleet(term, ends);
  parts.fleet = fleet;
  parts.orders = makeOrders({
    state,
    workers,
    clock,
    log,
    fencingToken: claim.epoch,
    linkOf: fleet.linkOf,
    isOver: () => over.signal.aborted,
    onRejected(run, rejection) {
      const worker = state.workers.get(run.workerId);
      if (rejection === Rejection.Ticket) run.step.advice.tickets.delete(run.workerId);
      if (rejection === Rejection.Unhealthy && worker) {
        worker.backoffUntilMs = Math.max(worker.backoffUntilMs, clock.now() + avoidUnhealthyMs);
      }
      ends.apply([makeLostRunEnd(run)], `rejected: ${rejection}`);
      term.schedulePass();
    },
    onStarted(run) {
      run.step.job.hasConfirmedStart = true;
      log.info('started', {
        event: 'started',
        id: run.step.job.accepted.id,
        task: getTaskName(run),
        attempt: run.attempt,
        worker: run.workerId,
        ...orderTimes(run, clock.now()),
      });
    },
    onFenced: () => end('a worker has seen a higher fencing token'),
  });
  parts.passes = makePasses(term, parts.orders);
  const retention = makeRetention(term);

  async function readUntilRead(read: () => Outcome<VersionedRows>): Promise<VersionedRows> {
    for (;;) {
      const result = await read();
      if (result.isRight()) return result.extract();
      if (over.signal.aborted) return { rows: [], version: 0 };
      await clock.sleep(readRetryMs);
    }
  }

  let isLoaded = false;
  const pressure = makePressureView(term);
  const service = makeCellService(term, ends, {
    isLoaded: () => isLoaded,
    refusalOf: (job) => getRefusalReason(pressure.current(), job),
  });
  const readRegistry = () => store.read({ table: options.registryTable, part: '' });

  /** Reads what predecessors have left; nothing is decided before. */
  async function load(): Promise<void> {
    const [progress, accepted, jobs, registry] = await Promise.all([
      readUntilRead(() => readProgress(store)),
      readUntilRead(() => readAccepted(store)),
      readUntilRead(() => readJobs(store)),
      readUntilRead(readRegistry),
    ]);
    if (over.signal.aborted) return;
    takeAcceptedJobs(term, accepted.rows, false);
    takeAcceptedJobs(term, jobs.rows, true);
    fleet.addEntries(registry.rows);
    takeProgress(term, progress.rows);
    fleet.linkAll();
    takeCancellations(term, ends, jobs.rows);
    stopLeftOvers(term, ends);
    isLoaded = true;
    log.info('the cell is loaded', {
      event: 'scheduler-loaded',
      epoch: claim.epoch,
      jobs: state.activeJobs.size,
      workers: state.workers.size,
      afterMs: Math.round(clock.now() - startedAtMs),
    });
  }

  let reportAtMs = startedAtMs;

  /** Logs what the scheduler has to do, and how late it is with it. */
  function reportLoad(latenessMs: number): void {
    const nowMs = clock.now();
    if (nowMs < reportAtMs) return;
    reportAtMs = nowMs + reportMs;
    const queued = [...countPendingJobs(state).values()].reduce((total, count) => total + count, 0);
    log.info('load of the scheduler', {
      event: 'scheduler-load',
      jobs: state.activeJobs.size,
      queued,
      ...computeFleetLoad(state),
      ...parts.passes.takeReport(),
      latenessMs: Math.round(latenessMs),
      storeMs: Math.round(term.journal.latencyMs()),
    });
  }

  async function tick(): Promise<void> {
    let dueMs = clock.now();
    while (!over.signal.aborted) {
      reportLoad(clock.now() - dueMs);
      dueMs = clock.now() + tickMs;
      fleet.check();
      retention.check();
      term.schedulePass();
      await clock.sleep(tickMs, over.signal);
    }
  }

  function heartbeatText(): string {
    // Before the jobs are loaded nothing is known of how many wait.
    const pending = isLoaded ? Object.fromEntries(countPendingJobs(state)) : undefined;
    const { busyQueues, beyondShare } = pressure.current();
    return JSON.stringify({ epoch: claim.epoch, pending, busyQueues, beyondShare });
  }

  async function beat(): Promise<void> {
    while (!over.signal.aborted) {
      term.journal.mark(heartbeatRow, heartbeatText);
      await clock.sleep(heartbeatMs, over.signal);
    }
  }

  return {
    service,
    stop: () => end('resigned'),
    async run() {
      const beating = beat();
      await load();
      const follow = { store, clock, log };
      await Promise.all([
        beating,
        tick(),
        makeTableWatcher({
          ...follow,
          table: jobsTable,
          readAll: () => readJobs(store),
          onRows: (rows) => takeJobRows(term, ends, rows),
          pauseMs: jobsPauseMs,
        }).run(over.signal),
        makeTableWatcher({
          ...follow,
          table: options.registryTable,
          readAll: readRegistry,
          onRows: fleet.takeRows,
          pauseMs: registryPauseMs,
        }).run(over.signal),
      ]);
    },
  };
}
