/**
 * The membership task of a process: joins, sends heartbeats, watches successors, extends freshness
 * and responds to peers. The decisions are in `freshness.ts` and `ring.ts`.
 */
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Head, Row } from '../schema/mod.ts';
import { askAllMembers, catchUpFromPeers } from './_round.ts';
import {
  emptyHead,
  expelMember,
  joinAs,
  leaveAs,
  markDraining,
  readView,
} from './_table_access.ts';
import { makeViews } from './_views.ts';
import {
  decideResponse,
  makeFreshnessState,
  recordAppliedVersion,
  recordExchange,
  recordFailure,
  recordRound,
} from './freshness.ts';
import type { FreshnessState } from './freshness.ts';
import { LifecycleEvent, makeLifecycle } from './lifecycle.ts';
import { Phase } from './membership.ts';
import type { View } from './membership.ts';
import type { MembershipOptions, MembershipTask } from './options.ts';
import { emptyObservations, heartbeat, successors, updateObservations } from './ring.ts';
import { membershipRules } from './rules.ts';

const backoffMs = { base: 300, max: 5_000 } as const;
const joinTimeoutMs = 2_000;
const memberPhases: Phase[] = [Phase.Provisional, Phase.Full, Phase.Draining];

/**
 * Makes the membership of a process.
 *
 * @example
 * const membership = makeMembership({ writer, table, peers, settings, clock, random, identify });
 * await membership.run(signal);
 */
