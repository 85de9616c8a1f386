/**
 * Starts, drives and ends a deployment on one machine.
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { fetch } from 'undici';

import type { Clock } from '../clock/mod.ts';
import { runProgram, startProgram } from './_child.ts';
import type { Child, Finished } from './_child.ts';
import { buildSettings, listWorkers } from './site.ts';
import type { Site, SiteSettings } from './site.ts';

/** An entry process of the deployment. */
export interface EntryProcess {
  name: string;
  child: Child;
  callers: string;
  operators: string;
}

/** A deployment that runs. */
export interface Deployment {
  folder: string;
  settings: SiteSettings;
  entries: EntryProcess[];
  /** Base addresses of the stand-ins. */
  table: string;
  objects: string;
  workers: Record<string, string>;
  startEntry(options?: { dataCentre?: number }): Promise<EntryProcess>;
  /** Runs the operator command against a process; the first one that lives by default. */
  operator(args: string[], options?: { entry?: EntryProcess }): Promise<Finished>;
  /** Switches faults of a stand-in. */
  control(standin: string, fields: Record<string, unknown>): Promise<void>;
  /** Waits until the processes own all workers between them. */
  settled(options?: { timeoutMs?: number }): Promise<void>;
  state(entry: EntryProcess): Promise<Record<string, unknown>>;
  stop(): Promise<void>;
}

const pollMs = 100;
const settleTimeoutMs = 30_000;
const workersPerProcess = 100;

/** How the processes of a deployment run. */
export interface DeploymentOptions {
  clock: Clock;
  /** Entry processes exit with code 70 on a violated invariant. */
  fatal?: boolean;
  nodeArgs?: string[];
  /** Longest wait for the processes to be ready and for all workers to be owned. */
  timeoutMs?: number;
}

type BuildOptions = DeploymentOptions & { folder: string; children: Child[] };

interface Listening {
  address: string;
  ports: number[];
}

function readListening(line: string): Listening | undefined {
  if (!line.startsWith('{"standin"')) return undefined;
  return JSON.parse(line) as Listening;
}

function readStarted(line: string): { callers: number; operators: number } | undefined {
  if (!line.includes('The process has started.')) return undefined;
  return JSON.parse(line) as { callers: number; operators: number };
}

/**
 * Polls until the check holds; a check that throws does not hold yet.
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
    if (clock.now() > deadline) throw new Error(`${what}: not within ${timeoutMs} ms`);
    await clock.sleep(pollMs);
  }
}

/** The text of the `entry.ini` of one process. */
function entryText(options: {
  name: string;
  dataCentre: { name: string; region: string };
  ports: { table: number; objects: number; hosts: number };
}): string {
  const { name, dataCentre, ports } = options;
  const local = (port: number) => `address = 127.0.0.1\nport = ${port}\n`;
  return [
    `[process]\nname = ${name}\ndata_centre = ${dataCentre.name}\nregion = ${dataCentre.region}\n`,
    ...['callers', 'peers', 'operators'].map((section) => `[${section}]\n${local(0)}`),
    `[table]\n${local(ports.table)}`,
    `[objects]\n${local(ports.objects)}`,
    `[hosts]\n${local(ports.hosts)}`,
  ].join('\n');
}

async function endAll(children: Child[], folder: string): Promise<void> {
  children.forEach(({ process: child }) => child.kill('SIGKILL'));
  await Promise.all(children.map(({ ended }) => ended));
  rmSync(folder, { recursive: true, force: true });
}

