/**
 * The functions through which the program meets workers.
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
 * A client of the worker protocol. Another dialect is one more implementation.
 *
 * `start` fails with `worker-refused` or `epoch-stale` (certainly not run), `worker-unreachable`
 * (no byte was sent, certainly not run) or `outcome-unknown`.
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
