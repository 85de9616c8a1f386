/**
 * Wires up one entry process on the users' platform.
 */
import { rankCandidates, makeLeadership, makeTerm, ringSuccessors } from '../cell/mod.ts';
import type { Heartbeat, Leadership, Member, SchedulerTerm, WonClaim } from '../cell/mod.ts';
import type { Clock, Random } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import { listen, makeFront, makeRouteTable, serveClient } from '../front/mod.ts';
import type { HttpRequest, RouteTable } from '../front/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Adviser, Store, WorkerClient } from '../model/mod.ts';
import {
  configurationKey,
  decodeConfiguration,
  decodeJob,
  decodeWorker,
  defaultMaxBodyBytes,
  encodePending,
  encodeState,
  parseEvacuatedDataCentre,
  isJobId,
  operatorTable,
  readinessPath,
  registryTable,
} from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import type { HostMetrics } from './host_metrics.ts';
import { makeHostAdvicePool } from './host_advice_pool.ts';
import { makeCellClient } from './scheduler_client.ts';
import { makeMembership } from './membership.ts';
import { makeOwnMember } from './own_member.ts';
import { makePeerGroup } from './peer_group.ts';
import { makePeerClient, servePeers } from './peers.ts';
import { makeSchedulerWatch } from './scheduler_monitor.ts';
import { watchStore } from './store_health.ts';
import { makeWishes } from './operator_state.ts';

/** What an entry process is made of. */
export interface HostOptions {
  settings: ProcessSettings;
  clock: Clock;
  random: Random;
  logs: { host: Logger; front: Logger; cell: Logger };
  store: Store;
  workers: WorkerClient;
  adviser: Adviser | undefined;
  /** Counts and times the calls of clients. */
  timeCalls: HostMetrics['timeCalls'];
}

/** An entry process. */
export interface Host {
  start(): Promise<void>;
  /** Finishes what was begun and resigns; resolves when the process may exit. */
  stop(): Promise<void>;
  /** Ends at once without resigning, as a killed process does. */
  kill(): void;
}

const readinessMaxBodyBytes = 1_024;
const heartbeatAgeLimitMs = 1_900;
const freshnessMarginMs = 350;
const claimDelayPerRankMs = 50;
const drainNoticeMs = 2_300;
const drainPollMs = 50;
const graceMarginMs = 900;
const resignTimeoutMs = 2_000;

/**
 * Makes an entry process.
 *
 * @example
 * const host = makeHost(options);
 * await host.start();
 */
