/**
 * Places a gang of the policy scheduler: all of its tasks, or none.
 */
import { planGang } from '../decisions/mod.ts';
import type { Cluster } from './_cluster.ts';
import type { Process } from './_process.ts';
import type { Work } from './_workload.ts';

/** Starts the whole gang if all its tasks fit on workers that are not reserved for other work. */
export function placeGang(
  work: Work,
  { cluster, all }: { cluster: Cluster; all: Process[] },
): boolean {
  const reserved = new Set(all.map((process) => process.reservedWorker()));
  const candidates = [...cluster.hosts.values()]
    .filter(({ candidate }) => !reserved.has(candidate.id))
    .map((host) => ({ ...host.candidate, used: host.used }));
  const { size, count } = work;
  return planGang({ size, count, across: 'fleet', spread: 'none' }, candidates)
    .map(({ places }) => {
      cluster.start(work, places);
      places.forEach((place) =>
        all
          .find(({ hosts }) => hosts.some(({ candidate }) => candidate.id === place.worker))
          ?.taken(work, place),
      );
      return true;
    })
    .orDefault(false);
}
