/**
 * Sends open-loop load to the HTTP interface of callers: a slow response delays no later request.
 */
import { makeRandom } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';
import type { ConnectionPool, ExchangeResponse } from '../exchange/mod.ts';
import type { Job, RequestedSize, WorkKind } from '../schema/mod.ts';
import { ResultCollector } from './_result_collector.ts';
import type { KindResult } from './_result_collector.ts';
import { planArrivals } from './arrivals.ts';
import type { Arrival, LoadPlan } from './arrivals.ts';

/** The requests that a run sends, and the processes that it sends them to. */
export interface LoadOptions extends Omit<LoadPlan, 'teamCount' | 'targetCount'> {
  clock: Clock;
  targets: { address: string; port: number }[];
  teams: { team: string; key: string }[];
  queue?: string;
  size?: RequestedSize;
  /** Run time of each task; a service is withdrawn after this time. */
  runMs?: number;
  gangTasks?: number;
  idempotent?: boolean;
  /** Timeout of each request, and the deadline of lookups. */
  timeoutMs?: number;
  /** Time within which an accepted job has to end. */
  settleMs?: number;
  pollMs?: number;
}

/** The result of a run, per kind of work. */
export interface LoadResult {
  plan: Omit<LoadPlan, 'teamCount' | 'targetCount'>;
  planned: number;
  tookMs: number;
  kinds: Partial<Record<WorkKind, KindResult>>;
}

interface JsonResponse {
  status: number;
  value: Record<string, unknown>;
}

const finalStates = ['finished', 'failed', 'cancelled'];

function parseResponse({ status, body }: ExchangeResponse): JsonResponse {
  try {
    return { status, value: (JSON.parse(body.toString('utf8')) ?? {}) as JsonResponse['value'] };
  } catch {
    return { status, value: {} };
  }
}

/** The state of one run. */
class LoadRun {
  private readonly options: Required<Omit<LoadOptions, 'queue' | 'size'>> & LoadOptions;

  private readonly connectionPools: ConnectionPool[];

  private readonly startedAtMs: number;

  readonly collectors = new Map<WorkKind, ResultCollector>();

  constructor(options: LoadRun['options']) {
    const { clock, targets } = options;
    this.options = options;
    this.connectionPools = targets.map((target) =>
      makeConnectionPool({ ...target, clock, connections: 256 }),
    );
    this.startedAtMs = clock.now();
  }

  async send(arrival: Arrival): Promise<void> {
    const { clock } = this.options;
    await clock.sleep(arrival.dueAtMs - this.elapsedMs());
    if (arrival.kind === 'lookup') await this.sendLookup(arrival);
    else await this.sendJob(arrival);
  }

  elapsedMs(): number {
    return this.options.clock.now() - this.startedAtMs;
  }

  async close(): Promise<void> {
    await Promise.all(this.connectionPools.map(({ close }) => close()));
  }

  private getCollector(kind: WorkKind): ResultCollector {
    const collector = this.collectors.get(kind) ?? new ResultCollector();
    this.collectors.set(kind, collector);
    return collector;
  }

  /** Sends one request; returns undefined if there is no response. */
  private async sendRequest(
    arrival: Arrival,
    request: {
      method: 'GET' | 'POST' | 'DELETE';
      path: string;
      body?: unknown;
      targetOffset?: number;
    },
  ): Promise<JsonResponse | undefined> {
    const { teams, timeoutMs } = this.options;
    const { method, path, body, targetOffset = 0 } = request;
    const { team = '', key = '' } = teams[arrival.teamIndex] ?? {};
    const headers: Record<string, string> = { 'x-team': team, authorization: `Bearer ${key}` };
    if (method === 'POST') headers['x-request-id'] = arrival.nonce;
    const pool =
      this.connectionPools[(arrival.targetIndex + targetOffset) % this.connectionPools.length];
    const requestText = body === undefined ? undefined : JSON.stringify(body);
    const exchangeResult = await pool?.exchange({
      method,
      path,
      body: requestText,
      headers,
      timeoutMs,
    });
    return exchangeResult?.map(parseResponse).orDefault(undefined as unknown as JsonResponse);
  }

