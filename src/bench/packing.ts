/**
 * Packing: how full the workers get, and how often a task finds no room, while tasks come and go.
 */
import { makeRandom } from '../clock/mod.ts';
import { makePlacementIndex } from '../decisions/mod.ts';
import type { Size } from '../schema/mod.ts';
import { hostOf, picks } from './_baselines.ts';
import type { Host } from './_cluster.ts';
import { mean, meanOf } from './_report.ts';
import type { Experiment } from './_report.ts';
import { deploymentNames, deploymentOf } from './_variants.ts';
import { makeWorkload } from './_workload.ts';

const fits: Record<string, keyof typeof picks> = {
  'first fit': 'first',
  'best fit': 'best',
  'worst fit': 'worst',
  'random fit': 'random',
};

export const packing: Experiment = {
  title: 'packing: tasks come while there is room, and go at random',
  failsWhen: 'less of the processors is used than with worst or random fit',
  variants: ['policy', ...Object.keys(fits)],
  deployments: deploymentNames,
  measure({ deployment: name, variant, seed }) {
    const deployment = deploymentOf(name);
    const random = makeRandom(seed);
    const workload = makeWorkload({ deployment, seed, horizonMs: 3_600_000, load: 3, lookups: 0 });
    const sizes = workload.works.filter(({ kind }) => kind === 'batch').map(({ size }) => size);
    const hosts = workload.workers.map(hostOf);
    const byId = new Map(hosts.map((host) => [host.candidate.id, host]));
    const index = makePlacementIndex({ random });
    const update = (host: Host) => index.upsert({ ...host.candidate, used: { ...host.used } });
    if (variant === 'policy') hosts.forEach(update);
    const choose = (size: Size): Host | undefined => {
      const pick = picks[fits[variant] ?? 'first'];
      if (variant !== 'policy') return pick(hosts, size, random);
      const need = { team: 't', queue: 'q', kind: 'batch' as const, size, estimateMs: 1 };
      const chosen = index.choose(need).extract();
      return 'worker' in chosen ? byId.get(chosen.worker) : undefined;
    };
    const change = (host: Host, size: Size, factor: number) => {
      const { used } = host;
      used.processors += size.processors * factor;
      used.memoryMb += size.memoryMb * factor;
      used.accelerators += size.accelerators * factor;
      used.slots += size.slots * factor;
      if (variant === 'policy') update(host);
    };
    const tasks: { host: Host; size: Size }[] = [];
    const used: number[] = [];
    const accelerated = { asked: 0, placed: 0 };
    const large = { asked: 0, placed: 0 };
    const steps = deployment.workers * 60;
    for (let step = 0; step < steps; step++) {
      // Each step one task goes, and tasks come until one finds no room.
      const at = Math.floor(random() * tasks.length);
      const [gone] = tasks.splice(at, 1);
      if (gone) change(gone.host, gone.size, -1);
      for (let full = false; !full;) {
        const size = sizes[Math.floor(random() * sizes.length)] as Size;
        const host = choose(size);
        if (size.accelerators > 0) accelerated.asked += 1;
        if (size.processors >= 8) large.asked += 1;
        if (host) {
          change(host, size, 1);
          tasks.push({ host, size });
          if (size.accelerators > 0) accelerated.placed += 1;
          if (size.processors >= 8) large.placed += 1;
        } else full = true;
      }
      if (step > steps / 2 && step % 50 === 0) {
        used.push(
          mean(hosts.map((host) => host.used.processors / host.candidate.capacity.processors)),
        );
      }
    }
    return {
      'processors used %': 100 * mean(used),
      'large tasks placed %': (100 * large.placed) / Math.max(1, large.asked),
      'accelerator tasks placed %': (100 * accelerated.placed) / Math.max(1, accelerated.asked),
    };
  },
  judge: (series) =>
    [...new Set(series.map(({ deployment }) => deployment))].flatMap((deployment) => {
      const value = 'processors used %';
      const of = (variant: string) => meanOf(series, { deployment, variant, value });
      return ['worst fit', 'random fit']
        .filter((variant) => of('policy') < of(variant))
        .map((variant) => `${deployment}: less used than with ${variant}`);
    }),
};
