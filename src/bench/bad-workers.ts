/**
 * Workers that fail everything quickly, and jobs that fail everywhere.
 */
import { simulate } from './_cluster.ts';
import { measureWaits } from './waiting.ts';
import { meanOf } from './_report.ts';
import type { Experiment } from './_report.ts';
import { deploymentNames, deploymentOf, makeVariant } from './_variants.ts';
import { makeWorkload } from './_workload.ts';

const horizonMs = 600_000;

export const badWorkers: Experiment = {
  title: 'a fifteenth of the workers fails everything for half of the time; 1% of jobs never run',
  failsWhen: 'more attempts fail than without quarantine, or less work is done',
  variants: ['policy', 'no quarantine', 'fifo first fit', 'greedy random'],
  deployments: deploymentNames,
  measure({ deployment: name, variant, seed }) {
    const deployment = deploymentOf(name);
    const workload = makeWorkload({ deployment, seed, horizonMs, load: 0.7, lookups: 0.1 });
    const spoiled = new Set(
      workload.works
        .filter(({ kind }, i) => kind === 'batch' && i % 100 === 0)
        .map(({ job }) => job),
    );
    workload.works = workload.works.map((work) => ({ ...work, broken: spoiled.has(work.job) }));
    const cluster = simulate({
      workload,
      makeScheduler: makeVariant(variant, { workload, seed }),
      prepare(made) {
        const bad = [...made.hosts.values()].filter((_, i) => i % 15 === 3);
        const set = (broken: boolean) => bad.forEach((host) => Object.assign(host, { broken }));
        made.after(horizonMs * 0.25, () => set(true));
        made.after(horizonMs * 0.75, () => set(false));
      },
    });
    const waits = measureWaits(cluster);
    return {
      'failed attempts': cluster.totals.failures,
      'heavy mean s': waits['heavy mean s'] ?? 0,
      'work done core-h': waits['work done core-h'] ?? 0,
    };
  },
  judge: (series) =>
    [...new Set(series.map(({ deployment }) => deployment))].flatMap((deployment) => {
      const of = (variant: string, value: string) => meanOf(series, { deployment, variant, value });
      const more = of('policy', 'failed attempts') > of('no quarantine', 'failed attempts');
      const less =
        of('policy', 'work done core-h') < 0.99 * of('no quarantine', 'work done core-h');
      return [
        ...(more ? [`${deployment}: more failures`] : []),
        ...(less ? [`${deployment}: less done`] : []),
      ];
    }),
};
