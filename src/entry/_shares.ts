/**
 * Tracks each team's share of the fleet, which orders waiting work. The usage on this process is
 * exact; that of other processes comes from the shared row `usage`.
 */
import type { Clock, Random } from '../clock/mod.ts';
import { makeShareLedger, makeShareView } from '../decisions/mod.ts';
import type { TeamUsage } from '../decisions/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Pool } from '../pool/mod.ts';
import type { Need, ShareRecord, Size } from '../schema/mod.ts';
import type { Fleet, Settings } from '../settings/mod.ts';
import type { Table, Writer } from '../table/mod.ts';

/** The team shares, and the background task that exchanges them with other processes. */
export interface SharesTask {
  usage: TeamUsage;
  /** Adds a reservation to the team's usage until the next refresh counts its task. */
  countReservation(need: Need): void;
  run(signal: AbortSignal): Promise<void>;
}

const usageKey = 'usage';
const exchangeIntervalMs = 10_000;
const refreshIntervalMs = 250;
// A commit fails if another process has changed the row meanwhile; each try reads the row again.
const maxTries = 3;

function sumCapacity({ upstreams, dataCentres }: Fleet): Size {
  const fleetCapacity = { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 };
  Object.values(upstreams)
    .filter(({ dataCentre }) => dataCentres[dataCentre]?.inService)
    .forEach(({ capacity }) => {
      fleetCapacity.processors += capacity.processors;
      fleetCapacity.memoryMb += capacity.memoryMb;
      fleetCapacity.accelerators += capacity.accelerators;
      fleetCapacity.slots += capacity.slots;
    });
  return fleetCapacity;
}

/** Makes the team shares of a process. */
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
  let shareView = makeShareView(Object.keys(settings.current().teams));
  let fleetCapacity = sumCapacity(settings.current());
  let refreshedAt = -Infinity;
  settings.subscribe((fleet) => {
    shareView = makeShareView(Object.keys(fleet.teams));
    fleetCapacity = sumCapacity(fleet);
    refreshedAt = -Infinity;
  });

  let ledger = makeShareLedger(fleetCapacity);
  const refreshOwnShares = () => {
    if (clock.now() - refreshedAt < refreshIntervalMs) return;
    refreshedAt = clock.now();
    ledger = makeShareLedger(fleetCapacity);
    pool.tasks().forEach(({ team, size }) => ledger.addTask(team, size));
    Object.keys(settings.current().teams).forEach((team) =>
      shareView.setOwnShare(team, ledger.dominantShare(team)),
    );
  };
  pool.onCapacityFreed(() => {
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
    const updatedRecord = shareView.contribute(row.value as ShareRecord | undefined, versions);
    const commitResult = await writer.commit({
      checks: [{ key: usageKey, version: row.version }],
      writes: [{ key: usageKey, value: updatedRecord }],
    });
    commitResult.ifLeft(shareView.retract);
    return commitResult.isRight();
  };

  return {
    usage: {
      dominantShare(team) {
        refreshOwnShares();
        return shareView.dominantShare(team);
      },
      weight: (team) => settings.current().teams[team]?.share ?? 1,
    },
    countReservation({ team, size }) {
      ledger.addTask(team, size);
      shareView.setOwnShare(team, ledger.dominantShare(team));
    },
    async run(signal) {
      while (!signal.aborted) {
        // Random jitter, so that processes that started together do not always conflict on the row.
        await clock.sleep(exchangeIntervalMs * (0.75 + random() / 2), signal);
        if (!membership.isFresh() || signal.aborted) continue;
        for (let tries = 1; tries <= maxTries && !(await exchangeUsage()); tries++) {
          await clock.sleep(refreshIntervalMs * random(), signal);
        }
      }
    },
  };
}