  private async postRequest(
    arrival: Arrival,
    request: { path: string; body: unknown; targetOffset?: number },
  ) {
    const collector = this.getCollector(arrival.kind);
    collector.counts.sent += 1;
    const response = await this.sendRequest(arrival, { method: 'POST', ...request });
    if (!response) {
      collector.counts.missing += 1;
      return undefined;
    }
    collector.responseLatencies.record(this.elapsedMs() - arrival.dueAtMs);
    ResultCollector.increment(collector.statuses, String(response.status));
    const error = response.value.error as { kind?: string } | undefined;
    if (response.status >= 400)
      ResultCollector.increment(collector.errors, error?.kind ?? 'no-kind');
    return response;
  }

  private async sendLookup(arrival: Arrival): Promise<void> {
    const { queue, size, runMs, idempotent, timeoutMs } = this.options;
    const taskBody = { runMs, answer: arrival.nonce };
    const deadlineMs = timeoutMs;
    const body = { queue, size, estimateMs: runMs, deadlineMs, idempotent, body: taskBody };
    const targetOffsets = arrival.isRepeated ? [0, 1] : [0];
    const responses = await Promise.all(
      targetOffsets.map((targetOffset) =>
        this.postRequest(arrival, { path: '/v1/lookups', body, targetOffset }),
      ),
    );
    const { counts } = this.getCollector('lookup');
    const successful = responses.filter((response) => response?.status === 200);
    if (successful.length > 1) counts.duplicates += 1;
    successful.forEach((response) => {
      const echo = response?.value.body as { answer?: unknown } | undefined;
      if (echo?.answer !== arrival.nonce) counts.foreign += 1;
    });
  }

  private async sendJob(arrival: Arrival): Promise<void> {
    const { queue, size, runMs, gangTasks, idempotent } = this.options;
    const { kind, nonce } = arrival;
    const tasks = kind === 'gang' ? gangTasks : 1;
    const taskBody = kind === 'service' ? { answer: nonce } : { runMs, answer: nonce };
    const body = { kind, queue, tasks, size, estimateMs: runMs, idempotent, body: taskBody };
    const response = await this.postRequest(arrival, { path: '/v1/jobs', body });
    const id = response?.value.id;
    if (response?.status === 202 && typeof id === 'string') await this.pollUntilEnded(arrival, id);
  }

  private async pollUntilEnded(arrival: Arrival, id: string): Promise<void> {
    const { clock, pollMs, settleMs, runMs } = this.options;
    const collector = this.getCollector(arrival.kind);
    const path = `/v1/jobs/${encodeURIComponent(id)}`;
    const settleDeadlineMs = clock.now() + settleMs;
    let isWithdrawn = arrival.kind !== 'service';
    const withdrawAtMs = clock.now() + runMs;
    while (clock.now() < settleDeadlineMs) {
      await clock.sleep(pollMs);
      if (!isWithdrawn && clock.now() >= withdrawAtMs) {
        isWithdrawn = (await this.sendRequest(arrival, { method: 'DELETE', path }))?.status === 200;
      }
      const response = await this.sendRequest(arrival, { method: 'GET', path });
      const { state } = (response?.value ?? {}) as Partial<Job>;
      if (response?.status === 200 && state && finalStates.includes(state)) {
        collector.endLatencies.record(this.elapsedMs() - arrival.dueAtMs);
        ResultCollector.increment(collector.ended, state);
        return;
      }
    }
    collector.counts.missing += 1;
  }
}

const defaultOptions = {
  repeatFraction: 0,
  runMs: 20,
  gangTasks: 4,
  idempotent: false,
  timeoutMs: 5_000,
  settleMs: 60_000,
  pollMs: 500,
};

/**
 * Runs a planned load and returns its result.
 *
 * @example
 * const result = await runLoad({ ...parts, seed: 1, ratePerSecond: 100, durationMs: 10_000 });
 * result.kinds.lookup?.answerMs.p99;
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { clock, seed, ratePerSecond, durationMs, mix, repeatFraction } = options;
  const plan = { seed, ratePerSecond, durationMs, mix, repeatFraction };
  const planCounts = { teamCount: options.teams.length, targetCount: options.targets.length };
  const arrivals = planArrivals({ ...plan, ...planCounts }, makeRandom(seed));
  const run = new LoadRun({ ...defaultOptions, ...options, clock });
  await Promise.all(arrivals.map((arrival) => run.send(arrival)));
  const tookMs = run.elapsedMs();
  await run.close();
  const kinds = Object.fromEntries(
    [...run.collectors].map(([kind, collector]) => [kind, collector.result()]),
  );
  return { plan, planned: arrivals.length, tookMs, kinds };
}
