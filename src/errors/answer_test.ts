import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Kind, answers, isNotRun } from './mod.ts';

test('a kind without an answer would leave a caller without a status', () => {
  Object.values(Kind).forEach((kind) => {
    assert.ok(answers[kind].status >= 400, kind);
  });
});

test('an unknown outcome answered as "not run" would let a caller run work twice', () => {
  [Kind.OutcomeUnknown, Kind.TableUnknown, Kind.TaskFailed, Kind.RequestRepeated].forEach((kind) =>
    assert.not(isNotRun({ kind, message: '' })),
  );
});

test.run();
