/**
 * A queue of changes to the rows `allotments/{team}`. It applies one change at a time and keeps the
 * local ledger consistent with the rows.
 */
import { Left, Right } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Allotment } from '../schema/mod.ts';
import type { Mutation } from '../table/mod.ts';
import type { Ledger } from './ledger.ts';
import type { LimitsOptions } from './rules.ts';

const maxRetries = 5;
// The writer resolves every outcome once the table service responds. Until then it can write
// nothing else, so a shorter timeout would only lose the result.
const commitTimeoutMs = 24 * 3_600_000;

/** Returns the key of a team's row. */
export const rowKey = (team: string) => `allotments/${team}`;

/** Returns the team that a row key belongs to. */
export const teamOf = (key: string) => key.slice('allotments/'.length);

/** A change to the rows of one or more teams. */
export interface Update {
  teams: string[];
  /** Computes the rows after the update; undefined if nothing has to be written. */
  change: (
    rows: Record<string, Allotment>,
    memberId: string,
  ) => Record<string, Allotment> | undefined;
  mutation?: Mutation;
  /** Called right after the ledger update with the row versions that the commit returned. */
  onSuccess?: (versions: Record<string, number>) => void;
}

/** Runs updates in order. */
export interface UpdateQueue {
  enqueue(request: Update): Outcome<boolean>;
  /** Returns a team's row as last read or written; undefined if it was neither yet. */
  lastKnown(team: string): Allotment | undefined;
  /** Forgets the known rows and discards the results of updates in flight. */
  reset(): void;
}

/**
 * Makes an update queue.
 *
 * @example
 * const { enqueue } = makeUpdateQueue({ ...options, ledger });
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
      for (let retries = 0; ; retries += 1) {
        const outcome = await tryUpdate(request);
        if (outcome.isRight()) return outcome;
        const { kind, got } = outcome.extract() as Failure;
        const keys = Array.isArray(got) ? (got as string[]) : [];
        const isForeign = keys.some((key) => !key.startsWith('allotments/'));
        if (kind !== ErrorKind.TableConflict || isForeign || retries >= maxRetries) return outcome;
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
