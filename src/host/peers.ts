/**
 * Calls between entry processes, as their server and their client.
 */
import { Right } from 'purify-ts';

import { isNoResponse, makeJsonClient } from '../calls/mod.ts';
import type { JsonClient } from '../calls/mod.ts';
import { SubmitResult } from '../cell/mod.ts';
import type { CellService } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import { listen } from '../front/mod.ts';
import type {
  ClientAnswer,
  ClientCall,
  HttpAnswer,
  HttpRequest,
  HttpServer,
} from '../front/mod.ts';
import type {
  AcceptedJob,
  AdviceRequest,
  Adviser,
  JobState,
  GrantedTickets,
} from '../model/mod.ts';
import type { WishesMessage } from './operator_state.ts';

/** What a process does for the others. */
export interface PeerService {
  /** The instance of this process; empty once it is stopping and schedules no more. */
  instance(): string;
  advise: Adviser;
  relay(call: ClientCall): Promise<ClientAnswer>;
  wishes(): WishesMessage | undefined;
  /** The scheduler's service while this process is the scheduler. */
  cell(): CellService | undefined;
}

/** What a process tells of itself, or how it fails to do so. */
export interface Pong {
  /** The instance that listens there; undefined without an answer. */
  instance?: string;
  /** Nothing listens there. */
  isRefused: boolean;
  /** Time for which the store has answered none of its attempts to write, as scheduler. */
  storeFailingMs: number;
  /** Time for which the store has rejected all that the process writes as scheduler. */
  storeRejectedMs: number;
}

/** Calls to other processes. */
export interface PeerClient {
  advise(address: string, question: AdviceRequest): Outcome<GrantedTickets>;
  relay(address: string, call: ClientCall): Outcome<ClientAnswer>;
  wishes(address: string): Outcome<WishesMessage>;
  /** Hands jobs to the scheduler; the results are in their order, and so for the other calls. */
  submit(address: string, jobs: AcceptedJob[]): Outcome<SubmitResult[]>;
  /** Asks the scheduler for the stored states of jobs. */
  states(address: string, ids: string[]): Outcome<(JobState | undefined)[]>;
  /** Cancels jobs; false where that may not be stored. */
  cancel(address: string, ids: string[]): Outcome<boolean[]>;
  ping(address: string, timeoutMs: number): Promise<Pong>;
}

const serverErrorStatus = 500;
const unavailableStatus = 503;
const connections = 16;
const relayTimeoutMs = 1_300;
const wishesTimeoutMs = 500;
const cellTimeoutMs = 1_600;
const statesTimeoutMs = 500;
const adviceMarginMs = 200;
const maxBodyBytes = 1_048_576;

function json(status: number, value: unknown): HttpAnswer {
  return { status, body: JSON.stringify(value ?? {}) };
}

/**
 * Serves the other processes.
 *
 * @example
 * const server = await servePeers('10.0.0.7:7420', service);
 */
export function servePeers(
  address: string,
  service: PeerService,
  onError: (error: unknown) => void,
): Promise<HttpServer> {
  /** Answers the calls to the scheduler; undefined for other paths. */
  async function handleCell({ path, body }: HttpRequest): Promise<HttpAnswer | undefined> {
    const cell = service.cell();
    if (path === '/submit') {
      const jobs = JSON.parse(body) as AcceptedJob[];
      const outcomes = jobs.map((job) => cell?.submit(job) ?? SubmitResult.NotTaken);
      return json(200, { results: await Promise.all(outcomes) });
    }
    if (path === '/states') {
      const ids = JSON.parse(body) as string[];
      return json(200, { results: ids.map((id) => cell?.stateOf(id) ?? null) });
    }
    if (path === '/cancel') {
      const ids = JSON.parse(body) as string[];
      return json(200, { results: await Promise.all(ids.map((id) => cell?.cancel(id) ?? false)) });
    }
    return undefined;
  }

  async function handle(request: HttpRequest): Promise<HttpAnswer> {
    return (await handleCell(request)) ?? handlePeer(request);
  }

  async function handlePeer({ path, body }: HttpRequest): Promise<HttpAnswer> {
    if (path === '/ping')
      return json(200, {
        instance: service.instance(),
        storeFailingMs: service.cell()?.storeFailingMs() ?? 0,
        storeRejectedMs: service.cell()?.storeRejectedMs() ?? 0,
      });
    if (path === '/wishes') {
      const message = service.wishes();
      return message ? json(200, message) : json(503, {});
    }
    if (path === '/relay') {
      return json(200, await service.relay(JSON.parse(body) as ClientCall));
    }
    if (path === '/advise') {
      const tickets = await service.advise(JSON.parse(body) as AdviceRequest);
      return tickets.caseOf({
        Left: ({ message }) => json(503, { message }),
        Right: (value) => json(200, value),
      });
    }
    return json(404, {});
  }
  return listen({ address, maxBodyBytes: () => maxBodyBytes, handle, onError });
}

