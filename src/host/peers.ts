/**
 * Server and client of the HTTP interface between entry processes.
 */
import { Right } from 'purify-ts';

import { isNoResponse, makeJsonClient } from '../calls/mod.ts';
import type { JsonClient } from '../calls/mod.ts';
import { isAcceptedJob, SubmitResult } from '../cell/mod.ts';
import type { SchedulerService } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import { listen } from '../front/mod.ts';
import type {
  ClientRequest,
  ClientResponse,
  HttpRequest,
  HttpResponse,
  HttpServer,
} from '../front/mod.ts';
import type {
  AcceptedJob,
  AdviceRequest,
  Adviser,
  JobState,
  GrantedTickets,
} from '../model/mod.ts';
import type { OperatorStateMessage } from './operator_state.ts';

/** Handles the requests of other processes. */
export interface PeerService {
  /** The instance of this process; empty once it is stopping and no longer schedules. */
  instance(): string;
  advise: Adviser;
  relay(request: ClientRequest): Promise<ClientResponse>;
  operatorState(): OperatorStateMessage | undefined;
  /** The scheduler's service while this process is the scheduler. */
  scheduler(): SchedulerService | undefined;
}

/** The response to a ping, or the way in which it failed. */
export interface PingResult {
  /** The instance that listens at the address; undefined without a response. */
  instance?: string;
  /** Whether nothing listens at the address. */
  isConnectionRefused: boolean;
  /** Epoch of the term that the process holds; 0 without one. */
  epoch: number;
  /** Time for which the store has answered none of the scheduler's writes. */
  storeFailingMs: number;
  /** Time for which the store has rejected all of the scheduler's writes. */
  storeRejectedMs: number;
}

/** Sends requests to other processes. */
export interface PeerClient {
  advise(address: string, request: AdviceRequest): Outcome<GrantedTickets>;
  relay(address: string, request: ClientRequest): Outcome<ClientResponse>;
  fetchOperatorState(address: string): Outcome<OperatorStateMessage>;
  /** Submits jobs to the scheduler; here and below, results are in the order of the argument. */
  submit(address: string, jobs: AcceptedJob[]): Outcome<SubmitResult[]>;
  /** Gets the stored states of jobs from the scheduler. */
  getStates(address: string, ids: string[]): Outcome<(JobState | undefined)[]>;
  /** Cancels jobs; false where the cancellation may not be stored. */
  cancel(address: string, ids: string[]): Outcome<boolean[]>;
  ping(address: string, timeoutMs: number): Promise<PingResult>;
}

const serverErrorStatus = 500;
const unavailableStatus = 503;
/** Each connection has to be accepted by a new scheduler, which takes one at a time. */
const connectionsPerPeer = 6;
const pingConnectionsPerPeer = 4;
const relayTimeoutMs = 1_300;
const operatorStateTimeoutMs = 500;
const schedulerTimeoutMs = 1_600;
const statesTimeoutMs = 500;
const adviceMarginMs = 200;
const maxBodyBytes = 1_048_576;

function respondJson(status: number, value: unknown): HttpResponse {
  return { status, body: JSON.stringify(value ?? {}) };
}

/** Returns the address with a port that is higher by the offset. */
function shiftPort(address: string, offset: number): string {
  const [host = '', port = ''] = address.split(':');
  return `${host}:${Number(port) + offset}`;
}

/** Chooses the port that a process uses at the others, so that processes spread over the ports. */
export function choosePortOffset(name: string, ports: number): number {
  return [...name].reduce((offset, letter) => (offset * 31 + letter.charCodeAt(0)) % ports, 0);
}

const isString = (value: unknown): value is string => typeof value === 'string';

