/**
 * Distributes advice requests over this process and the other entry processes.
 */
import { Left } from 'purify-ts';

import { makeAdvicePool } from '../cell/mod.ts';
import type { AdvicePool, Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { makeFailure, ErrorKind } from '../errors/mod.ts';
import type { Adviser } from '../model/mod.ts';
import type { Membership } from './membership.ts';
import type { PeerClient } from './peer_client.ts';

/**
 * Makes the pool; `advise` sends the requests of this process.
 *
 * @example
 * const advicePool = makeHostAdvicePool({ clock, self, membership, peers, advise });
 */
export function makeHostAdvicePool(options: {
  clock: Clock;
  self: Pick<Member, 'name'>;
  membership: Membership;
  peers: PeerClient;
  advise: Adviser;
}): AdvicePool {
  const { clock, self, membership, peers, advise } = options;
  return makeAdvicePool({
    clock,
    hosts: () => membership.members().map(({ name }) => name),
    askViaHost(name, request) {
      if (name === self.name) return advise(request);
      const member = membership.members().find((candidate) => candidate.name === name);
      return member
        ? peers.advise(member.address, request)
        : Promise.resolve(
            Left(makeFailure(ErrorKind.PeerUnavailable, 'the entry process is no longer a member')),
          );
    },
  });
}
