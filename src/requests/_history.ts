/**
 * The views of the last 60 s: those of this process and, for the time before it joined, those of
 * older members. A process that cannot get the former views does not know the witnesses of earlier
 * claims, so it must not treat an id as unclaimed.
 */
import type { Clock } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Peers } from '../peers/mod.ts';
import type { FormerView, Member, ViewsAnswer, ViewsQuestion } from '../schema/mod.ts';
import { claimWindowMs } from './quorum.ts';

/** Options of `makeViewHistory`. */
export interface ViewHistoryOptions {
  clock: Clock;
  peers: Peers;
  membership: Pick<Membership, 'id' | 'view' | 'recentViews' | 'subscribe'>;
}

/** The views that were replaced within the last 60 s. */
export interface ViewHistory {
  former(): FormerView[];
  /** Fetches missing views from older members; returns whether the last 60 s are covered then. */
  ensureComplete(): Promise<boolean>;
  /** Responds to a peer that has joined. */
  respond(question: ViewsQuestion): ViewsAnswer;
}

interface FetchedView {
  members: string[];
  replacedAt: number;
}

const viewsTimeoutMs = 250;
/** Membership version at which the very first member joined; no claim is older. */
const firstVersion = 1;

/**
 * Makes the view history of a process.
 *
 * @example
 * const history = makeViewHistory({ clock, peers, membership });
 * if (await history.ensureComplete()) witnessSets(key, { members, former: history.former() });
 */
export function makeViewHistory({ clock, peers, membership }: ViewHistoryOptions): ViewHistory {
  const startSession = (id: string) => ({ id, since: clock.now(), complete: false });
  let session = startSession(membership.id());
  const fetchedViews = new Map<number, FetchedView>();
  let pendingFetch: Promise<void> | undefined;

  const resetAfterRejoin = () => {
    // After an expulsion the process has missed views, like any other process that joins.
    if (session.id !== membership.id()) {
      session = startSession(membership.id());
      pendingFetch = undefined;
    }
  };
  membership.subscribe(resetAfterRejoin);

  const ownMember = () => membership.view().members.find(({ id }) => id === membership.id());

  const isComplete = () => {
    resetAfterRejoin();
    return (
      session.complete ||
      clock.now() - session.since >= claimWindowMs ||
      ownMember()?.joined === firstVersion
    );
  };

  const addViews = (views: FormerView[]) => {
    const now = clock.now();
    views.forEach(({ version, members, replacedAgoMs }) => {
      // Members replace a view at different times; the latest time counts.
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
    const { id } = session;
    const joined = ownMember()?.joined ?? 0;
    const older = membership.view().members.filter((member) => member.joined < joined);
    const results = await Promise.all(older.map((member) => fetchViews(member).catch(() => false)));
    if (session.id === id && results.includes(true)) session = { ...session, complete: true };
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
