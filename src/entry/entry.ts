/**
 * The entry process: the core with its real clients and HTTP servers.
 */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { Left, Right } from 'purify-ts';

import { makeCallers } from '../callers/mod.ts';
import type { Clock, Random } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { hostDialects } from '../hosts/mod.ts';
import type { HttpInterface } from '../http/mod.ts';
import { makeInvariantChecker } from '../invariants/mod.ts';
import type { InvariantChecker, ViolationObserver } from '../invariants/mod.ts';
import { makeKeyVerifier } from '../keys/mod.ts';
import type { KeyVerifier } from '../keys/mod.ts';
import { Component } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { makeMetrics } from '../metrics/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import { objectDialects } from '../objects/mod.ts';
import { makeOperators } from '../operators/mod.ts';
import { makePeerClients, makePeerHandler, peerKeepAliveMs } from '../peers/mod.ts';
import type { EntrySettings } from '../settings/mod.ts';
import { setLimit } from '../limits/mod.ts';
import { tableDialects } from '../table/mod.ts';
import { workerDialects } from '../workers/mod.ts';
import { makeCore } from './core.ts';
import type { Core } from './core.ts';

/** Options of {@link makeEntry}. */
export interface EntryOptions {
  settings: EntrySettings;
  clock: Clock;
  random: Random;
  logs: (part: Component) => Logger;
  /** Called on each violated invariant, after it has been counted and logged. */
  onViolation?: ViolationObserver;
}

/** A running entry process. */
export interface Entry {
  /**
   * Binds the ports and fails if one is in use; then loads the settings and joins the member list
   * in the background.
   */
  start(): Outcome<Record<'callers' | 'operators' | 'peers', number>>;
  /** Completes open requests, hands over workers and partitions, and leaves the member list. */
  drain(): Promise<void>;
  dump(): Record<string, unknown>;
}

// Time for the load balancer to notice that the process is no longer ready.
const readinessDelayMs = 1_000;
const loadRetryMs = 500;

function listenForPeers(
  server: Server,
  { address, port }: { address: string; port: number },
): Outcome<number> {
  return new Promise((resolve) => {
    server.once('error', (error) =>
      resolve(
        Left(
          makeFailure(
            ErrorKind.Internal,
            `peers: cannot listen on ${address}:${port}: ${error.message}`,
            {
              expected: 'a free port on an address of this host',
            },
          ),
        ),
      ),
    );
    server.listen(port, address, () => resolve(Right((server.address() as AddressInfo).port)));
  });
}

interface SharedParts {
  options: EntryOptions;
  invariants: InvariantChecker;
  metrics: Metrics;
  verifier: KeyVerifier;
  core: Core;
  isLeaving: () => boolean;
  dump: () => Record<string, unknown>;
}

function makeCallersInterface({ options, core, ...shared }: SharedParts): HttpInterface {
  const { callers } = options.settings;
  return makeCallers({
    ...{ address: callers.address, port: callers.port, clock: options.clock },
    ...{ invariants: shared.invariants, metrics: shared.metrics, verifier: shared.verifier },
    bounds: {
      maxBodyBytes: callers.max_body_bytes,
      maxHeaderBytes: callers.max_header_bytes,
      maxConnections: callers.max_connections,
      maxWaitingRequests: callers.max_waiting_requests,
    },
    dispatch: core.dispatch,
    checkReady: core.checkReady,
    fleet: core.settings.current,
    log: options.logs(Component.Callers),
  });
}

function makeOperatorsInterface({ options, core, ...shared }: SharedParts): HttpInterface {
  const { operators } = options.settings;
  const { settings, membership, writer } = core;
  const { invariants, metrics, verifier, dump, isLeaving } = shared;
  return makeOperators({
    ...{ address: operators.address, port: operators.port, clock: options.clock },
    ...{ invariants, metrics, verifier, dump, dispatch: core.dispatch },
    parts: {
      ...{ settings, membership, writer, table: core.table, clock: options.clock },
      reallot: setLimit,
    },
    checkReady: () =>
      isLeaving()
        ? Left(makeFailure(ErrorKind.Draining, 'this process is shutting down'))
        : core.checkReady(),
    listOtherMembers: () =>
      membership
        .view()
        .members.map(({ id }) => id)
        .filter((id) => id !== membership.id()),
    async fetchMemberState(id, section) {
      const member = membership.view().members.find((other) => other.id === id);
      if (!member)
        return Left(makeFailure(ErrorKind.NotFound, 'there is no such member', { got: id }));
      return core.peers(member).status(section === undefined ? {} : { section });
    },
    log: options.logs(Component.Operators),
  });
}

