/**
 * Long randomised runs: two faults at a time over 8 processes, with load, settings changes, joins and
 * drains in between; then all faults end and the fleet has to settle.
 */
import { createHash } from 'node:crypto';

import type { Random } from '../clock/mod.ts';
import { rules as rulesInForce } from './sim_process.ts';
import type { Rules, SimProcess } from './sim_process.ts';
import { makeWorld } from './world.ts';
import type { World } from './world.ts';

/** What a run found. */
export interface SoakResult {
  seed: number;
  /** Hash of every table write with its time, and of every fault: the same for the same seed. */
  hash: string;
  violations: string[];
  checks: Record<string, number>;
  faults: Record<string, number>;
  settledAfterMs: number;
}

type Undo = () => void;
type Fault = (world: World, random: Random) => Undo;

const stepMs = 400;
const maxProcesses = 11;
const settleMs = 120_000;

const nothing = () => undefined;
const pick = <T>(items: T[], random: Random): T | undefined =>
  items[Math.floor(random() * items.length)];
const pickLive = (world: World, random: Random) => pick(world.live(), random);

function onWays(world: World, ways: [string, string][], changes: Parameters<World['cut']>[2]) {
  ways.forEach(([from, to]) => world.cut(from, to, changes));
  return () =>
    ways.forEach(([from, to]) =>
      world.cut(from, to, { lost: false, refused: false, slowMs: 0, duplicate: false }),
    );
}

function withSome(world: World, random: Random): string[] {
  const all = world.live().map(({ name }) => name);
  const share = random();
  const some = all.filter(() => random() < share);
  return some.length > 0 ? some : all;
}

const onTable =
  (ways: (name: string) => [string, string][], changes: Parameters<World['cut']>[2]): Fault =>
  (world, random) =>
    onWays(world, withSome(world, random).flatMap(ways), changes);

const onLink =
  (changes: Parameters<World['cut']>[2], both: boolean): Fault =>
  (world, random) => {
    const from = pickLive(world, random)?.name ?? '';
    const ends = [...world.workers.keys(), ...world.live().map(({ name }) => name)];
    const others = ends.filter((end) => end !== from && random() < 0.4);
    const ways = others.flatMap((other): [string, string][] => {
      const [there, back]: [string, string][] = [
        [from, other],
        [other, from],
      ] as [[string, string], [string, string]];
      if (both) return [there, back] as [string, string][];
      return [random() < 0.5 ? there : back] as [string, string][];
    });
    return onWays(world, ways, changes);
  };

const bySettings =
  (change: (world: World, process: SimProcess, random: Random) => Promise<unknown>): Fault =>
  (world, random) => {
    const process = pickLive(world, random);
    if (process) change(world, process, random).catch(nothing);
    return nothing;
  };

const stepClock: Fault = (world, random) => {
  const process = pickLive(world, random);
  if (process) process.step.wallMs += (random() - 0.5) * 7_200_000;
  return nothing;
};

