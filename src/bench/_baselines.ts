/**
 * Baselines of the project's own: one queue for the whole fleet, without shares, reservation,
 * learning or kept room.
 */
import type { Candidate } from '../decisions/mod.ts';
import type { Size } from '../schema/mod.ts';
import type { Cluster, Host, Run, Scheduler } from './_cluster.ts';
import type { Work } from './_workload.ts';

function left({ candidate: { capacity, open }, used }: Host, size: Size): number {
  if (!open) return -1;
  if (capacity.accelerators - used.accelerators < size.accelerators) return -1;
  const parts = [
    (capacity.processors - used.processors - size.processors) / capacity.processors,
    (capacity.memoryMb - used.memoryMb - size.memoryMb) / capacity.memoryMb,
    (capacity.slots - used.slots - size.slots) / capacity.slots,
  ];
  return Math.min(...parts);
}

/** Picks a host with room, or none. */
export type HostPick = (hosts: Host[], size: Size, random: () => number) => Host | undefined;

/** The usual ways to pick a host. */
export const picks: Record<'first' | 'best' | 'worst' | 'random', HostPick> = {
  first: (hosts, size) => hosts.find((host) => left(host, size) >= -1e-9),
  best(hosts, size) {
    let best: Host | undefined;
    let least = Infinity;
    hosts.forEach((host) => {
      const rest = left(host, size);
      if (rest < -1e-9 || rest >= least) return;
      best = host;
      least = rest;
    });
    return best;
  },
  worst(hosts, size) {
    let best: Host | undefined;
    let most = -1e-9;
    hosts.forEach((host) => {
      const rest = left(host, size);
      if (rest < most || (best && rest === most)) return;
      best = host;
      most = rest;
    });
    return best;
  },
  random(hosts, size, random) {
    const from = Math.floor(random() * hosts.length);
    for (let i = 0; i < hosts.length; i++) {
      const host = hosts[(from + i) % hosts.length];
      if (host && left(host, size) >= -1e-9) return host;
    }
    return undefined;
  },
};

/** A fleet-wide queue in order of arrival. */
export function makeFifo(options: {
  random: () => number;
  pick?: HostPick;
  /** Items behind one that does not fit that are tried as well; 0 for strict order. */
  skip?: number;
}): (cluster: Cluster) => Scheduler & { queued(): readonly Work[] } {
  const { random, pick = picks.first, skip = 0 } = options;
  return (cluster) => {
    const hosts = [...cluster.hosts.values()];
    let queue: Work[] = [];
    const cancelled = new Set<string>();

    const placesFor = (work: Work): Run['places'] | undefined => {
      if (work.count === 1) {
        const host = pick(hosts, work.size, random);
        return host && [{ worker: host.candidate.id, count: 1 }];
      }
      const places: Run['places'] = [];
      let missing = work.count;
      for (let i = 0; i < hosts.length && missing > 0; i++) {
        const host = hosts[i];
        let count = 0;
        const bundle = (n: number): Size => ({
          processors: work.size.processors * n,
          memoryMb: work.size.memoryMb * n,
          accelerators: work.size.accelerators * n,
          slots: work.size.slots * n,
        });
        while (host && count < missing && left(host, bundle(count + 1)) >= -1e-9) count += 1;
        if (host && count > 0) places.push({ worker: host.candidate.id, count });
        missing -= count;
      }
      return missing > 0 ? undefined : places;
    };

    const run = () => {
      let failures = 0;
      const rest: Work[] = [];
      for (let i = 0; i < queue.length; i++) {
        const work = queue[i] as Work;
        if (failures > skip) {
          rest.push(...queue.slice(i));
          break;
        }
        const late = work.deadlineMs !== undefined && cluster.now() > work.at + work.deadlineMs;
        if (late) cluster.shed(work);
        else if (!cancelled.has(work.id)) {
          const places = placesFor(work);
          if (places) cluster.start(work, places);
          else {
            failures += 1;
            rest.push(work);
          }
        }
      }
      queue = rest;
    };

    return {
      queued: () => queue,
      submit(work) {
        queue.push(work);
        if (work.kind === 'lookup' && queue.length <= skip + 1) run();
      },
      cancel: (work) => cancelled.add(work.id),
      ended(stopped, failed) {
        if (failed) queue.push(stopped.work);
        if (queue.some(({ kind }) => kind === 'lookup')) run();
      },
      tick: run,
    };
  };
}

/** A candidate as a baseline sees it, for experiments without a cluster. */
export function hostOf(candidate: Candidate): Host {
  return { candidate, used: { ...candidate.used }, runs: new Set(), broken: false };
}
