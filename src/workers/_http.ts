/**
 * Client for the `http-json` dialect of the worker protocol: `POST /fence`, `/start`, `/renew`,
 * `/stop` and `/list` with JSON bodies.
 *
 * A worker rejects a request with status 409 and the kind `epoch-stale` or `worker-refused`, or
 * with 404 for an unknown task; in all three cases nothing ran. Starts use other connections than
 * control requests, so that they cannot delay renewals and stops, and the traffic of both is
 * counted separately.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';
import type {
  ConnectionPool,
  ExchangeResponse,
  ExchangeFailure,
  Traffic,
} from '../exchange/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type {
  RenewAnswer,
  RunningTask,
  StartAnswer,
  Upstream,
  WorkerState,
} from '../schema/mod.ts';
import { parseCompleteResponse } from './_response.ts';
import type { Workers } from './workers.ts';

/** Dependencies of the client, and the timeout of requests that do not set their own. */
export interface WorkersOptions {
  clock: Clock;
  invariants: InvariantChecker;
  timeoutMs?: number;
}

/** A worker client that owns connections. */
export interface WorkersClient extends Workers {
  /** Bytes exchanged with one worker or all of them: starts (`work`) and control requests. */
  traffic(worker?: string): { control: Traffic; work: Traffic };
  /** Closes the connections to a worker that is no longer used. */
  forget(worker: string): void;
  close(): Promise<void>;
}

interface WorkerConnections {
  address: string;
  port: number;
  control: ConnectionPool;
  work: ConnectionPool;
}

const defaultTimeoutMs = 2_000;
// One for the renewal that the worker keeps open, the others for stops.
const controlConnections = 4;

function toFailure({ mayBeSent: sent, message }: ExchangeFailure): Failure {
  return makeFailure(sent ? ErrorKind.OutcomeUnknown : ErrorKind.WorkerUnreachable, message);
}

function decodeRejection({ status, body }: ExchangeResponse): Failure {
  let rejection: { kind?: unknown; message?: unknown } = {};
  try {
    rejection = (JSON.parse(body.toString('utf8')) ?? {}) as typeof rejection;
  } catch {
    // A body that is not JSON has no kind, so the outcome is unknown.
  }
  const message = String(rejection.message ?? `the worker answered ${status}`);
  if (status === 409 && rejection.kind === ErrorKind.EpochStale)
    return makeFailure(ErrorKind.EpochStale, message);
  if (status === 409 && rejection.kind === ErrorKind.WorkerRefused) {
    return makeFailure(ErrorKind.WorkerRefused, message);
  }
  if (status === 404 && rejection.kind === ErrorKind.NotFound)
    return makeFailure(ErrorKind.NotFound, message);
  return makeFailure(ErrorKind.OutcomeUnknown, message, { got: status, expected: 200 });
}

function decodeResponse<T>(response: ExchangeResponse, validator: unknown): Either<Failure, T> {
  if (response.status !== 200) return Left(decodeRejection(response));
  return parseCompleteResponse(response)
    .mapLeft((message) => makeFailure(ErrorKind.OutcomeUnknown, message))
    .chain((value) =>
      decode<T>(validator, value).mapLeft(({ message }) =>
        makeFailure(ErrorKind.OutcomeUnknown, message),
      ),
    );
}

function makeConnectionRegistry(clock: Clock) {
  const connectionsById = new Map<string, WorkerConnections>();
  const closeConnections = async (id: string, pools: WorkerConnections) => {
    connectionsById.delete(id);
    await Promise.all([pools.control.close(), pools.work.close()]);
  };
  const openConnections = ({ id, address, port, connections }: Upstream): WorkerConnections => {
    const existing = connectionsById.get(id);
    if (existing?.address === address && existing.port === port) return existing;
    if (existing) closeConnections(id, existing).catch(() => undefined);
    const connect = (count: number) =>
      makeConnectionPool({ address, port, clock, connections: count });
    const work = connect(Math.max(1, connections - controlConnections));
    const pools = { address, port, control: connect(controlConnections), work };
    connectionsById.set(id, pools);
    return pools;
  };
  return { connectionsById, closeConnections, openConnections };
}

