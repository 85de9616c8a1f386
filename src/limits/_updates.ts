/**
 * Changes of the rows `allotments/{team}`, one after the other, kept in step with the local accounts.
 */
import { Left, Right } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Allotment } from '../schema/mod.ts';
import type { Mutation } from '../table/mod.ts';
import type { Ledger } from './ledger.ts';
import type { LimitsOptions } from './rules.ts';

const maxConflicts = 5;
// The lane finds out every outcome once the table service answers; until then nothing else can be
// written, so giving up earlier would only lose the result.
const commitTimeoutMs = 24 * 3_600_000;

/** Key of a team's row. */
export const rowKey = (team: string) => `allotments/${team}`;

/** The team that a row belongs to. */
export const teamOf = (key: string) => key.slice('allotments/'.length);

/** A change of the rows of some teams. */
export interface Update {
  teams: string[];
  /** The rows after the update; undefined when nothing is to be written. */
  change: (
    rows: Record<string, Allotment>,
    memberId: string,
  ) => Record<string, Allotment> | undefined;
  mutation?: Mutation;
  onSuccess?: (versions: Record<string, number>) => void;
}

/** Runs updates. */
export interface UpdateQueue {
  enqueue(request: Update): Outcome<boolean>;
  /** The row of a team as last read or written; undefined before the first time. */
  lastKnown(team: string): Allotment | undefined;
  /** Makes the results of updates in flight void. */
  reset(): void;
}

/**
 * Makes the queue of updates.
 *
 * @example
 * const { update } = makeUpdates({ ...options, ledger });
 */
export function makeUpdateQueue({
  writer,
  table,
  settings,
  member,
  ledger,
  rules,
}: Required<Pick<LimitsOptions, 'writer' | 'table' | 'settings' | 'member' | 'rules'>> & {
  ledger: Ledger;
}): UpdateQueue {
  let generation = 0;
  const knownRows = new Map<string, Allotment>();
  let lastTurn: Promise<unknown> = Promise.resolve();

  const runInTurn = <T>(action: () => Promise<T>): Promise<T> => {
    const turn = lastTurn.then(action, action);
    lastTurn = turn.catch(() => undefined);
    return turn;
  };

  const readRows = async (teams: string[]) => {
    const outcome = teams.length > 0 ? await table.read(teams.map(rowKey)) : Right([]);
    return outcome.map((rows) => ({
      versions: new Map(rows.map((row) => [teamOf(row.key), row.version])),
      values: Object.fromEntries(
        rows.map((row) => {
          const team = teamOf(row.key);
          const limit = settings.current().teams[team]?.limit ?? 0;
          return [team, (row.value as Allotment | undefined) ?? { limit, held: {} }];
        }),
      ),
    }));
  };

  const tryUpdate = async ({
    teams,
    change,
    mutation = {},
    onSuccess,
  }: Update): Outcome<boolean> => {
    const startGeneration = generation;
    const memberId = member().id;
    const decreaseCounts = new Map(teams.map((team) => [team, ledger.decreaseCount(team)]));
    const recordRows = (values: Record<string, Allotment>) => {
      Object.entries(values).forEach(([team, row]) => {
        knownRows.set(team, row);
        ledger.setHeld(team, row.held[memberId] ?? 0, {
          decreaseCount: decreaseCounts.get(team) ?? 0,
        });
      });
    };
    const hasIdChanged = () => startGeneration !== generation || memberId !== member().id;
    const currentRows = await readRows(teams);
    if (currentRows.isLeft()) return currentRows;
    if (hasIdChanged()) return Left(makeFailure(ErrorKind.Expelled, 'the member id has changed'));
    const { versions, values } = currentRows.unsafeCoerce();
    const updatedRows = change(values, memberId);
    if (!updatedRows) {
      recordRows(values);
      onSuccess?.({});
      return Right(true);
    }
    recordRows(values);
    const changed = Object.entries(updatedRows).filter(([team, value]) => value !== values[team]);
    if (rules.shouldDecreaseBeforeWrite) {
      changed.forEach(([team, { held }]) => ledger.decreaseHeld(team, held[memberId] ?? 0));
    }
    const outcome = await writer.commit(
      {
        checks: [
          ...(mutation.checks ?? []),
          ...changed.map(([team]) => ({ key: rowKey(team), version: versions.get(team) ?? 0 })),
        ],
        writes: [
          ...(mutation.writes ?? []),
          ...changed.map(([team, value]) => ({ key: rowKey(team), value })),
        ],
      },
      { timeoutMs: commitTimeoutMs },
    );
    if (hasIdChanged()) return Left(makeFailure(ErrorKind.Expelled, 'the member id has changed'));
    if (outcome.isRight()) {
      recordRows(updatedRows);
      onSuccess?.(outcome.unsafeCoerce().versions);
      return Right(true);
    }
    const failure = outcome.extract() as Failure;
    if (failure.kind === ErrorKind.TableUnavailable) recordRows(values);
    return Left(failure);
  };

  const enqueue = (request: Update): Outcome<boolean> =>
    runInTurn(async () => {
      for (let conflicts = 0; ; conflicts += 1) {
        const outcome = await tryUpdate(request);
        if (outcome.isRight()) return outcome;
        const { kind, got } = outcome.extract() as Failure;
        const keys = Array.isArray(got) ? (got as string[]) : [];
        const hasForeignConflict = keys.some((key) => !key.startsWith('allotments/'));
        if (kind !== ErrorKind.TableConflict || hasForeignConflict || conflicts >= maxConflicts)
          return outcome;
      }
    });

  return {
    enqueue,
    lastKnown: (team) => knownRows.get(team),
    reset() {
      generation += 1;
      knownRows.clear();
    },
  };
}
