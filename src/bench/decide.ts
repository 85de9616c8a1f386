/**
 * Cost of one decision: the next item by share, a place for it, and the accounts, while tasks end.
 */
import { makeRandom } from '../clock/mod.ts';
import {
  makePlacementIndex,
  makeShareLedger,
  makePendingJobs,
  PlacementOutcome,
} from '../decisions/mod.ts';
import type { PendingJob } from '../decisions/mod.ts';
import type { Size } from '../schema/mod.ts';
import { meanOf, quantile } from './_report.ts';
import type { Experiment } from './_report.ts';

const runningTasks = 6_000;
const teams = 180;
const decisions = 20_000;
const warmUp = 4_000;

export const decide: Experiment = {
  title: 'cost of one decision with 6,000 running tasks and 180 teams, on one core',
  failsWhen:
    'fewer than 20,000 a second or p99 of 1 ms at 1,100 workers, or growth over log(workers)',
  variants: ['policy', 'linear scan'],
  deployments: ['30 workers', '300 workers', '1100 workers'],
  serial: true,
  measure({ deployment, variant, seed }) {
    const count = Number(deployment.split(' ')[0]);
    const random = makeRandom(seed);
    const slots = Math.ceil((runningTasks / count) * 1.3);
    const capacity = { processors: slots * 3, memoryMb: slots * 6_000, accelerators: 0, slots };
    const index = makePlacementIndex({ random, lookupHeadroom: () => 20 });
    const used: Size[] = Array.from({ length: count }, () => ({
      processors: 0,
      memoryMb: 0,
      accelerators: 0,
      slots: 0,
    }));
    const put = (i: number) =>
      index.upsert({
        id: `w${i}`,
        rack: `r${Math.floor(i / 8)}`,
        dataCentre: `d${i % 12}`,
        region: `g${i % 3}`,
        capacity,
        used: { ...(used[i] as Size) },
        outstanding: 0,
        latencyMs: 50,
        penalty: 0,
        open: true,
      });
    used.forEach((_, i) => put(i));
    const ledger = makeShareLedger({
      processors: capacity.processors * count,
      memoryMb: capacity.memoryMb * count,
      accelerators: 0,
      slots: slots * count,
    });
    const running: { worker: number; item: PendingJob }[] = [];
    const change = (worker: number, size: Size, factor: number) => {
      const room = used[worker] as Size;
      room.processors += size.processors * factor;
      room.memoryMb += size.memoryMb * factor;
      room.slots += size.slots * factor;
      put(worker);
    };
    const scan = (size: Size) => {
      let best: number | undefined;
      let least = Infinity;
      used.forEach((room, i) => {
        const rest = capacity.processors - room.processors - size.processors;
        const memory = capacity.memoryMb - room.memoryMb - size.memoryMb;
        if (rest < 0 || memory < 0 || room.slots >= slots || rest >= least) return;
        least = rest;
        best = i;
      });
      return best;
    };
    const place = (item: PendingJob) => {
      const worker =
        variant === 'policy'
          ? index
              .choose(item.need)
              .map(({ worker: id }) => Number(id.slice(1)))
              .orDefault(-1)
          : (scan(item.need.size) ?? -1);
      if (worker < 0) return PlacementOutcome.NoRoom;
      change(worker, item.need.size, 1);
      ledger.addTask(item.team, item.need.size);
      running.push({ worker, item });
      return PlacementOutcome.Placed;
    };
    const waiting = makePendingJobs();
    const usage = { dominantShare: ledger.dominantShare, weight: () => 1 };
    const times = new Float64Array(decisions);
    let total = 0;
    for (let i = 0; i < runningTasks + warmUp + decisions; i++) {
      const team = `t${Math.floor(random() ** 2 * teams)}`;
      const size = {
        processors: 1 + Math.floor(random() * 4),
        memoryMb: 500 + random() * 8_000,
        accelerators: 0,
        slots: 1,
      };
      const need = { team, queue: 'q', kind: 'batch' as const, size, estimateMs: 1_000 };
      waiting.add({ id: `i${i}`, team, need, count: 1, gang: false, enqueuedAt: i });
      const began = performance.now();
      waiting.runRound({ now: i, usage, place });
      if (running.length > runningTasks) {
        const at = Math.floor(random() * running.length);
        const ended = running[at] as (typeof running)[number];
        running[at] = running[running.length - 1] as (typeof running)[number];
        running.pop();
        change(ended.worker, ended.item.need.size, -1);
        ledger.removeTask(ended.item.team, ended.item.need.size);
      }
      const took = performance.now() - began;
      const position = i - runningTasks - warmUp;
      if (position >= 0) {
        times[position] = took;
        total += took;
      }
    }
    const list = [...times].map((ms) => ms * 1_000);
    return {
      'decisions/s': decisions / (total / 1_000),
      'p50 us': quantile(list, 0.5),
      'p99 us': quantile(list, 0.99),
      'p99.9 us': quantile(list, 0.999),
    };
  },
  judge(series) {
    const of = (deployment: string, value: string) =>
      meanOf(series, { deployment, variant: 'policy', value });
    const failures: string[] = [];
    if (of('1100 workers', 'decisions/s') < 20_000) failures.push('fewer than 20,000 a second');
    if (of('1100 workers', 'p99 us') > 1_000) failures.push('p99 over 1 ms');
    const growth = of('1100 workers', 'p50 us') / of('30 workers', 'p50 us');
    if (growth > Math.log(1_100) / Math.log(30)) failures.push(`growth by ${growth.toFixed(2)}`);
    return failures;
  },
};
