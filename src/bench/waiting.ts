/**
 * Waiting time of lookups and of heavy work at a load near the fleet's room.
 */
import { simulate } from './_cluster.ts';
import type { Cluster } from './_cluster.ts';
import { mean, meanOf, quantile } from './_report.ts';
import type { Experiment } from './_report.ts';
import { deploymentNames, deploymentOf, makeVariant } from './_variants.ts';
import { makeWorkload } from './_workload.ts';

const urgentMs = 1_600;
const horizonMs = 600_000;

/** Waiting times of a run. */
export function measureWaits({ waits, shedWorks, totals }: Cluster): Record<string, number> {
  const lookups = waits.filter(({ work }) => work.kind === 'lookup').map(({ ms }) => ms);
  const heavy = waits.filter(({ work }) => work.kind !== 'lookup').map(({ ms }) => ms / 1_000);
  const inTime = lookups.filter((ms) => ms <= urgentMs).length;
  return {
    'lookups in time %': (100 * inTime) / Math.max(1, lookups.length + shedWorks.length),
    'lookup p99 ms': quantile(lookups, 0.99),
    'heavy mean s': mean(heavy),
    'heavy p99 s': quantile(heavy, 0.99),
    'work done core-h': totals.usefulMs / 3_600_000,
  };
}

export const waiting: Experiment = {
  title: 'waiting time at 0.9 of the room',
  failsWhen: 'fewer than 99.5% of lookups start in time, or less work is done than by FIFO',
  variants: ['policy', 'no kept room', 'no reservation', 'fifo first fit', 'greedy random'],
  deployments: deploymentNames,
  measure({ deployment: name, variant, seed }) {
    const deployment = deploymentOf(name);
    const workload = makeWorkload({ deployment, seed, horizonMs, load: 0.9 });
    return measureWaits(
      simulate({ workload, makeScheduler: makeVariant(variant, { workload, seed }) }),
    );
  },
  judge: (series) =>
    [...new Set(series.map(({ deployment }) => deployment))].flatMap((deployment) => {
      const of = (variant: string, value: string) => meanOf(series, { deployment, variant, value });
      const failures: string[] = [];
      if (of('policy', 'lookups in time %') < 99.5) failures.push(`${deployment}: late lookups`);
      if (of('policy', 'work done core-h') < of('fifo first fit', 'work done core-h')) {
        failures.push(`${deployment}: less work done than by FIFO`);
      }
      return failures;
    }),
};
