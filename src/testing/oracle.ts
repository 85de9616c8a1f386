/**
 * Sees all workers, the table and the settings of every process at once, and checks the invariants
 * over the whole fleet. It knows when a change took effect, which no process does.
 */
import type { VirtualClock } from '../clock/mod.ts';
import type { Allotment, Head, Size } from '../schema/mod.ts';
import type { SimTask, SimWorker } from './sim_workers.ts';

/** Assertions that have been made, and the first violation. */
export interface Oracle {
  violations: string[];
  counts: Record<string, number>;
  check(name: string, holds: boolean, detail: () => string): void;
  onWrite(key: string, value: unknown): void;
  onFleet(process: string, version: number): void;
  onStarted(worker: SimWorker, task: SimTask, process: string, version: number): void;
  /** A process accepted a request with a key while it had this settings version in force. */
  onAccepted(process: string, version: number, keyValid: boolean): void;
  onNotRun(task: string): void;
  /** Checks at the end, when all faults are over and everything has settled. */
  finish(): void;
  limit: { now: number; history: { at: number; limit: number }[] };
  dataCentreOut: Map<string, number>;
  keyRevokedAt?: number;
}

const boundMs = 4_000;
const fields = ['processors', 'memoryMb', 'accelerators', 'slots'] as const;

/** Makes the oracle. */
export function makeOracle({
  clock,
  workers,
  team,
  limitGraceMs,
}: {
  clock: VirtualClock;
  workers: Map<string, SimWorker>;
  team: string;
  /**
   * For how long a lowered limit may be exceeded. Without faults 4 s; a task on a worker that nobody
   * can reach cannot be stopped, and then its lease and the claim of the worker come on top.
   */
  limitGraceMs: number;
}): Oracle {
  const settingsAt = new Map<number, number>();
  const versions = new Map<string, number>();
  const starts = new Map<string, number>();
  const notRun = new Set<string>();
  let newest = 0;
  const isOverdue = (version: number) =>
    [...settingsAt].some(([later, at]) => later > version && clock.now() > at + boundMs);
  const oracle: Oracle = {
    violations: [],
    counts: {},
    limit: { now: Infinity, history: [] },
    dataCentreOut: new Map(),
    check(name, holds, detail) {
      oracle.counts[name] = (oracle.counts[name] ?? 0) + 1;
      if (!holds) oracle.violations.push(`${name} at ${Math.round(clock.now())}: ${detail()}`);
    },
    onWrite(key, value) {
      if (key === 'head') {
        const { settings } = value as Head;
        oracle.check('settings', settings >= newest, () => `head went back to ${settings}`);
        newest = Math.max(newest, settings);
        if (!settingsAt.has(settings)) settingsAt.set(settings, clock.now());
      }
      // When the change takes effect counts, even if its answer was lost.
      if (key.startsWith('tree/data-centres/') && String(value).includes('in_service = no')) {
        const name = key.slice('tree/data-centres/'.length, -'.ini'.length);
        if (!oracle.dataCentreOut.has(name)) oracle.dataCentreOut.set(name, clock.now());
      }
      if (key === `tree/teams/${team}/keys.ini` && value === '') {
        oracle.keyRevokedAt ??= clock.now();
      }
      if (key.startsWith('allotments/')) {
        const { limit, held } = value as Allotment;
        const sum = Object.values(held).reduce((total, count) => total + count, 0);
        oracle.check('team-limit', sum <= limit, () => `${key} holds ${sum} of ${limit}`);
        if (key === `allotments/${team}` && limit !== oracle.limit.now) {
          oracle.limit.now = limit;
          oracle.limit.history.push({ at: clock.now(), limit });
        }
      }
    },
    onFleet(process, version) {
      const before = versions.get(process) ?? 0;
      oracle.check('settings', version > before, () => `${process}: ${before} then ${version}`);
      versions.set(process, version);
    },
    onStarted(worker, task, process, version) {
      const running = worker.running();
      const { id, capacity, dataCentre } = worker.upstream;
      const used = (field: keyof Size) =>
        running.reduce((sum, other) => sum + other.size[field], 0);
      oracle.check(
        'capacity',
        fields.every((field) => used(field) <= capacity[field]),
        () => `${id} runs ${running.length} tasks`,
      );
      const all = [...workers.values()].flatMap((other) => other.running());
      const same = all.filter((other) => other.task === task.task).length;
      oracle.check('single-run', same <= 1, () => `${task.task} runs ${same} times`);
      const count = (starts.get(task.task) ?? 0) + 1;
      starts.set(task.task, count);
      oracle.check(
        'at-most-once',
        task.idempotent || count === 1,
        () => `${task.task} started ${count} times`,
      );
      oracle.check('not-run', !notRun.has(task.task), () => `${task.task} ran after "not run"`);
      const ofTeam = all.filter((other) => other.team === team).length;
      const allowed = oracle.limit.history.reduce(
        (max, { limit }, index) => {
          const replacedAt = oracle.limit.history[index + 1]?.at ?? Infinity;
          return clock.now() - replacedAt <= limitGraceMs ? Math.max(max, limit) : max;
        },
        oracle.limit.history.length > 0 ? 0 : Infinity,
      );
      oracle.check('team-limit', ofTeam <= allowed, () => `${ofTeam} run, limit ${allowed}`);
      const outAt = oracle.dataCentreOut.get(dataCentre) ?? Infinity;
      oracle.check(
        'data-centre',
        clock.now() <= outAt + boundMs,
        () => `start in ${dataCentre}, out since ${Math.round(outAt)}, by ${process}`,
      );
      oracle.check(
        'settings',
        !isOverdue(version),
        () => `${process} started with ${version} although ${newest} is in force`,
      );
    },
    onAccepted(process, version, keyValid) {
      const { keyRevokedAt = Infinity } = oracle;
      oracle.check(
        'key',
        !keyValid || clock.now() <= keyRevokedAt + boundMs,
        () => `${process} accepted a key revoked at ${Math.round(keyRevokedAt)}`,
      );
      oracle.check(
        'settings',
        !isOverdue(version),
        () => `${process} accepted with ${version} although ${newest} is in force`,
      );
    },
    onNotRun(task) {
      notRun.add(task);
      oracle.check('not-run', !starts.has(task), () => `${task} ran and is told as "not run"`);
    },
    finish() {
      const all = [...workers.values()].flatMap((worker) => worker.running());
      const { now } = oracle.limit;
      oracle.check('team-limit', all.length <= now, () => `${all.length} run at the end of ${now}`);
    },
  };
  return oracle;
}
