/**
 * Runs the units of an experiment, several at once in worker threads.
 */
import { Worker } from 'node:worker_threads';

import type { Experiment, Series, Unit } from './_report.ts';

const maxThreads = 4;

type Values = Record<string, number>;

function runThreads(name: string, units: Unit[], done: (i: number, values: Values) => void) {
  const extension = import.meta.url.endsWith('.ts') ? 'ts' : 'js';
  let next = 0;
  const runOne = () =>
    new Promise<void>((resolve, reject) => {
      const worker = new Worker(new URL(`./_unit_worker.${extension}`, import.meta.url));
      let current = -1;
      const send = () => {
        current = next;
        next += 1;
        if (current < units.length) worker.postMessage({ name, unit: units[current] });
        else {
          worker.terminate().catch(reject);
          resolve();
        }
      };
      worker.on('message', (values: Values) => {
        done(current, values);
        send();
      });
      worker.on('error', reject);
      send();
    });
  return Promise.all(Array.from({ length: Math.min(maxThreads, units.length) }, runOne));
}

/** Measures every variant on every deployment with every seed. */
export async function runUnits(options: {
  name: string;
  experiment: Experiment;
  seeds: number;
  firstSeed: number;
  only?: string;
}): Promise<Series[]> {
  const { name, experiment, seeds, firstSeed, only } = options;
  const series: Series[] = experiment.deployments
    .filter((deployment) => !only || deployment === only)
    .flatMap((deployment) =>
      experiment.variants.map((variant) => ({ deployment, variant, values: {} })),
    );
  const jobs = series.flatMap((row) =>
    Array.from({ length: seeds }, (_, i) => ({ row, i, seed: firstSeed + i })),
  );
  // Long units first, so that no thread is left with one at the end.
  jobs.sort(
    (a, b) => Number(b.row.deployment === 'target') - Number(a.row.deployment === 'target'),
  );
  const units = jobs.map(({ row, seed }): Unit => {
    const { deployment, variant } = row;
    return { deployment, variant, seed };
  });
  const done = (at: number, values: Values) => {
    const job = jobs[at];
    if (!job) return;
    Object.entries(values).forEach(([value, number]) => {
      const list = job.row.values[value] ?? [];
      list[job.i] = number;
      job.row.values[value] = list;
    });
  };
  if (experiment.serial) {
    for (let i = 0; i < units.length; i++) {
      const unit = units[i];
      if (unit) done(i, await experiment.measure(unit));
    }
  } else await runThreads(name, units, done);
  return series;
}
