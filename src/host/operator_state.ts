/**
 * The operator's wishes as this process knows them: the configuration and the data centres out of
 * service, from the store, or from another process while the store turns this one away.
 */
import type { Clock } from '../clock/mod.ts';
import { makeTableWatcher } from '../cell/mod.ts';
import type { OperatorState } from '../cell/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Configuration, Store, StoredRow } from '../model/mod.ts';

/** Rows of the operator, as one process passes them to another. */
export interface WishesMessage {
  /** Time since these rows were known to be current. */
  ageMs: number;
  configuration: string;
  version: number;
  evacuated: string[];
}

/** The operator's wishes. */
export interface WishesSource {
  run(signal: AbortSignal): Promise<void>;
  current(): OperatorState | undefined;
  /** What is known, for another process. */
  message(): WishesMessage | undefined;
}

/** What the source uses. */
export interface WishesOptions {
  store: Store;
  clock: Clock;
  log: Logger;
  table: string;
  configurationKey: string;
  decodeConfiguration(text: string): Configuration | undefined;
  evacuatedDataCentre(key: string): string | undefined;
  /** Asks other processes; undefined when none answered. */
  askPeers(): Promise<WishesMessage | undefined>;
}

const watchWaitMs = 950;
const askAfterMs = 1_150;
const askEveryMs = 200;

/**
 * Makes the source.
 *
 * @example
 * const wishes = makeWishes(options);
 * wishes.current()?.configuration.version;
 */
export function makeWishes(options: WishesOptions): WishesSource {
  const { store, clock, log, table, configurationKey, askPeers } = options;
  let configuration: Configuration | undefined;
  let text = '';
  let evacuated = new Set<string>();
  let peerCurrentAtMs = -Infinity;

  function takeConfiguration(value: string): void {
    const next = options.decodeConfiguration(value);
    if (!next) {
      log.error('the configuration cannot be decoded', { event: 'configuration-rejected' });
      return;
    }
    if (configuration && next.version <= configuration.version) return;
    configuration = next;
    text = value;
    log.info('configuration in force', {
      event: 'configuration',
      version: next.version,
      queues: next.queues.length,
    });
  }

  function takeRow(row: StoredRow): void {
    if (row.key === configurationKey && !row.deleted) takeConfiguration(row.value);
    const dataCentre = options.evacuatedDataCentre(row.key);
    if (dataCentre === undefined) return;
    if (row.deleted) evacuated.delete(dataCentre);
    else evacuated.add(dataCentre);
    log.info('data centre changes service', {
      event: 'evacuation',
      dataCentre,
      isEvacuated: !row.deleted,
    });
  }

  const follower = makeTableWatcher({
    store,
    clock,
    log,
    table,
    readAll: () => store.read({ table, part: '' }),
    waitMs: watchWaitMs,
    onRows(rows, isWhole) {
      if (isWhole) evacuated = new Set();
      rows.forEach(takeRow);
    },
  });

  function currentAtMs(): number {
    return Math.max(follower.currentAtMs() ?? -Infinity, peerCurrentAtMs);
  }

  async function askWhenStale(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(askEveryMs, signal);
      const askedAtMs = clock.now();
      if (askedAtMs - currentAtMs() < askAfterMs) continue;
      const message = await askPeers();
      if (!message) continue;
      if (message.configuration !== '') takeConfiguration(message.configuration);
      if (configuration && message.version < configuration.version) continue;
      evacuated = new Set(message.evacuated);
      peerCurrentAtMs = Math.max(peerCurrentAtMs, askedAtMs - message.ageMs);
    }
  }

  return {
    async run(signal) {
      await Promise.all([follower.run(signal), askWhenStale(signal)]);
    },
    current: () => configuration && { configuration, evacuated, currentAtMs: currentAtMs() },
    message: () =>
      configuration && {
        ageMs: clock.now() - currentAtMs(),
        configuration: text,
        version: configuration.version,
        evacuated: [...evacuated],
      },
  };
}
