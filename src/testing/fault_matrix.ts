/**
 * Every fault at every step of every exchange between three processes, their workers and the table.
 */
import type { SimProcess } from './sim_process.ts';
import { makeWorld } from './world.ts';
import type { World } from './world.ts';

/** What a cell of the matrix found. */
export interface Cell {
  exchange: string;
  step: 'request' | 'effect';
  fault: string;
  /** How often the fault was injected at this step. */
  injected: number;
  violations: string[];
}

type Inject = (world: World, target: { process: SimProcess; to: string }) => void;

const faultMs = 4_000;

const onWay =
  (changes: Parameters<World['cut']>[2], { there = true, back = false } = {}): Inject =>
  (world, { process: { name }, to }) => {
    if (there) world.cut(name, to, changes);
    if (back) world.cut(to, name, changes);
  };

/** The faults of the matrix. */
export const matrixFaults: Record<string, Inject> = {
  death: (world, { process }) => {
    world.kill(process);
    world.add();
  },
  pause: (_, { process }) => process.gate.pause(),
  'lost answer': onWay({ lost: true }, { there: false, back: true }),
  slow: onWay({ slowMs: 900 }, { back: true }),
  down: onWay({ refused: true }),
  duplicate: onWay({ duplicate: true }),
  reorder: onWay({ slowMs: 300 }),
  'cut one way': onWay({ lost: true }),
  'cut both ways': onWay({ lost: true }, { back: true }),
  'clock step': (_, { process }) => {
    Object.assign(process.step, { wallMs: process.step.wallMs - 3_600_000 });
  },
};

/** The exchanges of the matrix, by the names that the simulated process gives them. */
export const exchanges = [
  'join or drain',
  'renew membership',
  'leave',
  'expel',
  'claim or hand over worker',
  'claim or hand over partition',
  'fence',
  'adopt',
  'free units',
  'start',
  'renew task',
  'cancel',
  'allot or return',
  'apply settings',
];

async function drive(world: World, limits: number[]): Promise<void> {
  const run = async (seconds: number) => {
    for (let step = 0; step < seconds * 2; step++) {
      world.load({ chance: 0.8, runMs: 2_500 });
      await world.clock.advance(500);
    }
  };
  const change = (limit: number) => {
    const [process] = world.live().filter(({ membership }) => membership.mayCommitSettings());
    if (process) world.changeLimit(process, limit).catch(() => undefined);
  };
  await run(7);
  world.add();
  await run(7);
  for (const limit of limits) {
    change(limit);
    await run(3);
  }
  const [, drained, killed] = world.live();
  drained?.membership.drain().then(
    () => world.kill(drained),
    () => undefined,
  );
  await run(5);
  if (killed && !killed.gate.isDead()) world.kill(killed);
  world.add();
  await run(8);
}

/**
 * Runs one cell: the fault strikes the first and the second time that the step is reached, lasts 4 s
 * each time, and then the fleet has to settle.
 *
 * @example
 * await runCell({ exchange: 'start', step: 'effect', fault: 'lost answer', seed: 1 });
 */
export async function runCell({
  exchange,
  step,
  fault,
  seed,
}: Pick<Cell, 'exchange' | 'step' | 'fault'> & { seed: number }): Promise<Cell> {
  const world = await makeWorld({ seed, processes: 3, workers: 6, limit: 10 });
  const { clock, oracle, network } = world;
  let injected = 0;
  network.tap = (reached, { name, from, to }) => {
    const process = world.all.get(from);
    if (reached !== step || name !== exchange || injected >= 2 || !process) return;
    if (process.gate.isDead()) return;
    injected += 1;
    matrixFaults[fault]?.(world, { process, to });
    clock.sleep(faultMs).then(
      () => world.heal(),
      () => undefined,
    );
  };
  await drive(world, [4, 12]);
  network.tap = () => undefined;
  world.heal();
  const healedAt = clock.now();
  while (!world.isSettled() && clock.now() - healedAt < 120_000) await clock.advance(1_000);
  oracle.check('settled', world.isSettled(), () => world.describe());
  await clock.advance(12_000);
  oracle.finish();
  world.close();
  return { exchange, step, fault, injected, violations: oracle.violations };
}