function sumTraffic(counters: Traffic[]): Traffic {
  const total = { bytesIn: 0, bytesOut: 0 };
  counters.forEach(({ bytesIn, bytesOut }) => {
    total.bytesIn += bytesIn;
    total.bytesOut += bytesOut;
  });
  return total;
}

/**
 * Creates a client for the `http-json` dialect.
 *
 * @example
 * const workers = makeHttpWorkers({ clock: systemClock, invariants });
 * await workers.fence(upstream, { owner: 'entry-1', epoch: 4 });
 */
export function makeHttpWorkers(options: WorkersOptions): WorkersClient {
  const { clock, invariants, timeoutMs: clientTimeoutMs = defaultTimeoutMs } = options;
  const { connectionsById, closeConnections, openConnections } = makeConnectionRegistry(clock);

  async function sendControl<T>(
    worker: Upstream,
    request: { path: string; body: unknown; validator: unknown; timeoutMs?: number },
  ): Outcome<T> {
    const { path, body, validator, timeoutMs = clientTimeoutMs } = request;
    const text = JSON.stringify(body);
    const outcome = await openConnections(worker).control.exchange({
      method: 'POST',
      path,
      body: text,
      timeoutMs,
    });
    return outcome.mapLeft(toFailure).chain((response) => decodeResponse<T>(response, validator));
  }

  async function requestState(worker: Upstream, path: string, body: unknown) {
    const validator = validators.validateWorkerState;
    const outcome = await sendControl<WorkerState>(worker, { path, body, validator });
    return outcome.chain<Failure, WorkerState>((value) => {
      if (value.worker === worker.id) return outcome;
      const detail = { got: value.worker, expected: worker.id };
      return failWith(ErrorKind.OutcomeUnknown, 'another worker answered', detail);
    });
  }

  return {
    fence: (worker, request) => requestState(worker, '/fence', request),
    list: (worker, request) => requestState(worker, '/list', request),
    renew: (worker, body) =>
      sendControl<RenewAnswer>(worker, {
        path: '/renew',
        body,
        validator: validators.validateRenewAnswer,
        timeoutMs: clientTimeoutMs + (body.waitMs ?? 0),
      }),
    async stop(worker, body) {
      const validator = validators.validateRunningTask;
      const outcome = await sendControl<RunningTask>(worker, { path: '/stop', body, validator });
      return outcome.chain<Failure, RunningTask>(({ task }) => {
        if (task === body.task) return outcome;
        const detail = { got: task, expected: body.task };
        return failWith(ErrorKind.OutcomeUnknown, 'the answer is for another task', detail);
      });
    },
    async start(worker, request, { timeoutMs = clientTimeoutMs, signal } = {}) {
      const body = JSON.stringify(request);
      const { work } = openConnections(worker);
      const outcome = (
        await work.exchange({ method: 'POST', path: '/start', body, timeoutMs, signal })
      )
        .mapLeft(toFailure)
        .chain((response) => decodeResponse<StartAnswer>(response, validators.validateStartAnswer));
      return outcome.chain<Failure, StartAnswer>(({ task, attempt }) => {
        const isMatching = task === request.task && attempt === request.attempt;
        const got = `${task}/${attempt}`;
        const expected = `${request.task}/${request.attempt}`;
        invariants.check(
          Invariant.WholeAnswer,
          isMatching,
          () => `worker ${worker.id} answered ${got} to ${expected}`,
        );
        if (isMatching) return outcome;
        return failWith(ErrorKind.OutcomeUnknown, 'the answer is for another task', {
          got,
          expected,
        });
      });
    },
    traffic(worker) {
      const selected = [...connectionsById].filter(([id]) => worker === undefined || id === worker);
      return {
        control: sumTraffic(selected.map(([, pools]) => pools.control.traffic())),
        work: sumTraffic(selected.map(([, pools]) => pools.work.traffic())),
      };
    },
    forget(worker) {
      const pools = connectionsById.get(worker);
      if (pools) closeConnections(worker, pools).catch(() => undefined);
    },
    async close() {
      await Promise.all([...connectionsById].map(([id, pools]) => closeConnections(id, pools)));
    },
  };
}
