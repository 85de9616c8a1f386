/**
 * Chooses the peer for work that does not fit on the workers of this process: of two random peers,
 * the one with more known free capacity.
 */
import type { Clock, Random } from '../clock/mod.ts';
import { pickIndex } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Member } from '../schema/mod.ts';

/** Chooses peers by the free capacity that they report in their responses. */
export interface PeerChoice {
  recordFreeCapacity(member: string, free: number): void;
  /** Excludes a peer that can't start work of the team now from the next choices. */
  recordRefusal(member: string, team: string): void;
  choose(team: string, exclude?: ReadonlySet<string>): Member | undefined;
  dump(): unknown;
}

// Free capacity changes with every lookup; an older value is as useless as none.
const freeCapacityValidMs = 1_000;
const refusalValidMs = 300;

/**
 * Makes the peer choice of a process.
 *
 * @example
 * const choice = makePeerChoice({ clock, random, membership });
 * const { peers } = makePeerClients({ clock, onFreeSlots: choice.recordFreeCapacity });
 */
export function makePeerChoice(options: {
  clock: Clock;
  random: Random;
  membership: Pick<Membership, 'id' | 'view'>;
  /** Members known to hold units of the team's limit; they are preferred. */
  holders?: (team: string) => string[];
}): PeerChoice {
  const { clock, random, membership, holders = () => [] } = options;
  const freeByMember = new Map<string, { room: number; at: number }>();
  const refusals = new Map<string, number>();

  const getFreeCapacity = (member: string) => {
    const known = freeByMember.get(member);
    if (!known || clock.now() - known.at > freeCapacityValidMs) return 1;
    return known.room;
  };

  const removeExpiredRefusals = () => {
    const oldest = clock.now() - refusalValidMs;
    refusals.forEach((at, key) => {
      if (at < oldest) refusals.delete(key);
    });
  };

  return {
    recordFreeCapacity: (member, free) => freeByMember.set(member, { room: free, at: clock.now() }),
    recordRefusal: (member, team) => refusals.set(`${member} ${team}`, clock.now()),
    choose(team, exclude = new Set()) {
      removeExpiredRefusals();
      const candidates = membership
        .view()
        .members.filter(
          ({ id, draining }) =>
            id !== membership.id() &&
            !draining &&
            !exclude.has(id) &&
            !refusals.has(`${id} ${team}`) &&
            getFreeCapacity(id) > 0,
        );
      const holderIds = new Set(holders(team));
      const preferred = candidates.filter(({ id }) => holderIds.has(id));
      const choices = preferred.length > 0 ? preferred : candidates;
      const first = choices[pickIndex(random, choices.length)];
      const second = choices[pickIndex(random, choices.length)];
      if (!first || !second) return undefined;
      return getFreeCapacity(second.id) > getFreeCapacity(first.id) ? second : first;
    },
    dump: () => ({ rooms: Object.fromEntries(freeByMember), refusals: [...refusals.keys()] }),
  };
}
