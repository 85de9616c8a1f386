/**
 * The client of the other entry processes. Requests to one process share a channel. Pings have a channel of
 * their own, and what may be large or slow has HTTP connections, so that they do not queue behind each other.
 */
import { Right } from 'purify-ts';

import { isNoResponse, makeJsonClient } from '../calls/mod.ts';
import type { JsonClient } from '../calls/mod.ts';
import { makeChannelClient } from '../channel/mod.ts';
import type { SubmitResult } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { ClientRequest, ClientResponse } from '../front/mod.ts';
import type { AcceptedJob, AdviceRequest, JobState, GrantedTickets } from '../model/mod.ts';
import type { OperatorStateMessage } from './operator_state.ts';
import { shiftPort } from './_peer_address.ts';
import type { WorkerCall, WorkerCallResult } from './_worker_calls.ts';

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
  /** Makes a call to a worker with the connections of the other process. */
  callWorker(
    address: string,
    call: WorkerCall,
    timeoutMs: number,
  ): Outcome<Partial<WorkerCallResult>>;
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
const relayTimeoutMs = 1_300;
const operatorStateTimeoutMs = 500;
const schedulerTimeoutMs = 1_600;
const statesTimeoutMs = 500;
const adviceMarginMs = 200;

/**
 * Makes a client of other processes, which uses one of the ports on which each of them listens.
 *
 * @example
 * const peers = makePeerClient(systemClock, { portOffset: choosePortOffset('host-7', 8) });
 * await peers.ping('10.0.0.8:7420', 350);
 */
export function makePeerClient(clock: Clock, { portOffset }: { portOffset: number }): PeerClient {
  const channels = makeClients((address) => makeChannelClient(address, { clock }));
  const httpClients = makeClients((address) =>
    makeJsonClient(address, { connections: connectionsPerPeer, clock }),
  );
  const pingChannels = makeClients((address) => makeChannelClient(address, { clock }));

  /** Returns a function that gets the client of a process, which is made for its first request. */
  function makeClients(
    makeClient: (address: string) => JsonClient,
  ): (address: string) => JsonClient {
    const clients = new Map<string, JsonClient>();
    return (address) => {
      const existing = clients.get(address);
      if (existing) return existing;
      const client = makeClient(shiftPort(address, portOffset));
      clients.set(address, client);
      return client;
    };
  }

  async function requestPeer<T>(
    client: JsonClient,
    path: string,
    { body, timeoutMs }: { body?: unknown; timeoutMs: number },
  ): Outcome<T> {
    const response = await client.request({
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
    const response = await requestPeer<{ results: T[] }>(channels(address), path, {
      body,
      timeoutMs,
    });
    return response.map(({ results }) => results);
  }

  return {
    submit: (address, jobs) => requestScheduler(address, '/submit', jobs),
    getStates: (address, ids) => requestScheduler(address, '/states', ids, statesTimeoutMs),
    cancel: (address, ids) => requestScheduler(address, '/cancel', ids),
    advise: (address, request) =>
      requestPeer(channels(address), '/advise', {
        body: request,
        timeoutMs: request.timeoutMs + adviceMarginMs,
      }),
    callWorker: (address, call, timeoutMs) =>
      requestPeer(channels(address), '/worker', { body: call, timeoutMs }),
    relay: (address, request) =>
      requestPeer(httpClients(address), '/relay', {
        body: { ...request, isRelayed: true },
        timeoutMs: relayTimeoutMs,
      }),
    fetchOperatorState: (address) =>
      requestPeer(httpClients(address), '/wishes', { timeoutMs: operatorStateTimeoutMs }),
    async ping(address, timeoutMs) {
      const response = await pingChannels(address).request({
        method: 'GET',
        path: '/ping',
        timeoutMs,
      });
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
