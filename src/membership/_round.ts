/**
 * One round of questions to all known members, asked when the table service did not answer.
 */
import type { Clock } from '../clock/mod.ts';
import type { Peers } from '../peers/mod.ts';
import type { FreshAnswer, FreshQuestion } from '../schema/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { FreshnessRound } from './freshness.ts';
import type { View } from './membership.ts';

// With the 600 ms of a failed heartbeat, one lost round still leaves 1.4 s of the 2.5 s of freshness.
const responseTimeoutMs = 500;

/**
 * Asks every other member of the view at once.
 *
 * @example
 * const round = await askAll({ view, question, peers, clock });
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
 * Fetches settings changes from a peer that has a newer version; used while the table service is out
 * of reach.
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
