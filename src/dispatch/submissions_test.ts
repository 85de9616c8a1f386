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
  const submitToSecond = async (request: JobRequest, id?: string) => {
    const caller = { team: 'a', queue: 'main', ...(id === undefined ? {} : { request: id }) };
    const response = second?.jobs.submit(caller, request);
    await clock.advance(200);
    return response ?? assert.unreachable('no process');
  };
  const getFailureKind = (response: Awaited<ReturnType<typeof submitToSecond>>) =>
    response ? response.swap().unsafeCoerce().kind : '';
  const countStoredJobs = () =>
    [...store.rows.keys()].filter((key) => key.startsWith('jobs/')).length;

  const accepted = (await submitToSecond({ kind: 'batch', tasks: 2 }, 'q'))?.unsafeCoerce();
  const repeated = (await submitToSecond({ kind: 'batch', tasks: 2 }, 'q'))?.unsafeCoerce();
  assert.is(repeated?.id, accepted?.id);
  assert.is(owner?.jobs.jobs({}).length, 1);
  assert.is(
    getFailureKind(await submitToSecond({ kind: 'batch', size: { processors: 99 } })),
    ErrorKind.SizeInfeasible,
  );

  const ownHandlers = handlers.get('m0') ?? {};
  const loseResponse: Peer['submit'] = async (request) => {
    await ownHandlers.submit?.(request);
    return failWith(ErrorKind.OutcomeUnknown, 'response dropped by the test');
  };
  handlers.set('m0', { ...ownHandlers, submit: loseResponse });
  assert.is(getFailureKind(await submitToSecond({ kind: 'batch' })), ErrorKind.OutcomeUnknown);
  assert.is(countStoredJobs(), 2);
  handlers.set('m0', {});
  assert.is(getFailureKind(await submitToSecond({ kind: 'batch' })), ErrorKind.PeerUnavailable);
  assert.is(countStoredJobs(), 2, 'a refused job is not stored');
  handlers.set('m0', ownHandlers);
  const forwarded = processes[2]?.jobs.handlers.submit({
    ...{ team: 'a', queue: 'main', job: { kind: 'batch' }, settings: 1 },
  });
  assert.is(
    (await forwarded)?.swap().unsafeCoerce().kind,
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
  const setProcessors = (processors: number) =>
    settings.change((fleet) => {
      Object.values(fleet.dataCentres).forEach((one) => Object.assign(one, { inService: false }));
      Object.values(fleet.upstreams).forEach(({ capacity }) =>
        Object.assign(capacity, { processors }),
      );
    });
  setProcessors(16);
  const size = { processors: 10 };
  const large = (await submit({ kind: 'batch', size })).unsafeCoerce();
  const gang = (await submit({ kind: 'gang', tasks: 20 })).unsafeCoerce();
  const small = (await submit({ kind: 'batch' })).unsafeCoerce();
  const readStates = async () => [
    (await job(large.id)).state,
    (await job(gang.id)).state,
    (await job(small.id)).state,
  ];
  await clock.advance(65_000);
  assert.equal(
    await readStates(),
    ['waiting', 'waiting', 'waiting'],
    'data centres may come back into service',
  );
  setProcessors(4);
  await clock.advance(50_000);
  setProcessors(16);
  await clock.advance(20_000);
  setProcessors(4);
  await clock.advance(50_000);
  assert.equal(await readStates(), ['waiting', 'waiting', 'waiting']);
  await clock.advance(15_000);
  assert.equal(await readStates(), ['failed', 'failed', 'waiting']);
  assert.match((await job(large.id)).reason, 'no configured worker');
  assert.match((await job(gang.id)).reason, 'a gang of 20');
  close();
});

test.run();
