/**
 * Starts, controls and stops a deployment on one machine.
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { fetch } from 'undici';

import type { Clock } from '../clock/mod.ts';
import { runProgram, startProgram } from './_child.ts';
import type { Child, ProgramResult } from './_child.ts';
import { buildSettings, listWorkers } from './site.ts';
import type { Site, SiteSettings } from './site.ts';

/** An entry process of the deployment, with the base URLs of its APIs. */
export interface EntryProcess {
  name: string;
  child: Child;
  callers: string;
  operators: string;
}

/** A running deployment. */
export interface Deployment {
  folder: string;
  settings: SiteSettings;
  entries: EntryProcess[];
  /** Base URLs of the stand-ins; those of workers by worker id. */
  table: string;
  objects: string;
  workers: Record<string, string>;
  startEntry(options?: { dataCentre?: number }): Promise<EntryProcess>;
  /** Runs the operator command against a process; by default the first running one. */
  runOperator(args: string[], options?: { entry?: EntryProcess }): Promise<ProgramResult>;
  /** Sets the faults that the stand-in at a base URL injects. */
  setStandinFaults(standin: string, fields: Record<string, unknown>): Promise<void>;
  /** Waits until every worker is owned by one of the running processes. */
  waitForOwnership(options?: { timeoutMs?: number }): Promise<void>;
  /** Fetches the state of a process from its operators' API. */
  fetchState(entry: EntryProcess): Promise<Record<string, unknown>>;
  /** Kills all processes and removes the folder. */
  stop(): Promise<void>;
}

const pollIntervalMs = 100;
const defaultTimeoutMs = 30_000;
const workersPerStandin = 100;

/** Options for the processes of a deployment. */
export interface DeploymentOptions {
  clock: Clock;
  /** Entry processes exit with code 70 on a violated invariant. */
  fatal?: boolean;
  nodeArgs?: string[];
  /** Timeout for the processes to become ready and for all workers to be owned. */
  timeoutMs?: number;
}

type BuildOptions = DeploymentOptions & { folder: string; children: Child[] };

/** The line that a stand-in prints once it listens. */
interface StandinAddress {
  address: string;
  ports: number[];
}

function parseStandinAddress(line: string): StandinAddress | undefined {
  if (!line.startsWith('{"standin"')) return undefined;
  return JSON.parse(line) as StandinAddress;
}

function parseEntryPorts(line: string): { callers: number; operators: number } | undefined {
  if (!line.includes('The process has started.')) return undefined;
  return JSON.parse(line) as { callers: number; operators: number };
}

/**
 * Polls until the check resolves with true; a check that rejects counts as false.
 *
 * @example
 * await waitFor(isReady, { clock: systemClock, timeoutMs: 10_000, what: 'the process is ready' });
 */
export async function waitFor(
  check: () => Promise<boolean>,
  { clock, timeoutMs, what }: { clock: Clock; timeoutMs: number; what: string },
): Promise<void> {
  const deadline = clock.now() + timeoutMs;
  while (!(await check().catch(() => false))) {
    if (clock.now() > deadline) throw new Error(`${what}: not reached within ${timeoutMs} ms`);
    await clock.sleep(pollIntervalMs);
  }
}

/** Formats the `entry.ini` of one process. */
function formatEntrySettings(options: {
  name: string;
  dataCentre: { name: string; region: string };
  ports: { table: number; objects: number; hosts: number };
}): string {
  const { name, dataCentre, ports } = options;
  const formatAddress = (port: number) => `address = 127.0.0.1\nport = ${port}\n`;
  return [
    `[process]\nname = ${name}\ndata_centre = ${dataCentre.name}\nregion = ${dataCentre.region}\n`,
    ...['callers', 'peers', 'operators'].map((section) => `[${section}]\n${formatAddress(0)}`),
    `[table]\n${formatAddress(ports.table)}`,
    `[objects]\n${formatAddress(ports.objects)}`,
    `[hosts]\n${formatAddress(ports.hosts)}`,
  ].join('\n');
}

/** Kills the processes and removes the folder. */
async function cleanUp(children: Child[], folder: string): Promise<void> {
  children.forEach(({ process: child }) => child.kill('SIGKILL'));
  await Promise.all(children.map(({ ended }) => ended));
  rmSync(folder, { recursive: true, force: true });
}