/** The faults, by name. */
export const faults: Record<string, Fault> = {
  death: (world, random) => {
    const process = pickLive(world, random);
    if (process) world.kill(process);
    return () => {
      if (world.live().length < maxProcesses) world.add();
    };
  },
  pause: (world, random) => {
    const process = pickLive(world, random);
    process?.gate.pause();
    return () => process?.gate.resume();
  },
  'lost answers': onTable((name) => [['table', name]], { lost: true }),
  // The moment between the effect of a settings change and its answer is too short to be met at random.
  'answers lost after a commit': (world) => {
    let undo: Undo | undefined;
    let armed = true;
    world.observe((key) => {
      if (!armed || undo || !key.startsWith('settings/')) return;
      const names = world.live().map(({ name }) => name);
      undo = onWays(
        world,
        names.map((name): [string, string] => ['table', name]),
        { lost: true },
      );
    });
    return () => {
      armed = false;
      undo?.();
    };
  },
  'only a joiner reaches the table': (world) => {
    const names = world.live().map(({ name }) => name);
    if (names.length < maxProcesses) world.add();
    return onWays(
      world,
      names.map((name): [string, string] => [name, 'table']),
      { refused: true },
    );
  },
  'lost requests': onTable((name) => [[name, 'table']], { lost: true }),
  'table down': onTable((name) => [[name, 'table']], { refused: true }),
  'table slow': onTable((name) => [[name, 'table']], { slowMs: 700 }),
  'table answers slow': onTable((name) => [['table', name]], { slowMs: 700 }),
  'duplicate writes': onTable((name) => [[name, 'table']], { duplicate: true }),
  'cut one way': onLink({ lost: true }, false),
  'cut both ways': onLink({ lost: true }, true),
  'slow and reordered': onLink({ slowMs: 900 }, true),
  duplicates: onLink({ duplicate: true }, true),
  'clock step': stepClock,
  join: (world) => {
    if (world.live().length < maxProcesses) world.add();
    return nothing;
  },
  drain: (world, random) => {
    const candidates = world.live().filter(({ membership }) => membership.phase() === 'full');
    const process = candidates.length > 3 ? pick(candidates, random) : undefined;
    process?.membership
      .drain()
      .then(() => world.kill(process))
      .catch(nothing);
    return nothing;
  },
  'change limit': bySettings((world, process, random) =>
    world.changeLimit(process, 3 + Math.floor(random() * 27)),
  ),
  'close data centre': bySettings((world, process) => world.closeDataCentre(process, 'dc2')),
  'revoke key': bySettings((world, process) => world.revokeKey(process)),
};

const settingsFaults = ['change limit', 'close data centre', 'revoke key'];

/**
 * Runs one seed.
 *
 * @example
 * const { violations } = await soak({ seed: 7, steps: 60 });
 */
export async function soak({
  seed,
  steps,
  rules = rulesInForce,
  names = Object.keys(faults),
  settingsChance = 0.08,
  fencing = true,
  runMs = 1_500,
  inspect = nothing,
}: {
  seed: number;
  steps: number;
  rules?: Rules;
  names?: string[];
  settingsChance?: number;
  fencing?: boolean;
  runMs?: number;
  /** Gets the world before it runs. */
  inspect?: (world: World) => void;
}): Promise<SoakResult> {
  const hash = createHash('sha256');
  const world = await makeWorld({ seed, processes: 8, workers: 12, limit: 24, rules, fencing });
  const { random, clock, oracle } = world;
  world.observe((key) => hash.update(`${key}@${clock.now().toFixed(3)};`));
  const counts: Record<string, number> = {};
  inspect(world);
  await clock.advance(6_000);
  const active: { until: number; undo: Undo }[] = [];
  const begin = (name: string, until: number) => {
    counts[name] = (counts[name] ?? 0) + 1;
    hash.update(`${name}!`);
    active.push({ until, undo: faults[name]?.(world, random) ?? nothing });
  };
  for (let step = 0; step < steps && oracle.violations.length === 0; step++) {
    active.filter(({ until }) => until <= step).forEach(({ undo }) => undo());
    active.splice(0, active.length, ...active.filter(({ until }) => until > step));
    while (active.length < 2) {
      begin(pick(names, random) ?? '', step + 2 + Math.floor(random() * 20));
    }
    // Changes of settings come on top of the two faults: they are what the invariants are about.
    if (random() < settingsChance) begin(pick(settingsFaults, random) ?? '', step);
    world.load({ chance: 0.7, runMs });
    await clock.advance(stepMs);
  }
  active.forEach(({ undo }) => undo());
  world.heal();
  if (world.live().length === 0) world.add();
  const healedAt = clock.now();
  while (!world.isSettled() && clock.now() - healedAt < settleMs) await clock.advance(1_000);
  oracle.check('settled', world.isSettled(), () => world.describe());
  const settledAfterMs = clock.now() - healedAt;
  await clock.advance(12_000);
  oracle.finish();
  world.close();
  return {
    ...{ seed, settledAfterMs, faults: counts },
    hash: hash.digest('hex').slice(0, 16),
    violations: oracle.violations,
    checks: oracle.counts,
  };
}