async function loadSettings({ core, options }: SharedParts, signal: AbortSignal): Promise<void> {
  const log = options.logs(Component.Settings);
  const { address, port } = options.settings.table;
  for (;;) {
    const loaded = await core.settings.load();
    if (loaded.isRight() || signal.aborted) return;
    const { message } = loaded.extract() as Failure;
    log.warn('The settings could not be loaded; retrying.', {
      table: `${address}:${port}`,
      message,
    });
    await options.clock.sleep(loadRetryMs * (1 + options.random()), signal);
  }
}

/**
 * Makes an entry process.
 *
 * @example
 * const entry = makeEntry({ settings, clock: systemClock, random: Math.random, logs });
 * await entry.start();
 */
export function makeEntry(options: EntryOptions): Entry {
  const { settings, clock, random, logs, onViolation = () => undefined } = options;
  const log = logs(Component.Entry);
  const { name, data_centre: dataCentre, region } = settings.process;
  const metrics = makeMetrics({
    ...{ host: settings.metrics.address, port: settings.metrics.port },
    process: name,
  });
  const invariants = makeInvariantChecker({
    onViolation(invariant, detail) {
      metrics.count('invariant.violated', 1, { invariant });
      log.error('An invariant was violated.', { invariant, detail });
      onViolation(invariant, detail);
    },
  });
  const table = tableDialects['http-json']({ ...settings.table, clock });
  const workers = workerDialects['http-json']({ clock, invariants });
  const objects = objectDialects.http({ ...settings.objects, clock });
  const hosts = settings.hosts.address
    ? hostDialects['http-json']({ ...settings.hosts, clock })
    : undefined;
  const closeFunctions: (() => Promise<unknown>)[] = [table.close, workers.close, objects.close];
  const stopController = new AbortController();
  let peersPort = settings.peers.port;
  let hasStartedDrain = false;
  let coreRun: Promise<void> = Promise.resolve();
  let callers: HttpInterface | undefined;

  const core = makeCore({
    ...{ table, workers, objects, clock, random, invariants, metrics, logs },
    ...(hosts ? { hosts } : {}),
    connectPeers(onFreeSlots) {
      const clients = makePeerClients({ clock, onFreeSlots });
      closeFunctions.push(clients.close);
      return clients.peers;
    },
    identify: () => ({
      id: `${name}-${randomBytes(4).toString('hex')}`,
      ...{ address: settings.peers.address, port: peersPort, dataCentre, region },
    }),
    endRequests: async () => callers?.drain(),
  });
  const verifier = makeKeyVerifier({ fleet: core.settings.current });
  const interfaces: Record<string, HttpInterface> = {};
  const dump = () => ({
    ...core.dump(),
    ...Object.fromEntries(
      Object.entries(interfaces).map(([part, server]) => [part, server.state()]),
    ),
    resources: {
      cpu: process.cpuUsage(),
      rssBytes: process.memoryUsage.rss(),
      table: table.traffic(),
      workers: workers.traffic(),
    },
  });
  const shared = {
    options,
    invariants,
    metrics,
    verifier,
    core,
    dump,
    isLeaving: () => hasStartedDrain,
  };
  callers = makeCallersInterface(shared);
  const operators = makeOperatorsInterface(shared);
  Object.assign(interfaces, { callers, operators });
  const peerServer = createServer(
    { keepAliveTimeout: peerKeepAliveMs },
    makePeerHandler(core.handlers, { room: core.pool.freeSlots }),
  );

  return {
    async start() {
      const peersResult = await listenForPeers(peerServer, settings.peers);
      if (peersResult.isLeft()) return peersResult;
      peersPort = peersResult.unsafeCoerce();
      const listenResults = [await operators.listen(), await callers.listen()];
      for (const result of listenResults) if (result.isLeft()) return result;
      const [operatorsPort = 0, callersPort = 0] = listenResults.map(
        (result) => result.unsafeCoerce().port,
      );
      coreRun = loadSettings(shared, stopController.signal)
        .then(() => core.run(stopController.signal))
        .catch((error: unknown) =>
          log.error('The process core stopped with an error.', { error: String(error) }),
        );
      const ports = { callers: callersPort, operators: operatorsPort, peers: peersPort };
      log.info('The process has started.', ports);
      return Right(ports);
    },
    async drain() {
      if (hasStartedDrain) return;
      hasStartedDrain = true;
      log.info('The process is draining.');
      await clock.sleep(readinessDelayMs);
      await core.membership.drain();
      stopController.abort();
      await coreRun;
      core.jobs.close();
      core.pool.close();
      await operators.drain();
      peerServer.close();
      peerServer.closeAllConnections();
      await Promise.all(closeFunctions.map((close) => close()));
      metrics.close();
      log.info('The process has left the member list and closed its connections.');
    },
    dump,
  };
}
