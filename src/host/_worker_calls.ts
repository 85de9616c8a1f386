/**
 * Calls to workers that one entry process makes for another.
 */
import type {
  LeaseRenewal,
  OrderResult,
  Rejection,
  StartOrder,
  StopOrder,
  WorkerAddress,
  WorkerClient,
  WorkerReport,
} from '../model/mod.ts';

/** A call to a worker. */
export type WorkerCall = { worker: WorkerAddress } & (
  { start: StartOrder } | { stop: StopOrder } | { renewal: LeaseRenewal } | { disconnect: true }
);

/** The result of a call; `null` stands for an order that was carried out. */
export interface WorkerCallResult {
  result: Rejection | WorkerReport | null;
  /** The worker's clock in its response to an order. */
  clockMs?: number;
}

/** Whether a value that arrived from another process names a worker. */
export function isWorkerCall(value: unknown): value is WorkerCall {
  const { id, address } = (value as Partial<WorkerCall> | null)?.worker ?? {};
  return typeof id === 'string' && typeof address === 'string';
}

function encodeOrderResult({ rejection, ...rest }: OrderResult): WorkerCallResult {
  return { result: rejection ?? null, ...rest };
}

/** Makes a call with this process's own connections. */
export async function makeWorkerCall(
  workers: WorkerClient,
  call: WorkerCall,
): Promise<WorkerCallResult> {
  const { worker } = call;
  if ('start' in call) return encodeOrderResult(await workers.start(worker, call.start));
  if ('stop' in call) return encodeOrderResult(await workers.stop(worker, call.stop));
  if ('renewal' in call) return { result: await workers.renewLease(worker, call.renewal) };
  workers.disconnect(worker);
  return { result: null };
}
