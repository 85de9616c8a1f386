/**
 * The scheduler's client of the workers of a large fleet: other entry processes make its calls.
 *
 * Orders, leases and fencing tokens stay the scheduler's; a relay only passes a call on. A call that a
 * relay carries out late is like one that the network has delayed: the fencing token of a later session
 * or of a successor blocks it. The calls of one turn of the event loop share a message, so that a call
 * costs the scheduler less, the busier it is.
 *
 * A relay that does not respond gets no calls until it responds to a ping; its workers change to other
 * relays. A worker that does not respond to a relay is called directly for a while.
 */
import type { Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { Rejection } from '../model/mod.ts';
import type { OrderResult, WorkerAddress, WorkerClient, WorkerReport } from '../model/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import { chooseRelays, findRelay } from './_relay_choice.ts';
import { makeWorkerCall } from './_worker_calls.ts';
import type { WorkerCall, WorkerCallResult } from './_worker_calls.ts';
import type { PeerClient } from './peer_client.ts';

/** Dependencies of the client. */
export interface WorkerRelayOptions {
  clock: Clock;
  log: Logger;
  peers: Pick<PeerClient, 'callWorker' | 'ping'>;
  /** The client with this process's own connections. */
  direct: WorkerClient;
  /** The other members. */
  otherMembers(): Member[];
  /** Aborted when this process stops. */
  signal: AbortSignal;
}

/** Time for which a worker that does not respond to its relay is called directly. */
const directCallsMs = 5_000;
/** How long the choice of relays is kept. */
const choiceAgeMs = 1_000;
/** The relay's own timeout of an order is shorter, so that its result arrives. */
const orderTimeoutMs = 1_200;
const renewalTimeoutMarginMs = 1_000;
const readmissionIntervalMs = 1_000;
const pingTimeoutMs = 500;

/**
 * Makes the client.
 *
 * @example
 * const workers = makeWorkerRelays({ clock, log, peers, direct, otherMembers, signal });
 */
export function makeWorkerRelays(options: WorkerRelayOptions): WorkerClient {
  const { clock, log, peers, direct, otherMembers, signal } = options;
  const workerIds = new Set<string>();
  /** Workers that are called directly, and until when. */
  const directUntilMs = new Map<string, number>();
  /** Names of the relays that do not respond. */
  const failedRelays = new Set<string>();
  let relays: Member[] = [];
  let relaysChosenAtMs = -Infinity;
  const relaysByWorker = new Map<string, Member | undefined>();

  function chooseAgain(): void {
    relaysChosenAtMs = clock.now();
    const responsive = otherMembers().filter(({ name }) => !failedRelays.has(name));
    const chosen = chooseRelays(responsive, workerIds.size);
    const isSame = getAddresses(chosen) === getAddresses(relays);
    relays = chosen;
    if (!isSame) relaysByWorker.clear();
  }

  function getRelay(workerId: string): Member | undefined {
    if ((directUntilMs.get(workerId) ?? -Infinity) > clock.now()) return undefined;
    if (clock.now() - relaysChosenAtMs >= choiceAgeMs) chooseAgain();
    if (!relaysByWorker.has(workerId)) relaysByWorker.set(workerId, findRelay(relays, workerId));
    return relaysByWorker.get(workerId);
  }

  const isMember = (relay: Member) => otherMembers().some(({ name }) => name === relay.name);

  /** Leaves out a relay until it responds to a ping, or for good if it leaves the members. */
  async function suspendRelay(relay: Member, reason: unknown): Promise<void> {
    if (failedRelays.has(relay.name)) return;
    failedRelays.add(relay.name);
    chooseAgain();
    log.warn('a relay does not respond', { event: 'relay-silent', relay: relay.name, reason });
    let isResponsive = false;
    while (!isResponsive && isMember(relay) && !signal.aborted) {
      await clock.sleep(readmissionIntervalMs, signal);
      const { instance } = await peers.ping(relay.address, pingTimeoutMs);
      // A process that is stopping responds without an instance.
      isResponsive = instance !== undefined && instance !== '';
    }
    failedRelays.delete(relay.name);
  }

  /** Makes a call, through a relay if the worker has one. */
  async function call(request: WorkerCall, timeoutMs: number): Promise<WorkerCallResult> {
    const { worker } = request;
    workerIds.add(worker.id);
    // The first calls of a term are made in one turn; the number of workers is known after it.
    await undefined;
    const relay = getRelay(worker.id);
    if (!relay) return makeWorkerCall(direct, request);
    const response = await peers.callWorker(relay.address, request, timeoutMs);
    return response.caseOf<WorkerCallResult | Promise<WorkerCallResult>>({
      Left: ({ kind, got }) => {
        suspendRelay(relay, got).catch(logFailure(log, 'the suspension of a relay'));
        return kind === ErrorKind.PeerUnavailable
          ? makeWorkerCall(direct, request)
          : { result: Rejection.Unknown };
      },
      Right: ({ result = Rejection.Unknown, ...rest }) => {
        if (result === Rejection.Unknown || result === Rejection.Unsent) {
          directUntilMs.set(worker.id, clock.now() + directCallsMs);
        }
        return { result, ...rest };
      },
    });
  }

  /** Lets the relay of a worker that has left close its connections. */
  async function disconnectRelay(worker: WorkerAddress): Promise<void> {
    const relay = getRelay(worker.id);
    if (!relay) return;
    const response = await peers.callWorker(
      relay.address,
      { worker, disconnect: true },
      orderTimeoutMs,
    );
    response.ifLeft(({ got }) =>
      log.info('a relay keeps its connections to a worker that has left', {
        event: 'relay-disconnect-failed',
        worker: worker.id,
        relay: relay.name,
        reason: got,
      }),
    );
  }

  async function sendOrder(request: WorkerCall): Promise<OrderResult> {
    const { result, ...rest } = await call(request, orderTimeoutMs);
    return result === null ? rest : { rejection: result as Rejection, ...rest };
  }

  return {
    start: (worker, start) => sendOrder({ worker: pickAddress(worker), start }),
    stop: (worker, stop) => sendOrder({ worker: pickAddress(worker), stop }),
    async renewLease(worker, renewal) {
      const { result } = await call(
        { worker: pickAddress(worker), renewal },
        renewal.waitMs + renewalTimeoutMarginMs,
      );
      return result as WorkerReport | Rejection;
    },
    disconnect(worker) {
      direct.disconnect(worker);
      disconnectRelay(pickAddress(worker)).catch(logFailure(log, 'the disconnection of a relay'));
      workerIds.delete(worker.id);
      directUntilMs.delete(worker.id);
      relaysByWorker.delete(worker.id);
    },
  };
}

function getAddresses(members: Member[]): string {
  return members.map(({ address }) => address).join(' ');
}

/** Leaves out what a call does not need. */
function pickAddress({ id, address }: WorkerAddress): WorkerAddress {
  return { id, address };
}
