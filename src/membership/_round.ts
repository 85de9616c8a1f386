/**
 * One round of freshness questions to all known members, used while the table service does not
 * respond.
 */
import type { Clock } from '../clock/mod.ts';
import type { Peers } from '../peers/mod.ts';
import type { FreshAnswer, FreshQuestion } from '../schema/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { FreshnessRound } from './freshness.ts';
import type { View } from './membership.ts';

// A failed heartbeat (600 ms) and one failed round still leave 1.4 s of the 2.5 s freshness period.
const responseTimeoutMs = 500;

/**
 * Asks all other members of the view concurrently.
 *
 * @example
 * const round = await askAllMembers({ view, question, peers, clock });
 */
export async function askAllMembers(options: {
  view: View;
  question: FreshQuestion;
  peers: Peers;
  clock: Clock;
}): Promise<FreshnessRound> {
  const { view, question, peers, clock } = options;
  const startedAt = clock.now();
  const responses = new Map<string, FreshAnswer | undefined>();
  await Promise.all(
    view.members
      .filter(({ id }) => id !== question.member)
      .map(async (member) => {
        responses.set(member.id, undefined);
        const outcome = await peers(member).fresh(question, { timeoutMs: responseTimeoutMs });
        responses.set(member.id, outcome.toMaybe().extract());
      }),
  );
  return { startedAt, responses };
}

/**
 * Fetches settings changes from a peer that has a newer version; used while the table service is
 * unreachable.
 *
 * @example
 * await catchUpFromPeers({ view, round, peers, settings });
 */
export async function catchUpFromPeers(options: {
  view: View;
  round: FreshnessRound;
  peers: Peers;
  settings: Settings;
}): Promise<boolean> {
  const { view, round, peers, settings } = options;
  const localVersion = settings.current().version;
  const sources = view.members.filter(
    ({ id }) => (round.responses.get(id)?.settings ?? 0) > localVersion,
  );
  for (const source of sources) {
    const changes = await peers(source).changes(
      { after: localVersion },
      { timeoutMs: responseTimeoutMs },
    );
    const applied = changes.chain((list) => settings.apply(list));
    if (applied.isRight() && settings.current().version > localVersion) return true;
  }
  return false;
}
