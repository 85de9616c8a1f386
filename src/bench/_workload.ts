/**
 * Generated workers and work: heavy tails, a daily peak, cancellations and wrong declarations.
 */
import { makeRandom } from '../clock/mod.ts';
import type { Random } from '../clock/mod.ts';
import type { Candidate } from '../decisions/mod.ts';
import type { Size, WorkKind } from '../schema/mod.ts';
import type { Deployment } from './_deployments.ts';

/** A piece of work as it really is; `size` and `estimateMs` are what its team declared. */
export interface Work {
  id: string;
  job: string;
  team: string;
  kind: WorkKind;
  at: number;
  size: Size;
  used: Size;
  runMs: number;
  estimateMs: number;
  count: number;
  checkpoint: boolean;
  deadlineMs?: number;
  cancelAt?: number;
  /** Fails wherever it runs. */
  broken?: boolean;
}

/** What the generator varies. */
export interface WorkloadOptions {
  deployment: Deployment;
  seed: number;
  horizonMs?: number;
  /** Offered heavy work as a part of the fleet; over 1 is overload. */
  load?: number;
  /** Factor on the rate of lookups. */
  lookups?: number;
  /** Part of the jobs that are gangs. */
  gangs?: number;
  /** Demand per team; the default follows the weights, but one small team floods the fleet. */
  demand?: (team: number) => number;
  /** Part of the teams whose run times are declared ten times too small or large. */
  wrong?: number;
  /** Processors of heavy tasks to draw from. */
  processorChoices?: number[];
}

/** Generated workers and work, in order of arrival. */
export interface Workload {
  deployment: Deployment;
  horizonMs: number;
  workers: Candidate[];
  works: Work[];
}

export const teamName = (i: number) => `team-${String(i).padStart(3, '0')}`;

function makeWorkers(deployment: Deployment): Candidate[] {
  const { workers, dataCentres, regions, perRack, capacity, accelerated } = deployment;
  return Array.from({ length: workers }, (_, i) => {
    const centre = i % dataCentres;
    const position = Math.floor(i / dataCentres);
    const accelerators = position % 10 < accelerated * 10 ? 4 : 0;
    return {
      id: `w${i}`,
      rack: `dc${centre}-r${Math.floor(position / perRack)}`,
      dataCentre: `dc${centre}`,
      region: `region${centre % regions}`,
      capacity: { ...capacity, accelerators },
      used: { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 },
      outstanding: 0,
      latencyMs: 50,
      penalty: 0,
      open: true,
    };
  });
}

// Pareto with the given mean; shape 1.6 has no finite variance, so it is cut at 20 times the mean.
const pareto = (random: Random, mean: number) =>
  Math.min(20 * mean, (mean * 0.6) / 1.6 / (1 - random()) ** (1 / 1.6));

const pick = <T>(random: Random, list: readonly T[]) =>
  list[Math.floor(random() * list.length)] as T;

/** Generates workers and work from a seed. */
export function makeWorkload(options: WorkloadOptions): Workload {
  const { deployment, seed, horizonMs = 1_200_000, load = 0.8, lookups = 1 } = options;
  const { gangs = 0.05, wrong = 0.2, demand } = options;
  const { processorChoices = [1, 1, 2, 2, 2, 4, 4, 8, 12] } = options;
  const random = makeRandom(seed);
  const { weights, capacity, workers, runSeconds } = deployment;
  const demands = weights.map((w, i) => demand?.(i) ?? (i === weights.length - 1 ? w * 4 : w));
  const totalDemand = demands.reduce((sum, part) => sum + part, 0);
  // Work arrives twice as often at the peak as on average.
  const arrival = () => {
    for (;;) {
      const at = random() * horizonMs;
      if (random() < 0.5 - 0.5 * Math.cos((2 * Math.PI * at) / horizonMs) + 0.1) return at;
    }
  };
  const pickTeam = () => {
    let point = random() * totalDemand;
    const found = demands.findIndex((part) => {
      point -= part;
      return point < 0;
    });
    return Math.max(0, found);
  };
  const works: Work[] = [];
  const fleetArea = workers * horizonMs * load;
  let area = 0;
  while (area < fleetArea) {
    const team = pickTeam();
    const job = `j${works.length}`;
    const gang = random() < gangs;
    const tasks = Math.ceil(pareto(random, 4));
    const count = gang ? Math.min(tasks + 1, workers) : 1;
    const processors = pick(random, processorChoices);
    const memoryMb = Math.min(capacity.memoryMb / 2, pareto(random, 2_048 * processors));
    const accelerators = deployment.accelerated > 0 && random() < 0.03 ? 1 : 0;
    const factor = team % 10 < wrong * 10 ? pick(random, [0.1, 10]) : 1;
    const used = { processors, memoryMb, accelerators, slots: 1 };
    const at = arrival();
    const checkpoint = random() < 0.6;
    for (let i = 0; i < (gang ? 1 : tasks) && area < fleetArea; i++) {
      const runMs = 1_000 + Math.min(horizonMs, pareto(random, runSeconds * 1_000));
      area += runMs * count * Math.max(processors / capacity.processors, 1 / capacity.slots);
      works.push({
        id: `${job}.${i}`,
        job,
        team: teamName(team),
        kind: gang ? 'gang' : 'batch',
        at,
        size: used,
        used,
        runMs,
        estimateMs: runMs * factor * Math.exp(random() - 0.5),
        count,
        checkpoint,
        cancelAt: random() < 0.03 ? at + random() * runMs : undefined,
      });
    }
  }
  const lookupCount = (deployment.lookupsPerSecond * lookups * horizonMs) / 1_000;
  for (let i = 0; i < lookupCount; i++) {
    const used = { processors: 1, memoryMb: 512, accelerators: 0, slots: 1 };
    const runMs = pareto(random, 150);
    works.push({
      id: `l${i}`,
      job: `l${i}`,
      team: teamName(pickTeam()),
      kind: 'lookup',
      at: arrival(),
      size: used,
      used,
      runMs,
      estimateMs: 150,
      count: 1,
      checkpoint: false,
      deadlineMs: 1_600,
    });
  }
  works.sort((left, right) => left.at - right.at);
  return { deployment, horizonMs, workers: makeWorkers(deployment), works };
}
