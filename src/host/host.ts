/**
 * Connects the parts of an entry process on the users' platform.
 */
import { getMaxValueBytes, makeLeadership, makeTerm, ringSuccessors } from '../cell/mod.ts';
import type { Leadership, Member } from '../cell/mod.ts';
import type { Clock, Random } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import { handleClientRequest, makeFrontEnd } from '../front/mod.ts';
import type { HttpServer } from '../front/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Adviser, Store, WorkerClient } from '../model/mod.ts';
import {
  configurationKey,
  decodeConfiguration,
  decodeJob,
  decodeWorker,
  encodePending,
  encodeState,
  parseEvacuatedDataCentre,
  isJobId,
  operatorTable,
  registryTable,
} from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import type { HostMetrics } from './host_metrics.ts';
import { makeHostStore } from './host_store.ts';
import { makeHostAdvicePool } from './host_advice_pool.ts';
import { makeCandidacy } from './candidacy.ts';
import type { Candidacy } from './candidacy.ts';
import { makeHandOvers } from './hand_over.ts';
import { makeRouteSource } from './route_source.ts';
import { makeRequestsInFlight, makeSchedulerClient } from './scheduler_client.ts';
import { makeMembership } from './membership.ts';
import { makeOwnMember } from './own_member.ts';
import { makePeerGroup } from './peer_group.ts';
import { choosePortOffset } from './_peer_address.ts';
import { makePeerClient } from './peer_client.ts';
import { makeSchedulerHints } from './scheduler_hints.ts';
import { makeSchedulerMonitor } from './scheduler_monitor.ts';
import { runForever } from './run_forever.ts';
import { startServers } from './_servers.ts';
import { makeTermHolder } from './term_holder.ts';
import { makeWorkerCall } from './_worker_calls.ts';
import { makeWorkerRelays } from './worker_relays.ts';
import { makeOperatorStateSource } from './operator_state.ts';

/** Settings and dependencies of an entry process. */
export interface HostOptions {
  settings: ProcessSettings;
  clock: Clock;
  random: Random;
  logs: { host: Logger; front: Logger; cell: Logger };
  store: Store;
  workers: WorkerClient;
  adviser: Adviser | undefined;
  /** Counts and times the requests of clients. */
  timeRequests: HostMetrics['timeRequests'];
}

/** An entry process. */
export interface Host {
  start(): Promise<void>;
  /** Resigns and completes the requests in flight; resolves when the process may exit. */
  stop(): Promise<void>;
  /** Gives up the scheduler's role, if this process holds it. */
  resign(): Promise<void>;
  /** Stops at once without resigning, like a killed process. */
  kill(): void;
}

const configurationAgeMarginMs = 350;
const drainDelayMs = 2_300;
const drainPollMs = 50;
const graceMarginMs = 900;
const resignTimeoutMs = 2_000;
const maxPeerPorts = 8;

/**
 * Makes an entry process.
 *
 * @example
 * const host = makeHost(options);
 * await host.start();
 */
