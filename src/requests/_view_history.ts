/**
 * The views of the last 60 s that a process knows: its own, and for the time before it joined those of
 * older members. A process that can't learn the former views doesn't know the witnesses of earlier
 * claims, so it must not take an id for unclaimed.
 */
import type { Clock } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Peers } from '../peers/mod.ts';
import type { FormerView, Member, ViewsAnswer, ViewsQuestion } from '../schema/mod.ts';
import { windowMs } from './quorum.ts';

/** Collaborators of the history of views. */
export interface HistoryParts {
  clock: Clock;
  peers: Peers;
  membership: Pick<Membership, 'id' | 'view' | 'recentViews' | 'subscribe'>;
}

/** Views that were replaced within the last 60 s. */
export interface History {
  former(): FormerView[];
  /** Asks older members where this process doesn't know the views of the whole 60 s; true if it does then. */
  complete(): Promise<boolean>;
  /** Answers a peer that has joined. */
  answer(question: ViewsQuestion): ViewsAnswer;
}

interface LearnedView {
  members: string[];
  replacedAt: number;
}

const learnTimeoutMs = 250;
/** The first member of all has this membership version; there was no claim before it. */
const firstVersion = 1;

/**
 * Makes the history of views of a process.
 *
 * @example
 * const history = makeHistory({ clock, peers, membership });
 * if (await history.complete()) witnessSets('millers/r1', { members, former: history.former() });
 */
export function makeHistory({ clock, peers, membership }: HistoryParts): History {
  const startAs = (id: string) => ({ id, since: clock.now(), complete: false });
  let self = startAs(membership.id());
  const learned = new Map<number, LearnedView>();
  let learning: Promise<void> | undefined;

  const follow = () => {
    // After an expulsion the process has missed views, as any other that joins.
    if (self.id !== membership.id()) {
      self = startAs(membership.id());
      learning = undefined;
    }
  };
  membership.subscribe(follow);

  const ownMember = () => membership.view().members.find(({ id }) => id === membership.id());

  const isComplete = () => {
    follow();
    return (
      self.complete || clock.now() - self.since >= windowMs || ownMember()?.joined === firstVersion
    );
  };

  const keep = (views: FormerView[]) => {
    const now = clock.now();
    views.forEach(({ version, members, replacedAgoMs }) => {
      // Members replace a view at different times; the last of them counts.
      const replacedAt = Math.max(now - replacedAgoMs, learned.get(version)?.replacedAt ?? 0);
      learned.set(version, { members, replacedAt });
    });
    learned.forEach(({ replacedAt }, version) => {
      if (now - replacedAt >= windowMs) learned.delete(version);
    });
  };

  const learnFrom = async (member: Member): Promise<boolean> => {
    const question = { before: membership.view().version };
    const answer = await peers(member).views(question, { timeoutMs: learnTimeoutMs });
    const { complete = false, views = [] } = answer.toMaybe().extract() ?? {};
    keep(views);
    return complete;
  };

  const learn = async () => {
    const { id } = self;
    const joined = ownMember()?.joined ?? 0;
    const older = membership.view().members.filter((member) => member.joined < joined);
    const answers = await Promise.all(older.map((member) => learnFrom(member).catch(() => false)));
    if (self.id === id && answers.includes(true)) self = { ...self, complete: true };
  };

  const former = (): FormerView[] => {
    const now = clock.now();
    const own = membership.recentViews().map(({ view, replacedAgoMs }) => ({
      version: view.version,
      members: view.members.map(({ id }) => id),
      replacedAgoMs,
    }));
    const others = [...learned].map(([version, { members, replacedAt }]) => ({
      version,
      members,
      replacedAgoMs: now - replacedAt,
    }));
    return [...own, ...others].filter(({ replacedAgoMs }) => replacedAgoMs < windowMs);
  };

  return {
    former,
    async complete() {
      if (isComplete()) return true;
      learning ??= learn().finally(() => {
        learning = undefined;
      });
      await learning;
      return isComplete();
    },
    answer({ before }) {
      const { version, members } = membership.view();
      const present = { version, members: members.map(({ id }) => id), replacedAgoMs: 0 };
      const views = [present, ...former()].filter((view) => view.version < before);
      return { complete: isComplete(), views };
    },
  };
}
