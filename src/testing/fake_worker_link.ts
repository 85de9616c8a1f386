/**
 * A worker link for tests, whose worker gives prepared responses.
 */
import { makeWorkerLink } from '../cell/worker_link.ts';
import { systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Rejection, WorkerReport, WorkerClient } from '../model/mod.ts';
import { workerEntry } from './fake_cell.ts';

/** A promise that never settles. */
export const neverSettled = Promise.race<never>([]);

type Renewal = Parameters<WorkerClient['renewLease']>[1];

/** Makes a link whose worker gives the responses in turn; each takes 100 ms of a simulated clock. */
export function makeTestLink(responses: (WorkerReport | Rejection | Promise<never>)[]) {
  const abort = new AbortController();
  const renewals: Renewal[] = [];
  const state = {
    fenced: false,
    stored: true,
    neverStores: false,
    mayRenew: true,
    reportedAtMs: 0,
    failsOnce: false,
    errors: 0,
    tokens: 6,
    sessionsEnded: 0,
    reports: 0,
    onReportOnce: undefined as (() => void) | undefined,
  };
  let nowMs = 0;
  const clock: Clock = {
    ...systemClock,
    now: () => nowMs,
    wallTime: () => 0,
    async sleep(ms) {
      // Lets other pending callbacks run first.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      nowMs += ms;
    },
  };
  const workers = {
    async renewLease(_worker: unknown, request: Renewal) {
      renewals.push(request);
      nowMs += 100;
      const response = responses.shift();
      if (responses.length === 0) abort.abort();
      return response!;
    },
  } as unknown as WorkerClient;
  const link = makeWorkerLink({
    workers,
    clock,
    entry: () => workerEntry('w1'),
    nextFencingToken() {
      state.tokens += 1;
      return state.tokens;
    },
    leaseMs: () => 4_000,
    maxLeaseMs: 6_000,
    predecessorLeasesEndAtMs: 0,
    mayRenew: () => state.mayRenew,
    onReport() {
      state.reportedAtMs = nowMs;
      state.reports += 1;
      state.onReportOnce?.();
      state.onReportOnce = undefined;
      if (state.failsOnce) {
        state.failsOnce = false;
        throw new Error('unexpected');
      }
      return state.neverStores ? neverSettled : Promise.resolve(state.stored);
    },
    isBusy: () => true,
    onSessionEnded() {
      state.sessionsEnded += 1;
    },
    onRenewalFailed: () => undefined,
    onFenced() {
      state.fenced = true;
    },
    onError() {
      state.errors += 1;
    },
  });
  return { link, renewals, state, run: () => link.run(abort.signal), nowMs: () => nowMs };
}

/** Makes a report of a worker without runs; a test gives only the fields that matter to it. */
export function report(clockMs: number, fields: Partial<WorkerReport> = {}): WorkerReport {
  return { clockMs, incarnationStartMs: 1, running: [], ended: [], hasMoreEnds: false, ...fields };
}

/** Makes an end of a run with this number. */
export function ended(sequence: number) {
  return { sequence, task: 'a.0.0.0', attempt: 1, end: 'done' as const, checkpoint: '' };
}
