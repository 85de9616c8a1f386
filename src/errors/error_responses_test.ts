import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ErrorKind, errorResponses, hasNotRun } from './mod.ts';

test('a kind without an answer would leave a caller without a status', () => {
  Object.values(ErrorKind).forEach((kind) => {
    assert.ok(errorResponses[kind].status >= 400, kind);
  });
});

test('an unknown outcome answered as "not run" would let a caller run work twice', () => {
  [
    ErrorKind.OutcomeUnknown,
    ErrorKind.TableUnknown,
    ErrorKind.TaskFailed,
    ErrorKind.RequestRepeated,
  ].forEach((kind) => assert.not(hasNotRun({ kind, message: '' })));
});

test.run();
