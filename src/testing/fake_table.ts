/**
 * A table service in memory with its writer, and an object store, with faults that a test can
 * switch on.
 */
import { Left, Right } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure, failWith } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { Objects } from '../objects/mod.ts';
import type { Commit, Row } from '../schema/mod.ts';
import type { Mutation, Table, Writer } from '../table/mod.ts';

/** The fake, with what a test may do to it. */
export interface FakeTable {
  table: Pick<Table, 'read' | 'scan'>;
  writer: Pick<Writer, 'commit' | 'isBusy'>;
  objects: Objects;
  rows: Map<string, Row>;
  commits: Mutation[];
  /** Chance of a lost answer, and of a write that does not take effect. */
  faults: { loseAnswer: number; unavailable: number };
  put(key: string, value: unknown): void;
}

/**
 * Makes the fake; every exchange takes 5 ms.
 *
 * @example
 * const { table, writer } = makeFakeTable({ clock, random });
 */
export function makeFakeTable(options: { clock: Clock; random: () => number }): FakeTable {
  const { clock, random } = options;
  const rows = new Map<string, Row>();
  const stored = new Map<string, Uint8Array>();
  const commits: Mutation[] = [];
  const faults = { loseAnswer: 0, unavailable: 0 };
  const versionOf = (key: string) => rows.get(key)?.version ?? 0;
  const rowOf = (key: string): Row => structuredClone(rows.get(key) ?? { key, version: 0 });
  const put = (key: string, value: unknown) => {
    rows.set(key, { key, version: versionOf(key) + 1, value: structuredClone(value) });
  };
  const commit = async (mutation: Mutation): Outcome<Commit> => {
    await clock.sleep(5);
    if (random() < faults.unavailable)
      return failWith(ErrorKind.TableUnavailable, 'down by the test');
    const conflicts = (mutation.checks ?? []).filter(
      ({ key, version }) => versionOf(key) !== version,
    );
    if (conflicts.length > 0) {
      const got = conflicts.map(({ key }) => key);
      return Left(makeFailure(ErrorKind.TableConflict, 'versions differ', { got }));
    }
    commits.push(mutation);
    (mutation.writes ?? []).forEach(({ key, value }) => put(key, value));
    if (random() < faults.loseAnswer)
      return failWith(ErrorKind.TableUnknown, 'answer lost by the test');
    const versions = Object.fromEntries(
      (mutation.writes ?? []).map(({ key }) => [key, versionOf(key)]),
    );
    return Right({ versions, rows: (mutation.reads ?? []).map(rowOf) });
  };
  return {
    ...{ rows, commits, faults, put },
    table: {
      async read(keys) {
        await clock.sleep(5);
        return Right(keys.map(rowOf));
      },
      async scan(prefix, { after = '', limit = 1_000 } = {}) {
        await clock.sleep(5);
        const keys = [...rows.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
        return Right(keys.slice(0, limit).map(rowOf));
      },
    },
    writer: { commit, isBusy: () => false },
    objects: {
      async put(name, bytes) {
        stored.set(name, bytes);
        return Right(undefined);
      },
      get: async (name) => Right(stored.get(name)),
      async remove(name) {
        stored.delete(name);
        return Right(undefined);
      },
    },
  };
}
