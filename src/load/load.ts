/**
 * Open-loop load against the callers' HTTP interface: a slow answer delays no later request.
 */
import { makeRandom } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';
import type { ConnectionPool, ExchangeResponse } from '../exchange/mod.ts';
import type { Job, RequestedSize, WorkKind } from '../schema/mod.ts';
import { Tally } from './_result_collector.ts';
import type { KindResult } from './_result_collector.ts';
import { planArrivals } from './arrivals.ts';
import type { Arrival, Plan } from './arrivals.ts';

/** What a run sends, and where. */
export interface LoadOptions extends Omit<Plan, 'teams' | 'targets'> {
  clock: Clock;
  targets: { address: string; port: number }[];
  teams: { team: string; key: string }[];
  queue?: string;
  size?: RequestedSize;
  /** Run time of each task; a service is withdrawn after this time. */
  runMs?: number;
  gangTasks?: number;
  idempotent?: boolean;
  /** Time until a lookup has to be answered. */
  timeoutMs?: number;
  /** Time until an accepted job has to have ended. */
  settleMs?: number;
  pollMs?: number;
}

/** The result of a run, by kind of work. */
export interface LoadResult {
  plan: Omit<Plan, 'teams' | 'targets'>;
  planned: number;
  tookMs: number;
  kinds: Partial<Record<WorkKind, KindResult>>;
}

interface Reply {
  status: number;
  value: Record<string, unknown>;
}

const endedStates = ['finished', 'failed', 'cancelled'];

function parse({ status, body }: ExchangeResponse): Reply {
  try {
    return { status, value: (JSON.parse(body.toString('utf8')) ?? {}) as Reply['value'] };
  } catch {
    return { status, value: {} };
  }
}

/** One run in progress. */
class Run {
  private readonly options: Required<Omit<LoadOptions, 'queue' | 'size'>> & LoadOptions;

  private readonly links: ConnectionPool[];

  private readonly startedAt: number;

  readonly tallies = new Map<WorkKind, Tally>();

  constructor(options: Run['options']) {
    const { clock, targets } = options;
    this.options = options;
    this.links = targets.map((target) =>
      makeConnectionPool({ ...target, clock, connections: 256 }),
    );
    this.startedAt = clock.now();
  }

  async send(arrival: Arrival): Promise<void> {
    const { clock } = this.options;
    await clock.sleep(arrival.atMs - this.elapsed());
    if (arrival.kind === 'lookup') await this.sendLookup(arrival);
    else await this.sendJob(arrival);
  }

  elapsed(): number {
    return this.options.clock.now() - this.startedAt;
  }

  async close(): Promise<void> {
    await Promise.all(this.links.map(({ close }) => close()));
  }

  private tally(kind: WorkKind): Tally {
    const tally = this.tallies.get(kind) ?? new Tally();
    this.tallies.set(kind, tally);
    return tally;
  }

  /** Makes one exchange and counts its answer; undefined when there was none. */
  private async ask(
    arrival: Arrival,
    request: { method: 'GET' | 'POST' | 'DELETE'; path: string; body?: unknown; shift?: number },
  ): Promise<Reply | undefined> {
    const { teams, timeoutMs } = this.options;
    const { method, path, body, shift = 0 } = request;
    const { team = '', key = '' } = teams[arrival.team] ?? {};
    const headers: Record<string, string> = { 'x-team': team, authorization: `Bearer ${key}` };
    if (method === 'POST') headers['x-request-id'] = arrival.nonce;
    const link = this.links[(arrival.target + shift) % this.links.length];
    const text = body === undefined ? undefined : JSON.stringify(body);
    const answer = await link?.exchange({ method, path, body: text, headers, timeoutMs });
    return answer?.map(parse).orDefault(undefined as unknown as Reply);
  }