async function buildDeployment(site: Site, options: BuildOptions): Promise<Deployment> {
  const { clock, fatal = true, nodeArgs = [], folder, children } = options;
  const { timeoutMs = defaultTimeoutMs } = options;
  const start = (name: string, args: string[], programNodeArgs: string[] = []) => {
    const child = startProgram(name, args, { clock, nodeArgs: programNodeArgs });
    children.push(child);
    return child;
  };
  const startStandin = async (args: string[]) =>
    start('standin', args).waitForLine<StandinAddress>(parseStandinAddress);

  const { processors, memoryMb, accelerators, slots } = site.capacity;
  const processorAndMemoryArgs = ['--processors', `${processors}`, '--memory-mb', `${memoryMb}`];
  const acceleratorAndSlotArgs = ['--accelerators', `${accelerators}`, '--slots', `${slots}`];
  const workerPorts: Record<string, number> = {};
  const ids = listWorkers(site).map(({ id }) => id);
  const groups = Array.from({ length: Math.ceil(ids.length / workersPerStandin) }, (_, i) =>
    ids.slice(i * workersPerStandin, (i + 1) * workersPerStandin),
  );
  const [table, objects, hosts] = await Promise.all(
    ['table', 'objects', 'hosts'].map((name) => startStandin([name])),
  );
  await Promise.all(
    groups.map(async (group) => {
      const { ports } = await startStandin([
        'worker',
        '--ids',
        group.join(','),
        ...processorAndMemoryArgs,
        ...acceleratorAndSlotArgs,
      ]);
      group.forEach((id, i) => {
        workerPorts[id] = ports[i] ?? 0;
      });
    }),
  );
  const ports = {
    table: table?.ports[0] ?? 0,
    objects: objects?.ports[0] ?? 0,
    hosts: hosts?.ports[0] ?? 0,
  };
  const settings = await buildSettings(site, workerPorts);
  const settingsFolder = path.join(folder, 'tree');
  Object.entries(settings.files).forEach(([name, text]) => {
    mkdirSync(path.dirname(path.join(settingsFolder, name)), { recursive: true });
    writeFileSync(path.join(settingsFolder, name), text);
  });

  const entries: EntryProcess[] = [];
  let startedCount = 0;
  const startEntry: Deployment['startEntry'] = async ({ dataCentre = startedCount } = {}) => {
    startedCount += 1;
    const name = `entry-${startedCount}`;
    const entryDataCentre = site.dataCentres[dataCentre % site.dataCentres.length];
    if (!entryDataCentre) throw new Error('the site has no data centre');
    const settingsFile = path.join(folder, `${name}.ini`);
    writeFileSync(settingsFile, formatEntrySettings({ name, dataCentre: entryDataCentre, ports }));
    const child = start(
      'entry',
      ['--settings', settingsFile, ...(fatal ? ['--fatal'] : [])],
      nodeArgs,
    );
    const apiPorts = await child.waitForLine(parseEntryPorts);
    const entry = {
      name,
      child,
      callers: `http://127.0.0.1:${apiPorts.callers}`,
      operators: `http://127.0.0.1:${apiPorts.operators}`,
    };
    entries.push(entry);
    return entry;
  };
  const isAlive = ({ child }: EntryProcess) =>
    child.process.exitCode === null && child.process.signalCode === null;
  const listAlive = () => entries.filter(isAlive);
  const runOperator: Deployment['runOperator'] = (args, { entry = listAlive()[0] } = {}) =>
    runProgram('operator', [...args, '--server', entry?.operators ?? ''], {
      env: { DOGWOOD_KEY: settings.operatorKey },
    });
  const fetchState: Deployment['fetchState'] = async (entry) => {
    const response = await fetch(`${entry.operators}/v1/state`, {
      headers: { authorization: `Bearer ${settings.operatorKey}` },
    });
    return (await response.json()) as Record<string, unknown>;
  };
  /** Counts the workers that a process owns; rejects until it has loaded the first settings. */
  const countOwnedWorkers = async (entry: EntryProcess) => {
    const { ownership } = (await fetchState(entry)) as { ownership?: { workers: unknown[] } };
    if (!ownership) throw new Error(`${entry.name} does not know the operator key yet`);
    return ownership.workers.length;
  };
  const isReady = async (entry: EntryProcess) => (await fetch(`${entry.operators}/readyz`)).ok;
  const waitForOwnership: Deployment['waitForOwnership'] = async ({
    timeoutMs: ownershipTimeoutMs = timeoutMs,
  } = {}) => {
    const workerCount = listWorkers(site).length;
    await waitFor(
      async () => {
        const counts = await Promise.all(listAlive().map(countOwnedWorkers));
        return counts.reduce((sum, count) => sum + count, 0) === workerCount;
      },
      { clock, timeoutMs: ownershipTimeoutMs, what: `${workerCount} workers owned` },
    );
  };

  for (let i = 0; i < site.entries; i++) await startEntry();
  await waitFor(async () => (await Promise.all(listAlive().map(isReady))).every(Boolean), {
    ...{ clock, timeoutMs, what: 'all processes ready' },
  });
  const applyResult = await runOperator(['apply', settingsFolder, '--base', '0']);
  if (applyResult.code !== 0)
    throw new Error(`apply failed: ${applyResult.stderr}${applyResult.stdout}`);
  await waitForOwnership();

  return {
    folder,
    settings,
    entries,
    table: `http://127.0.0.1:${ports.table}`,
    objects: `http://127.0.0.1:${ports.objects}`,
    workers: Object.fromEntries(
      Object.entries(workerPorts).map(([id, port]) => [id, `http://127.0.0.1:${port}`]),
    ),
    startEntry,
    runOperator,
    fetchState,
    waitForOwnership,
    async setStandinFaults(address, fields) {
      await fetch(`${address}/_control`, { method: 'POST', body: JSON.stringify(fields) });
    },
    stop: () => cleanUp(children, folder),
  };
}

/**
 * Starts a deployment and applies its first settings. On failure, all its processes are killed.
 *
 * @example
 * const deployment = await startDeployment(site, { clock: systemClock });
 * await deployment.stop();
 */
export async function startDeployment(site: Site, options: DeploymentOptions): Promise<Deployment> {
  const folder = mkdtempSync(path.join(tmpdir(), 'dogwood-'));
  const children: Child[] = [];
  try {
    return await buildDeployment(site, { ...options, folder, children });
  } catch (error) {
    await cleanUp(children, folder);
    throw error;
  }
}
