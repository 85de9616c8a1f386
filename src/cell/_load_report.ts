/**
 * Logs the scheduler's load once a second. While a scheduler does not keep up, the line tells what binds
 * it: the processor (`busyShare`, `latenessMs`), the store (`storeMs`), or decisions that it cannot carry
 * out (`starts` against `startOrders`).
 */
import { performance } from 'node:perf_hooks';

import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { computeFleetLoad, countPendingJobs } from '../scheduler/mod.ts';
import type { CellState } from '../scheduler/mod.ts';
import type { BatchWriter } from './batch_writer.ts';
import type { OrderSender } from './_orders.ts';
import type { PassRunner } from './_pass_runner.ts';

/** Logs the load of a scheduler. */
export interface LoadReport {
  /** Logs the load if the last line is a second old; `latenessMs` is how late this call is. */
  log(latenessMs: number): void;
}

/** What a load report reads. */
export interface LoadReportOptions {
  state: CellState;
  clock: Clock;
  log: Logger;
  writer: Pick<BatchWriter, 'latencyMs'>;
  passRunner: Pick<PassRunner, 'takeReport'>;
  orderSender: Pick<OrderSender, 'takeReport'>;
}

const reportIntervalMs = 1_000;

/** Makes a function that returns the share of the time since its last call in which the process was busy. */
function makeBusyShare(): () => number {
  let last = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, last);
    last = current;
    return Math.round(utilization * 100) / 100;
  };
}

/**
 * Makes the load report of a term.
 *
 * @example
 * loadReport.log(clock.now() - dueAtMs);
 */
export function makeLoadReport(options: LoadReportOptions): LoadReport {
  const { state, clock, log, writer, passRunner, orderSender } = options;
  const takeBusyShare = makeBusyShare();
  let nextReportAtMs = clock.now();

  return {
    log(latenessMs) {
      const nowMs = clock.now();
      if (nowMs < nextReportAtMs) return;
      nextReportAtMs = nowMs + reportIntervalMs;
      const pendingCounts = [...countPendingJobs(state).values()];
      log.info('load of the scheduler', {
        event: 'scheduler-load',
        jobs: state.activeJobs.size,
        queued: pendingCounts.reduce((total, count) => total + count, 0),
        ...computeFleetLoad(state),
        ...passRunner.takeReport(),
        startOrders: orderSender.takeReport(),
        busyShare: takeBusyShare(),
        latenessMs: Math.round(latenessMs),
        storeMs: Math.round(writer.latencyMs()),
      });
    },
  };
}
