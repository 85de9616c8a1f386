/**
 * An operators' interface over a table service in memory and a dispatcher of a test.
 */
import { Right } from 'purify-ts';

import { systemClock } from '../clock/mod.ts';
import type { Dispatch } from '../dispatch/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import { makeInvariantChecker, throwOnViolation } from '../invariants/mod.ts';
import { makeKeyVerifier } from '../keys/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { silentMetrics } from '../metrics/mod.ts';
import { makeOperators } from '../operators/mod.ts';
import type { OperatorsOptions } from '../operators/mod.ts';
import type { Job } from '../schema/mod.ts';
import { makeCommitParts, makeSettingsTable } from './settings_table.ts';

const job = (id: string, team: string) =>
  ({
    id,
    team,
    queue: 'default',
    kind: 'batch',
    tasks: 2,
    state: 'waiting',
    reason: 'no room',
    submittedAt: 1,
    body: 'large',
  }) as unknown as Job;

/**
 * Starts the interface of one process; several may share a table.
 *
 * @example
 * const { url, operators } = await startOperators();
 */
export async function startOperators(
  overrides: Partial<OperatorsOptions> & { table?: ReturnType<typeof makeSettingsTable> } = {},
) {
  const { table = makeSettingsTable(), ...options } = overrides;
  const parts = makeCommitParts(table);
  await parts.settings.load();
  const cancelled: string[] = [];
  const dispatch = {
    jobs: ({ team }) => [job('j1', 'millers')].filter((one) => !team || one.team === team),
    cancel(team, id) {
      cancelled.push(`${team}/${id}`);
      return Promise.resolve(Right({ ...job(id, team), state: 'cancelled', reason: '' }));
    },
    explain: (id) =>
      id === 'j1' ? { id, state: 'waiting', reasons: [{ at: 0, text: 'no room' }] } : undefined,
  } as Partial<Dispatch> as Dispatch;
  const operators = makeOperators({
    address: '127.0.0.1',
    port: 0,
    parts,
    dispatch,
    verifier: makeKeyVerifier({ fleet: () => parts.settings.current() }),
    checkReady: () => Right(undefined),
    dump: () => ({ member: 'm1' }),
    listOtherMembers: () => ['m2', 'm3'],
    fetchMemberState(member, section) {
      if (member === 'm3') return Promise.resolve(failWith(ErrorKind.PeerUnavailable, 'no answer'));
      if (section === 'jobs') return Promise.resolve(Right([job('j2', 'bakers')]));
      if (section) return Promise.resolve(Right(undefined));
      return Promise.resolve(Right({ member }));
    },
    clock: systemClock,
    invariants: makeInvariantChecker({ onViolation: throwOnViolation }),
    metrics: silentMetrics,
    log: silentLogger,
    ...options,
  });
  const { port } = (await operators.listen()).unsafeCoerce();
  return { url: `http://127.0.0.1:${port}`, port, operators, parts, table, cancelled };
}
