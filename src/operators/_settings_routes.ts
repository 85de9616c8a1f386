/**
 * The routes for reading and changing settings.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Handler, RequestContext, Routes } from '../http/mod.ts';
import { makeKeyVerifier } from '../keys/mod.ts';
import type { KeyHolder, KeyVerifier } from '../keys/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type {
  Change,
  SettingsChange,
  SettingsHistory,
  SettingsProposal,
  SettingsTree,
} from '../schema/mod.ts';
import { applyFiles, buildFleet, commitChange } from '../settings/mod.ts';
import type { CommitParts } from '../settings/mod.ts';

const defaultHistoryLimit = 20;
const maxHistoryLimit = 200;
const rowsPerRead = 50;

/** Identifies the operator of a request by its key. */
export type OperatorResolver = (
  context: RequestContext,
  verifier: KeyVerifier,
) => Outcome<KeyHolder>;

/** Identifies the operator of the first change, who must be defined in the proposed settings. */
async function identifyFirstOperator(options: {
  context: RequestContext;
  identify: OperatorResolver;
  proposal: SettingsProposal;
}): Outcome<KeyHolder> {
  const { context, identify, proposal } = options;
  const fleet = buildFleet(applyFiles({}, proposal.files), 1);
  if (fleet.isLeft()) return fleet;
  return identify(context, makeKeyVerifier({ fleet: () => fleet.unsafeCoerce() }));
}

function summariseChange({ version, by, at, note, files }: Change): SettingsChange {
  return { version, by, at, note, files: Object.keys(files) };
}

function parseLimit(text: unknown): Either<Failure, number> {
  if (text === undefined) return Right(defaultHistoryLimit);
  const count = Number(text);
  if (Number.isInteger(count) && count >= 1 && count <= maxHistoryLimit) return Right(count);
  const expected = `a whole number from 1 to ${maxHistoryLimit}`;
  return failWith(ErrorKind.MalformedRequest, 'limit is not valid', { got: text, expected });
}

async function readHistory(
  { table, settings }: CommitParts,
  limit: number,
): Outcome<SettingsHistory> {
  const { version } = settings.current();
  const count = Math.min(limit, version);
  const keys = Array.from({ length: count }, (_, i) => `settings/${version - i}`);
  const changes: SettingsChange[] = [];
  for (let start = 0; start < keys.length; start += rowsPerRead) {
    const rows = await table.read(keys.slice(start, start + rowsPerRead));
    if (rows.isLeft()) return Left(rows.extract());
    rows.unsafeCoerce().forEach(({ value }) => {
      if (value) changes.push(summariseChange(value as Change));
    });
  }
  changes.sort((a, b) => b.version - a.version);
  return Right({ version, changes });
}

/**
 * Makes the settings routes; `requireOperator` wraps a handler to reject all but operators.
 *
 * @example
 * makeSettingsRoutes({ parts, requireOperator, identify, verifier });
 */
export function makeSettingsRoutes(options: {
  parts: CommitParts;
  requireOperator: (handler: Handler) => Handler;
  identify: OperatorResolver;
  verifier: KeyVerifier;
}): Routes {
  const { parts, requireOperator, identify, verifier } = options;
  const { settings } = parts;

  const commitSettings: Handler = async (context) => {
    const isFirstChange = settings.current().version === 0;
    // Bodies can be large, so they are read only from operators, except for the first change.
    const identifiedEarly = isFirstChange ? undefined : await identify(context, verifier);
    if (identifiedEarly?.isLeft()) return Left(identifiedEarly.extract());
    const body = await context.readJson();
    const decoded = body.chain((value) =>
      decode<SettingsProposal>(validators.validateSettingsProposal, value),
    );
    if (decoded.isLeft()) return Left(decoded.extract());
    const proposal = decoded.unsafeCoerce();
    const identified =
      identifiedEarly ?? (await identifyFirstOperator({ context, identify, proposal }));
    if (identified.isLeft()) return Left(identified.extract());
    const operator = identified.unsafeCoerce();
    if (!isFirstChange && !verifier.isInForce(operator)) {
      return failWith(ErrorKind.OperatorRejected, 'the operator key was withdrawn');
    }
    const { base, files, note = '' } = proposal;
    const committed = await commitChange(parts, { base, files, note, by: operator.id });
    return committed.map((change) => ({ status: 200, body: summariseChange(change) }));
  };

  return {
    'GET /v1/settings': requireOperator(() => {
      const body: SettingsTree = { version: settings.current().version, files: settings.tree() };
      return Promise.resolve(Right({ status: 200, body }));
    }),
    'POST /v1/settings': commitSettings,
    'GET /v1/settings/history': requireOperator(async ({ query }) => {
      const limit = parseLimit(query.limit);
      if (limit.isLeft()) return Left(limit.extract());
      const history = await readHistory(parts, limit.unsafeCoerce());
      return history.map((body) => ({ status: 200, body }));
    }),
  };
}
