/**
 * The demo: runs every kind of work once, takes a data centre out of service and withdraws a key.
 */
import type { Clock } from '../clock/mod.ts';
import { makeCaller } from './callers.ts';
import type { CallerResponse, CallerClient } from './callers.ts';
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

// Design bound for a withdrawn key or a data centre out of service to take effect everywhere.
const propagationBoundMs = 4_000;
const serviceRunMs = 600_000;

interface Demo {
  clock: Clock;
  deployment: Deployment;
  print: (line: string) => void;
  /** Prints the outcome of a step; one that has not passed makes the demo fail. */
  reportStep(text: string, hasPassed: boolean, detail?: unknown): void;
}

/** Runs the operator command as a step and returns its output. */
async function runOperatorStep(demo: Demo, args: string[]): Promise<string> {
  const { code, stdout, stderr } = await demo.deployment.runOperator(args);
  demo.reportStep(`dogwood ${args.join(' ')}`, code === 0, code === 0 ? undefined : stderr);
  return stdout;
}

/** Creates a team with a key; its client sends to the entry processes in turn. */
async function createTeam(demo: Demo, name: string, limit: number): Promise<CallerClient> {
  await runOperatorStep(demo, ['team', 'create', name, '--limit', `${limit}`]);
  const issued = await runOperatorStep(demo, ['key', 'issue', name, 'k1']);
  const key = /dwt_\S+/.exec(issued)?.[0] ?? '';
  let requestCount = 0;
  return makeCaller({
    base() {
      requestCount += 1;
      const { entries } = demo.deployment;
      return entries[requestCount % entries.length]?.callers ?? '';
    },
    key,
    clock: demo.clock,
  });
}

function stateOf({ body }: CallerResponse): string {
  return String(body.state);
}

/** Runs a lookup, a batch job, a gang and a service; returns the id of the service. */
async function runAllWorkKinds(
  demo: Demo,
  ledger: CallerClient,
  mill: CallerClient,
): Promise<string> {
  const lookup = await ledger.lookup({ body: { runMs: 20, answer: 'door 7' } });
  demo.reportStep('a lookup succeeds', lookup.status === 200, lookup.body);
  const batch = await mill.submit({
    kind: 'batch',
    tasks: 3,
    body: { runMs: 300, answer: 'curve' },
  });
  demo.reportStep('a batch job is accepted', batch.status === 202, batch.body);
  const gang = await mill.submit({ kind: 'gang', tasks: 4, across: 'fleet', body: { runMs: 300 } });
  demo.reportStep('a gang is accepted', gang.status === 202, gang.body);
  const service = await ledger.submit({
    kind: 'service',
    tasks: 2,
    spread: 'data-centre',
    body: { runMs: serviceRunMs },
  });
  demo.reportStep('a service is accepted', service.status === 202, service.body);
  const [batchOutcome, gangOutcome, serviceOutcome] = await Promise.all([
    mill.waitForState(String(batch.body.id), ['finished', 'failed']),
    mill.waitForState(String(gang.body.id), ['finished', 'failed']),
    ledger.waitForState(String(service.body.id), ['running', 'failed']),
  ]);
  demo.reportStep(
    'the batch job finishes',
    stateOf(batchOutcome) === 'finished',
    batchOutcome.body,
  );
  demo.reportStep('the gang finishes', stateOf(gangOutcome) === 'finished', gangOutcome.body);
  demo.reportStep('the service runs', stateOf(serviceOutcome) === 'running', serviceOutcome.body);
  const result = await mill.result(String(batch.body.id));
  demo.reportStep('the result of the batch job is available', result.status === 200, result.body);
  return String(service.body.id);
}

/** Sends lookups and returns the data centres that they ran in, with the status of failed ones. */
async function findLookupDataCentres(caller: CallerClient, count: number): Promise<Set<string>> {
  const dataCentres = new Set<string>();
  for (let i = 0; i < count; i++) {
    const { status, body } = await caller.lookup({ body: { runMs: 5 } });
    dataCentres.add(
      status === 200 ? (String(body.worker).split('-')[0] ?? '') : `status ${status}`,
    );
  }
  return dataCentres;
}

async function runDemoSteps(demo: Demo): Promise<void> {
  const ledger = await createTeam(demo, 'ledger', 40);
  const mill = await createTeam(demo, 'mill', 40);
  await demo.clock.sleep(propagationBoundMs);
  const service = await runAllWorkKinds(demo, ledger, mill);
  await runOperatorStep(demo, ['data-centre', 'out', 'south']);
  await demo.clock.sleep(propagationBoundMs);
  const dataCentres = await findLookupDataCentres(ledger, 30);
  demo.reportStep('no lookup starts in the data centre out of service', !dataCentres.has('south'), [
    ...dataCentres,
  ]);
  demo.reportStep('lookups run in the other data centre', dataCentres.has('north'), [
    ...dataCentres,
  ]);
  await runOperatorStep(demo, ['data-centre', 'in', 'south']);
  const withdrawn = await ledger.cancel(service);
  demo.reportStep(
    'the cancellation of the service is accepted',
    withdrawn.status === 200,
    withdrawn.body,
  );
  const serviceOutcome = await ledger.waitForState(service, ['cancelled', 'finished', 'failed']);
  demo.reportStep(
    'the service is cancelled',
    stateOf(serviceOutcome) === 'cancelled',
    serviceOutcome.body,
  );
  await runOperatorStep(demo, ['key', 'withdraw', 'mill', 'k1']);
  await demo.clock.sleep(propagationBoundMs);
  const refused = await mill.lookup({ body: { runMs: 5 } });
  demo.reportStep('the withdrawn key is refused', refused.status === 403, refused.body);
}

/**
 * Runs the demo and returns its exit code: 0 when every step has passed, otherwise 1.
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
  const startedAt = clock.now();
  const deployment = await startDeployment(site, { clock });
  print(`${deployment.entries.length} entry processes serve 8 workers in 2 data centres`);
  let failureCount = 0;
  const reportStep: Demo['reportStep'] = (text, hasPassed, detail) => {
    if (!hasPassed) failureCount += 1;
    const detailText = hasPassed || detail === undefined ? '' : ` ${JSON.stringify(detail)}`;
    print(`${hasPassed ? 'ok  ' : 'FAIL'} ${text}${detailText}`);
  };
  try {
    await runDemoSteps({ clock, deployment, print, reportStep });
  } finally {
    await deployment.stop();
  }
  print(`${failureCount} steps failed; ${((clock.now() - startedAt) / 1_000).toFixed(1)} s`);
  return failureCount === 0 ? 0 : 1;
}
