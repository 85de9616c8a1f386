/**
 * Counters and latency histograms of an entry process, in the text format of Prometheus.
 *
 * Every log event is counted by its name, so that rates are correct even if log lines are dropped. Event
 * names come from a closed list, and no label has a value from a request.
 */
import { Counter, Histogram, Registry } from 'prom-client';

import type { Clock } from '../clock/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { HttpRequest, HttpResponse } from '../front/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Store } from '../model/mod.ts';

/** The metrics of a process. */
export interface HostMetrics {
  /** Wraps a logger: counts its events, and records the delays that they report. */
  countEvents(log: Logger): Logger;
  /** Wraps a store: times its calls, except those that wait for changes. */
  timeStore(store: Store): Store;
  /** Wraps a handler: counts and times its requests. */
  timeRequests(
    handle: (request: HttpRequest) => Promise<HttpResponse>,
  ): (request: HttpRequest) => Promise<HttpResponse>;
  /** Renders all values as text. */
  text(): Promise<string>;
}

const msPerSecond = 1_000;
/** Upper bounds of the latency buckets, in seconds. */
const latencyBucketsS = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
const knownMethods = new Set(['GET', 'POST', 'DELETE']);

/**
 * Makes the metrics of a process.
 *
 * @example
 * const metrics = makeHostMetrics(systemClock);
 * const store = metrics.timeStore(makeStore(address, systemClock));
 */
export function makeHostMetrics(clock: Clock): HostMetrics {
  const registry = new Registry();
  const registers = [registry];
  const eventCounter = new Counter({
    name: 'dogwood_events_total',
    help: 'Log events by name.',
    labelNames: ['event'],
    registers,
  });
  const eventDelays = new Histogram({
    name: 'dogwood_event_delay_seconds',
    help: 'Delay that an event tells: of a start since its decision, of the end of a job since its acceptance.',
    labelNames: ['event'],
    buckets: latencyBucketsS,
    registers,
  });
  const requestDurations = new Histogram({
    name: 'dogwood_call_seconds',
    help: 'Calls of clients by method and status, until the answer was handed over.',
    labelNames: ['method', 'status'],
    buckets: latencyBucketsS,
    registers,
  });
  const storeCallDurations = new Histogram({
    name: 'dogwood_store_call_seconds',
    help: 'Calls to the row store by kind and outcome.',
    labelNames: ['call', 'outcome'],
    buckets: latencyBucketsS,
    registers,
  });

  const getSecondsSince = (startedAtMs: number) => (clock.now() - startedAtMs) / msPerSecond;

  function countEvent(fields: Record<string, unknown> | undefined): void {
    const event = fields?.event;
    if (typeof event !== 'string') return;
    eventCounter.inc({ event });
    const afterMs = fields?.afterMs;
    if (typeof afterMs === 'number') eventDelays.observe({ event }, afterMs / msPerSecond);
  }

  function wrapLogMethod(write: Logger['info']): Logger['info'] {
    return (message, fields) => {
      countEvent(fields);
      write(message, fields);
    };
  }

  async function timeStoreCall<T>(call: string, result: Outcome<T>): Outcome<T> {
    const startedAtMs = clock.now();
    const either = await result;
    const outcome = either.caseOf({
      Left: ({ kind }: Failure) => kind as string,
      Right: () => 'ok',
    });
    storeCallDurations.observe({ call, outcome }, getSecondsSince(startedAtMs));
    return either;
  }

  return {
    countEvents: (log) => ({
      ...log,
      info: wrapLogMethod(log.info),
      warn: wrapLogMethod(log.warn),
      error: wrapLogMethod(log.error),
    }),

    timeStore: (store) => ({
      ...store,
      transact: (transaction, timeoutMs) =>
        timeStoreCall('transact', store.transact(transaction, timeoutMs)),
      read: (query) => timeStoreCall('read', store.read(query)),
      listParts: (table) => timeStoreCall('parts', store.listParts(table)),
    }),

    timeRequests: (handle) => async (request) => {
      const startedAtMs = clock.now();
      const response = await handle(request);
      const method = knownMethods.has(request.method) ? request.method : 'other';
      requestDurations.observe({ method, status: response.status }, getSecondsSince(startedAtMs));
      return response;
    },

    text: () => registry.metrics(),
  };
}
