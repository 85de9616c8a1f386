/**
 * Sends metrics over StatsD with hot-shots.
 */
import { StatsD } from 'hot-shots';

/** Records counters, gauges and timings. */
export interface Metrics {
  count(name: string, value?: number, tags?: Record<string, string>): void;
  gauge(name: string, value: number, tags?: Record<string, string>): void;
  timing(name: string, ms: number, tags?: Record<string, string>): void;
  close(): void;
}

/**
 * Makes the metrics client of a process. Without a host it sends nothing.
 *
 * @example
 * const metrics = makeMetrics({ host: '127.0.0.1', port: 8125, process: 'entry-1' });
 * metrics.count('starts');
 */
export function makeMetrics(options: { host?: string; port?: number; process: string }): Metrics {
  const { host, port = 8125, process: name } = options;
  const client = new StatsD({
    ...(host ? { host } : { mock: true }),
    port,
    prefix: 'dogwoodhollow.',
    globalTags: { process: name },
    errorHandler: () => undefined,
    maxBufferSize: 1_400,
    ...(host ? {} : { maxBufferSize: 0 }),
  });
  return {
    count: (metric, value = 1, tags = {}) => client.increment(metric, value, tags),
    gauge: (metric, value, tags = {}) => client.gauge(metric, value, tags),
    timing: (metric, ms, tags = {}) => client.timing(metric, ms, tags),
    close: () => client.close(() => undefined),
  };
}

/**
 * A metrics client that discards everything, for tests and benchmarks.
 *
 * @example
 * const metrics = silentMetrics;
 */
export const silentMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => undefined,
};
