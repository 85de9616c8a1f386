/**
 * Work finished while a data centre leaves and returns, against a fluid bound and naive restart.
 */
import { simulate } from './_cluster.ts';
import type { Cluster, Scheduler } from './_cluster.ts';
import { meanOf } from './_report.ts';
import type { Experiment } from './_report.ts';
import { deploymentNames, deploymentOf, makeVariant } from './_variants.ts';
import { makeWorkload } from './_workload.ts';
import type { Workload } from './_workload.ts';

const horizonMs = 900_000;
const leavesAt = 240_000;
const noticeMs = 90_000;
const returnsAt = 540_000;

// Work that could be finished if it were a fluid of processor time that fills all processors. No
// scheduler can do more; memory, slots and the whole sizes of tasks keep real ones below it.
function fluidBound(workload: Workload): number {
  const { deployment, works, workers } = workload;
  const stepMs = 1_000;
  let backlog = 0;
  let next = 0;
  let done = 0;
  for (let now = 0; now < horizonMs; now += stepMs) {
    for (; (works[next]?.at ?? Infinity) <= now; next += 1) {
      const work = works[next];
      if (work) backlog += work.runMs * work.count * work.used.processors;
    }
    const out = now >= leavesAt + noticeMs && now < returnsAt ? 1 / deployment.dataCentres : 0;
    const room = workers.length * deployment.capacity.processors * (1 - out) * stepMs;
    const part = Math.min(room, backlog);
    done += part;
    backlog -= part;
  }
  return done;
}

function planMove(cluster: Cluster, scheduler: Scheduler, variant: string): void {
  const hosts = [...cluster.hosts.values()].filter(
    ({ candidate }) => candidate.dataCentre === 'dc0',
  );
  const stopAll = (keep: boolean) =>
    hosts.forEach(({ runs }) =>
      [...runs].forEach((run) => {
        const rest = cluster.stop(run, keep && run.work.checkpoint);
        scheduler.ended({ ...run, work: rest }, true);
      }),
    );
  const setOpen = (open: boolean) =>
    hosts.forEach(({ candidate }) => Object.assign(candidate, { open }));
  cluster.after(leavesAt, () => {
    // Naive restart learns of it only when the hosts stop.
    if (variant === 'naive restart') return;
    setOpen(false);
    scheduler.leaving?.(hosts, leavesAt + noticeMs);
    if (variant === 'all at once') stopAll(true);
  });
  cluster.after(leavesAt + noticeMs, () => {
    setOpen(false);
    scheduler.leaving?.(hosts, leavesAt + noticeMs);
    stopAll(false);
  });
  cluster.after(returnsAt, () => {
    setOpen(true);
    scheduler.returned?.(hosts);
  });
}

export const evacuate: Experiment = {
  title: 'work done while one data centre leaves (90 s of notice) and returns, at 0.8 of the room',
  failsWhen: 'less work is done than by naive restart, or more is lost',
  variants: ['policy', 'all at once', 'naive restart', 'fifo first fit'],
  deployments: deploymentNames,
  measure({ deployment: name, variant, seed }) {
    const deployment = deploymentOf(name);
    const workload = makeWorkload({ deployment, seed, horizonMs, load: 0.8, lookups: 0.2 });
    const fifo = variant === 'fifo first fit';
    const evacuationPerSecond = variant === 'policy' ? 1 : 0;
    const cluster = simulate({
      workload,
      makeScheduler: makeVariant(fifo ? variant : 'policy', {
        workload,
        seed,
        options: { evacuationPerSecond },
      }),
      prepare: (made, scheduler) => planMove(made, scheduler, fifo ? 'naive restart' : variant),
    });
    const lookups = cluster.waits.filter(({ work }) => work.kind === 'lookup');
    const inTime = lookups.filter(({ ms }) => ms <= 1_600).length;
    return {
      'work done % of fluid': (100 * cluster.totals.usefulMs) / fluidBound(workload),
      'work lost core-h': cluster.totals.lostMs / 3_600_000,
      'lookups in time %': (100 * inTime) / (lookups.length + cluster.shedWorks.length),
    };
  },
  judge: (series) =>
    [...new Set(series.map(({ deployment }) => deployment))].flatMap((deployment) => {
      const of = (variant: string, value: string) => meanOf(series, { deployment, variant, value });
      const failures: string[] = [];
      const done = 'work done % of fluid';
      const lost = 'work lost core-h';
      if (of('policy', done) < of('naive restart', done)) failures.push(`${deployment}: less done`);
      if (of('policy', lost) > of('naive restart', lost)) failures.push(`${deployment}: more lost`);
      return failures;
    }),
};