async function build(site: Site, options: BuildOptions): Promise<Deployment> {
  const { clock, fatal = true, nodeArgs = [], folder, children } = options;
  const { timeoutMs = settleTimeoutMs } = options;
  const start = (name: string, args: string[], extra: string[] = []) => {
    const child = startProgram(name, args, { clock, nodeArgs: extra });
    children.push(child);
    return child;
  };
  const standin = async (args: string[]) => start('standin', args).line<Listening>(readListening);

  const { processors, memoryMb, accelerators, slots } = site.capacity;
  const room = ['--processors', `${processors}`, '--memory-mb', `${memoryMb}`];
  const rest = ['--accelerators', `${accelerators}`, '--slots', `${slots}`];
  const workerPorts: Record<string, number> = {};
  const ids = listWorkers(site).map(({ id }) => id);
  const groups = Array.from({ length: Math.ceil(ids.length / workersPerProcess) }, (_, i) =>
    ids.slice(i * workersPerProcess, (i + 1) * workersPerProcess),
  );
  const [table, objects, hosts] = await Promise.all(
    ['table', 'objects', 'hosts'].map((name) => standin([name])),
  );
  await Promise.all(
    groups.map(async (group) => {
      const { ports } = await standin(['worker', '--ids', group.join(','), ...room, ...rest]);
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
  const tree = path.join(folder, 'tree');
  Object.entries(settings.files).forEach(([name, text]) => {
    mkdirSync(path.dirname(path.join(tree, name)), { recursive: true });
    writeFileSync(path.join(tree, name), text);
  });

  const entries: EntryProcess[] = [];
  let started = 0;
  const startEntry: Deployment['startEntry'] = async ({ dataCentre = started } = {}) => {
    started += 1;
    const name = `entry-${started}`;
    const place = site.dataCentres[dataCentre % site.dataCentres.length];
    if (!place) throw new Error('the site has no data centre');
    const file = path.join(folder, `${name}.ini`);
    writeFileSync(file, entryText({ name, dataCentre: place, ports }));
    const child = start('entry', ['--settings', file, ...(fatal ? ['--fatal'] : [])], nodeArgs);
    const found = await child.line(readStarted);
    const entry = {
      name,
      child,
      callers: `http://127.0.0.1:${found.callers}`,
      operators: `http://127.0.0.1:${found.operators}`,
    };
    entries.push(entry);
    return entry;
  };
  const isAlive = ({ child }: EntryProcess) =>
    child.process.exitCode === null && child.process.signalCode === null;
  const alive = () => entries.filter(isAlive);
  const operator: Deployment['operator'] = (args, { entry = alive()[0] } = {}) =>
    runProgram('operator', [...args, '--server', entry?.operators ?? ''], {
      env: { DOGWOOD_KEY: settings.operatorKey },
    });
  const state: Deployment['state'] = async (entry) => {
    const answer = await fetch(`${entry.operators}/v1/state`, {
      headers: { authorization: `Bearer ${settings.operatorKey}` },
    });
    return (await answer.json()) as Record<string, unknown>;
  };
  /** Workers that a process owns; none before it has the first settings. */
  const ownedBy = async (entry: EntryProcess) => {
    const { ownership } = (await state(entry)) as { ownership?: { workers: unknown[] } };
    if (!ownership) throw new Error(`${entry.name} does not know the operator key yet`);
    return ownership.workers.length;
  };
  const isReady = async (entry: EntryProcess) => (await fetch(`${entry.operators}/readyz`)).ok;
  const settled: Deployment['settled'] = async ({ timeoutMs: patience = timeoutMs } = {}) => {
    const total = listWorkers(site).length;
    await waitFor(
      async () => {
        const counts = await Promise.all(alive().map(ownedBy));
        return counts.reduce((sum, count) => sum + count, 0) === total;
      },
      { clock, timeoutMs: patience, what: `${total} workers owned` },
    );
  };

  for (let i = 0; i < site.entries; i++) await startEntry();
  await waitFor(async () => (await Promise.all(alive().map(isReady))).every(Boolean), {
    ...{ clock, timeoutMs, what: 'all processes ready' },
  });
  const applied = await operator(['apply', tree, '--base', '0']);
  if (applied.code !== 0) throw new Error(`apply failed: ${applied.stderr}${applied.stdout}`);
  await settled();

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
    operator,
    state,
    settled,
    async control(address, fields) {
      await fetch(`${address}/_control`, { method: 'POST', body: JSON.stringify(fields) });
    },
    stop: () => endAll(children, folder),
  };
}

/**
 * Starts a deployment and applies its first settings. When that fails, all its processes are ended.
 *
 * @example
 * const deployment = await startDeployment(site, { clock: systemClock });
 * await deployment.stop();
 */
export async function startDeployment(site: Site, options: DeploymentOptions): Promise<Deployment> {
  const folder = mkdtempSync(path.join(tmpdir(), 'dogwood-'));
  const children: Child[] = [];
  try {
    return await build(site, { ...options, folder, children });
  } catch (error) {
    await endAll(children, folder);
    throw error;
  }
}
