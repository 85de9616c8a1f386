/**
 * The task that moves units between this process and the rows `allotments/{team}`. Its writes are
 * made one after the other; each waits until the writer lane knows the outcome.
 */
import { Right } from 'purify-ts';

import type { Outcome } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Allotment, Row } from '../schema/mod.ts';
import { makeUpdates, teamOf } from './_updates.ts';
import { chunkSize, heldByAll, returnUnits } from './allotments.ts';
import { makeLedger } from './ledger.ts';
import { limitsRules } from './rules.ts';
import type { LimitsOptions, LimitsTask, Units } from './rules.ts';

const tickMs = 1_000;
const idleMs = 10_000;
const refreshMs = 60_000;
const deniedMs = 500;

/**
 * Makes the limits of a process.
 *
 * @example
 * const limits = makeLimits({ writer, table, settings, clock, invariants, member });
 * if (!limits.take('mill')) await limits.want('mill', 1);
 */
export function makeLimits(options: LimitsOptions): LimitsTask {
  const { writer, table, settings, clock, invariants, member } = options;
  const { log = silentLogger, rules = limitsRules } = options;
  const ledger = makeLedger({ invariants });
  const deniedUntil = new Map<string, number>();
  const wanting = new Set<string>();
  const { update, known, reset } = makeUpdates({ writer, table, settings, member, ledger, rules });
  let seenVersion = settings.current().version;

  /** True when the limit is too small for every member to hold units ahead of need. */
  const isSmall = (team: string) =>
    chunkSize(settings.current().teams[team]?.limit ?? 0, member().members) === 1;

  const refresh = async (teams: string[], after?: () => void): Outcome<void> => {
    if (teams.length === 0) {
      after?.();
      return Right(undefined);
    }
    const outcome = await update({ teams, change: () => undefined, after });
    return outcome.map(() => undefined);
  };

  const want = async (team: string, count: number) => {
    if (ledger.free(team) >= count || wanting.has(team)) return;
    if (clock.now() < (deniedUntil.get(team) ?? -Infinity)) return;
    wanting.add(team);
    await update({
      teams: [team],
      change: (rows, me) => {
        const row = rows[team];
        if (!row || heldByAll(row) >= row.limit) return undefined;
        const chunk = chunkSize(row.limit, member().members);
        const missing = Math.max(0, count - ledger.free(team));
        return { [team]: rules.borrow(row, { member: me, count: Math.max(missing, chunk) }) };
      },
    });
    wanting.delete(team);
    if (ledger.free(team) < count) deniedUntil.set(team, clock.now() + deniedMs);
  };

  const giveUp = async (units: Units) => {
    const teams = Object.keys(units).filter((team) => (units[team] ?? 0) > 0);
    if (teams.length === 0) return;
    const outcome = await update({
      teams,
      change: (rows, me) =>
        Object.fromEntries(
          teams.flatMap((team) => {
            const row = rows[team];
            const count = Math.min(units[team] ?? 0, ledger.free(team));
            return row && count > 0 ? [[team, returnUnits(row, { member: me, count })]] : [];
          }),
        ),
    });
    outcome.ifLeft(({ message }) => log.debug('Units were not returned.', { message }));
  };

  settings.subscribe((fleet) => {
    const seenBefore = seenVersion;
    const changes = settings.after(seenVersion).filter(({ version }) => version <= fleet.version);
    seenVersion = Math.max(seenVersion, fleet.version);
    const me = member().id;
    const teams = new Set<string>();
    if (seenVersion - seenBefore > changes.length) {
      // Changes that this process did not see one by one may have lowered anything.
      ledger.teams().forEach((team) => {
        ledger.lowerByChange(team, 0);
        teams.add(team);
      });
    }
    changes.forEach(({ allotments }) =>
      Object.entries(allotments).forEach(([team, { held }]) => {
        ledger.lowerByChange(team, held[me] ?? 0);
        teams.add(team);
      }),
    );
    // The row may give more by now; the figures of the change are only a safe lower bound.
    refresh([...teams]).catch(() => undefined);
  });

  return {
    take(team, count = 1) {
      const taken = ledger.take(team, count);
      const chunk = chunkSize(settings.current().teams[team]?.limit ?? 0, member().members);
      // A limit too small for a chunk per member is not borrowed ahead of need: others wait for it.
      const ahead = chunk > 1 && ledger.free(team) < chunk / 2;
      if (!taken || ahead) want(team, taken ? chunk : count).catch(() => undefined);
      return taken;
    },
    giveBack: (team, count = 1) => ledger.giveBack(team, count),
    adopt: ledger.adopt,
    free: ledger.free,
    held: ledger.held,
    used: ledger.used,
    excess: ledger.excess,
    want,
    holders(team) {
      const row = known(team);
      if (!row || (!isSmall(team) && heldByAll(row) < row.limit)) return [];
      const me = member().id;
      return Object.keys(row.held).filter((id) => id !== me && (row.held[id] ?? 0) > 0);
    },
    refresh,
    park: ledger.park,
    unpark: ledger.unpark,
    async move(moves, { mutation, after }) {
      const teams = [...new Set(moves.flatMap(({ units }) => Object.keys(units)))].sort();
      const outcome = await update({
        teams,
        mutation,
        after,
        change: (rows) => {
          const next = { ...rows };
          moves.forEach(({ from, to, units }) =>
            Object.entries(units).forEach(([team, count]) => {
              const row = next[team];
              if (row) next[team] = rules.move(row, { from, to, count });
            }),
          );
          return next;
        },
      });
      return outcome.map(() => undefined);
    },
    async forget(gone, mutation) {
      const scan = await table.scan('allotments/', { limit: 1_000 });
      if (scan.isLeft()) return scan;
      const holds = ({ value }: Row) => ((value as Allotment).held[gone] ?? 0) > 0;
      const teams = scan
        .orDefault([])
        .filter(holds)
        .map(({ key }) => teamOf(key));
      const outcome = await update({
        teams,
        mutation,
        change: (rows) =>
          Object.fromEntries(
            Object.entries(rows).map(([team, row]) => {
              const count = row.held[gone] ?? 0;
              return [team, count > 0 ? returnUnits(row, { member: gone, count }) : row];
            }),
          ),
      });
      return outcome.map(() => undefined);
    },
    returnAll: () =>
      giveUp(Object.fromEntries(ledger.teams().map((team) => [team, ledger.free(team)]))),
    reset() {
      reset();
      ledger.reset();
      deniedUntil.clear();
      wanting.clear();
    },
    async run(signal) {
      let sinceIdle = 0;
      let sinceRefresh = 0;
      while (!signal.aborted) {
        await clock.sleep(tickMs, signal);
        sinceIdle += tickMs;
        sinceRefresh += tickMs;
        if (sinceIdle >= idleMs) {
          sinceIdle = 0;
          const idle = ledger.teams().map((team) => [team, ledger.idle(team)] as const);
          await giveUp(Object.fromEntries(idle));
          // Members learn who holds the units of small limits before an outage, and before they
          // need one. Units move no faster than they become idle.
          await refresh(Object.keys(settings.current().teams).filter(isSmall));
        }
        if (sinceRefresh >= refreshMs) {
          sinceRefresh = 0;
          await refresh(ledger.teams());
        }
      }
    },
  };
}
