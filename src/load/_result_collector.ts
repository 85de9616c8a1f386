/**
 * Collects the counts and latencies of one kind of work.
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

/** The result of one kind of work. */
export interface KindResult {
  sent: number;
  /** Responses by HTTP status. */
  statuses: Record<string, number>;
  /** Error responses by error kind. */
  errors: Record<string, number>;
  /** Jobs by their final state. */
  ended: Record<string, number>;
  /** Requests without a response, and accepted jobs that were unknown or did not end in time. */
  missing: number;
  /** Responses that belong to another request. */
  foreign: number;
  /** Request ids for which two responses had a result. */
  duplicates: number;
  answerMs: Latencies;
  /** From the planned time to the end of a job, to the precision of the polling interval. */
  endMs: Latencies;
}

const microsecondsPerMs = 1_000;

function makeLatencyRecorder() {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const toMs = (value: number) => Math.round(value) / microsecondsPerMs;
  const latencyAt = (percentile: number) => toMs(histogram.getValueAtPercentile(percentile));
  return {
    record: (ms: number) => histogram.recordValue(Math.max(1, Math.round(ms * microsecondsPerMs))),
    summary: (): Latencies => ({
      count: histogram.totalCount,
      mean: histogram.totalCount > 0 ? toMs(histogram.mean) : 0,
      ...{
        p50: latencyAt(50),
        p90: latencyAt(90),
        p99: latencyAt(99),
        p999: latencyAt(99.9),
        max: toMs(histogram.maxValue),
      },
    }),
  };
}

/** Collects the result of one kind of work. */
export class ResultCollector {
  readonly statuses: Record<string, number> = {};

  readonly errors: Record<string, number> = {};

  readonly ended: Record<string, number> = {};

  readonly counts = { sent: 0, missing: 0, foreign: 0, duplicates: 0 };

  readonly responseLatencies = makeLatencyRecorder();

  readonly endLatencies = makeLatencyRecorder();

  static increment(counts: Record<string, number>, name: string): void {
    Object.assign(counts, { [name]: (counts[name] ?? 0) + 1 });
  }

  result(): KindResult {
    const { statuses, errors, ended, counts, responseLatencies, endLatencies } = this;
    const latencies = { answerMs: responseLatencies.summary(), endMs: endLatencies.summary() };
    return { ...counts, statuses, errors, ended, ...latencies };
  }
}
