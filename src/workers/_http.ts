/**
 * The dialect `http-json`: `POST /fence`, `/start`, `/renew`, `/stop` and `/list` with JSON bodies.
 *
 * A refusal is answered with 409 and a kind, `epoch-stale` or `worker-refused`, and with 404 for a
 * task that the worker does not know; in all three cases nothing ran. Starts and the other messages
 * have connections of their own, so that work cannot hold up renewals and stops, and so that the
 * traffic of both is counted apart.
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
import { readWhole } from './_response.ts';
import type { Workers } from './workers.ts';

/** What the client works with, and the limit on exchanges that have none of their own. */
export interface WorkersOptions {
  clock: Clock;
  invariants: InvariantChecker;
  timeoutMs?: number;
}

/** A worker client that owns connections. */
export interface WorkersClient extends Workers {
  /** Bytes exchanged with one worker, or with all: renewals and other control messages, and work. */
  traffic(worker?: string): { control: Traffic; work: Traffic };
  /** Closes the connections to a worker that is not used any more. */
  forget(worker: string): void;
  close(): Promise<void>;
}

interface Link {
  address: string;
  port: number;
  control: ConnectionPool;
  work: ConnectionPool;
}

const defaultTimeoutMs = 2_000;
// One for the renewal that the worker holds open, the others for stops.
const controlConnections = 4;

function unsentOrUnknown({ sent, message }: ExchangeFailure): Failure {
  return makeFailure(sent ? ErrorKind.OutcomeUnknown : ErrorKind.WorkerUnreachable, message);
}

function readRefusal({ status, body }: ExchangeResponse): Failure {
  let answer: { kind?: unknown; message?: unknown } = {};
  try {
    answer = (JSON.parse(body.toString('utf8')) ?? {}) as typeof answer;
  } catch {
    // A body that is not JSON carries no kind.
  }
  const message = String(answer.message ?? `the worker answered ${status}`);
  if (status === 409 && answer.kind === ErrorKind.EpochStale)
    return makeFailure(ErrorKind.EpochStale, message);
  if (status === 409 && answer.kind === ErrorKind.WorkerRefused) {
    return makeFailure(ErrorKind.WorkerRefused, message);
  }
  if (status === 404 && answer.kind === ErrorKind.NotFound)
    return makeFailure(ErrorKind.NotFound, message);
  return makeFailure(ErrorKind.OutcomeUnknown, message, { got: status, expected: 200 });
}

function readAnswer<T>(answer: ExchangeResponse, validator: unknown): Either<Failure, T> {
  if (answer.status !== 200) return Left(readRefusal(answer));
  return readWhole(answer)
    .mapLeft((message) => makeFailure(ErrorKind.OutcomeUnknown, message))
    .chain((value) =>
      decode<T>(validator, value).mapLeft(({ message }) =>
        makeFailure(ErrorKind.OutcomeUnknown, message),
      ),
    );
}

function makeLinks(clock: Clock) {
  const links = new Map<string, Link>();
  const drop = async (id: string, link: Link) => {
    links.delete(id);
    await Promise.all([link.control.close(), link.work.close()]);
  };
  const open = ({ id, address, port, connections }: Upstream): Link => {
    const known = links.get(id);
    if (known?.address === address && known.port === port) return known;
    if (known) drop(id, known).catch(() => undefined);
    const connect = (count: number) =>
      makeConnectionPool({ address, port, clock, connections: count });
    const work = connect(Math.max(1, connections - controlConnections));
    const link = { address, port, control: connect(controlConnections), work };
    links.set(id, link);
    return link;
  };
  return { links, drop, open };
}

function sum(parts: Traffic[]): Traffic {
  const total = { bytesIn: 0, bytesOut: 0 };
  parts.forEach(({ bytesIn, bytesOut }) => {
    total.bytesIn += bytesIn;
    total.bytesOut += bytesOut;
  });
  return total;
}

/**
 * Makes a client of the dialect `http-json`.
 *
 * @example
 * const workers = makeHttpWorkers({ clock: systemClock, invariants });
 * await workers.fence(upstream, { owner: 'entry-1', epoch: 4 });
 */
export function makeHttpWorkers(options: WorkersOptions): WorkersClient {
  const { clock, invariants, timeoutMs: usualTimeoutMs = defaultTimeoutMs } = options;
  const { links, drop, open } = makeLinks(clock);

  async function control<T>(
    worker: Upstream,
    request: { path: string; body: unknown; validator: unknown; timeoutMs?: number },
  ): Outcome<T> {
    const { path, body, validator, timeoutMs = usualTimeoutMs } = request;
    const text = JSON.stringify(body);
    const answer = await open(worker).control.exchange({
      method: 'POST',
      path,
      body: text,
      timeoutMs,
    });
    return answer.mapLeft(unsentOrUnknown).chain((whole) => readAnswer<T>(whole, validator));
  }

  async function controlState(worker: Upstream, path: string, body: unknown) {
    const validator = validators.validateWorkerState;
    const state = await control<WorkerState>(worker, { path, body, validator });
    return state.chain<Failure, WorkerState>((value) => {
      if (value.worker === worker.id) return state;
      const detail = { got: value.worker, expected: worker.id };
      return failWith(ErrorKind.OutcomeUnknown, 'another worker answered', detail);
    });
  }

  return {
    fence: (worker, request) => controlState(worker, '/fence', request),
    list: (worker, request) => controlState(worker, '/list', request),
    renew: (worker, body) =>
      control<RenewAnswer>(worker, {
        path: '/renew',
        body,
        validator: validators.validateRenewAnswer,
        timeoutMs: usualTimeoutMs + (body.waitMs ?? 0),
      }),
    async stop(worker, body) {
      const validator = validators.validateRunningTask;
      const stopped = await control<RunningTask>(worker, { path: '/stop', body, validator });
      return stopped.chain<Failure, RunningTask>(({ task }) => {
        if (task === body.task) return stopped;
        const detail = { got: task, expected: body.task };
        return failWith(ErrorKind.OutcomeUnknown, 'the answer is for another task', detail);
      });
    },
    async start(worker, request, { timeoutMs = usualTimeoutMs, signal } = {}) {
      const body = JSON.stringify(request);
      const { work } = open(worker);
      const answer = (
        await work.exchange({ method: 'POST', path: '/start', body, timeoutMs, signal })
      )
        .mapLeft(unsentOrUnknown)
        .chain((whole) => readAnswer<StartAnswer>(whole, validators.validateStartAnswer));
      return answer.chain<Failure, StartAnswer>(({ task, attempt }) => {
        const isOwn = task === request.task && attempt === request.attempt;
        const got = `${task}/${attempt}`;
        const expected = `${request.task}/${request.attempt}`;
        invariants.check(
          Invariant.WholeAnswer,
          isOwn,
          () => `worker ${worker.id} answered ${got} to ${expected}`,
        );
        if (isOwn) return answer;
        return failWith(ErrorKind.OutcomeUnknown, 'the answer is for another task', {
          got,
          expected,
        });
      });
    },
    traffic(worker) {
      const chosen = [...links].filter(([id]) => worker === undefined || id === worker);
      return {
        control: sum(chosen.map(([, link]) => link.control.traffic())),
        work: sum(chosen.map(([, link]) => link.work.traffic())),
      };
    },
    forget(worker) {
      const link = links.get(worker);
      if (link) drop(worker, link).catch(() => undefined);
    },
    async close() {
      await Promise.all([...links].map(([id, link]) => drop(id, link)));
    },
  };
}
