/**
 * What teams use of the fleet, for the order of waiting work: this process's part exactly, the part
 * of others from the shared row `usage`.
 */
import type { Clock, Random } from '../clock/mod.ts';
import { makeShareLedger, makeShareView } from '../decisions/mod.ts';
import type { Usage } from '../decisions/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Pool } from '../pool/mod.ts';
import type { Need, ShareRecord, Size } from '../schema/mod.ts';
import type { Fleet, Settings } from '../settings/mod.ts';
import type { Table, Writer } from '../table/mod.ts';

/** Shares as a task. */
export interface SharesTask {
  usage: Usage;
  /** Counts a reservation until the task is counted. */
  countReservation(need: Need): void;
  run(signal: AbortSignal): Promise<void>;
}

const usageKey = 'usage';
const exchangeIntervalMs = 10_000;
const refreshIntervalMs = 250;
// Another process changed the row in between; it is read again in the next turn.
const maxTries = 3;

function sumCapacity({ upstreams, dataCentres }: Fleet): Size {
  const total = { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 };
  Object.values(upstreams)
    .filter(({ dataCentre }) => dataCentres[dataCentre]?.inService)
    .forEach(({ capacity }) => {
      total.processors += capacity.processors;
      total.memoryMb += capacity.memoryMb;
      total.accelerators += capacity.accelerators;
      total.slots += capacity.slots;
    });
  return total;
}

/** Makes the shares of a process. */
export function makeShares(parts: {
  pool: Pool;
  settings: Pick<Settings, 'current' | 'subscribe'>;
  membership: Pick<Membership, 'view' | 'isFresh'>;
  table: Pick<Table, 'read'>;
  writer: Pick<Writer, 'commit'>;
  clock: Clock;
  random: Random;
}): SharesTask {
  const { pool, settings, membership, table, writer, clock, random } = parts;
  let view = makeShareView(Object.keys(settings.current().teams));
  let total = sumCapacity(settings.current());
  let refreshedAt = -Infinity;
  settings.subscribe((fleet) => {
    view = makeShareView(Object.keys(fleet.teams));
    total = sumCapacity(fleet);
    refreshedAt = -Infinity;
  });

  let ledger = makeShareLedger(total);
  const refreshOwnShares = () => {
    if (clock.now() - refreshedAt < refreshIntervalMs) return;
    refreshedAt = clock.now();
    ledger = makeShareLedger(total);
    pool.tasks().forEach(({ team, size }) => ledger.started(team, size));
    Object.keys(settings.current().teams).forEach((team) =>
      view.setOwn(team, ledger.dominantShare(team)),
    );
  };
  pool.onRoom(() => {
    refreshedAt = -Infinity;
  });

  const exchangeUsage = async (): Promise<boolean> => {
    refreshOwnShares();
    const readResult = await table.read([usageKey]);
    const row = readResult.toMaybe().extract()?.[0];
    if (!row) return true;
    const { version, members } = membership.view();
    const versions = {
      membership: version,
      settings: settings.current().version,
      members: members.length,
    };
    const updatedRecord = view.contribute(row.value as ShareRecord | undefined, versions);
    const commitResult = await writer.commit({
      checks: [{ key: usageKey, version: row.version }],
      writes: [{ key: usageKey, value: updatedRecord }],
    });
    commitResult.ifLeft(view.retract);
    return commitResult.isRight();
  };

  return {
    usage: {
      dominantShare(team) {
        refreshOwnShares();
        return view.dominantShare(team);
      },
      weight: (team) => settings.current().teams[team]?.share ?? 1,
    },
    countReservation({ team, size }) {
      ledger.started(team, size);
      view.setOwn(team, ledger.dominantShare(team));
    },
    async run(signal) {
      while (!signal.aborted) {
        // Spread, so that processes that started together do not collide on the row each time.
        await clock.sleep(exchangeIntervalMs * (0.75 + random() / 2), signal);
        if (!membership.isFresh() || signal.aborted) continue;
        for (let tries = 1; tries <= maxTries && !(await exchangeUsage()); tries++) {
          await clock.sleep(refreshIntervalMs * random(), signal);
        }
      }
    },
  };
}
