/**
 * Teams whose tasks use ten times the memory that they declare.
 */
import { usageOf } from './_movers.ts';
import { simulate } from './_cluster.ts';
import type { Cluster, Scheduler } from './_cluster.ts';
import { meanOf } from './_report.ts';
import type { Experiment } from './_report.ts';
import { deploymentNames, deploymentOf, makeVariant } from './_variants.ts';
import { makeWorkload } from './_workload.ts';

const horizonMs = 600_000;
const sampleMs = 5_000;

// A host over its memory ends its largest task, as an operating system does.
function watch(cluster: Cluster, scheduler: Scheduler, over: { count: number }): void {
  const counter = over;
  cluster.hosts.forEach(({ candidate, runs }) => {
    const uses = [...runs].map((run) => {
      const count = run.places.find(({ worker }) => worker === candidate.id)?.count ?? 0;
      return { run, memoryMb: usageOf(run, cluster.now()).memoryMb * count };
    });
    const total = uses.reduce((sum, { memoryMb }) => sum + memoryMb, 0);
    if (total <= candidate.capacity.memoryMb) return;
    counter.count += 1;
    const largest = uses.sort((a, b) => b.memoryMb - a.memoryMb)[0];
    if (!largest) return;
    cluster.stop(largest.run, false);
    scheduler.ended(largest.run, true);
  });
}

export const wrongSizes: Experiment = {
  title: 'a fifth of the teams use ten times the memory that they declare, at 0.7 of the room',
  failsWhen: 'hosts are over their memory more often than without learning and curbs',
  variants: ['policy', 'no learning', 'no curbs', 'greedy random'],
  deployments: deploymentNames,
  measure({ deployment: name, variant, seed }) {
    const deployment = deploymentOf(name);
    const workload = makeWorkload({
      deployment,
      seed,
      horizonMs,
      load: 0.7,
      lookups: 0.1,
      gangs: 0,
    });
    workload.works = workload.works.map((work) => {
      const wrong = work.kind === 'batch' && Number(work.team.slice(5)) % 5 === 1;
      const size = { ...work.size, memoryMb: work.size.memoryMb / 10 };
      return wrong ? { ...work, size } : work;
    });
    const over = { count: 0 };
    const cluster = simulate({
      workload,
      makeScheduler: makeVariant(variant, { workload, seed }),
      prepare(made, scheduler) {
        for (let at = sampleMs; at < horizonMs; at += sampleMs) {
          made.after(at, () => watch(made, scheduler, over));
        }
      },
    });
    return {
      'hosts over memory': over.count,
      'work done core-h': cluster.totals.usefulMs / 3_600_000,
      'work lost core-h': cluster.totals.lostMs / 3_600_000,
    };
  },
  judge: (series) =>
    [...new Set(series.map(({ deployment }) => deployment))].flatMap((deployment) => {
      const value = 'hosts over memory';
      const of = (variant: string) => meanOf(series, { deployment, variant, value });
      return of('policy') > of('no curbs') ? [`${deployment}: more hosts over memory`] : [];
    }),
};