export function makeHost(options: HostOptions): Host {
  const { settings, clock, random, logs, workers, adviser } = options;
  const storeHealth = watchStore(options.store);
  const { store } = storeHealth;
  const over = new AbortController();
  const ownMember = makeOwnMember(settings, clock);
  const { first: self } = ownMember;
  const peers = makePeerClient(clock);
  let servers: Awaited<ReturnType<typeof listen>>[] = [];
  const membership = makeMembership({
    store,
    clock,
    log: logs.host,
    self: () => ownMember.now(servers[0]?.openConnections() ?? 0),
  });
  let term: SchedulerTerm | undefined;
  let isDraining = false;
  let routes: RouteTable | undefined;

  // The election tells the other parts who schedules, and itself depends on them.
  const election: { leadership?: Leadership } = {};

  function others(): Member[] {
    const claim = election.leadership?.claim();
    return ringSuccessors(membership.members(), self.name).sort(
      (a, b) => Number(b.instance === claim?.instance) - Number(a.instance === claim?.instance),
    );
  }

  const group = makePeerGroup(peers, others);
  const wishes = makeWishes({
    store,
    clock,
    log: logs.host,
    table: operatorTable,
    configurationKey,
    decodeConfiguration,
    evacuatedDataCentre: parseEvacuatedDataCentre,
    askPeers: group.askWishes,
  });

  const advise: Adviser =
    adviser ??
    (() => Promise.resolve(failWith(ErrorKind.PeerUnavailable, 'no advice service is set')));
  const advicePool = makeHostAdvicePool({ clock, self, membership, peers, advise });

  function beginTerm(won: WonClaim): void {
    term?.stop();
    const next = makeTerm({
      store,
      workers,
      clock,
      log: logs.cell,
      advicePool,
      registryTable,
      decodeWorker,
      operatorState: wishes.current,
      claim: { epoch: won.epoch, instance: self.instance, sequence: won.sequence },
      predecessorMayAct: won.predecessorMayAct,
      maxLeaseMs: settings.maxLeaseMs,
      onEnded() {
        if (term === next) term = undefined;
      },
    });
    term = next;
    next.run().catch((error: unknown) => {
      logs.cell.error('the term failed', { event: 'scheduler-failed', reason: String(error) });
      next.stop();
    });
  }

  const leadership = makeLeadership({
    store,
    clock,
    random,
    log: logs.cell,
    self: { name: self.name, instance: self.instance, address: self.address },
    claimDelayMs() {
      const past = election.leadership?.claim();
      const members = membership.members().filter(({ name }) => name !== past?.name);
      const isPlanned = past?.instance === '';
      const rank = rankCandidates(members, { isPlanned }).findIndex(
        ({ name }) => name === self.name,
      );
      return Math.max(0, rank) * claimDelayPerRankMs;
    },
    mayClaim: () => !isDraining && wishes.current() !== undefined,
    onClaimWon: beginTerm,
    onOtherClaim: () => term?.stop(),
  });

  election.leadership = leadership;

  function currentRoutes(): RouteTable | undefined {
    const current = wishes.current();
    if (!current) return undefined;
    const limitMs = settings.maxConfigurationDelayMs - freshnessMarginMs;
    if (clock.now() - current.currentAtMs > limitMs) return undefined;
    if (routes?.version !== current.configuration.version) {
      routes = makeRouteTable(current.configuration);
    }
    return routes;
  }

  function freshHeartbeat(): Heartbeat | undefined {
    const heartbeat = leadership.heartbeat();
    const isFresh = heartbeat && clock.now() - heartbeat.seenAtMs <= heartbeatAgeLimitMs;
    return isFresh ? heartbeat : undefined;
  }

  const { isServing: isStoreServing } = storeHealth;
  const schedulerWatch = makeSchedulerWatch({ clock, peers, leadership, isStoreServing, self });

  const cell = makeCellClient({
    clock,
    log: logs.front,
    peers,
    ownService: () => term?.service,
    otherScheduler() {
      const claim = schedulerWatch.otherScheduler();
      return schedulerWatch.isAnswering() ? claim : undefined;
    },
  });

  const front = makeFront({
    store,
    cell,
    clock,
    log: logs.front,
    routes: currentRoutes,
    pendingIn(queue) {
      const pending = freshHeartbeat()?.pending;
      return pending && (pending[queue] ?? 0);
    },
    isOverloaded(queue, organisation) {
      const { busyQueues = [], beyondShare = [] } = freshHeartbeat() ?? {};
      return busyQueues.includes(queue) && beyondShare.includes(organisation);
    },
    isStoreDown: storeHealth.isDown,
    relay: group.relay,
    isJobId,
    decodeJob,
    encodeState,
    encodePending,
  });

  function answerReadiness({ path }: HttpRequest) {
    const isReady = !isDraining && currentRoutes() !== undefined;
    if (path !== readinessPath) return { status: 404, body: '{}' };
    return { status: isReady ? 200 : 503, body: '{}' };
  }

  const onError = logFailure(logs.host, 'a call or a loop');

  function kill(): void {
    over.abort();
    term?.stop();
    servers.forEach((server) => server.close());
  }

  return {
    kill,

    async start() {
      servers = await Promise.all([
        listen({
          address: settings.listen.callers,
          maxBodyBytes: () => wishes.current()?.configuration.maxBodyBytes ?? defaultMaxBodyBytes,
          handle: options.timeCalls((request) => serveClient(front, request)),
          onError,
        }),
        listen({
          address: settings.listen.readiness,
          maxBodyBytes: () => readinessMaxBodyBytes,
          handle: answerReadiness,
          onError,
        }),
        servePeers(
          self.address,
          {
            instance: () => (isDraining ? '' : self.instance),
            advise,
            relay: front.answer,
            wishes: wishes.message,
            cell: () => term?.service,
          },
          onError,
        ),
      ]);
      logs.host.info('started', { event: 'start', ...self });
      const loops = [
        wishes.run(over.signal),
        membership.run(over.signal),
        leadership.run(over.signal),
        schedulerWatch.run(over.signal),
      ];
      loops.forEach((loop) => loop.catch(onError));
    },

    async stop() {
      isDraining = true;
      logs.host.info('stopping', { event: 'stop', open: servers[0]?.openConnections() });
      const deadlineMs = clock.now() + settings.graceMs - graceMarginMs;
      const resigning = leadership.resign(resignTimeoutMs);
      term?.stop();
      // New connections still arrive until the platform has noticed that this process is not ready.
      await Promise.all([resigning, clock.sleep(drainNoticeMs)]);
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