/**
 * Makes the client of the other processes.
 *
 * @example
 * const peers = makePeerClient(systemClock);
 * await peers.ping('10.0.0.8:7420', 350);
 */
export function makePeerClient(clock: Clock): PeerClient {
  const callers = new Map<string, JsonClient>();

  function callerOf(address: string): JsonClient {
    const known = callers.get(address);
    if (known) return known;
    const caller = makeJsonClient(address, { connections, clock });
    callers.set(address, caller);
    return caller;
  }

  async function call<T>(
    address: string,
    path: string,
    { body, timeoutMs }: { body?: unknown; timeoutMs: number },
  ): Outcome<T> {
    const answer = await callerOf(address).request({
      method: body === undefined ? 'GET' : 'POST',
      path,
      ...(body === undefined ? {} : { body }),
      timeoutMs,
    });
    if (isNoResponse(answer)) {
      const kind = answer.unsent ? ErrorKind.PeerUnavailable : ErrorKind.OutcomeUnknown;
      return failWith(kind, 'the other process did not answer', { got: answer.reason });
    }
    if (answer.status !== 200) {
      // An error of the server may come after a part of the call has taken effect.
      const isCertain = answer.status < serverErrorStatus || answer.status === unavailableStatus;
      const kind = isCertain ? ErrorKind.PeerUnavailable : ErrorKind.OutcomeUnknown;
      return failWith(kind, 'the other process rejected the call', {
        got: answer.status,
      });
    }
    return Right(answer.body as T);
  }

  async function callCell<T>(
    address: string,
    path: string,
    body: unknown,
    timeoutMs = cellTimeoutMs,
  ): Outcome<T[]> {
    const answer = await call<{ results: T[] }>(address, path, { body, timeoutMs });
    return answer.map(({ results }) => results);
  }

  return {
    submit: (address, jobs) => callCell(address, '/submit', jobs),
    states: (address, ids) => callCell(address, '/states', ids, statesTimeoutMs),
    cancel: (address, ids) => callCell(address, '/cancel', ids),
    advise: (address, question) =>
      call(address, '/advise', {
        body: question,
        timeoutMs: question.timeoutMs + adviceMarginMs,
      }),
    relay: (address, relayed) =>
      call(address, '/relay', {
        body: { ...relayed, isRelayed: true },
        timeoutMs: relayTimeoutMs,
      }),
    wishes: (address) => call(address, '/wishes', { timeoutMs: wishesTimeoutMs }),
    async ping(address, timeoutMs) {
      const answer = await callerOf(address).request({
        method: 'GET',
        path: '/ping',
        timeoutMs,
      });
      if (isNoResponse(answer)) {
        return { isRefused: answer.isConnectionRefused, storeFailingMs: 0, storeRejectedMs: 0 };
      }
      const { instance, storeFailingMs, storeRejectedMs } = answer.body;
      return {
        instance: String(instance),
        isRefused: false,
        storeFailingMs: Number(storeFailingMs),
        storeRejectedMs: Number(storeRejectedMs),
      };
    },
  };
}
