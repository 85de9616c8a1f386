/**
 * The schedulers that experiments compare, and the lookup of a deployment.
 */
import { makeRandom } from '../clock/mod.ts';
import { makeFifo, picks } from './_baselines.ts';
import type { Cluster, Scheduler } from './_cluster.ts';
import { deployments } from './_deployments.ts';
import type { Deployment } from './_deployments.ts';
import { makePolicy } from './_policy.ts';
import type { PolicyOptions } from './_policy.ts';
import type { Workload } from './_workload.ts';

/** All deployments by name. */
export const deploymentNames = deployments.map(({ name }) => name);

export function deploymentOf(name: string): Deployment {
  const found = deployments.find((deployment) => deployment.name === name);
  if (!found) throw new Error(`deployment "${name}" does not exist`);
  return found;
}

const withoutParts: Record<string, PolicyOptions> = {
  policy: {},
  'no kept room': { headroom: false },
  'no reservation': { reservation: false },
  'no learning': { learning: false },
  'no curbs': { learning: false, curbs: false },
  'no quarantine': { quarantine: false },
  'no digest': { digestMs: 0 },
  'no reclaim': { reclaim: false },
  'one process': { processes: 1, digestMs: 500 },
};

/** Makes a scheduler by the name of its variant. */
export function makeVariant(
  variant: string,
  { workload, seed, options = {} }: { workload: Workload; seed: number; options?: PolicyOptions },
): (cluster: Cluster) => Scheduler {
  const random = makeRandom(seed);
  if (variant === 'fifo first fit') return makeFifo({ random });
  if (variant === 'greedy random') return makeFifo({ random, pick: picks.random, skip: 50 });
  const changes = withoutParts[variant];
  if (!changes) throw new Error(`variant "${variant}" does not exist`);
  return makePolicy(workload, { seed, ...options, ...changes });
}
