/**
 * Nearness to share: how far what teams use is from what they are entitled to, in overload.
 */
import { computeEntitlements } from '../decisions/mod.ts';
import { simulate } from './_cluster.ts';
import type { Cluster } from './_cluster.ts';
import type { Deployment } from './_deployments.ts';
import { mean, meanOf } from './_report.ts';
import type { Experiment } from './_report.ts';
import { fleetSize } from './_room_keeper.ts';
import { deploymentNames, deploymentOf, makeVariant } from './_variants.ts';
import { makeWorkload, teamName } from './_workload.ts';
import type { Work } from './_workload.ts';

// The target's runs are shorter, so that ten seeds take less than two minutes.
const horizonFor = (workers: number) => (workers > 100 ? 150_000 : 600_000);
const sampleMs = 5_000;
const maxMisplaced = 12;

function addWork(sums: Map<string, number[]>, work: Work, count: number): void {
  const sum = sums.get(work.team) ?? [0, 0, 0, 0];
  const { processors, memoryMb, accelerators, slots } = work.size;
  [processors, memoryMb, accelerators, slots].forEach((amount, i) => {
    sum[i] = (sum[i] ?? 0) + amount * count;
  });
  sums.set(work.team, sum);
}

/** Part of the use that is with the wrong team, from 0 to 1. */
function misplacedPart(cluster: Cluster, deployment: Deployment): number {
  const total = fleetSize(cluster);
  const totals = [total.processors, total.memoryMb, total.accelerators, total.slots];
  const used = new Map<string, number[]>();
  const wanted = new Map<string, number[]>();
  cluster.hosts.forEach(({ runs, candidate }) =>
    runs.forEach(({ work, places }) => {
      const count = places.find(({ worker }) => worker === candidate.id)?.count ?? 0;
      addWork(used, work, count);
      addWork(wanted, work, count);
    }),
  );
  cluster.pending.forEach((work) => addWork(wanted, work, work.count));
  const dominant = (sums: Map<string, number[]>, team: string) =>
    Math.max(0, ...(sums.get(team) ?? []).map((sum, i) => sum / Math.max(1, totals[i] ?? 0)));
  const claims = deployment.weights.map((weight, i) => {
    const team = teamName(i);
    return { team, weight, demand: dominant(wanted, team) };
  });
  const usedSum = claims.reduce((sum, { team }) => sum + dominant(used, team), 0);
  const entitled = computeEntitlements(claims, usedSum);
  const wrong = claims.reduce(
    (sum, { team }) => sum + Math.abs(dominant(used, team) - (entitled.get(team) ?? 0)),
    0,
  );
  return wrong / 2 / Math.max(1e-9, usedSum);
}

export const share: Experiment = {
  title: 'distance from the shares of teams, at 1.5 of the room, with demand that changes',
  failsWhen: `over ${maxMisplaced}% of the use, or over half of FIFO's, is with the wrong team, or more than by any baseline`,
  variants: ['policy', 'one process', 'no digest', 'fifo first fit', 'greedy random'],
  deployments: deploymentNames,
  measure({ deployment: name, variant, seed }) {
    const deployment = deploymentOf(name);
    const horizonMs = horizonFor(deployment.workers);
    const last = deployment.weights.length - 1;
    // A small team floods the fleet; the large teams ask for about their shares.
    const demand = (team: number) => (deployment.weights[team] ?? 1) * (team === last ? 8 : 1);
    const workload = makeWorkload({
      deployment,
      seed,
      horizonMs,
      load: 1.5,
      lookups: 0.05,
      demand,
    });
    const samples: number[] = [];
    const cluster = simulate({
      workload,
      makeScheduler: makeVariant(variant, { workload, seed }),
      prepare(made) {
        for (let at = horizonMs * 0.3; at < horizonMs * 0.9; at += sampleMs) {
          made.after(at, () => samples.push(misplacedPart(made, deployment)));
        }
      },
    });
    return {
      'use with wrong team %': 100 * mean(samples),
      'work done core-h': cluster.totals.usefulMs / 3_600_000,
    };
  },
  judge: (series) =>
    [...new Set(series.map(({ deployment }) => deployment))].flatMap((deployment) => {
      const value = 'use with wrong team %';
      const own = meanOf(series, { deployment, variant: 'policy', value });
      const failures = ['no digest', 'fifo first fit', 'greedy random']
        .filter((variant) => own >= meanOf(series, { deployment, variant, value }))
        .map((variant) => `${deployment}: no nearer to share than ${variant}`);
      const fifo = meanOf(series, { deployment, variant: 'fifo first fit', value });
      if (own > Math.min(maxMisplaced, fifo / 2))
        failures.push(`${deployment}: ${own.toFixed(1)}%`);
      return failures;
    }),
};
