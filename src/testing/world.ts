/**
 * A fleet of simulated processes, workers and a table on one virtual clock, with the faults of the
 * fault model, and the check that everything settles once the faults are over.
 */
import { makeRandom, makeVirtualClock } from '../clock/mod.ts';
import type { Random, VirtualClock } from '../clock/mod.ts';
import type { Allotment, Claim } from '../schema/mod.ts';
import { fakeUpstream } from './fake_fleet.ts';
import { makeOracle } from './oracle.ts';
import type { Oracle } from './oracle.ts';
import { makeNetwork } from './sim_network.ts';
import type { Network, Way } from './sim_network.ts';
import { makeProcess, rules as rulesInForce } from './sim_process.ts';
import type { Rules, SimProcess, Surroundings } from './sim_process.ts';
import { makeTableState } from '../table/mod.ts';
import type { TableState } from '../table/mod.ts';
import { SimWorker } from './sim_workers.ts';

const salt = 'a'.repeat(22);
const key = `[key.k1]\nsalt = ${salt}\nhash = ${salt}\n`;
const team = 'mill';
const dataCentres = ['dc1', 'dc2'];

/** A running fleet. */
export interface World {
  clock: VirtualClock;
  random: Random;
  network: Network;
  state: TableState;
  oracle: Oracle;
  workers: Map<string, SimWorker>;
  /** Processes that were not killed. */
  live(): SimProcess[];
  all: Map<string, SimProcess>;
  add(): SimProcess;
  kill(process: SimProcess): void;
  /** Starts tasks and accepts requests on all processes, as callers would. */
  load(options: { chance: number; runMs: number }): void;
  changeLimit(process: SimProcess, limit: number): Promise<boolean>;
  closeDataCentre(process: SimProcess, name: string): Promise<boolean>;
  revokeKey(process: SimProcess): Promise<boolean>;
  /** Both directions between two ends. */
  cut(from: string, to: string, changes: Partial<Way>): void;
  heal(): void;
  isSettled(): boolean;
  describe(): string;
  /** Calls the observer for each row that is written. */
  observe(observer: (key: string) => void): void;
  close(): void;
}

