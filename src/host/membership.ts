/**
 * The list of members: each entry process renews its row in the store, and one whose row has not changed
 * for `memberTimeoutMs` is no longer a member.
 */
import { decodeMember, makeTableWatcher, membersTable } from '../cell/mod.ts';
import type { Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Store, StoredRow } from '../model/mod.ts';

/** The list of members. */
export interface Membership {
  run(signal: AbortSignal): Promise<void>;
  /**
   * The current members, including this process. All of them are as stored, so that processes that rank
   * the members get the same order.
   */
  members(): Member[];
}

const renewIntervalMs = 5_000;
const memberTimeoutMs = 12_000;
const renewRetryMs = 500;
const candidateWatchIntervalMs = 2_000;
/** Processes that would not claim first need the list only to find another process. */
const otherWatchIntervalMs = 10_000;

/**
 * Makes the list of members.
 *
 * @example
 * const membership = makeMembership({ store, clock, log, self });
 */
export function makeMembership(options: {
  store: Store;
  clock: Clock;
  log: Logger;
  /** The row of this process at present. */
  self(): Member;
  /** Whether this process is among those that would claim the scheduler's role first. */
  isCandidate(): boolean;
}): Membership {
  const { store, clock, log, self, isCandidate } = options;
  const membersByKey = new Map<string, { member: Member; seenAtMs: number }>();

  function applyRow(row: StoredRow): void {
    const member = row.deleted ? undefined : decodeMember(row.value);
    if (member) membersByKey.set(row.key, { member, seenAtMs: clock.now() });
    else membersByKey.delete(row.key);
  }

  const watcher = makeTableWatcher({
    store,
    clock,
    log,
    table: membersTable,
    readAll: () => store.read({ table: membersTable, part: '' }),
    onRows: (rows) => rows.forEach(applyRow),
    pauseMs: () => (isCandidate() ? candidateWatchIntervalMs : otherWatchIntervalMs),
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
      await clock.sleep(result.isRight() ? renewIntervalMs : renewRetryMs, signal);
    }
  }

  return {
    async run(signal) {
      await Promise.all([watcher.run(signal), renew(signal)]);
    },
    members() {
      // While the store does not respond, the age of a row says nothing about its process.
      const viewCurrentAtMs = watcher.currentAtMs() ?? clock.now();
      const ownMember = self();
      const others = [...membersByKey.values()]
        .filter(
          ({ member, seenAtMs }) =>
            member.name !== ownMember.name && viewCurrentAtMs - seenAtMs < memberTimeoutMs,
        )
        .map(({ member }) => member);
      const stored = membersByKey.get(ownMember.name)?.member;
      return [stored?.instance === ownMember.instance ? stored : ownMember, ...others];
    },
  };
}