export function makeHost(options: HostOptions): Host {
  const { settings, clock, random, logs, adviser } = options;
  const storeHealth = makeHostStore(options.store, settings.maxRowBytes);
  const { store } = storeHealth;
  const shutdown = new AbortController();
  const ownMember = makeOwnMember(settings, clock);
  const { initial: self } = ownMember;
  const peerPorts = Math.min(settings.peerPorts, maxPeerPorts);
  const peers = makePeerClient(clock, { portOffset: choosePortOffset(self.name, peerPorts) });
  let servers: HttpServer[] = [];
  // Set below: the election depends on the parts that read the claim from here.
  const election: { leadership?: Leadership; candidacy?: Candidacy } = {};
  const membership = makeMembership({
    store,
    clock,
    log: logs.host,
    self: () => ownMember.current(servers[0]?.openConnections() ?? 0),
    isCandidate: () => election.candidacy?.isCandidate() ?? true,
  });
  let isDraining = false;

  function otherMembers(): Member[] {
    const claim = election.leadership?.claim();
    return ringSuccessors(membership.members(), self.name).sort(
      (a, b) => Number(b.instance === claim?.instance) - Number(a.instance === claim?.instance),
    );
  }

  const peerGroup = makePeerGroup(peers, otherMembers);
  const operatorState = makeOperatorStateSource({
    store,
    clock,
    log: logs.host,
    table: operatorTable,
    configurationKey,
    decodeConfiguration,
    parseEvacuatedDataCentre,
    fetchFromPeers: peerGroup.fetchOperatorState,
  });

  const advise: Adviser =
    adviser ??
    (() => Promise.resolve(failWith(ErrorKind.PeerUnavailable, 'no advice service is set')));
  const advicePool = makeHostAdvicePool({ clock, self, membership, peers, advise });

  const workers = makeWorkerRelays({
    clock,
    log: logs.cell,
    peers,
    direct: options.workers,
    otherMembers: () => membership.members().filter(({ name }) => name !== self.name),
    signal: shutdown.signal,
  });
  const termHolder = makeTermHolder({
    log: logs.cell,
    makeTerm: (won, onEnded) =>
      makeTerm({
        store,
        workers,
        clock,
        log: logs.cell,
        advicePool,
        registryTable,
        decodeWorker,
        operatorState: operatorState.current,
        claim: { epoch: won.epoch, instance: self.instance, sequence: won.sequence },
        predecessorMayAct: won.predecessorMayAct,
        maxLeaseMs: settings.maxLeaseMs,
        maxRowBytes: settings.maxRowBytes,
        onEnded,
      }),
  });

  const candidacy = makeCandidacy({
    clock,
    name: self.name,
    members: membership.members,
    claim: () => election.leadership?.claim(),
  });
  election.candidacy = candidacy;

  const leadership = makeLeadership({
    store,
    clock,
    random,
    log: logs.cell,
    self: { name: self.name, instance: self.instance, address: self.address },
    claimDelayMs: candidacy.claimDelayMs,
    isCandidate: candidacy.isCandidate,
    mayClaim: () => !isDraining && operatorState.current() !== undefined,
    onClaimWon: termHolder.begin,
    onOtherClaim: termHolder.stop,
  });
  election.leadership = leadership;
  const getRoutes = makeRouteSource({
    clock,
    operatorState: operatorState.current,
    maxAgeMs: settings.maxConfigurationDelayMs - configurationAgeMarginMs,
  });

  const requestsInFlight = makeRequestsInFlight(clock);
  const schedulerMonitor = makeSchedulerMonitor({
    clock,
    log: logs.host,
    peers,
    leadership,
    isStoreServing: storeHealth.isServing,
    isCandidate: candidacy.isCandidate,
    oldestRequestMs: requestsInFlight.oldestMs,
    self,
  });

  const schedulerClient = makeSchedulerClient({
    clock,
    log: logs.front,
    peers,
    requestsInFlight,
    localService: termHolder.service,
    remoteClaim() {
      const claim = schedulerMonitor.remoteClaim();
      return schedulerMonitor.isResponsive() ? claim : undefined;
    },
  });

  const frontEnd = makeFrontEnd({
    store,
    scheduler: schedulerClient,
    clock,
    log: logs.front,
    getRoutes,
    ...makeSchedulerHints({ clock, heartbeat: leadership.heartbeat }),
    isStoreDown: storeHealth.isDown,
    maxJobBytes: getMaxValueBytes(settings.maxRowBytes),
    relay: peerGroup.relay,
    isJobId,
    decodeJob,
    encodeState,
    encodePending,
  });

  const onError = logFailure(logs.host, 'a request or a background loop');
  const runHandOvers = makeHandOvers({
    clock,
    log: logs.host,
    peers,
    isTermCalm: () => !isDraining && termHolder.isCalm(),
    betterMember: candidacy.betterMember,
    resign,
  });

  function resign(): Promise<void> {
    const resignation = leadership.resign(resignTimeoutMs);
    termHolder.stop();
    return resignation;
  }

  function kill(): void {
    shutdown.abort();
    termHolder.stop();
    servers.forEach((server) => server.close());
  }

  return {
    kill,
    resign,

    async start() {
      servers = await startServers({
        settings,
        peerPorts,
        log: logs.host,
        onError,
        maxCallerBodyBytes: () => operatorState.current()?.configuration.maxBodyBytes,
        handleCaller: options.timeRequests((request) => handleClientRequest(frontEnd, request)),
        isReady: () => !isDraining && getRoutes() !== undefined,
        peerService: {
          instance: () => (isDraining ? '' : self.instance),
          advise,
          relay: frontEnd.handle,
          callWorker: (call) => makeWorkerCall(options.workers, call),
          operatorState: operatorState.toMessage,
          scheduler: termHolder.service,
        },
      });
      logs.host.info('started', { event: 'start', ...self });
      const { run: monitor } = schedulerMonitor;
      const loops = [operatorState.run, membership.run, leadership.run, monitor, runHandOvers];
      const { signal } = shutdown;
      loops.forEach((loop) => runForever(loop, { clock, onError, signal }).catch(onError));
    },

    async stop() {
      isDraining = true;
      logs.host.info('stopping', { event: 'stop', open: servers[0]?.openConnections() });
      const deadlineMs = clock.now() + settings.graceMs - graceMarginMs;
      const resignation = resign();
      // New connections arrive until the platform has noticed that this process is not ready.
      await Promise.all([resignation, clock.sleep(drainDelayMs)]);
      servers[0]?.drain();
      while (clock.now() < deadlineMs && (servers[0]?.openConnections() ?? 0) > 0) {
        await clock.sleep(drainPollMs);
        servers[0]?.drain();
      }
      kill();
      logs.host.info('stopped', { event: 'stopped' });
    },
  };
}
