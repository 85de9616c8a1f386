/**
 * Commits a change to the settings tree in one transaction that also updates `head`. If two
 * operators change the same version, only one commit succeeds.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Allotment, Change, Head, Row } from '../schema/mod.ts';
import type { Table, Writer } from '../table/mod.ts';
import type { Fleet } from './fleet.ts';
import { applyFiles } from './make_settings.ts';
import type { SettingsHolder } from './make_settings.ts';
import { buildFleet } from './tree.ts';

/** A settings change submitted by an operator. */
export interface Proposal {
  /** Settings version on which the change is based. */
  base: number;
  by: string;
  note: string;
  /** New text by path; null removes the file. */
  files: Change['files'];
}

/** Computes a team's allotment for a new limit; `current` is undefined if the team has none yet. */
export type AllotmentFunction = (current: Allotment | undefined, limit: number) => Allotment;

/** Dependencies of {@link commitChange}. */
export interface CommitParts {
  settings: SettingsHolder;
  membership: Pick<Membership, 'mayCommitSettings' | 'beginSettingsCommit' | 'view'>;
  table: Table;
  writer: Writer;
  clock: Clock;
  reallot: AllotmentFunction;
}

// Heartbeats of joining members and the share digest also update `head`, and units of limits are
// transferred between members. Such table conflicts are retried: no other operator caused them.
const maxCommitAttempts = 8;

/** Makes a failure that lists who changed which files after the base version. */
async function describeConflict(parts: CommitParts, base: number): Promise<Failure> {
  const { settings, table } = parts;
  const { version } = settings.current();
  const expected = `base version ${version}`;
  if (base > version) {
    return makeFailure(ErrorKind.SettingsConflict, 'the base version does not exist yet', {
      got: base,
      expected,
    });
  }
  let changes = settings.after(base);
  if (changes.length === 0) {
    const keys = Array.from({ length: version - base }, (_, i) => `settings/${base + 1 + i}`);
    const rows = await table.read(keys.slice(-50));
    changes = rows.orDefault([]).flatMap(({ value }) => (value ? [value as Change] : []));
  }
  const descriptions = changes.map(
    (change) =>
      `version ${change.version} by ${change.by} changed ${Object.keys(change.files).join(', ')}`,
  );
  const message = `the settings were changed since version ${base}: ${descriptions.join('; ')}`;
  return makeFailure(ErrorKind.SettingsConflict, message, { got: base, expected });
}

function checkProposal(parts: CommitParts, proposal: Proposal): Either<Failure, Fleet> {
  const { settings } = parts;
  if (Object.keys(proposal.files).length === 0) {
    return failWith(ErrorKind.SettingsInvalid, 'the change names no file');
  }
  const missing = Object.entries(proposal.files)
    .filter(([path, text]) => text === null && !Object.hasOwn(settings.tree(), path))
    .map(([path]) => path);
  if (missing.length > 0) {
    return failWith(
      ErrorKind.SettingsInvalid,
      `files to remove do not exist: ${missing.join(', ')}`,
    );
  }
  const tree = applyFiles(settings.tree(), proposal.files);
  return buildFleet(tree, settings.current().version + 1).chain((fleet) =>
    fleet.operators.length > 0
      ? Right(fleet)
      : failWith(ErrorKind.SettingsInvalid, 'the change would leave no operator', {
          expected: 'at least one [operator.NAME] section in fleet.ini',
        }),
  );
}

function listTeamsWithNewLimit(before: Fleet, after: Fleet): string[] {
  return [...new Set([...Object.keys(before.teams), ...Object.keys(after.teams)])].filter(
    (team) => before.teams[team]?.limit !== after.teams[team]?.limit,
  );
}

