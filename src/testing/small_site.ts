/**
 * A small site of real processes, with the checks that every test with real processes makes.
 */
import { fetch } from 'undici';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { makeCaller, startDeployment, waitFor } from '../deployment/mod.ts';
import type { CallerClient, Deployment, EntryProcess } from '../deployment/mod.ts';
import type { StartRecord } from '../standins/mod.ts';

/** The limit of team `few`; it is below the number of processes times any chunk. */
export const fewLimit = 3;
/** Deadline of waits that have no bound in the design. */
export const generousMs = 40_000;

const deployments: Deployment[] = [];
const manyLimit = 40;
const taskAttempt = ({ task, attempt, worker }: StartRecord) => `${task} ${attempt} ${worker}`;

/** Starts two data centres with four workers each, three entry processes and two teams. */
export async function startSmallSite(policy: Record<string, number> = {}): Promise<Deployment> {
  const deployment = await startDeployment(
    {
      dataCentres: [
        { name: 'north', region: 'island', racks: 1, workersPerRack: 4 },
        { name: 'south', region: 'island', racks: 1, workersPerRack: 4 },
      ],
      capacity: { processors: 8, memoryMb: 16_384, accelerators: 0, slots: 8 },
      teams: [
        { name: 'many', share: 1, limit: manyLimit },
        { name: 'few', share: 1, limit: fewLimit },
      ],
      entries: 3,
      policy,
    },
    { clock: systemClock },
  );
  deployments.push(deployment);
  await waitFor(
    async () => {
      const states = await Promise.all(deployment.entries.map(deployment.fetchState));
      return states.every(({ settings }) => (settings as { version: number }).version === 1);
    },
    { clock: systemClock, timeoutMs: generousMs, what: 'the settings are in force everywhere' },
  );
  return deployment;
}

/** Ends all processes of the file; for `test.after`. */
export async function stopSites(): Promise<void> {
  await Promise.all(deployments.map((deployment) => deployment.stop()));
}

/** A caller of one process. */
export function callerOf(
  { settings }: Deployment,
  { entry, team }: { entry: EntryProcess; team: 'many' | 'few' },
): CallerClient {
  const key = settings.keys[team] ?? '';
  return makeCaller({ base: () => entry.callers, key, clock: systemClock });
}

/** Rows of the table service below a prefix. */
export async function scanTable(
  { table }: Deployment,
  prefix: string,
): Promise<{ key: string; version: number; value: unknown }[]> {
  const answer = await fetch(`${table}/scan`, { method: 'POST', body: JSON.stringify({ prefix }) });
  const { rows } = (await answer.json()) as {
    rows: { key: string; version: number; value: unknown }[];
  };
  return rows;
}

/** Every start on every worker so far. */
export async function readStarts({ workers }: Deployment): Promise<StartRecord[]> {
  const lists = await Promise.all(
    Object.values(workers).map(async (address) => {
      const answer = await fetch(`${address}/_starts`);
      return ((await answer.json()) as { starts: StartRecord[] }).starts;
    }),
  );
  return lists.flat();
}

/** Most starts that ran at one time; one that ends as another begins does not count with it. */
export function mostAtOnce(starts: StartRecord[]): number {
  const changes = starts
    .flatMap(({ startedAt, endedAt = Infinity }) => [
      { at: startedAt, by: 1 },
      { at: endedAt, by: -1 },
    ])
    .sort((a, b) => a.at - b.at || a.by - b.by);
  let now = 0;
  let most = 0;
  changes.forEach(({ by }) => {
    now += by;
    most = Math.max(most, now);
  });
  return most;
}

/** Asserts that each answer was produced by one finished start, and never by two at a time. */
export function assertFinishedOnce(starts: StartRecord[], answers: string[]): void {
  answers.forEach((answer) => {
    const own = starts.filter((start) => start.answer === answer);
    const detail = `${answer}: ${own.map((start) => `${taskAttempt(start)} ${start.state}`).join('; ')}`;
    assert.is(own.filter(({ state }) => state === 'finished').length, 1, detail);
    assert.is(mostAtOnce(own), 1, detail);
  });
}

/** Asserts that a process still runs and has counted no violation. */
export async function assertInvariants(
  deployment: Deployment,
  entries: EntryProcess[],
): Promise<void> {
  await Promise.all(
    entries.map(async (entry) => {
      assert.is(entry.child.process.exitCode, null, `${entry.name}: ${entry.child.output()}`);
      const { invariants } = (await deployment.fetchState(entry)) as {
        invariants: Record<string, { checked: number; violated: number }>;
      };
      Object.entries(invariants).forEach(([name, { violated }]) =>
        assert.is(violated, 0, `${entry.name} violated ${name}: ${entry.child.output()}`),
      );
    }),
  );
}

/** The member id under which a process is known now. */
export async function memberId(deployment: Deployment, entry: EntryProcess): Promise<string> {
  const { member } = (await deployment.fetchState(entry)) as { member: { id: string } };
  return member.id;
}

/** What the processes own between them. */
export async function ownedBy(
  deployment: Deployment,
  entries: EntryProcess[],
): Promise<{ workers: { id: string; epoch: number }[]; partitions: number }> {
  const states = (await Promise.all(entries.map(deployment.fetchState))) as {
    ownership: { workers: { id: string; epoch: number }[]; partitions: unknown[] };
  }[];
  return {
    workers: states.flatMap(({ ownership }) => ownership.workers),
    partitions: states.reduce((sum, { ownership }) => sum + ownership.partitions.length, 0),
  };
}
