/**
 * Evacuation, return and outgrowth for one process of the policy scheduler.
 */
import { planOveruseActions, planEvacuation, computeUsableFraction } from '../decisions/mod.ts';
import type { Size } from '../schema/mod.ts';
import type { Cluster, Host, Run } from './_cluster.ts';
import type { Work } from './_workload.ts';

/** Moves work off hosts that leave or are too full. */
export interface Movers {
  evacuate(host: Host, outAt: number): void;
  welcome(host: Host): void;
  /** Moves what is due; called on every tick. */
  step(): void;
  /** Capacity that may be used while a host returns. */
  usable(host: Host): Size;
}

const reportMs = 10_000;

/** Use of a run at a time: it grows over the first third of the run. */
export function usageOf(run: Run, now: number): Size {
  const part = Math.min(1, Math.max(0, (now - run.startedAt) / (run.work.runMs * 0.3)));
  const { used } = run.work;
  return { ...used, memoryMb: used.memoryMb * part, processors: used.processors * part };
}

/** Makes the movers of one process. */
export function makeMovers(parts: {
  cluster: Cluster;
  hosts: Host[];
  tasksPerSecond: number;
  tickMs: number;
  curbs: boolean;
  runMs: (work: Work, quantile: number) => number;
  halt: (id: string, keep: boolean) => void;
  refresh: (host: Host) => void;
}): Movers {
  const { cluster, hosts, tasksPerSecond, tickMs, curbs, runMs, halt, refresh } = parts;
  const leaving = new Map<Host, number>();
  const returning = new Map<Host, number>();
  let credit = 0;
  let curbAt = 0;

  const evacuateStep = () => {
    const now = cluster.now();
    // Fractions of a task per tick add up, so that a small rate is kept too.
    credit = Math.min(credit + (tasksPerSecond * tickMs) / 1_000, Math.max(1, tasksPerSecond));
    if (credit < 1) return;
    const runs = new Set([...leaving.keys()].flatMap((host) => [...host.runs]));
    const tasks = [...runs].flatMap(({ work, startedAt }) =>
      work.kind === 'batch' || work.kind === 'gang'
        ? {
            task: work.id,
            kind: work.kind,
            processors: work.size.processors * work.count,
            startedAt,
            remainingMs: Math.max(0, startedAt + runMs(work, 0.5) - now),
            checkpoint: work.checkpoint,
          }
        : [],
    );
    let freeProcessors = 0;
    cluster.hosts.forEach(({ candidate: { open, capacity }, used }) => {
      if (open) freeProcessors += capacity.processors - used.processors;
    });
    const outAt = Math.min(...leaving.values());
    const plan = planEvacuation({
      tasks,
      now,
      tasksPerSecond: Math.floor(credit),
      intervalMs: 1_000,
      // Hosts that stop soon lose what is not moved, so a full fleet no longer holds moves back.
      freeProcessors: outAt - now < 30_000 ? Infinity : freeProcessors,
      outAt,
    });
    credit -= plan.length;
    plan.forEach(({ task }) => halt(task, true));
  };

  const curbStep = () => {
    const now = cluster.now();
    if (now < curbAt) return;
    curbAt = now + reportMs;
    hosts.forEach((host) => {
      const tasks = [...host.runs].map((run) => ({
        task: run.work.id,
        size: run.work.size,
        usage: usageOf(run, now),
        previous: usageOf(run, now - reportMs),
        checkpoint: run.work.checkpoint,
        service: run.work.kind !== 'batch',
      }));
      planOveruseActions({ capacity: host.candidate.capacity, tasks })
        .filter(({ mode }) => mode !== 'throttle')
        .forEach(({ task, mode }) => halt(task, mode === 'checkpoint'));
    });
  };

  return {
    evacuate(host, outAt) {
      leaving.set(host, outAt);
      refresh(host);
    },
    welcome(host) {
      leaving.delete(host);
      returning.set(host, cluster.now());
      refresh(host);
    },
    step() {
      if (leaving.size > 0) evacuateStep();
      returning.forEach((since, host) => {
        if (cluster.now() - since > 120_000) returning.delete(host);
        refresh(host);
      });
      if (curbs) curbStep();
    },
    usable(host) {
      const { capacity, id } = host.candidate;
      const since = returning.get(host);
      if (since === undefined) return capacity;
      const phase = (Number(id.slice(1)) * 0.618) % 1;
      const part = computeUsableFraction({ sinceMs: cluster.now() - since, phase });
      return {
        processors: Math.max(host.used.processors, capacity.processors * part),
        memoryMb: Math.max(host.used.memoryMb, capacity.memoryMb * part),
        accelerators: capacity.accelerators,
        slots: Math.max(host.used.slots, Math.floor(capacity.slots * part)),
      };
    },
  };
}
