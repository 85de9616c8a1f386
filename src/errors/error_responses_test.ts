import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ErrorKind, errorResponses, hasNotRun } from './mod.ts';

test('an error kind without a response would leave a client without a status', () => {
  Object.values(ErrorKind).forEach((kind) => {
    assert.ok(errorResponses[kind].status >= 400, kind);
  });
});

test('an unknown outcome reported as "not run" would let a client run work twice', () => {
  [
    ErrorKind.OutcomeUnknown,
    ErrorKind.TableUnknown,
    ErrorKind.TaskFailed,
    ErrorKind.RequestRepeated,
  ].forEach((kind) => assert.not(hasNotRun({ kind, message: '' })));
});

test.run();
