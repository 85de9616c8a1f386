import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Kind, refuse } from '../errors/mod.ts';
import type { Peer } from '../peers/mod.ts';
import type { JobRequest } from '../schema/mod.ts';
import { makeFakeJobs } from '../testing/fake_jobs.ts';

test('a process without partitions must hand jobs over, once, and say when it lost the answer', async () => {
  const fixture = await makeFakeJobs({ units: [16, 16, 16], partitionOwners: 1 });
  const { processes, clock, close, handlers, store, endAll, job } = fixture;
  const [owner, second] = processes;
  const ask = async (request: JobRequest, id?: string) => {
    const caller = { team: 'a', queue: 'main', ...(id === undefined ? {} : { request: id }) };
    const answer = second?.jobs.submit(caller, request);
    await clock.advance(200);
    return answer ?? assert.unreachable('no process');
  };
  const failedKind = (answer: Awaited<ReturnType<typeof ask>>) =>
    answer ? answer.swap().unsafeCoerce().kind : '';
  const count = () => [...store.rows.keys()].filter((key) => key.startsWith('jobs/')).length;

  const accepted = (await ask({ kind: 'batch', tasks: 2 }, 'q'))?.unsafeCoerce();
  const again = (await ask({ kind: 'batch', tasks: 2 }, 'q'))?.unsafeCoerce();
  assert.is(again?.id, accepted?.id);
  assert.is(owner?.jobs.jobs({}).length, 1);
  assert.is(
    failedKind(await ask({ kind: 'batch', size: { processors: 99 } })),
    Kind.SizeInfeasible,
  );

  const own = handlers.get('m0') ?? {};
  const loseAnswer: Peer['submit'] = async (question) => {
    await own.submit?.(question);
    return refuse(Kind.OutcomeUnknown, 'answer lost by the test');
  };
  handlers.set('m0', { ...own, submit: loseAnswer });
  assert.is(failedKind(await ask({ kind: 'batch' })), Kind.OutcomeUnknown);
  assert.is(count(), 2);
  handlers.set('m0', {});
  assert.is(failedKind(await ask({ kind: 'batch' })), Kind.PeerUnavailable);
  assert.is(count(), 2, 'a refused job is not written');
  handlers.set('m0', own);
  const handed = processes[2]?.jobs.handlers.submit({
    ...{ team: 'a', queue: 'main', job: { kind: 'batch' }, settings: 1 },
  });
  assert.is((await handed)?.swap().unsafeCoerce().kind, Kind.NotOwner, 'one hop only');
  endAll();
  await clock.advance(12_000);
  assert.is((await job(accepted?.id ?? '')).state, 'finished');
  close();
});

test.run();