/** Makes a world; call `clock.advance` to let it run. */
export async function makeWorld({
  seed,
  processes = 3,
  workers: workerCount = 4,
  limit = 12,
  limitGraceMs = 60_000,
  rules = rulesInForce,
  fencing = true,
}: {
  seed: number;
  processes?: number;
  workers?: number;
  limit?: number;
  limitGraceMs?: number;
  rules?: Rules;
  /** False for workers that ignore epochs, attempts and not-after. */
  fencing?: boolean;
}): Promise<World> {
  const clock = makeVirtualClock();
  const random = makeRandom(seed);
  const network = makeNetwork({ clock, random });
  const workers = new Map<string, SimWorker>();
  const oracle = makeOracle({ clock, workers, team, limitGraceMs });
  const observers: ((key: string) => void)[] = [];
  const state = makeTableState((row, value) => {
    oracle.onWrite(row, value);
    observers.forEach((observer) => observer(row));
  });
  const all = new Map<string, SimProcess>();
  const killedAt = new Map<string, number>();
  const ownerOf = (id: string) => [...all.values()].find(({ ids }) => ids.includes(id));
  const started = (worker: SimWorker, task: { task: string }) => {
    const process = all.get(task.task.split('#')[0] ?? '');
    return { name: process?.name ?? '?', version: process?.settings.current().version ?? 0 };
  };
  Array.from({ length: workerCount }, (_, index) => index).forEach((index) => {
    const upstream = fakeUpstream(`w${index}`, {
      fencing,
      dataCentre: dataCentres[index % dataCentres.length] ?? 'dc1',
      capacity: { processors: 8, memoryMb: 32_000, accelerators: 0, slots: 4 },
    });
    const observer = {
      started(worker: SimWorker, task: Parameters<Oracle['onStarted']>[1]) {
        const { name, version } = started(worker, task);
        oracle.onStarted(worker, task, name, version);
      },
    };
    workers.set(upstream.id, new SimWorker(upstream, { clock, observer }));
  });
  const surroundings: Surroundings = {
    ...{ clock, random, network, state, workers, processes: all, rules },
    hostGoneMs(address) {
      const since = killedAt.get(address);
      return since === undefined ? undefined : clock.now() - since;
    },
    onViolation: (name, detail) => oracle.check(name, false, () => detail),
    onFleet: oracle.onFleet,
    onNotRun: oracle.onNotRun,
  };
  const racks = [...workers.values()].map(
    ({ upstream: { id, dataCentre } }) =>
      [
        `upstreams/rack-${id}.ini`,
        `[rack]\ndata_centre = ${dataCentre}\n[upstream.${id}]\naddress = 127.0.0.1\nport = 70${id.slice(1).padStart(2, '0')}\nprocessors = 8\nmemory_mb = 32000\nslots = 4\n`,
      ] as const,
  );
  const tree: Record<string, string> = {
    'fleet.ini': `[operator.ana]\nsalt = ${salt}\nhash = ${salt}\n[worker]\nfencing = ${fencing ? 'yes' : 'no'}\n`,
    ...Object.fromEntries(dataCentres.map((dc) => [`data-centres/${dc}.ini`, 'region = north\n'])),
    ...Object.fromEntries(racks),
    [`teams/${team}/team.ini`]: `limit = ${limit}\n`,
    [`teams/${team}/keys.ini`]: key,
  };
  const allotment: Allotment = { limit, held: {} };
  state.transact({
    ...{ operation: 'seed', checks: [], reads: [] },
    writes: [
      { key: 'head', value: { settings: 1, membership: 0 } },
      { key: `allotments/${team}`, value: allotment },
      ...Object.entries(tree).map(([path, text]) => ({ key: `tree/${path}`, value: text })),
    ],
  });

  let count = 0;
  let tasks = 0;
  const add = () => {
    count += 1;
    const name = `p${count}`;
    const place = { region: 'north', dataCentre: dataCentres[count % dataCentres.length] ?? 'dc1' };
    const made = makeProcess(name, { place, surroundings });
    all.set(name, made);
    return made;
  };
  Array.from({ length: processes }).forEach(add);
  const live = () => [...all.values()].filter(({ gate }) => !gate.isDead());

  const startOne = (process: SimProcess, runMs: number) => {
    tasks += 1;
    process.start(`${process.name}#${tasks}`, { team, runMs }).catch((error: unknown) => {
      oracle.check('crash', false, () => String(error));
    });
    if (!process.membership.isFresh()) return;
    // A member that was expelled but does not know it yet can accept, but its starts are rejected.
    if (state.read([`members/${process.membership.id()}`])[0]?.version === 0) return;
    const fleet = process.settings.current();
    const valid = (fleet.teams[team]?.keys.length ?? 0) > 0;
    oracle.onAccepted(process.name, fleet.version, valid);
  };

  const world: World = {
    ...{ clock, random, network, state, oracle, workers, all, live, add },
    kill(process) {
      process.gate.kill();
      killedAt.set(process.name, clock.now());
      process.pool.close();
    },
    load({ chance, runMs }) {
      live()
        .filter(({ gate, membership }) => gate.isOpen() && membership.id() !== '')
        .filter(() => random() < chance)
        .forEach((process) => startOne(process, runMs * (0.5 + random())));
    },
    changeLimit: (process, next) =>
      process.change({ [`teams/${team}/team.ini`]: `limit = ${next}\n` }),
    closeDataCentre: (process, name) =>
      process.change({ [`data-centres/${name}.ini`]: 'region = north\nin_service = no\n' }),
    revokeKey: (process) => process.change({ [`teams/${team}/keys.ini`]: '' }),
    cut(from, to, changes) {
      Object.assign(network.way(from, to), changes);
    },
    heal() {
      network.heal();
      live().forEach(({ gate }) => gate.resume());
    },
    isSettled() {
      const present = live().filter(({ membership }) => membership.isFresh());
      const claims = state.scan('workers/').map(({ value }) => value as Claim);
      const owned = present.reduce((sum, { ownership }) => sum + ownership.workers().length, 0);
      const { held } = state.read([`allotments/${team}`])[0]?.value as Allotment;
      return (
        present.length ===
          live().filter(({ membership }) => membership.phase() !== 'left').length &&
        claims.length === workerCount &&
        claims.every(({ owner, from }) => !from && !ownerOf(owner)?.gate.isDead()) &&
        owned === workerCount &&
        state.scan('departed/').length === 0 &&
        Object.keys(held).every((id) => present.some(({ membership }) => membership.id() === id))
      );
    },
    describe() {
      const states = live().map(
        ({ name, membership, ownership }) =>
          `${name} ${membership.phase()} ${membership.isFresh()} ${ownership.workers().length}`,
      );
      const rows = ['workers/', 'departed/', 'allotments/', 'members/'].flatMap((prefix) =>
        state.scan(prefix).map((row) => [row.key, row.value]),
      );
      return `${states.join(', ')}; ${JSON.stringify(rows)}`;
    },
    observe: (observer) => {
      observers.push(observer);
    },
    close() {
      all.forEach((process) => world.kill(process));
    },
  };
  return world;
}
