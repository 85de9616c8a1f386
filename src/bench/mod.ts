/**
 * The experiments of the bench, by name. Experiments that use real processes are added here too.
 */
import type { Experiment } from './_report.ts';
import { badWorkers } from './bad-workers.ts';
import { controlCost } from './control-cost.ts';
import { decide } from './decide.ts';
import { evacuate } from './evacuate.ts';
import { outage } from './outage.ts';
import { packing } from './packing.ts';
import { settings } from './settings.ts';
import { share } from './share.ts';
import { starvation } from './starvation.ts';
import { takeover } from './takeover.ts';
import { waiting } from './waiting.ts';
import { wrongSizes } from './wrong-sizes.ts';

export type { Experiment, Series, Unit } from './_report.ts';
export { formatTable, mean, meanOf, quantile } from './_report.ts';
export { runUnits } from './_units.ts';

/** All experiments. */
export const experiments: Record<string, Experiment> = {
  decide,
  waiting,
  share,
  evacuate,
  starvation,
  packing,
  'bad-workers': badWorkers,
  'wrong-sizes': wrongSizes,
  takeover,
  outage,
  settings,
  'control-cost': controlCost,
};