function buildMutation(options: {
  parts: CommitParts;
  proposal: Proposal;
  nextFleet: Fleet;
  rows: Row[];
}): { change: Change; mutation: Parameters<Writer['commit']>[0] } {
  const { parts, proposal, nextFleet, rows } = options;
  const head = rows.find(({ key }) => key === 'head');
  const current = rows.filter(({ key }) => key !== 'head');
  const allotments = Object.fromEntries(
    current.map(({ key, value }) => {
      const team = key.slice('allotments/'.length);
      const limit = nextFleet.teams[team]?.limit ?? 0;
      return [team, parts.reallot(value as Allotment | undefined, limit)];
    }),
  );
  const change: Change = {
    version: nextFleet.version,
    by: proposal.by,
    at: parts.clock.wallTime(),
    note: proposal.note,
    files: proposal.files,
    allotments,
  };
  const headValue: Head = {
    membership: 0,
    ...(head?.value as Head | undefined),
    settings: nextFleet.version,
  };
  const writes = [
    { key: 'head', value: headValue },
    { key: `settings/${nextFleet.version}`, value: change },
    ...Object.entries(proposal.files).map(([path, text]) => ({
      key: `tree/${path}`,
      value: text ?? undefined,
    })),
    ...Object.entries(allotments).map(([team, value]) => ({ key: `allotments/${team}`, value })),
  ];
  const checks = [
    ...rows.map(({ key, version }) => ({ key, version })),
    { key: `settings/${nextFleet.version}`, version: 0 },
  ];
  return { change, mutation: { checks, writes } };
}

async function tryCommit(parts: CommitParts, proposal: Proposal): Outcome<Change> {
  const { settings, table, writer } = parts;
  const checked = checkProposal(parts, proposal);
  if (checked.isLeft()) return checked;
  const nextFleet = checked.unsafeCoerce();
  const teams = listTeamsWithNewLimit(settings.current(), nextFleet);
  const read = await table.read(['head', ...teams.map((team) => `allotments/${team}`)]);
  if (read.isLeft()) return read;
  const rows = read.unsafeCoerce();
  const head = rows.find(({ key }) => key === 'head');
  const version = (head?.value as Head | undefined)?.settings ?? 0;
  if (version !== proposal.base) {
    const caughtUp = await settings.catchUp(version);
    if (caughtUp.isLeft()) return caughtUp;
    return Left(await describeConflict(parts, proposal.base));
  }
  const { membership: membershipVersion = 0 } = (rows[0]?.value ?? {}) as Partial<Head>;
  // Without this check, an expulsion by a provisional member since the view was read would go
  // unnoticed. The transaction checks the version of `head`, so it fails after a later expulsion.
  if (
    membershipVersion !== parts.membership.view().version ||
    !parts.membership.mayCommitSettings()
  ) {
    return failWith(
      ErrorKind.SettingsBlocked,
      'membership has changed and is not settled here yet',
      {
        got: membershipVersion,
        expected: parts.membership.view().version,
      },
    );
  }
  const { change, mutation } = buildMutation({ parts, proposal, nextFleet, rows });
  const committed = await writer.commit(mutation);
  return committed.map(() => change);
}

async function commitWithRetries(parts: CommitParts, proposal: Proposal): Outcome<Change> {
  const { settings } = parts;
  if (proposal.base > settings.current().version) await settings.catchUp(proposal.base);
  for (let attempt = 1; ; attempt++) {
    if (proposal.base !== settings.current().version) {
      return Left(await describeConflict(parts, proposal.base));
    }
    const result = await tryCommit(parts, proposal);
    const kind = result.isLeft() ? result.extract().kind : undefined;
    if (kind !== ErrorKind.TableConflict || attempt >= maxCommitAttempts) {
      return result.chain((change) => settings.apply([change]).map(() => change));
    }
  }
}

/**
 * Commits a change. Fails with `settings-invalid`, with `settings-conflict` (listing who changed
 * which files since), with `settings-blocked` while this process may not commit, or with the
 * failure of the table service.
 *
 * @example
 * const change = await commitChange(parts, { base: 7, by: 'ana', note: '', files });
 */
export async function commitChange(parts: CommitParts, proposal: Proposal): Outcome<Change> {
  const { membership } = parts;
  if (!membership.mayCommitSettings()) {
    return failWith(ErrorKind.SettingsBlocked, 'this process may not commit settings now', {
      expected: 'a full member with no promise outstanding and no unsettled departure',
    });
  }
  const endCommit = membership.beginSettingsCommit();
  let isOutcomeUnknown = true;
  try {
    const result = await commitWithRetries(parts, proposal);
    isOutcomeUnknown = result.isLeft() && result.extract().kind === ErrorKind.TableUnknown;
    return result;
  } finally {
    // After an unknown outcome, the writer lane may learn later that the change took effect. This
    // process gets its version only from the next read of `head`; promises stay blocked until then.
    endCommit({ certain: !isOutcomeUnknown });
  }
}
