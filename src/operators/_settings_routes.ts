/**
 * Routes that read and change settings.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Exchange, Handler, Routes } from '../http/mod.ts';
import { makeVerifier } from '../keys/mod.ts';
import type { KeyHolder, Verifier } from '../keys/mod.ts';
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

const defaultHistory = 20;
const maxHistory = 200;
const rowsPerRead = 50;

/** Names the operator of a request by its key. */
export type Identify = (exchange: Exchange, verifier: Verifier) => Outcome<KeyHolder>;

/** The first settings are accepted from an operator whom they themselves name. */
async function identifyFirst(options: {
  exchange: Exchange;
  identify: Identify;
  proposal: SettingsProposal;
}): Outcome<KeyHolder> {
  const { exchange, identify, proposal } = options;
  const fleet = buildFleet(applyFiles({}, proposal.files), 1);
  if (fleet.isLeft()) return fleet;
  return identify(exchange, makeVerifier({ fleet: () => fleet.unsafeCoerce() }));
}

function summarise({ version, by, at, note, files }: Change): SettingsChange {
  return { version, by, at, note, files: Object.keys(files) };
}

function parseCount(text: unknown): Either<Failure, number> {
  if (text === undefined) return Right(defaultHistory);
  const count = Number(text);
  if (Number.isInteger(count) && count >= 1 && count <= maxHistory) return Right(count);
  const expected = `a whole number from 1 to ${maxHistory}`;
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
  for (let from = 0; from < keys.length; from += rowsPerRead) {
    const rows = await table.read(keys.slice(from, from + rowsPerRead));
    if (rows.isLeft()) return Left(rows.extract());
    rows.unsafeCoerce().forEach(({ value }) => {
      if (value) changes.push(summarise(value as Change));
    });
  }
  changes.sort((a, b) => b.version - a.version);
  return Right({ version, changes });
}

/**
 * Makes the routes; `guard` lets only operators through.
 *
 * @example
 * makeSettingsRoutes({ parts, guard, identify, verifier });
 */
export function makeSettingsRoutes(options: {
  parts: CommitParts;
  guard: (handler: Handler) => Handler;
  identify: Identify;
  verifier: Verifier;
}): Routes {
  const { parts, guard, identify, verifier } = options;
  const { settings } = parts;

  const change: Handler = async (exchange) => {
    const isFirst = settings.current().version === 0;
    // Bodies are large, so they are read only from operators, except for the first.
    const early = isFirst ? undefined : await identify(exchange, verifier);
    if (early?.isLeft()) return Left(early.extract());
    const body = await exchange.readJson();
    const decoded = body.chain((value) =>
      decode<SettingsProposal>(validators.validateSettingsProposal, value),
    );
    if (decoded.isLeft()) return Left(decoded.extract());
    const proposal = decoded.unsafeCoerce();
    const identified = early ?? (await identifyFirst({ exchange, identify, proposal }));
    if (identified.isLeft()) return Left(identified.extract());
    const operator = identified.unsafeCoerce();
    if (!isFirst && !verifier.isInForce(operator)) {
      return failWith(ErrorKind.OperatorRejected, 'the operator key was withdrawn');
    }
    const { base, files, note = '' } = proposal;
    const committed = await commitChange(parts, { base, files, note, by: operator.id });
    return committed.map((done) => ({ status: 200, body: summarise(done) }));
  };

  return {
    'GET /v1/settings': guard(() => {
      const body: SettingsTree = { version: settings.current().version, files: settings.tree() };
      return Promise.resolve(Right({ status: 200, body }));
    }),
    'POST /v1/settings': change,
    'GET /v1/settings/history': guard(async ({ query }) => {
      const limit = parseCount(query.limit);
      if (limit.isLeft()) return Left(limit.extract());
      const history = await readHistory(parts, limit.unsafeCoerce());
      return history.map((body) => ({ status: 200, body }));
    }),
  };
}
