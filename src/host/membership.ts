/**
 * The list of entry processes: each renews its row in the store; one whose row has not changed for
 * long is taken to be gone.
 */
import { decodeMember, makeTableWatcher, membersTable } from '../cell/mod.ts';
import type { Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Store, StoredRow } from '../model/mod.ts';

/** The list. */
export interface Membership {
  run(signal: AbortSignal): Promise<void>;
  /**
   * The entry processes that have been seen lately, this one included: all as the store tells, so that
   * processes which compare them come to the same order.
   */
  members(): Member[];
}

const renewMs = 5_000;
const goneAfterMs = 12_000;
const retryMs = 500;
const watchPauseMs = 2_000;

/**
 * Makes the list.
 *
 * @example
 * const membership = makeMembership({ store, clock, log, self });
 */
export function makeMembership(options: {
  store: Store;
  clock: Clock;
  log: Logger;
  /** The row of this process as it is now. */
  self(): Member;
}): Membership {
  const { store, clock, log, self } = options;
  const seen = new Map<string, { member: Member; atMs: number }>();

  function takeRow(row: StoredRow): void {
    const member = row.deleted ? undefined : decodeMember(row.value);
    if (member) seen.set(row.key, { member, atMs: clock.now() });
    else seen.delete(row.key);
  }

  const follower = makeTableWatcher({
    store,
    clock,
    log,
    table: membersTable,
    readAll: () => store.read({ table: membersTable, part: '' }),
    onRows: (rows) => rows.forEach(takeRow),
    pauseMs: watchPauseMs,
  });

  async function renew(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const result = await store.transact({
        expected: [],
        writes: [
          { table: membersTable, part: '', key: self().name, value: JSON.stringify(self()) },
        ],
        deletes: [],
      });
      await clock.sleep(result.isRight() ? renewMs : retryMs, signal);
    }
  }

  return {
    async run(signal) {
      await Promise.all([follower.run(signal), renew(signal)]);
    },
    members() {
      // While the store does not answer, silence says nothing about the others.
      const viewAtMs = follower.currentAtMs() ?? clock.now();
      const own = self();
      const others = [...seen.values()]
        .filter(({ member, atMs }) => member.name !== own.name && viewAtMs - atMs < goneAfterMs)
        .map(({ member }) => member);
      const stored = seen.get(own.name)?.member;
      return [stored?.instance === own.instance ? stored : own, ...others];
    },
  };
}