  private async post(arrival: Arrival, request: { path: string; body: unknown; shift?: number }) {
    const tally = this.tally(arrival.kind);
    tally.counts.sent += 1;
    const reply = await this.ask(arrival, { method: 'POST', ...request });
    if (!reply) {
      tally.counts.missing += 1;
      return undefined;
    }
    tally.answerMs.record(this.elapsed() - arrival.atMs);
    Tally.add(tally.statuses, String(reply.status));
    const error = reply.value.error as { kind?: string } | undefined;
    if (reply.status >= 400) Tally.add(tally.errors, error?.kind ?? 'no-kind');
    return reply;
  }

  private async sendLookup(arrival: Arrival): Promise<void> {
    const { queue, size, runMs, idempotent, timeoutMs } = this.options;
    const work = { runMs, answer: arrival.nonce };
    const deadlineMs = timeoutMs;
    const body = { queue, size, estimateMs: runMs, deadlineMs, idempotent, body: work };
    const shifts = arrival.repeated ? [0, 1] : [0];
    const replies = await Promise.all(
      shifts.map((shift) => this.post(arrival, { path: '/v1/lookups', body, shift })),
    );
    const { counts } = this.tally('lookup');
    const whole = replies.filter((reply) => reply?.status === 200);
    if (whole.length > 1) counts.duplicates += 1;
    whole.forEach((reply) => {
      const answer = reply?.value.body as { answer?: unknown } | undefined;
      if (answer?.answer !== arrival.nonce) counts.foreign += 1;
    });
  }

  private async sendJob(arrival: Arrival): Promise<void> {
    const { queue, size, runMs, gangTasks, idempotent } = this.options;
    const { kind, nonce } = arrival;
    const tasks = kind === 'gang' ? gangTasks : 1;
    const work = kind === 'service' ? { answer: nonce } : { runMs, answer: nonce };
    const body = { kind, queue, tasks, size, estimateMs: runMs, idempotent, body: work };
    const reply = await this.post(arrival, { path: '/v1/jobs', body });
    const id = reply?.value.id;
    if (reply?.status === 202 && typeof id === 'string') await this.follow(arrival, id);
  }

  private async follow(arrival: Arrival, id: string): Promise<void> {
    const { clock, pollMs, settleMs, runMs } = this.options;
    const tally = this.tally(arrival.kind);
    const path = `/v1/jobs/${encodeURIComponent(id)}`;
    const deadline = clock.now() + settleMs;
    let withdrawn = arrival.kind !== 'service';
    const withdrawAt = clock.now() + runMs;
    while (clock.now() < deadline) {
      await clock.sleep(pollMs);
      if (!withdrawn && clock.now() >= withdrawAt) {
        withdrawn = (await this.ask(arrival, { method: 'DELETE', path }))?.status === 200;
      }
      const reply = await this.ask(arrival, { method: 'GET', path });
      const { state } = (reply?.value ?? {}) as Partial<Job>;
      if (reply?.status === 200 && state && endedStates.includes(state)) {
        tally.endMs.record(this.elapsed() - arrival.atMs);
        Tally.add(tally.ended, state);
        return;
      }
    }
    tally.counts.missing += 1;
  }
}

const defaults = {
  repeatFraction: 0,
  runMs: 20,
  gangTasks: 4,
  idempotent: false,
  timeoutMs: 5_000,
  settleMs: 60_000,
  pollMs: 500,
};

/**
 * Sends a planned load and returns what became of it.
 *
 * @example
 * const result = await runLoad({ ...parts, seed: 1, ratePerSecond: 100, durationMs: 10_000 });
 * result.kinds.lookup?.answerMs.p99;
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { clock, seed, ratePerSecond, durationMs, mix, repeatFraction } = options;
  const plan = { seed, ratePerSecond, durationMs, mix, repeatFraction };
  const sizes = { teams: options.teams.length, targets: options.targets.length };
  const arrivals = planArrivals({ ...plan, ...sizes }, makeRandom(seed));
  const run = new Run({ ...defaults, ...options, clock });
  await Promise.all(arrivals.map((arrival) => run.send(arrival)));
  const tookMs = run.elapsed();
  await run.close();
  const kinds = Object.fromEntries([...run.tallies].map(([kind, tally]) => [kind, tally.result()]));
  return { plan, planned: arrivals.length, tookMs, kinds };
}
