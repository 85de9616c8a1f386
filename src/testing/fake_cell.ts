/**
 * Jobs, workers and configurations for tests of the scheduler's decisions.
 */
import type {
  AcceptedJob,
  Configuration,
  JobSpec,
  Queue,
  StepSpec,
  WorkerEntry,
} from '../model/mod.ts';
import { addJob, makeCellState, makeWorker } from '../scheduler/mod.ts';
import type { CellState, DecisionInputs, Job, Worker } from '../scheduler/mod.ts';

/** Makes a step; a test gives only the fields that matter to it. */
export function stepSpec(fields: Partial<StepSpec> & { cpu?: number } = {}): StepSpec {
  const { cpu = 1_000, ...rest } = fields;
  return {
    count: 1,
    need: { cpu, memoryMb: 100, gpu: 0 },
    estimatedMs: 1_000,
    after: [],
    checkpointing: false,
    gang: false,
    rackLocal: false,
    maxPerWorker: 0,
    speculative: false,
    longRunning: false,
    targetLatencyMs: 0,
    fillsIdleCapacity: false,
    ...rest,
  };
}

/** Makes a queue; a test gives only the fields that matter to it. */
export function queue(fields: Partial<Queue> = {}): Queue {
  return {
    name: 'batch',
    host: 'site.example',
    pathPrefix: '/batch/',
    service: 'ledger',
    priority: 1,
    maxAttempts: 2,
    targetFactor: 2,
    targetLatencyMs: 1_000,
    isPublic: false,
    ...fields,
  };
}

/** Makes a configuration of the queues, with one organisation that has no limits. */
export function configuration(
  queues: Queue[] = [queue()],
  fields: Partial<Configuration> = {},
): Configuration {
  return {
    version: 1,
    queues,
    services: [{ name: 'ledger', hasAdmissionControl: false, isStandby: false }],
    organisations: [
      {
        name: 'mill',
        keys: ['key-1'],
        weight: 1_000,
        upperLimit: { cpu: 0, memoryMb: 0, gpu: 0 },
      },
    ],
    maxBodyBytes: 10_000,
    maxHeaderBytes: 10_000,
    idleTimeoutMs: 10_000,
    ...fields,
  };
}

/** Makes the inputs of a scheduling pass, by default with a free slot for every advice request. */
export function decisionInputs(fields: Partial<DecisionInputs> = {}): DecisionInputs {
  return {
    nowMs: 0,
    wallMs: 0,
    configuration: configuration(),
    evacuated: new Set(),
    orderDelayMs: 0,
    acquireAdviceSlot: () => 'slot',
    ...fields,
  };
}

/** Makes a job as the front end stores it. */
export function acceptedJob(
  id: string,
  steps: StepSpec[],
  {
    inQueue = queue(),
    organisation = 'mill',
    ...rest
  }: {
    inQueue?: Queue;
    organisation?: string;
    repetition?: JobSpec['repetition'];
  } = {},
): AcceptedJob {
  return {
    id,
    queue: inQueue.name,
    organisation,
    service: inQueue.service,
    acceptedAtMs: 0,
    terms: inQueue,
    spec: { payload: '{}', steps, ...rest },
  };
}

/** Makes a worker's registry entry; a test gives only the fields that matter to it. */
export function workerEntry(id: string, fields: Partial<WorkerEntry> & { cpu?: number } = {}) {
  const { cpu = 8_000, ...rest } = fields;
  const entry: WorkerEntry = {
    id,
    service: 'ledger',
    address: `10.0.0.1:${1_000 + Number(id.replace(/\D/g, ''))}`,
    dataCentre: 'north',
    isDraining: false,
    capacity: { cpu, memoryMb: 65_536, gpu: 0 },
    labels: ['a', 'r1-1'],
    incarnationStartMs: 1,
    ...rest,
  };
  return entry;
}

/** Adds a worker that has responded to a lease renewal. */
export function addWorker(
  state: CellState,
  id: string,
  fields: Partial<WorkerEntry> & { cpu?: number } = {},
): Worker {
  const worker = makeWorker(workerEntry(id, fields));
  Object.assign(worker, { incarnationStartMs: 1, isSynced: true, isResponsive: true });
  state.workers.set(id, worker);
  return worker;
}

/** Makes the state of a cell with equal workers. */
export function cellWithWorkers(workers: number, cpu = 8_000): CellState {
  const state = makeCellState();
  for (let index = 1; index <= workers; index++) addWorker(state, `w${index}`, { cpu });
  return state;
}

/** Adds a job that was accepted at the given time. */
export function submit(state: CellState, accepted: AcceptedJob, acceptedAtMs = 0): Job {
  return addJob(state, accepted, acceptedAtMs);
}
