/**
 * The operator state as this process knows it: the configuration and the evacuated data centres. It is
 * read from the store, or from another process while the store does not serve this one.
 */
import { makeTimeMark } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { forEachRow, makeTableWatcher } from '../cell/mod.ts';
import type { OperatorState } from '../cell/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Configuration, Store, StoredRow } from '../model/mod.ts';

/** The operator state, as one process sends it to another. */
export interface OperatorStateMessage {
  /** Time since this state was last known to be current. */
  ageMs: number;
  configuration: string;
  version: number;
  evacuated: string[];
}

/** Keeps the operator state current. */
export interface OperatorStateSource {
  run(signal: AbortSignal): Promise<void>;
  current(): OperatorState | undefined;
  /** The state as a message to another process; undefined before the first configuration. */
  toMessage(): OperatorStateMessage | undefined;
}

/** Dependencies of the source. */
export interface OperatorStateOptions {
  store: Store;
  clock: Clock;
  log: Logger;
  table: string;
  configurationKey: string;
  decodeConfiguration(text: string): Configuration | undefined;
  parseEvacuatedDataCentre(key: string): string | undefined;
  /** Requests the state from other processes; undefined if none responded. */
  fetchFromPeers(): Promise<OperatorStateMessage | undefined>;
}

const watchTimeoutMs = 950;
const staleAfterMs = 1_150;
const peerPollIntervalMs = 200;

/**
 * Makes a source of the operator state.
 *
 * @example
 * const operatorState = makeOperatorStateSource(options);
 * operatorState.current()?.configuration.version;
 */
export function makeOperatorStateSource(options: OperatorStateOptions): OperatorStateSource {
  const { store, clock, log, table, configurationKey, fetchFromPeers } = options;
  let configuration: Configuration | undefined;
  let configurationText = '';
  let evacuated = new Set<string>();
  /** Time at which the view of another process, if it was taken over, was current. */
  const peersCurrent = makeTimeMark(clock);

  function applyConfiguration(value: string): void {
    const newConfiguration = options.decodeConfiguration(value);
    if (!newConfiguration) {
      log.error('the configuration cannot be decoded', { event: 'configuration-rejected' });
      return;
    }
    if (configuration && newConfiguration.version <= configuration.version) return;
    configuration = newConfiguration;
    configurationText = value;
    log.info('configuration applied', {
      event: 'configuration',
      version: newConfiguration.version,
      queues: newConfiguration.queues.length,
    });
  }

  function applyRow(row: StoredRow): void {
    if (row.key === configurationKey && !row.deleted) applyConfiguration(row.value);
    const dataCentre = options.parseEvacuatedDataCentre(row.key);
    if (dataCentre === undefined) return;
    if (row.deleted) evacuated.delete(dataCentre);
    else evacuated.add(dataCentre);
    log.info('data centre evacuated or returned to service', {
      event: 'evacuation',
      dataCentre,
      isEvacuated: !row.deleted,
    });
  }

  const watcher = makeTableWatcher({
    store,
    clock,
    log,
    table,
    readAll: () => store.read({ table, part: '' }),
    waitMs: watchTimeoutMs,
    onRows(rows, isWhole) {
      if (isWhole) evacuated = new Set();
      forEachRow(rows, log, applyRow);
    },
  });

  function currentAtMs(): number {
    return Math.max(watcher.currentAtMs() ?? -Infinity, peersCurrent.atMs() ?? -Infinity);
  }

  /** Applies another process's view; its evacuations only if it is more recent than the own view. */
  function applyMessage(message: OperatorStateMessage, requestedAtMs: number): void {
    if (message.configuration !== '') applyConfiguration(message.configuration);
    const messageCurrentAtMs = requestedAtMs - message.ageMs;
    if (configuration && message.version < configuration.version) return;
    if (messageCurrentAtMs <= currentAtMs()) return;
    evacuated = new Set(message.evacuated);
    peersCurrent.record(messageCurrentAtMs);
  }

  async function pollPeersWhenStale(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(peerPollIntervalMs, signal);
      const requestedAtMs = clock.now();
      if (requestedAtMs - currentAtMs() < staleAfterMs) continue;
      const message = await fetchFromPeers();
      if (message) applyMessage(message, requestedAtMs);
    }
  }

  return {
    async run(signal) {
      await Promise.all([watcher.run(signal), pollPeersWhenStale(signal)]);
    },
    current: () => configuration && { configuration, evacuated, currentAtMs: currentAtMs() },
    toMessage: () =>
      configuration && {
        ageMs: clock.now() - currentAtMs(),
        configuration: configurationText,
        version: configuration.version,
        evacuated: [...evacuated],
      },
  };
}
