/**
 * Which peer gets work that has no place here: the one with more known room of two random ones.
 */
import type { Clock, Random } from '../clock/mod.ts';
import { pickIndex } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Member } from '../schema/mod.ts';

/** What is known of the peers' free room, from the answers that they gave. */
export interface PeerChoice {
  onRoom(member: string, room: number): void;
  /** The peer can start nothing for the team now. */
  refused(member: string, team: string): void;
  choose(team: string, exclude?: ReadonlySet<string>): Member | undefined;
  dump(): unknown;
}

// Room changes with every lookup; older knowledge is worth no more than none.
const roomKnownMs = 1_000;
const refusalKnownMs = 300;

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
  const rooms = new Map<string, { room: number; at: number }>();
  const refusals = new Map<string, number>();

  const room = (member: string) => {
    const known = rooms.get(member);
    if (!known || clock.now() - known.at > roomKnownMs) return 1;
    return known.room;
  };

  const forget = () => {
    const oldest = clock.now() - refusalKnownMs;
    refusals.forEach((at, key) => {
      if (at < oldest) refusals.delete(key);
    });
  };

  return {
    onRoom: (member, free) => rooms.set(member, { room: free, at: clock.now() }),
    refused: (member, team) => refusals.set(`${member} ${team}`, clock.now()),
    choose(team, exclude = new Set()) {
      forget();
      const open = membership
        .view()
        .members.filter(
          ({ id, draining }) =>
            id !== membership.id() &&
            !draining &&
            !exclude.has(id) &&
            !refusals.has(`${id} ${team}`) &&
            room(id) > 0,
        );
      const holding = new Set(holders(team));
      const preferred = open.filter(({ id }) => holding.has(id));
      const from = preferred.length > 0 ? preferred : open;
      const first = from[pickIndex(random, from.length)];
      const second = from[pickIndex(random, from.length)];
      if (!first || !second) return undefined;
      return room(second.id) > room(first.id) ? second : first;
    },
    dump: () => ({ rooms: Object.fromEntries(rooms), refusals: [...refusals.keys()] }),
  };
}
