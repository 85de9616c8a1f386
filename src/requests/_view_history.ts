/**
 * The views of the last 60 s that a process knows: its own, and for the time before it joined those of
 * older members. A process that can't learn the former views doesn't know the witnesses of earlier
 * claims, so it must not take an id for unclaimed.
 */
import type { Clock } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Peers } from '../peers/mod.ts';
import type { FormerView, Member, ViewsAnswer, ViewsQuestion } from '../schema/mod.ts';
import { claimWindowMs } from './quorum.ts';

/** Collaborators of the history of views. */
export interface ViewHistoryOptions {
  clock: Clock;
  peers: Peers;
  membership: Pick<Membership, 'id' | 'view' | 'recentViews' | 'subscribe'>;
}

/** Views that were replaced within the last 60 s. */
export interface ViewHistory {
  former(): FormerView[];
  /** Asks older members where this process doesn't know the views of the whole 60 s; true if it does then. */
  ensureComplete(): Promise<boolean>;
  /** Answers a peer that has joined. */
  respond(question: ViewsQuestion): ViewsAnswer;
}

interface FetchedView {
  members: string[];
  replacedAt: number;
}

const viewsTimeoutMs = 250;
/** The first member of all has this membership version; there was no claim before it. */
const firstVersion = 1;

/**
 * Makes the history of views of a process.
 *
 * @example
 * const history = makeHistory({ clock, peers, membership });
 * if (await history.complete()) witnessSets('millers/r1', { members, former: history.former() });
 */
export function makeViewHistory({ clock, peers, membership }: ViewHistoryOptions): ViewHistory {
  const makeIncarnation = (id: string) => ({ id, since: clock.now(), complete: false });
  let incarnation = makeIncarnation(membership.id());
  const fetchedViews = new Map<number, FetchedView>();
  let pendingFetch: Promise<void> | undefined;

  const resetAfterRejoin = () => {
    // After an expulsion the process has missed views, as any other that joins.
    if (incarnation.id !== membership.id()) {
      incarnation = makeIncarnation(membership.id());
      pendingFetch = undefined;
    }
  };
  membership.subscribe(resetAfterRejoin);

  const ownMember = () => membership.view().members.find(({ id }) => id === membership.id());

  const isComplete = () => {
    resetAfterRejoin();
    return (
      incarnation.complete ||
      clock.now() - incarnation.since >= claimWindowMs ||
      ownMember()?.joined === firstVersion
    );
  };

  const addViews = (views: FormerView[]) => {
    const now = clock.now();
    views.forEach(({ version, members, replacedAgoMs }) => {
      // Members replace a view at different times; the last of them counts.
      const replacedAt = Math.max(now - replacedAgoMs, fetchedViews.get(version)?.replacedAt ?? 0);
      fetchedViews.set(version, { members, replacedAt });
    });
    fetchedViews.forEach(({ replacedAt }, version) => {
      if (now - replacedAt >= claimWindowMs) fetchedViews.delete(version);
    });
  };

  const fetchViews = async (member: Member): Promise<boolean> => {
    const question = { before: membership.view().version };
    const response = await peers(member).views(question, { timeoutMs: viewsTimeoutMs });
    const { complete = false, views = [] } = response.toMaybe().extract() ?? {};
    addViews(views);
    return complete;
  };

  const fetchFormerViews = async () => {
    const { id } = incarnation;
    const joined = ownMember()?.joined ?? 0;
    const older = membership.view().members.filter((member) => member.joined < joined);
    const completeness = await Promise.all(
      older.map((member) => fetchViews(member).catch(() => false)),
    );
    if (incarnation.id === id && completeness.includes(true))
      incarnation = { ...incarnation, complete: true };
  };

  const former = (): FormerView[] => {
    const now = clock.now();
    const own = membership.recentViews().map(({ view, replacedAgoMs }) => ({
      version: view.version,
      members: view.members.map(({ id }) => id),
      replacedAgoMs,
    }));
    const fetched = [...fetchedViews].map(([version, { members, replacedAt }]) => ({
      version,
      members,
      replacedAgoMs: now - replacedAt,
    }));
    return [...own, ...fetched].filter(({ replacedAgoMs }) => replacedAgoMs < claimWindowMs);
  };

  return {
    former,
    async ensureComplete() {
      if (isComplete()) return true;
      pendingFetch ??= fetchFormerViews().finally(() => {
        pendingFetch = undefined;
      });
      await pendingFetch;
      return isComplete();
    },
    respond({ before }) {
      const { version, members } = membership.view();
      const current = { version, members: members.map(({ id }) => id), replacedAgoMs: 0 };
      const views = [current, ...former()].filter((view) => view.version < before);
      return { complete: isComplete(), views };
    },
  };
}
