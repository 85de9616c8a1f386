/**
 * Follows the rows of a table: a first reading, then the changes, and a new reading whenever the
 * store no longer has the history in between.
 */
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Store, StoredRow, VersionedRows } from '../model/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';

/** A table that is being followed. */
export interface TableWatcher {
  /** Follows until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** Monotonic time at which the rows were last known to be current; undefined before the first. */
  currentAtMs(): number | undefined;
}

/** What a follower reads and whom it tells. */
export interface TableWatcherOptions {
  store: Store;
  clock: Clock;
  log: Logger;
  table: string;
  /** Reads all rows. */
  readAll(): Outcome<VersionedRows>;
  /** Called with all rows, or with those that changed. */
  onRows(rows: StoredRow[], isSnapshot: boolean): void;
  /** Longest wait of one call for changes. */
  waitMs?: number;
  /** Pause between calls, so that frequent changes come in batches. */
  pauseMs?: number;
}

const defaultWaitMs = 700;
const retryDelayMs = 120;

/**
 * Makes a follower of a table.
 *
 * @example
 * const follower = makeTableWatcher({ store, clock, log, table: 'op', readAll, onRows });
 * await follower.run(signal);
 */
export function makeTableWatcher(options: TableWatcherOptions): TableWatcher {
  const {
    store,
    clock,
    log,
    table,
    readAll,
    onRows,
    waitMs = defaultWaitMs,
    pauseMs = 0,
  } = options;
  let version: number | undefined;
  let currentAtMs: number | undefined;
  let isFailing = false;

  function recordResult(failed: boolean, reason?: unknown): void {
    if (failed === isFailing) return;
    isFailing = failed;
    if (failed) log.warn('following a table failed', { event: 'dependency-lost', table, reason });
    else log.info('following a table works again', { event: 'dependency-regained', table });
  }

  function handleFailure({ got, message }: Failure): boolean {
    recordResult(true, `${message} (${JSON.stringify(got)})`);
    return false;
  }

  async function readSnapshot(): Promise<boolean> {
    const startedAtMs = clock.now();
    const view = await readAll();
    return view.caseOf({
      Left: handleFailure,
      Right: (snapshot) => {
        version = snapshot.version;
        currentAtMs = startedAtMs;
        onRows(snapshot.rows, true);
        recordResult(false);
        return true;
      },
    });
  }

  async function readChanges(after: number): Promise<boolean> {
    const result = await store.watch(table, { after, waitMs });
    return result.caseOf({
      Left: handleFailure,
      Right: (view) => {
        if (!view) {
          log.info('the history of a table is gone, reading it whole', {
            event: 'history-lost',
            table,
            after,
          });
          version = undefined;
          return true;
        }
        version = view.version;
        currentAtMs = clock.now();
        if (view.rows.length > 0) onRows(view.rows, false);
        recordResult(false);
        return true;
      },
    });
  }

  return {
    currentAtMs: () => currentAtMs,
    async run(signal) {
      while (!signal.aborted) {
        const hasSucceeded = await (version === undefined ? readSnapshot() : readChanges(version));
        if (!hasSucceeded) await clock.sleep(retryDelayMs, signal);
        else if (pauseMs > 0) await clock.sleep(pauseMs, signal);
      }
    },
  };
}
