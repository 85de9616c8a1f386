/**
 * The interface of the worker protocol.
 */
import type { Outcome } from '../errors/mod.ts';
import type {
  FenceRequest,
  RenewAnswer,
  RenewRequest,
  RunningTask,
  StartAnswer,
  StartRequest,
  StopRequest,
  Upstream,
  WorkerState,
} from '../schema/mod.ts';

/**
 * A client of the worker protocol; each dialect has its own implementation.
 *
 * `start` fails with `worker-refused` or `epoch-stale` (the task did not run), `worker-unreachable`
 * (no byte was sent, so the task did not run) or `outcome-unknown`.
 */
export interface Workers {
  fence(worker: Upstream, request: FenceRequest): Outcome<WorkerState>;
  start(
    worker: Upstream,
    request: StartRequest,
    options?: { timeoutMs?: number; signal?: AbortSignal },
  ): Outcome<StartAnswer>;
  renew(worker: Upstream, request: RenewRequest): Outcome<RenewAnswer>;
  stop(worker: Upstream, request: StopRequest): Outcome<RunningTask>;
  list(worker: Upstream, request: { epoch: number }): Outcome<WorkerState>;
}
