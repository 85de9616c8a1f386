/**
 * The demo: every kind of work once, a data centre out of service and a key withdrawn.
 */
import type { Clock } from '../clock/mod.ts';
import { makeCaller } from './callers.ts';
import type { CallerAnswer, CallerClient } from './callers.ts';
import { startDeployment } from './deployment.ts';
import type { Deployment } from './deployment.ts';
import type { Site } from './site.ts';

/** The demo's deployment: two data centres with two racks each. */
const site: Site = {
  dataCentres: [
    { name: 'north', region: 'island', racks: 2, workersPerRack: 2 },
    { name: 'south', region: 'island', racks: 2, workersPerRack: 2 },
  ],
  capacity: { processors: 8, memoryMb: 16_384, accelerators: 0, slots: 8 },
  teams: [],
  entries: 3,
};

// The bound of the design for withdrawn keys and data centres out of service.
const inForceMs = 4_000;
const serviceRunMs = 600_000;

interface Demo {
  clock: Clock;
  deployment: Deployment;
  print: (line: string) => void;
  /** Records a step; a false one makes the demo fail. */
  step(text: string, holds: boolean, detail?: unknown): void;
}

async function command(demo: Demo, args: string[]): Promise<string> {
  const { code, stdout, stderr } = await demo.deployment.operator(args);
  demo.step(`dogwood ${args.join(' ')}`, code === 0, code === 0 ? undefined : stderr);
  return stdout;
}

async function createTeam(demo: Demo, name: string, limit: number): Promise<CallerClient> {
  await command(demo, ['team', 'create', name, '--limit', `${limit}`]);
  const issued = await command(demo, ['key', 'issue', name, 'k1']);
  const key = /dwt_\S+/.exec(issued)?.[0] ?? '';
  let turn = 0;
  return makeCaller({
    base() {
      turn += 1;
      const { entries } = demo.deployment;
      return entries[turn % entries.length]?.callers ?? '';
    },
    key,
    clock: demo.clock,
  });
}

function stateOf({ body }: CallerAnswer): string {
  return String(body.state);
}

async function runKinds(demo: Demo, ledger: CallerClient, mill: CallerClient): Promise<string> {
  const lookup = await ledger.lookup({ body: { runMs: 20, answer: 'door 7' } });
  demo.step('a lookup is answered', lookup.status === 200, lookup.body);
  const batch = await mill.submit({
    kind: 'batch',
    tasks: 3,
    body: { runMs: 300, answer: 'curve' },
  });
  demo.step('a batch job is accepted', batch.status === 202, batch.body);
  const gang = await mill.submit({ kind: 'gang', tasks: 4, across: 'fleet', body: { runMs: 300 } });
  demo.step('a gang is accepted', gang.status === 202, gang.body);
  const service = await ledger.submit({
    kind: 'service',
    tasks: 2,
    spread: 'data-centre',
    body: { runMs: serviceRunMs },
  });
  demo.step('a service is accepted', service.status === 202, service.body);
  const [batchEnd, gangEnd, serviceUp] = await Promise.all([
    mill.until(String(batch.body.id), ['finished', 'failed']),
    mill.until(String(gang.body.id), ['finished', 'failed']),
    ledger.until(String(service.body.id), ['running', 'failed']),
  ]);
  demo.step('the batch job finishes', stateOf(batchEnd) === 'finished', batchEnd.body);
  demo.step('the gang finishes', stateOf(gangEnd) === 'finished', gangEnd.body);
  demo.step('the service runs', stateOf(serviceUp) === 'running', serviceUp.body);
  const result = await mill.result(String(batch.body.id));
  demo.step('the result of the batch job is there', result.status === 200, result.body);
  return String(service.body.id);
}

/** Sends lookups for the time after the bound and says where they ran. */
async function lookupsRanIn(caller: CallerClient, count: number): Promise<Set<string>> {
  const seen = new Set<string>();
  for (let i = 0; i < count; i++) {
    const { status, body } = await caller.lookup({ body: { runMs: 5 } });
    seen.add(status === 200 ? (String(body.worker).split('-')[0] ?? '') : `status ${status}`);
  }
  return seen;
}

async function runDemoSteps(demo: Demo): Promise<void> {
  const ledger = await createTeam(demo, 'ledger', 40);
  const mill = await createTeam(demo, 'mill', 40);
  await demo.clock.sleep(inForceMs);
  const service = await runKinds(demo, ledger, mill);
  await command(demo, ['data-centre', 'out', 'south']);
  await demo.clock.sleep(inForceMs);
  const places = await lookupsRanIn(ledger, 30);
  demo.step('no lookup starts in the data centre out of service', !places.has('south'), [
    ...places,
  ]);
  demo.step('lookups run in the other data centre', places.has('north'), [...places]);
  await command(demo, ['data-centre', 'in', 'south']);
  const withdrawn = await ledger.cancel(service);
  demo.step('the service is withdrawn', withdrawn.status === 200, withdrawn.body);
  const end = await ledger.until(service, ['cancelled', 'finished', 'failed']);
  demo.step('the service ends', stateOf(end) === 'cancelled', end.body);
  await command(demo, ['key', 'withdraw', 'mill', 'k1']);
  await demo.clock.sleep(inForceMs);
  const refused = await mill.lookup({ body: { runMs: 5 } });
  demo.step('the withdrawn key is refused', refused.status === 403, refused.body);
}

/**
 * Runs the demo and returns its exit code: 0 when every step held.
 *
 * @example
 * process.exitCode = await runDemo({ clock: systemClock, print: console.log });
 */
export async function runDemo({
  clock,
  print,
}: {
  clock: Clock;
  print: (line: string) => void;
}): Promise<number> {
  const begunAt = clock.now();
  const deployment = await startDeployment(site, { clock });
  print(`${deployment.entries.length} entry processes serve 8 workers in 2 data centres`);
  let failures = 0;
  const step: Demo['step'] = (text, holds, detail) => {
    if (!holds) failures += 1;
    const shown = holds || detail === undefined ? '' : ` ${JSON.stringify(detail)}`;
    print(`${holds ? 'ok  ' : 'FAIL'} ${text}${shown}`);
  };
  try {
    await runDemoSteps({ clock, deployment, print, step });
  } finally {
    await deployment.stop();
  }
  print(`${failures} steps failed; ${((clock.now() - begunAt) / 1_000).toFixed(1)} s`);
  return failures === 0 ? 0 : 1;
}
