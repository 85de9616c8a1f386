/**
 * Watches the rows of a table: reads a snapshot, then polls for changes, and reads a new snapshot
 * whenever the store no longer holds the history in between.
 */
import { makeTimeMark } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Store, StoredRow, VersionedRows } from '../model/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';

/** Watches one table. */
export interface TableWatcher {
  /** Watches the table until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** Monotonic time at which the rows were last known to be current; undefined at first. */
  currentAtMs(): number | undefined;
}

/** Dependencies and callbacks of a {@link TableWatcher}. */
export interface TableWatcherOptions {
  store: Store;
  clock: Clock;
  log: Logger;
  table: string;
  /** Reads all rows of the table. */
  readAll(): Outcome<VersionedRows>;
  /** Called with a snapshot of all rows, or with the rows that have changed. */
  onRows(rows: StoredRow[], isSnapshot: boolean): void;
  /** Longest wait of one poll for changes. */
  waitMs?: number;
  /** Pause between polls, so that frequent changes arrive in batches. */
  pauseMs?(): number;
}

/**
 * Applies each row by itself. A row that fails, which only a malformed one does, is logged and skipped.
 *
 * @example
 * forEachRow(rows, log, (row) => addJob(JSON.parse(row.value)));
 */
export function forEachRow(rows: StoredRow[], log: Logger, apply: (row: StoredRow) => void): void {
  rows.forEach((row) => {
    try {
      apply(row);
    } catch (error) {
      const { table, part, key, version } = row;
      log.error('a row is malformed and was skipped', {
        event: 'row-malformed',
        table,
        part,
        key,
        version,
        reason: String(error),
      });
    }
  });
}

const defaultWaitMs = 700;
const retryDelayMs = 120;
/** A response that takes longer than this beyond its wait may have arrived while the process was paused. */
const maxResponseMs = 500;

/**
 * Makes a watcher of a table.
 *
 * @example
 * const watcher = makeTableWatcher({ store, clock, log, table: 'op', readAll, onRows });
 * await watcher.run(signal);
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
    pauseMs = () => 0,
  } = options;
  let version: number | undefined;
  const lastCurrent = makeTimeMark(clock);
  let isFailing = false;

  function recordResult(hasFailed: boolean, reason?: unknown): void {
    if (hasFailed === isFailing) return;
    isFailing = hasFailed;
    if (hasFailed) log.warn('watching a table failed', { event: 'dependency-lost', table, reason });
    else log.info('watching a table works again', { event: 'dependency-regained', table });
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
        lastCurrent.record(startedAtMs);
        onRows(snapshot.rows, true);
        recordResult(false);
        return true;
      },
    });
  }

  /** Returns when the content of a response that took so long was certainly current. */
  function findCurrentTime({ atMs, wallMs }: { atMs: number; wallMs: number }): number {
    const nowMs = clock.now();
    // The monotonic clock does not count the time for which the machine was suspended.
    const tookMs = Math.max(nowMs - atMs, clock.wallTime() - wallMs);
    const wasPaused = tookMs > waitMs + maxResponseMs;
    return wasPaused ? nowMs - tookMs : nowMs;
  }

  async function readChanges(after: number): Promise<boolean> {
    const sentAt = { atMs: clock.now(), wallMs: clock.wallTime() };
    const result = await store.watch(table, { after, waitMs });
    return result.caseOf({
      Left: handleFailure,
      Right: (view) => {
        if (!view) {
          log.info('the history of a table is lost, reading a new snapshot', {
            event: 'history-lost',
            table,
            after,
          });
          version = undefined;
          return true;
        }
        version = view.version;
        lastCurrent.record(findCurrentTime(sentAt));
        if (view.rows.length > 0) onRows(view.rows, false);
        recordResult(false);
        return true;
      },
    });
  }

  return {
    currentAtMs: lastCurrent.atMs,
    async run(signal) {
      while (!signal.aborted) {
        const hasSucceeded = await (version === undefined ? readSnapshot() : readChanges(version));
        if (!hasSucceeded) await clock.sleep(retryDelayMs, signal);
        else if (pauseMs() > 0) await clock.sleep(pauseMs(), signal);
      }
    },
  };
}
