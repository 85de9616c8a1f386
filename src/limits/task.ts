/**
 * The task that moves units between this process and the rows `allotments/{team}`. It writes one
 * change at a time and waits until the table writer knows the outcome of each.
 */
import { Right } from 'purify-ts';

import type { Outcome } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Allotment, Row } from '../schema/mod.ts';
import { makeUpdateQueue, teamOf } from './_updates.ts';
import { chunkSize, returnUnits, totalHeld } from './allotments.ts';
import { makeLedger } from './ledger.ts';
import { limitsRules } from './rules.ts';
import type { LimitsOptions, LimitsTask, Units } from './rules.ts';

const tickIntervalMs = 1_000;
const idleCheckIntervalMs = 10_000;
const refreshIntervalMs = 60_000;
const retryDelayMs = 500;

/**
 * Makes the limits of a process.
 *
 * @example
 * const limits = makeLimits({ writer, table, settings, clock, invariants, member });
 * if (!limits.acquire('mill')) await limits.requestUnits('mill', 1);
 */
export function makeLimits(options: LimitsOptions): LimitsTask {
  const { writer, table, settings, clock, invariants, member } = options;
  const { log = silentLogger, rules = limitsRules } = options;
  const ledger = makeLedger({ invariants });
  const nextRequestAt = new Map<string, number>();
  const requestedTeams = new Set<string>();
  const { enqueue, lastKnown, reset } = makeUpdateQueue({
    writer,
    table,
    settings,
    member,
    ledger,
    rules,
  });
  let lastSeenVersion = settings.current().version;

  /** Whether the limit is too small for every member to hold units ahead of need. */
  const isSmallLimit = (team: string) =>
    chunkSize(settings.current().teams[team]?.limit ?? 0, member().members) === 1;

  const refresh = async (teams: string[], after?: () => void): Outcome<void> => {
    if (teams.length === 0) {
      after?.();
      return Right(undefined);
    }
    const outcome = await enqueue({ teams, change: () => undefined, onSuccess: after });
    return outcome.map(() => undefined);
  };

  const requestUnits = async (team: string, count: number) => {
    if (ledger.free(team) >= count || requestedTeams.has(team)) return;
    if (clock.now() < (nextRequestAt.get(team) ?? -Infinity)) return;
    requestedTeams.add(team);
    await enqueue({
      teams: [team],
      change: (rows, memberId) => {
        const row = rows[team];
        if (!row || totalHeld(row) >= row.limit) return undefined;
        const chunk = chunkSize(row.limit, member().members);
        const missingUnits = Math.max(0, count - ledger.free(team));
        return {
          [team]: rules.borrow(row, { member: memberId, count: Math.max(missingUnits, chunk) }),
        };
      },
    });
    requestedTeams.delete(team);
    if (ledger.free(team) < count) nextRequestAt.set(team, clock.now() + retryDelayMs);
  };

  const returnUnused = async (units: Units) => {
    const teams = Object.keys(units).filter((team) => (units[team] ?? 0) > 0);
    if (teams.length === 0) return;
    const outcome = await enqueue({
      teams,
      change: (rows, memberId) =>
        Object.fromEntries(
          teams.flatMap((team) => {
            const row = rows[team];
            const count = Math.min(units[team] ?? 0, ledger.free(team));
            return row && count > 0 ? [[team, returnUnits(row, { member: memberId, count })]] : [];
          }),
        ),
    });
    outcome.ifLeft(({ message }) => log.debug('Failed to return unused units.', { message }));
  };

  settings.subscribe((fleet) => {
    const previousVersion = lastSeenVersion;
    const changes = settings
      .after(lastSeenVersion)
      .filter(({ version }) => version <= fleet.version);
    lastSeenVersion = Math.max(lastSeenVersion, fleet.version);
    const memberId = member().id;
    const teams = new Set<string>();
    if (lastSeenVersion - previousVersion > changes.length) {
      // Some changes were not seen one by one and may have decreased the units of any team.
      ledger.teams().forEach((team) => {
        ledger.decreaseHeldBySettings(team, 0);
        teams.add(team);
      });
    }
    changes.forEach(({ allotments }) =>
      Object.entries(allotments).forEach(([team, { held }]) => {
        ledger.decreaseHeldBySettings(team, held[memberId] ?? 0);
        teams.add(team);
      }),
    );
    // The row may grant more by now; the change only contains a safe lower bound.
    refresh([...teams]).catch(() => undefined);
  });

  return {
    acquire(team, count = 1) {
      const isTaken = ledger.acquire(team, count);
      const chunk = chunkSize(settings.current().teams[team]?.limit ?? 0, member().members);
      // Units of a small limit are not borrowed ahead of need, because other members wait for them.
      const isLow = chunk > 1 && ledger.free(team) < chunk / 2;
      if (!isTaken || isLow) requestUnits(team, isTaken ? chunk : count).catch(() => undefined);
      return isTaken;
    },
    release: (team, count = 1) => ledger.release(team, count),
    addRunning: ledger.addRunning,
    free: ledger.free,
    held: ledger.held,
    used: ledger.used,
    excess: ledger.excess,
    requestUnits,
    holders(team) {
      const row = lastKnown(team);
      if (!row || (!isSmallLimit(team) && totalHeld(row) < row.limit)) return [];
      const memberId = member().id;
      return Object.keys(row.held).filter((id) => id !== memberId && (row.held[id] ?? 0) > 0);
    },
    refresh,
    park: ledger.park,
    unpark: ledger.unpark,
    async move(moves, { mutation, after }) {
      const teams = [...new Set(moves.flatMap(({ units }) => Object.keys(units)))].sort();
      const outcome = await enqueue({
        teams,
        mutation,
        onSuccess: after,
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
    async releaseMember(departedId, mutation) {
      const scan = await table.scan('allotments/', { limit: 1_000 });
      if (scan.isLeft()) return scan;
      const holdsUnits = ({ value }: Row) => ((value as Allotment).held[departedId] ?? 0) > 0;
      const teams = scan
        .orDefault([])
        .filter(holdsUnits)
        .map(({ key }) => teamOf(key));
      const outcome = await enqueue({
        teams,
        mutation,
        change: (rows) =>
          Object.fromEntries(
            Object.entries(rows).map(([team, row]) => {
              const count = row.held[departedId] ?? 0;
              return [team, count > 0 ? returnUnits(row, { member: departedId, count }) : row];
            }),
          ),
      });
      return outcome.map(() => undefined);
    },
    returnAll: () =>
      returnUnused(Object.fromEntries(ledger.teams().map((team) => [team, ledger.free(team)]))),
    reset() {
      reset();
      ledger.reset();
      nextRequestAt.clear();
      requestedTeams.clear();
    },
    async run(signal) {
      let sinceIdleCheckMs = 0;
      let sinceRefreshMs = 0;
      while (!signal.aborted) {
        await clock.sleep(tickIntervalMs, signal);
        sinceIdleCheckMs += tickIntervalMs;
        sinceRefreshMs += tickIntervalMs;
        if (sinceIdleCheckMs >= idleCheckIntervalMs) {
          sinceIdleCheckMs = 0;
          const idle = ledger.teams().map((team) => [team, ledger.collectIdle(team)] as const);
          await returnUnused(Object.fromEntries(idle));
          // Reads the holders of small limits before they are needed and before a table outage.
          // More frequent reads would gain nothing: units only move after they became idle.
          await refresh(Object.keys(settings.current().teams).filter(isSmallLimit));
        }
        if (sinceRefreshMs >= refreshIntervalMs) {
          sinceRefreshMs = 0;
          await refresh(ledger.teams());
        }
      }
    },
  };
}
