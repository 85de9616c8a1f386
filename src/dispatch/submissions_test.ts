import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Peer } from '../peers/mod.ts';
import type { JobRequest } from '../schema/mod.ts';
import { makeFakeJobs } from '../testing/fake_jobs.ts';

test('a process without partitions must forward jobs only once and report an unknown outcome', async () => {
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
    ErrorKind.SizeInfeasible,
  );

  const own = handlers.get('m0') ?? {};
  const loseAnswer: Peer['submit'] = async (question) => {
    await own.submit?.(question);
    return failWith(ErrorKind.OutcomeUnknown, 'response dropped by the test');
  };
  handlers.set('m0', { ...own, submit: loseAnswer });
  assert.is(failedKind(await ask({ kind: 'batch' })), ErrorKind.OutcomeUnknown);
  assert.is(count(), 2);
  handlers.set('m0', {});
  assert.is(failedKind(await ask({ kind: 'batch' })), ErrorKind.PeerUnavailable);
  assert.is(count(), 2, 'a refused job is not stored');
  handlers.set('m0', own);
  const handed = processes[2]?.jobs.handlers.submit({
    ...{ team: 'a', queue: 'main', job: { kind: 'batch' }, settings: 1 },
  });
  assert.is(
    (await handed)?.swap().unsafeCoerce().kind,
    ErrorKind.NotOwner,
    'forwarded at most once',
  );
  endAll();
  await clock.advance(12_000);
  assert.is((await job(accepted?.id ?? '')).state, 'finished');
  close();
});

test('a job whose upstreams were removed must fail after the grace period, and not before it', async () => {
  const { submit, job, clock, close, settings } = await makeFakeJobs();
  const fit = (processors: number) =>
    settings.change((fleet) => {
      Object.values(fleet.dataCentres).forEach((one) => Object.assign(one, { inService: false }));
      Object.values(fleet.upstreams).forEach(({ capacity }) =>
        Object.assign(capacity, { processors }),
      );
    });
  fit(16);
  const size = { processors: 10 };
  const big = (await submit({ kind: 'batch', size })).unsafeCoerce();
  const gang = (await submit({ kind: 'gang', tasks: 20 })).unsafeCoerce();
  const small = (await submit({ kind: 'batch' })).unsafeCoerce();
  const states = async () => [
    (await job(big.id)).state,
    (await job(gang.id)).state,
    (await job(small.id)).state,
  ];
  await clock.advance(65_000);
  assert.equal(
    await states(),
    ['waiting', 'waiting', 'waiting'],
    'data centres may come back into service',
  );
  fit(4);
  await clock.advance(50_000);
  fit(16);
  await clock.advance(20_000);
  fit(4);
  await clock.advance(50_000);
  assert.equal(await states(), ['waiting', 'waiting', 'waiting']);
  await clock.advance(15_000);
  assert.equal(await states(), ['failed', 'failed', 'waiting']);
  assert.match((await job(big.id)).reason, 'no configured worker');
  assert.match((await job(gang.id)).reason, 'a gang of 20');
  close();
});

test.run();
