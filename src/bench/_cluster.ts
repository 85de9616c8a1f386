/**
 * A fake of workers on a virtual clock: room, running work, ends and failures. It models neither
 * networks nor stores nor processes.
 */
import type { Candidate } from '../decisions/mod.ts';
import type { Size } from '../schema/mod.ts';
import type { Work, Workload } from './_workload.ts';

/** Work on workers; a gang is one run with several places. */
export interface Run {
  work: Work;
  places: { worker: string; count: number }[];
  startedAt: number;
  endsAt: number;
  ended: boolean;
}

/** A worker host. */
export interface Host {
  candidate: Candidate;
  used: Size;
  runs: Set<Run>;
  /** Fails every run after half a second. */
  broken: boolean;
}

/** A scheduler under measurement. */
export interface Scheduler {
  submit(work: Work): void;
  cancel(work: Work): void;
  ended(run: Run, failed: boolean): void;
  tick(): void;
  /** A data centre's workers were opened or closed. */
  changed?(hosts: Host[]): void;
}

/** The workers, the clock and the record of what happened. */
export interface Cluster {
  now(): number;
  after(ms: number, fire: () => void): void;
  hosts: Map<string, Host>;
  start(work: Work, places: Run['places']): Run;
  /** Stops a run; with `keep`, what it has done counts when it starts again. */
  stop(run: Run, keep: boolean): Work;
  shed(work: Work): void;
  waits: { work: Work; ms: number }[];
  shedWorks: Work[];
  totals: { usefulMs: number; lostMs: number; failures: number };
}

function fits(used: Size, room: Size): boolean {
  const parts = ['processors', 'memoryMb', 'accelerators', 'slots'] as const;
  return parts.every((part) => used[part] <= room[part] + 1e-6);
}

function take({ used }: Host, { size }: Work, factor: number): void {
  Object.assign(used, {
    processors: used.processors + size.processors * factor,
    memoryMb: used.memoryMb + size.memoryMb * factor,
    accelerators: used.accelerators + size.accelerators * factor,
    slots: used.slots + size.slots * factor,
  });
}

/** Processor-milliseconds of a piece of work. */
export function worthOf({ work }: { work: Work }, ms: number): number {
  return ms * work.count * work.used.processors;
}

/** What a run of the fake produced. */
export interface Outcome extends Pick<Cluster, 'waits' | 'shedWorks' | 'totals'> {
  cluster: Cluster;
}

/** Runs a scheduler over a workload. */
export function simulate(options: {
  workload: Workload;
  makeScheduler: (cluster: Cluster) => Scheduler;
  tickMs?: number;
  /** Called before the run, to plan faults and samples. */
  prepare?: (cluster: Cluster, scheduler: Scheduler) => void;
}): Outcome {
  const { workload, makeScheduler, tickMs = 500, prepare } = options;
  // One list of events per millisecond.
  const wheel = new Map<number, (() => void)[]>();
  let now = 0;
  const push = (at: number, fire: () => void) => {
    const slot = Math.max(now, Math.ceil(at));
    const events = wheel.get(slot);
    if (events) events.push(fire);
    else if (slot <= workload.horizonMs) wheel.set(slot, [fire]);
  };
  let scheduler: Scheduler | undefined;
  const hosts = new Map<string, Host>();
  workload.workers.forEach((candidate) => {
    const used = { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 };
    hosts.set(candidate.id, { candidate: { ...candidate }, used, runs: new Set(), broken: false });
  });
  const waited = new Set<string>();
  const free = (run: Run) => {
    Object.assign(run, { ended: true });
    run.places.forEach(({ worker, count }) => {
      const host = hosts.get(worker);
      host?.runs.delete(run);
      if (host) take(host, run.work, -count);
    });
  };
  const cluster: Cluster = {
    now: () => now,
    after: (ms, fire) => push(now + ms, fire),
    hosts,
    waits: [],
    shedWorks: [],
    totals: { usefulMs: 0, lostMs: 0, failures: 0 },
    start(work, places) {
      const broken = work.broken || places.some(({ worker }) => hosts.get(worker)?.broken);
      const runMs = broken ? Math.min(500, work.runMs) : work.runMs;
      const run = { work, places, startedAt: now, endsAt: now + runMs, ended: false };
      places.forEach(({ worker, count }) => {
        const host = hosts.get(worker);
        if (!host) throw new Error(`no worker ${worker}`);
        take(host, work, count);
        host.runs.add(run);
        if (!fits(host.used, host.candidate.capacity)) {
          throw new Error(`invariant capacity violated on ${worker} by ${work.id}`);
        }
      });
      if (!waited.has(work.id)) cluster.waits.push({ work, ms: now - work.at });
      waited.add(work.id);
      push(run.endsAt, () => {
        if (run.ended) return;
        free(run);
        if (broken) cluster.totals.failures += 1;
        else cluster.totals.usefulMs += worthOf(run, runMs);
        scheduler?.ended(run, broken);
      });
      return run;
    },
    stop(run, keep) {
      free(run);
      const done = now - run.startedAt;
      if (keep) {
        cluster.totals.usefulMs += worthOf(run, done);
        return { ...run.work, runMs: run.work.runMs - done };
      }
      cluster.totals.lostMs += worthOf(run, done);
      return run.work;
    },
    shed: (work) => cluster.shedWorks.push(work),
  };
  const made = makeScheduler(cluster);
  scheduler = made;
  const arrive = (i: number) => {
    const work = workload.works[i];
    if (!work) return;
    push(work.at, () => {
      if (work.cancelAt !== undefined) push(work.cancelAt, () => made.cancel(work));
      made.submit(work);
      arrive(i + 1);
    });
  };
  arrive(0);
  const tick = () => {
    made.tick();
    push(now + tickMs, tick);
  };
  push(0, tick);
  prepare?.(cluster, made);
  for (; now < workload.horizonMs; now += 1) {
    const events = wheel.get(now) ?? [];
    for (let i = 0; i < events.length; i++) events[i]?.();
    wheel.delete(now);
  }
  const seen = new Set<Run>();
  hosts.forEach((host) => host.runs.forEach((run) => seen.add(run)));
  // What still runs counts as far as it got.
  seen.forEach((run) => {
    cluster.totals.usefulMs += worthOf(run, now - run.startedAt);
  });
  // Heavy work that has not started counts with the time it has waited so far.
  const gone = new Set(cluster.shedWorks.map(({ id }) => id));
  workload.works.forEach((work) => {
    if (waited.has(work.id) || gone.has(work.id) || work.cancelAt !== undefined) return;
    cluster.waits.push({ work, ms: now - work.at });
  });
  return { cluster, waits: cluster.waits, shedWorks: cluster.shedWorks, totals: cluster.totals };
}
