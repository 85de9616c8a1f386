/**
 * Deployments of real processes for the bench, named by their size: `30x8` has 30 workers and 8
 * entry processes.
 */
import { systemClock } from '../clock/mod.ts';
import { startDeployment } from '../deployment/mod.ts';
import type { Deployment, Site } from '../deployment/mod.ts';

/** Sizes of a deployment. */
export interface ProcessSize {
  workers: number;
  entries: number;
}

const racksPerDataCentre = { today: 2, target: 12 };
const workersPerRack = 8;
const largestOfToday = 60;
const teamsOfToday = 6;
const teamsOfTarget = 180;
const startTimeoutMs = 120_000;

/** Reads a size such as `30x8`. */
export function parseSize(name: string): ProcessSize {
  const [, workers, entries] = /^(\d+)x(\d+)$/.exec(name) ?? [];
  if (!workers || !entries) {
    throw new Error(`size "${name}" is not valid; expected WORKERSxPROCESSES such as 30x8`);
  }
  return { workers: Number(workers), entries: Number(entries) };
}

/** The site of a size: racks of eight workers, data centres and teams as in the design page. */
export function siteOf({ workers, entries }: ProcessSize): Site {
  const isToday = workers <= largestOfToday;
  const perCentre = isToday ? racksPerDataCentre.today : racksPerDataCentre.target;
  const racks = Math.max(1, Math.round(workers / workersPerRack));
  const centres = Math.max(1, Math.round(racks / perCentre));
  const dataCentres = Array.from({ length: centres }, (_, i) => ({
    name: `dc${i + 1}`,
    region: `region${isToday ? 1 : 1 + (i % 3)}`,
    racks: Math.floor(racks / centres) + (i < racks % centres ? 1 : 0),
    workersPerRack,
  }));
  const teams = Array.from({ length: isToday ? teamsOfToday : teamsOfTarget }, (_, i) => ({
    name: `team${i + 1}`,
    share: 1 + (i % 5),
    limit: workers * 8,
  }));
  const capacity = { processors: 30, memoryMb: 64_000, accelerators: 0, slots: 8 };
  return { dataCentres, capacity, teams, entries };
}

/** Starts the deployment of a size, runs the measurement and stops it. */
export async function withDeployment<T>(
  name: string,
  measure: (deployment: Deployment, size: ProcessSize) => Promise<T>,
): Promise<T> {
  const size = parseSize(name);
  const deployment = await startDeployment(siteOf(size), {
    ...{ clock: systemClock, timeoutMs: startTimeoutMs },
  });
  try {
    return await measure(deployment, size);
  } finally {
    await deployment.stop();
  }
}