/** Parses a list of values; undefined if the text is malformed or a value is of another type. */
function parseList<Value>(
  text: string,
  isValue: (value: unknown) => value is Value,
): Value[] | undefined {
  try {
    const values: unknown = JSON.parse(text);
    return Array.isArray(values) && values.every(isValue) ? values : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Serves the requests of other processes on several consecutive ports. Node accepts one connection of
 * a listener in each turn of the event loop, which is too slow for the connections of a large fleet to
 * a new scheduler.
 *
 * @example
 * const servers = await servePeers({ address: '10.0.0.7:7420', ports: 8 }, service, onError);
 */
export function servePeers(
  { address, ports }: { address: string; ports: number },
  service: PeerService,
  onError: (error: unknown) => void,
): Promise<HttpServer[]> {
  function rejectMalformed(path: string, expected: string): HttpResponse {
    const message = `${path}: expected ${expected}`;
    onError(new Error(message));
    return respondJson(400, { message });
  }

  /** Serves the requests to the scheduler; undefined for other paths. */
  async function handleSchedulerRequest({
    path,
    body,
  }: HttpRequest): Promise<HttpResponse | undefined> {
    const scheduler = service.scheduler();
    if (path === '/submit') {
      const jobs = parseList(body, isAcceptedJob);
      if (!jobs) return rejectMalformed(path, 'a list of accepted jobs');
      const outcomes = jobs.map((job) => scheduler?.submit(job) ?? SubmitResult.NotTaken);
      return respondJson(200, { results: await Promise.all(outcomes) });
    }
    if (path === '/states') {
      const ids = parseList(body, isString);
      if (!ids) return rejectMalformed(path, 'a list of ids');
      return respondJson(200, { results: ids.map((id) => scheduler?.getStoredState(id) ?? null) });
    }
    if (path === '/cancel') {
      const ids = parseList(body, isString);
      if (!ids) return rejectMalformed(path, 'a list of ids');
      return respondJson(200, {
        results: await Promise.all(ids.map((id) => scheduler?.cancel(id) ?? false)),
      });
    }
    return undefined;
  }

  async function handle(request: HttpRequest): Promise<HttpResponse> {
    return (await handleSchedulerRequest(request)) ?? handlePeerRequest(request);
  }

  async function handlePeerRequest({ path, body }: HttpRequest): Promise<HttpResponse> {
    if (path === '/ping')
      return respondJson(200, {
        instance: service.instance(),
        epoch: service.scheduler()?.epoch ?? 0,
        storeFailingMs: service.scheduler()?.storeFailingMs() ?? 0,
        storeRejectedMs: service.scheduler()?.storeRejectedMs() ?? 0,
      });
    if (path === '/wishes') {
      const message = service.operatorState();
      return message ? respondJson(200, message) : respondJson(503, {});
    }
    if (path === '/relay') {
      return respondJson(200, await service.relay(JSON.parse(body) as ClientRequest));
    }
    if (path === '/advise') {
      const tickets = await service.advise(JSON.parse(body) as AdviceRequest);
      return tickets.caseOf({
        Left: ({ message }) => respondJson(503, { message }),
        Right: (value) => respondJson(200, value),
      });
    }
    return respondJson(404, {});
  }
  return Promise.all(
    Array.from({ length: ports }, (_, index) =>
      listen({
        address: shiftPort(address, index),
        maxBodyBytes: () => maxBodyBytes,
        handle,
        onError,
      }),
    ),
  );
}

/**
 * Makes a client of other processes, which uses one of the ports on which each of them listens.
 *
 * @example
 * const peers = makePeerClient(systemClock, { portOffset: choosePortOffset('host-7', 8) });
 * await peers.ping('10.0.0.8:7420', 350);
 */
export function makePeerClient(clock: Clock, { portOffset }: { portOffset: number }): PeerClient {
  const clients = new Map<string, JsonClient>();

  // Pings have connections of their own, so that they do not queue behind other requests.
  const pingClients = new Map<string, JsonClient>();

  function getClient(
    address: string,
    { cache = clients, connections = connectionsPerPeer } = {},
  ): JsonClient {
    const existing = cache.get(address);
    if (existing) return existing;
    const client = makeJsonClient(shiftPort(address, portOffset), { connections, clock });
    cache.set(address, client);
    return client;
  }

  async function requestPeer<T>(
    address: string,
    path: string,
    { body, timeoutMs }: { body?: unknown; timeoutMs: number },
  ): Outcome<T> {
    const response = await getClient(address).request({
      method: body === undefined ? 'GET' : 'POST',
      path,
      ...(body === undefined ? {} : { body }),
      timeoutMs,
    });
    if (isNoResponse(response)) {
      const kind = response.unsent ? ErrorKind.PeerUnavailable : ErrorKind.OutcomeUnknown;
      return failWith(kind, 'the other process did not respond', { got: response.reason });
    }
    if (response.status !== 200) {
      // A server error may occur after a part of the request has taken effect.
      const isWithoutEffect =
        response.status < serverErrorStatus || response.status === unavailableStatus;
      const kind = isWithoutEffect ? ErrorKind.PeerUnavailable : ErrorKind.OutcomeUnknown;
      return failWith(kind, 'the other process rejected the request', {
        got: response.status,
      });
    }
    return Right(response.body as T);
  }

  async function requestScheduler<T>(
    address: string,
    path: string,
    body: unknown,
    timeoutMs = schedulerTimeoutMs,
  ): Outcome<T[]> {
    const response = await requestPeer<{ results: T[] }>(address, path, { body, timeoutMs });
    return response.map(({ results }) => results);
  }

  return {
    submit: (address, jobs) => requestScheduler(address, '/submit', jobs),
    getStates: (address, ids) => requestScheduler(address, '/states', ids, statesTimeoutMs),
    cancel: (address, ids) => requestScheduler(address, '/cancel', ids),
    advise: (address, request) =>
      requestPeer(address, '/advise', {
        body: request,
        timeoutMs: request.timeoutMs + adviceMarginMs,
      }),
    relay: (address, request) =>
      requestPeer(address, '/relay', {
        body: { ...request, isRelayed: true },
        timeoutMs: relayTimeoutMs,
      }),
    fetchOperatorState: (address) =>
      requestPeer(address, '/wishes', { timeoutMs: operatorStateTimeoutMs }),
    async ping(address, timeoutMs) {
      const client = getClient(address, {
        cache: pingClients,
        connections: pingConnectionsPerPeer,
      });
      const response = await client.request({ method: 'GET', path: '/ping', timeoutMs });
      if (isNoResponse(response)) {
        return {
          isConnectionRefused: response.isConnectionRefused,
          epoch: 0,
          storeFailingMs: 0,
          storeRejectedMs: 0,
        };
      }
      const { instance, epoch, storeFailingMs, storeRejectedMs } = response.body;
      return {
        instance: String(instance),
        isConnectionRefused: false,
        epoch: Number(epoch),
        storeFailingMs: Number(storeFailingMs),
        storeRejectedMs: Number(storeRejectedMs),
      };
    },
  };
}
