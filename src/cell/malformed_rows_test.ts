import fc from 'fast-check';
import { Right } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import type { RowKey } from '../model/mod.ts';
import { acceptedJob, stepSpec } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { makeClaimedTerm, withDelayedWatch } from '../testing/fake_term.ts';
import { decodeClaim, decodeHeartbeat } from './_leadership_rows.ts';
import { decodeMember } from './members.ts';
import { acceptedRow, jobRow, progressRow } from './rows.ts';

const test = suite('malformed rows');

/** Texts that are not JSON, and JSON values of the wrong shape. */
const malformedText = fc.oneof(
  fc.string(),
  fc.json(),
  fc.constantFrom('null', '5', '[]', '{}', '{"spec":{}}', '{"spec":{"steps":[null]}}'),
  fc.constant('{"spec":{"steps":[]}}'),
);

test('no malformed text makes the decoders of our own rows throw', () => {
  fc.assert(
    fc.property(malformedText, (text) => {
      const claim = decodeClaim(text);
      assert.ok(claim === undefined || Number.isSafeInteger(claim.epoch));
      const heartbeat = decodeHeartbeat(text);
      assert.ok(heartbeat === undefined || Number.isSafeInteger(heartbeat.epoch));
      const member = decodeMember(text);
      assert.ok(member === undefined || typeof member.address === 'string');
    }),
    { seed: 7, numRuns: 2_000 },
  );
});

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await systemClock.sleep(2);
}

test('a malformed row does not keep a scheduler from loading and scheduling the other jobs', async () => {
  const store = makeFakeStore();
  const write = (row: RowKey, value: string) =>
    store.transact({ expected: [], writes: [{ ...row, value }], deletes: [] });
  const texts = fc.sample(malformedText, { seed: 11, numRuns: 40 });
  for (const [index, text] of texts.entries()) {
    await write(jobRow(`a${index}00`), text);
    await write(acceptedRow(`b${index}00`), text);
    await write(progressRow(`c${index}00`), text);
  }
  const good = (id: string) => JSON.stringify(acceptedJob(id, [stepSpec()]));
  // Without the terms of its queue, a job breaks the computation of the load, not only its own start.
  const withoutTerms = { ...acceptedJob('800', [stepSpec()]), terms: undefined };
  await write(jobRow('800'), JSON.stringify(withoutTerms));
  await write(jobRow('900'), good('900'));
  const term = await makeClaimedTerm(
    withDelayedWatch({
      ...store,
      watch: async (table, { after }) => {
        const all = [...store.rows.values()].filter((row) => row.table === table);
        const version = Math.max(after, ...all.map((row) => row.version));
        return Right({ rows: all.filter((row) => row.version > after), version });
      },
    }),
  );
  const running = term.run();
  await waitUntil(() => term.service.getStoredState('900') !== undefined);
  // Rows that are written later reach the scheduler through its watch of the table.
  await write(jobRow('d00'), 'null');
  await write(jobRow('901'), good('901'));
  await waitUntil(() => term.service.getStoredState('901') !== undefined);
  assert.is(term.service.getStoredState('900'), 'queued');
  term.stop();
  await running;
});

test.run();
