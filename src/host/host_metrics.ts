/**
 * Counters and latency histograms of an entry process, in the text format of Prometheus.
 *
 * Every log event is counted under its name, which comes from a closed list, so that rates hold also
 * where lines are left out. No label takes a value from a call.
 */
import { Counter, Histogram, Registry } from 'prom-client';

import type { Clock } from '../clock/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { HttpAnswer, HttpRequest } from '../front/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Store } from '../model/mod.ts';

/** The metrics of a process. */
export interface HostMetrics {
  /** A log whose lines are counted, with the delays that they tell. */
  countLines(log: Logger): Logger;
  /** A store whose calls are timed, those that wait for changes excepted. */
  timeStore(store: Store): Store;
  /** A handler whose calls are counted and timed. */
  timeCalls(
    handle: (request: HttpRequest) => Promise<HttpAnswer>,
  ): (request: HttpRequest) => Promise<HttpAnswer>;
  /** All values as text. */
  text(): Promise<string>;
}

const msPerSecond = 1_000;
/** Upper bounds of the latency classes, in seconds. */
const buckets = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
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
  const events = new Counter({
    name: 'dogwood_events_total',
    help: 'Log events by name.',
    labelNames: ['event'],
    registers,
  });
  const delays = new Histogram({
    name: 'dogwood_event_delay_seconds',
    help: 'Delay that an event tells: of a start since its decision, of the end of a job since its acceptance.',
    labelNames: ['event'],
    buckets,
    registers,
  });
  const calls = new Histogram({
    name: 'dogwood_call_seconds',
    help: 'Calls of clients by method and status, until the answer was handed over.',
    labelNames: ['method', 'status'],
    buckets,
    registers,
  });
  const storeCalls = new Histogram({
    name: 'dogwood_store_call_seconds',
    help: 'Calls to the row store by kind and outcome.',
    labelNames: ['call', 'outcome'],
    buckets,
    registers,
  });

  const secondsSince = (startedAtMs: number) => (clock.now() - startedAtMs) / msPerSecond;

  function countLine(fields: Record<string, unknown> | undefined): void {
    const event = fields?.event;
    if (typeof event !== 'string') return;
    events.inc({ event });
    const afterMs = fields?.afterMs;
    if (typeof afterMs === 'number') delays.observe({ event }, afterMs / msPerSecond);
  }

  function counted(write: Logger['info']): Logger['info'] {
    return (message, fields) => {
      countLine(fields);
      write(message, fields);
    };
  }

  async function timed<T>(call: string, result: Outcome<T>): Outcome<T> {
    const startedAtMs = clock.now();
    const either = await result;
    const outcome = either.caseOf({
      Left: ({ kind }: Failure) => kind as string,
      Right: () => 'ok',
    });
    storeCalls.observe({ call, outcome }, secondsSince(startedAtMs));
    return either;
  }

  return {
    countLines: (log) => ({
      ...log,
      info: counted(log.info),
      warn: counted(log.warn),
      error: counted(log.error),
    }),

    timeStore: (store) => ({
      ...store,
      transact: (change, timeoutMs) => timed('transact', store.transact(change, timeoutMs)),
      read: (query) => timed('read', store.read(query)),
      listParts: (table) => timed('parts', store.listParts(table)),
    }),

    timeCalls: (handle) => async (request) => {
      const startedAtMs = clock.now();
      const answer = await handle(request);
      const method = knownMethods.has(request.method) ? request.method : 'other';
      calls.observe({ method, status: answer.status }, secondsSince(startedAtMs));
      return answer;
    },

    text: () => registry.metrics(),
  };
}
