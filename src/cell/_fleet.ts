/**
 * The workers of the cell: watches their registry, keeps a link to each worker, and detects workers
 * whose leases have expired and runs that make no progress.
 */
import { logFailure } from '../logs/mod.ts';
import { RunEnd } from '../model/mod.ts';
import type { StoredRow, WorkerEntry, WorkerReport } from '../model/mod.ts';
import {
  listLostRunEnds,
  mayStartInIncarnation,
  updateWorkerBackoff,
  makeWorker,
  reconcileReport,
  updateFreeCapacity,
  findStalledRuns,
  getJobId,
  hasLateStart,
} from '../scheduler/mod.ts';
import type { Run, Worker } from '../scheduler/mod.ts';
import { makeFencingTokens } from './_fencing_tokens.ts';
import { chooseLeaseMs, mayRenewLeases } from './_leases.ts';
import type { RunEndHandler } from './_run_end_handler.ts';
import { progressRow } from './rows.ts';
import { forEachRow } from './table_watcher.ts';
import type { Term } from './_term_state.ts';
import { makeWorkerLink, maxCallDelayMs } from './worker_link.ts';
import type { WorkerLink } from './worker_link.ts';

/** The workers of the cell and the links to them. */
export interface Fleet {
  /** Adds the workers of the initial registry snapshot, without contacting them. */
  addWorkers(rows: StoredRow[]): void;
  /** Opens a link to each registered worker. */
  openLinks(): void;
  applyRegistryRows(rows: StoredRow[], isSnapshot: boolean): void;
  findLink(workerId: string): WorkerLink | undefined;
  /** Handles expired leases and stops stalled runs. */
  checkWorkers(): void;
  close(): void;
}

interface LinkHandle {
  link: WorkerLink;
  controller: AbortController;
}

const stallTimeoutMs = 2_500;

/**
 * Makes the fleet of a term.
 *
 * @example
 * fleet.applyRegistryRows(rows, false);
 */
