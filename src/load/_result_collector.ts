/**
 * Counts and latencies of one kind of work.
 */
import { build } from 'hdr-histogram-js';

/** Latencies in milliseconds, measured from the planned time of the request. */
export interface Latencies {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p99: number;
  p999: number;
  max: number;
}

/** The result for one kind of work. */
export interface KindResult {
  sent: number;
  /** Answers by HTTP status. */
  statuses: Record<string, number>;
  /** Refusals and failures by error kind. */
  errors: Record<string, number>;
  /** Jobs by the state in which they ended. */
  ended: Record<string, number>;
  /** Requests without an answer, and accepted jobs that did not end in time or were not known. */
  missing: number;
  /** Answers that belong to another request. */
  foreign: number;
  /** Request ids that were answered with a result twice. */
  duplicates: number;
  answerMs: Latencies;
  /** From the planned time to the end of a job, as far as polling shows it. */
  endMs: Latencies;
}

const unitsPerMs = 1_000;

function makeLatencies() {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const toMs = (value: number) => Math.round(value) / unitsPerMs;
  const at = (percentile: number) => toMs(histogram.getValueAtPercentile(percentile));
  return {
    record: (ms: number) => histogram.recordValue(Math.max(1, Math.round(ms * unitsPerMs))),
    summary: (): Latencies => ({
      count: histogram.totalCount,
      mean: histogram.totalCount > 0 ? toMs(histogram.mean) : 0,
      ...{ p50: at(50), p90: at(90), p99: at(99), p999: at(99.9), max: toMs(histogram.maxValue) },
    }),
  };
}

/** Collects the result for one kind of work. */
export class Tally {
  readonly statuses: Record<string, number> = {};

  readonly errors: Record<string, number> = {};

  readonly ended: Record<string, number> = {};

  readonly counts = { sent: 0, missing: 0, foreign: 0, duplicates: 0 };

  readonly answerMs = makeLatencies();

  readonly endMs = makeLatencies();

  static add(counts: Record<string, number>, name: string): void {
    Object.assign(counts, { [name]: (counts[name] ?? 0) + 1 });
  }

  result(): KindResult {
    const { statuses, errors, ended, counts, answerMs, endMs } = this;
    const latencies = { answerMs: answerMs.summary(), endMs: endMs.summary() };
    return { ...counts, statuses, errors, ended, ...latencies };
  }
}
