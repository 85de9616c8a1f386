/**
 * Which peer gets work that has no place here: the one with more known room of two random ones.
 */
import type { Clock, Random } from '../clock/mod.ts';
import { pickIndex } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Member } from '../schema/mod.ts';

/** What is known of the peers' free room, from the answers that they gave. */
export interface PeerChoice {
  onRoom(member: string, free: number): void;
  /** The peer can start nothing for the team now. */
  recordRefusal(member: string, team: string): void;
  choose(team: string, exclude?: ReadonlySet<string>): Member | undefined;
  dump(): unknown;
}

// Room changes with every lookup; older knowledge is worth no more than none.
const freeCapacityValidMs = 1_000;
const refusalValidMs = 300;

/**
 * Makes the choice.
 *
 * @example
 * const choice = makePeerChoice({ clock, random, membership });
 * const { peers } = makePeerClients({ clock, onRoom: choice.onRoom });
 */
export function makePeerChoice(options: {
  clock: Clock;
  random: Random;
  membership: Pick<Membership, 'id' | 'view'>;
  /** Members that are known to hold units of the team; they are preferred. */
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
    onRoom: (member, free) => freeByMember.set(member, { room: free, at: clock.now() }),
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