export function makeFleet(term: Term, endHandler: RunEndHandler): Fleet {
  const { state, clock, log, writer, workers, claim } = term;
  const links = new Map<string, LinkHandle>();
  /** Keys of registry rows that name no usable worker. */
  const unusableEntries = new Set<string>();

  /** Decodes an entry; an unusable one is logged once, until its row is deleted or usable again. */
  function decodeEntry(row: StoredRow): WorkerEntry | undefined {
    const entry = row.deleted ? undefined : term.decodeWorker(row);
    if (entry || row.deleted) unusableEntries.delete(row.key);
    else if (!unusableEntries.has(row.key)) {
      unusableEntries.add(row.key);
      log.warn('an entry of the registry names no usable worker', {
        event: 'worker-entry-unusable',
        worker: row.key,
        version: row.version,
      });
    }
    return entry;
  }

  const nextFencingToken = makeFencingTokens({
    epoch: claim.epoch,
    onUsedUp: () => term.end('the fencing tokens of its epoch are used up'),
  });

  function stopUnknownRun(worker: Worker, task: string, attempt: number): void {
    const fencingToken = links.get(worker.entry.id)?.link.fencingToken();
    if (fencingToken === undefined) return;
    log.warn('a worker runs an attempt that this scheduler did not order', {
      event: 'stop-stranger',
      task,
      attempt,
      worker: worker.entry.id,
    });
    workers
      .stop(worker.entry, { task, attempt, fencingToken })
      .catch(logFailure(log, 'a stop order'));
  }

  async function handleReport(
    worker: Worker,
    report: WorkerReport,
    sentAtMs: number,
  ): Promise<boolean> {
    const nowMs = clock.now();
    const wasUsable = worker.isSynced && worker.isResponsive;
    if (!wasUsable) {
      log.info('worker found', {
        event: 'worker-found',
        worker: worker.entry.id,
        born: report.incarnationStartMs,
        labels: worker.entry.labels,
        capacity: worker.entry.capacity,
      });
    }
    const observation = reconcileReport(worker, report, { nowMs, sentAtMs });
    observation.ends.forEach(({ end }) => updateWorkerBackoff(worker, end, nowMs));
    endHandler.applyEnds(observation.ends, 'reported');
    observation.unknownRuns.forEach(({ task, attempt }) => stopUnknownRun(worker, task, attempt));
    if (observation.ends.length > 0 || !wasUsable) term.schedulePass();
    // Ends that an earlier report has listed, too, may not be stored yet.
    const rows = report.ended.map(({ task }) => progressRow(getJobId(task)));
    return rows.length === 0 || writer.flush({ isUrgent: false, rows });
  }

  function getTimeSinceCommitMs(): number {
    return clock.now() - writer.lastCommitAtMs();
  }

  function openLink(worker: Worker): void {
    const { id } = worker.entry;
    const controller = new AbortController();
    const link = makeWorkerLink({
      workers,
      clock,
      entry: () => worker.entry,
      nextFencingToken,
      leaseMs: () => chooseLeaseMs(getTimeSinceCommitMs(), term.maxLeaseMs),
      maxLeaseMs: term.maxLeaseMs,
      predecessorLeasesEndAtMs: term.predecessorLeasesEndAtMs,
      isBusy: () => worker.runs.size > 0,
      mayRenew: () => mayRenewLeases(getTimeSinceCommitMs()),
      onReport: (report, sentAtMs) => handleReport(worker, report, sentAtMs),
      onSessionEnded(nextToken, reason) {
        worker.isSynced = false;
        log.info('the session with a worker has ended', {
          event: 'worker-session-ended',
          reason,
          worker: id,
          born: worker.incarnationStartMs,
          registered: worker.entry.incarnationStartMs,
          nextToken,
        });
      },
      onRenewalFailed(rejection) {
        if (worker.isResponsive) {
          log.warn('worker does not respond', { event: 'worker-silent', worker: id, rejection });
        }
        worker.isResponsive = false;
      },
      onFenced: () => term.end('a worker has seen a higher fencing token'),
      onError: logFailure(log, 'the report of a worker'),
    });
    link.recordRegisteredIncarnation(worker.entry.incarnationStartMs);
    links.set(id, { link, controller });
    link.run(controller.signal).catch(logFailure(log, 'a worker link'));
  }

  /** Closes the connections to a worker's address; of some workers only the id is known. */
  function disconnect({ entry }: Worker): void {
    if (entry.address !== '') workers.disconnect(entry);
  }

  function removeWorker(worker: Worker): void {
    const { id } = worker.entry;
    links.get(id)?.controller.abort();
    links.delete(id);
    state.workers.delete(id);
    disconnect(worker);
  }

  function upsertWorker(entry: WorkerEntry): void {
    let worker = state.workers.get(entry.id);
    if (worker) {
      if (entry.isDraining && !worker.entry.isDraining) {
        log.info('worker is draining', { event: 'worker-draining', worker: entry.id });
      }
      if (entry.address !== worker.entry.address) disconnect(worker);
      Object.assign(worker, { entry, isRegistered: true });
      updateFreeCapacity(worker);
    } else {
      worker = makeWorker(entry);
      state.workers.set(entry.id, worker);
    }
    if (!links.has(entry.id)) openLink(worker);
    links.get(entry.id)?.link.recordRegisteredIncarnation(entry.incarnationStartMs);
  }

  function markUnregistered(id: string): void {
    const worker = state.workers.get(id);
    if (worker?.isRegistered) {
      log.info('worker has left the registry', { event: 'worker-unregistered', worker: id });
      worker.isRegistered = false;
    }
  }

  /** Returns when a run on an unresponsive worker has ended, whatever incarnation carried out its start. */
  function getExpiryMs(run: Run, link: WorkerLink | undefined): number {
    const { predecessorLeasesEndAtMs } = term;
    if (!link) return predecessorLeasesEndAtMs + (hasLateStart(run) ? maxCallDelayMs : 0);
    const mayStartLate =
      hasLateStart(run) || mayStartInIncarnation(run, link.newestIncarnationMs());
    if (mayStartLate) return link.lateStartsExpireAtMs();
    return run.isStartUncertain ? link.uncertainStartsExpireAtMs() : link.leasesExpireAtMs();
  }

  function handleExpiredLeases(worker: Worker, nowMs: number): void {
    if (worker.isResponsive) return;
    const { id } = worker.entry;
    const link = links.get(id)?.link;
    const leasesExpireAtMs = link?.leasesExpireAtMs() ?? term.predecessorLeasesEndAtMs;
    if (nowMs < leasesExpireAtMs) return;
    const lost = listLostRunEnds(worker, (run) => nowMs >= getExpiryMs(run, link));
    if (lost.length > 0) {
      log.warn('worker lost', {
        event: 'worker-lost',
        worker: id,
        runs: lost.length,
        uncertainStarts: lost.filter(({ run }) => run.isStartUncertain).length,
        sinceReportMs: Math.round(nowMs - worker.reportedAtMs),
      });
      endHandler.applyEnds(lost, 'lease expired');
      term.schedulePass();
    }
    if (!worker.isRegistered && worker.runs.size === 0) removeWorker(worker);
  }

  return {
    addWorkers(rows) {
      forEachRow(rows, log, (row) => {
        const entry = decodeEntry(row);
        if (entry) state.workers.set(entry.id, makeWorker(entry));
      });
    },

    openLinks() {
      state.workers.forEach((worker) => {
        if (worker.isRegistered) openLink(worker);
      });
    },

    applyRegistryRows(rows, isSnapshot) {
      if (isSnapshot) {
        const listed = new Set(rows.map(({ key }) => key));
        unusableEntries.clear();
        [...state.workers.keys()].filter((id) => !listed.has(id)).forEach(markUnregistered);
      }
      forEachRow(rows, log, (row) => {
        const entry = decodeEntry(row);
        if (entry) upsertWorker(entry);
        else markUnregistered(row.key);
      });
    },

    findLink: (workerId) => links.get(workerId)?.link,

    checkWorkers() {
      const nowMs = clock.now();
      state.workers.forEach((worker) => handleExpiredLeases(worker, nowMs));
      findStalledRuns(state, stallTimeoutMs).forEach((run) => {
        const worker = state.workers.get(run.workerId);
        if (worker) updateWorkerBackoff(worker, RunEnd.Failed, nowMs);
        endHandler.stopRuns([run], 'no progress');
      });
    },

    close: () => links.forEach(({ controller }) => controller.abort()),
  };
}
