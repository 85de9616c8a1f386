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
export const keyOf = (team: string) => `allotments/${team}`;

/** The team that a row belongs to. */
export const teamOf = (key: string) => key.slice('allotments/'.length);

/** A change of the rows of some teams. */
export interface Update {
  teams: string[];
  /** The rows after the update; undefined when nothing is to be written. */
  change: (rows: Record<string, Allotment>, me: string) => Record<string, Allotment> | undefined;
  mutation?: Mutation;
  after?: (versions: Record<string, number>) => void;
}

/** Runs updates. */
export interface Updates {
  update(wanted: Update): Outcome<boolean>;
  /** The row of a team as last read or written; undefined before the first time. */
  known(team: string): Allotment | undefined;
  /** Makes the results of updates in flight void. */
  reset(): void;
}

/**
 * Makes the queue of updates.
 *
 * @example
 * const { update } = makeUpdates({ ...options, ledger });
 */
export function makeUpdates({
  writer,
  table,
  settings,
  member,
  ledger,
  rules,
}: Required<Pick<LimitsOptions, 'writer' | 'table' | 'settings' | 'member' | 'rules'>> & {
  ledger: Ledger;
}): Updates {
  let generation = 0;
  const known = new Map<string, Allotment>();
  let last: Promise<unknown> = Promise.resolve();

  const inTurn = <T>(work: () => Promise<T>): Promise<T> => {
    const turn = last.then(work, work);
    last = turn.catch(() => undefined);
    return turn;
  };

  const readRows = async (teams: string[]) => {
    const outcome = teams.length > 0 ? await table.read(teams.map(keyOf)) : Right([]);
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

  const attempt = async ({ teams, change, mutation = {}, after }: Update): Outcome<boolean> => {
    const started = generation;
    const me = member().id;
    const lowerings = new Map(teams.map((team) => [team, ledger.lowerings(team)]));
    const note = (values: Record<string, Allotment>) => {
      Object.entries(values).forEach(([team, row]) => {
        known.set(team, row);
        ledger.set(team, row.held[me] ?? 0, { lowerings: lowerings.get(team) ?? 0 });
      });
    };
    const gone = () => started !== generation || me !== member().id;
    const read = await readRows(teams);
    if (read.isLeft()) return read;
    if (gone()) return Left(makeFailure(ErrorKind.Expelled, 'the member id has changed'));
    const { versions, values } = read.unsafeCoerce();
    const next = change(values, me);
    if (!next) {
      note(values);
      after?.({});
      return Right(true);
    }
    note(values);
    const changed = Object.entries(next).filter(([team, value]) => value !== values[team]);
    if (rules.lowerFirst) {
      changed.forEach(([team, { held }]) => ledger.lower(team, held[me] ?? 0));
    }
    const outcome = await writer.commit(
      {
        checks: [
          ...(mutation.checks ?? []),
          ...changed.map(([team]) => ({ key: keyOf(team), version: versions.get(team) ?? 0 })),
        ],
        writes: [
          ...(mutation.writes ?? []),
          ...changed.map(([team, value]) => ({ key: keyOf(team), value })),
        ],
      },
      { timeoutMs: commitTimeoutMs },
    );
    if (gone()) return Left(makeFailure(ErrorKind.Expelled, 'the member id has changed'));
    if (outcome.isRight()) {
      note(next);
      after?.(outcome.unsafeCoerce().versions);
      return Right(true);
    }
    const problem = outcome.extract() as Failure;
    if (problem.kind === ErrorKind.TableUnavailable) note(values);
    return Left(problem);
  };

  const update = (wanted: Update): Outcome<boolean> =>
    inTurn(async () => {
      for (let conflicts = 0; ; conflicts += 1) {
        const outcome = await attempt(wanted);
        if (outcome.isRight()) return outcome;
        const { kind, got } = outcome.extract() as Failure;
        const keys = Array.isArray(got) ? (got as string[]) : [];
        const others = keys.some((key) => !key.startsWith('allotments/'));
        if (kind !== ErrorKind.TableConflict || others || conflicts >= maxConflicts) return outcome;
      }
    });

  return {
    update,
    known: (team) => known.get(team),
    reset() {
      generation += 1;
      known.clear();
    },
  };
}