export function makeMembership(options: MembershipOptions): MembershipTask {
  const { writer, table, peers, settings, clock, random, identify, log = silentLogger } = options;
  const { handOver = async () => undefined, rules = membershipRules } = options;
  const lifecycle = makeLifecycle();
  const views = makeViews({ clock });
  const observers: ((view: View) => void)[] = [];
  const expellingIds = new Set<string>();
  const formerMemberIds: string[] = [];
  let id = '';
  let freshness: FreshnessState = makeFreshnessState(settings.current().version);
  let observations = emptyObservations;
  let hasUnsettled = false;
  let joinFailures = 0;
  let ownFields: { seen: number; draining: boolean } = { seen: 0, draining: false };
  let uncertainCommits = 0;

  const isMember = () => memberPhases.includes(lifecycle.phase());
  const notifyObservers = () => observers.forEach((observer) => observer(views.current()));
  const syncAppliedVersion = () => {
    freshness = recordAppliedVersion(freshness, settings.current().version);
  };
  settings.subscribe(syncAppliedVersion);

  const markExpelled = () => {
    if (!isMember()) return;
    log.warn('The member row was deleted: this process was expelled.', { id });
    lifecycle.send(LifecycleEvent.Expel);
    freshness = makeFreshnessState(settings.current().version);
    observations = emptyObservations;
    expellingIds.clear();
    formerMemberIds.push(id);
    notifyObservers();
  };

  const refreshView = async () => {
    const idAtStart = id;
    const read = await readView(table);
    read.ifRight(({ view, head, hasUnsettledExpulsion: isUnsettled }) => {
      if (idAtStart !== id || lifecycle.phase() === Phase.Expelled) return;
      freshness = { ...freshness, knownVersion: Math.max(freshness.knownVersion, head.settings) };
      const changed = view.version !== views.current().version;
      views.install(view);
      hasUnsettled = isUnsettled;
      if (!view.members.some((member) => member.id === id)) {
        markExpelled();
        return;
      }
      ownFields = { ...ownFields, seen: view.version };
      freshness = { ...freshness, isMember: true };
      if (rules.isFullMember(id, view.members)) lifecycle.send(LifecycleEvent.SeenByAll);
      if (changed) notifyObservers();
    });
    return read.isRight();
  };

  const applyNewestSettings = async () => {
    syncAppliedVersion();
    if (freshness.knownVersion <= freshness.appliedVersion) return;
    await settings.catchUp(freshness.knownVersion);
    syncAppliedVersion();
  };

  const join = async () => {
    await clock.sleep(Math.min(backoffMs.max, backoffMs.base * 2 ** joinFailures) * random());
    if (lifecycle.phase() === Phase.Expelled) lifecycle.send(LifecycleEvent.Rejoin);
    const identity = identify();
    const joined = await joinAs(writer, { table, identity, timeoutMs: joinTimeoutMs });
    joinFailures = joined.isRight() ? 0 : Math.min(joinFailures + 1, 8);
    joined.ifRight(() => {
      id = identity.id;
      ownFields = { seen: 0, draining: false };
      uncertainCommits = 0;
      lifecycle.send(LifecycleEvent.Joined);
      log.info('Joined the fleet.', { id });
    });
    if (joined.isRight()) await refreshView();
  };

  const expelStale = async (stale: Row[], head: Row | undefined) => {
    const [first] = stale;
    const value = views
      .current()
      .members.find(({ id: other }) => first?.key === `members/${other}`);
    if (!first || !value || !head || lifecycle.phase() === Phase.Joining) return;
    const target = first.key.slice('members/'.length);
    // The member may be expelled before the outcome is known, so it gets neither relay nor promise.
    expellingIds.add(target);
    const full = lifecycle.phase() === Phase.Full;
    const outcome = await expelMember(writer, { stale: { ...first, value }, head, by: id, full });
    outcome.ifRight(() => log.warn('Expelled a member.', { target }));
    if (outcome.isRight()) await refreshView();
  };

  const handleExchange = async (startedAt: number, rows: Row[]) => {
    const endedAt = clock.now();
    const headRow = rows.find(({ key }) => key === 'head');
    const head = (headRow?.value ?? emptyHead) as Head;
    freshness = { ...freshness, knownVersion: Math.max(freshness.knownVersion, head.settings) };
    const watched = rows.filter(({ key }) => key.startsWith('members/'));
    const { observations: nextObservations, stale } = updateObservations(observations, {
      startedAt,
      endedAt,
      rows: watched,
    });
    observations = nextObservations;
    const { version } = views.current();
    // A provisional member waits for updates of `seen`, which do not advance the version.
    if (version !== head.membership || lifecycle.phase() === Phase.Provisional || hasUnsettled) {
      await refreshView();
    }
    if (views.current().version >= head.membership) expellingIds.clear();
    await applyNewestSettings();
    if (!isMember() || !freshness.isMember) return;
    freshness = recordExchange(freshness, { startedAt, settings: head.settings });
    await expelStale(stale, headRow);
  };

  const askPeers = async () => {
    const view = views.current();
    if (!freshness.isMember) return;
    syncAppliedVersion();
    const question = { member: id, settings: freshness.appliedVersion, membership: view.version };
    const round = await askAllMembers({ view, question, peers, clock });
    if (question.member !== id || !isMember()) return;
    syncAppliedVersion();
    freshness = recordRound(freshness, round);
    if (freshness.knownVersion <= freshness.appliedVersion) return;
    await catchUpFromPeers({ view, round, peers, settings });
    syncAppliedVersion();
  };

  const handleFailure = async ({ kind }: Failure) => {
    observations = emptyObservations;
    if (kind === ErrorKind.Expelled) {
      markExpelled();
      return;
    }
    freshness = recordFailure(freshness);
    const { appliedVersion } = freshness;
    await askPeers();
    if (freshness.appliedVersion > appliedVersion) await askPeers();
  };

  const resolveCommits = (count: number) => {
    uncertainCommits = Math.max(0, uncertainCommits - count);
    freshness = {
      ...freshness,
      unresolvedCommits: Math.max(0, freshness.unresolvedCommits - count),
    };
  };

  const sendHeartbeat = async () => {
    const startedAt = clock.now();
    const ids = views.current().members.map((member) => member.id);
    const watched = successors(id, ids).map((other) => `members/${other}`);
    const uncertainBefore = uncertainCommits;
    const outcome = await writer.commit(
      { writes: [{ key: `members/${id}`, value: ownFields }], reads: ['head'], versions: watched },
      { timeoutMs: heartbeat.timeoutMs },
    );
    if (!isMember()) return;
    if (outcome.isRight()) resolveCommits(uncertainBefore);
    await outcome.caseOf({
      Right: ({ rows }) => handleExchange(startedAt, rows),
      Left: handleFailure,
    });
  };

  const leave = async () => {
    while (isMember()) {
      await leaveAs(writer, { table, timeoutMs: joinTimeoutMs });
      // If the writer has no member row, the row is gone, even when the outcome was unknown.
      if (writer.memberRow() === undefined) lifecycle.send(LifecycleEvent.Leave);
      else await clock.sleep(backoffMs.base);
    }
    lifecycle.send(LifecycleEvent.Leave);
    freshness = makeFreshnessState(settings.current().version);
    notifyObservers();
  };

  return {
    id: () => id,
    phase: lifecycle.phase,
    view: views.current,
    recentViews: views.recent,
    isFresh: () => isMember() && rules.isFresh(clock.now(), freshness.freshUntil),
    freshUntil: () => freshness.freshUntil,
    formerIds: () => [...formerMemberIds],
    mayCommitSettings: () =>
      rules.mayCommit(freshness, {
        now: clock.now(),
        isFull: lifecycle.phase() === Phase.Full,
        hasUnsettledExpulsion: hasUnsettled,
      }),
    beginSettingsCommit() {
      const idAtStart = id;
      let isOpen = true;
      freshness = { ...freshness, unresolvedCommits: freshness.unresolvedCommits + 1 };
      return ({ certain = true } = {}) => {
        if (!isOpen || idAtStart !== id) return;
        isOpen = false;
        // The writer completes the next heartbeat only after it has resolved an uncertain write.
        if (certain) resolveCommits(1);
        else uncertainCommits += 1;
      };
    },
    respondToFreshQuestion(question) {
      const view = views.current();
      const peer = {
        isInView: view.members.some((member) => member.id === question.member),
        isBeingExpelled: expellingIds.has(question.member),
        viewVersion: view.version,
      };
      const now = clock.now();
      const decision = decideResponse(freshness, question, { now, peer, rules });
      freshness = decision.state;
      return decision.response;
    },
    subscribe: (observer) => {
      observers.push(observer);
    },
    async drain() {
      if (!isMember()) {
        lifecycle.send(LifecycleEvent.Leave);
        return;
      }
      lifecycle.send(LifecycleEvent.Drain);
      ownFields = { ...ownFields, draining: true };
      notifyObservers();
      while (isMember() && (await markDraining(writer, { table, id })).isLeft()) {
        await clock.sleep(backoffMs.base);
      }
      await handOver();
      await leave();
    },
    async run(signal) {
      while (!signal.aborted && lifecycle.phase() !== Phase.Left) {
        const startedAt = clock.now();
        if (isMember()) await sendHeartbeat();
        else await join();
        const pauseMs = heartbeat.periodMs - (clock.now() - startedAt);
        if (pauseMs > 0 && isMember()) await clock.sleep(pauseMs, signal);
      }
    },
  };
}
