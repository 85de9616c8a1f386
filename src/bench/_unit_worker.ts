/**
 * The thread that measures units.
 */
import { parentPort } from 'node:worker_threads';

import { experiments } from './mod.ts';
import type { Unit } from './mod.ts';

parentPort?.on('message', async ({ name, unit }: { name: string; unit: Unit }) => {
  const experiment = experiments[name];
  if (!experiment) throw new Error(`experiment "${name}" does not exist`);
  parentPort?.postMessage(await experiment.measure(unit));
});
