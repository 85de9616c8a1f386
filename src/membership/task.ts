/**
 * The task that keeps a process a member: it joins, sends heartbeats, watches its successors, keeps
 * the process fresh and answers peers. The decisions are in `freshness.ts` and `ring.ts`.
 */
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Head, Row } from '../schema/mod.ts';
import { askAll, catchUpFromPeers } from './_round.ts';
import { emptyHead, expelMember, joinAs, leaveAs, markDraining, readView } from './_table_access.ts';
import { makeViews } from './_views.ts';
import {
  afterApplied,
  afterExchange,
  afterFailure,
  afterRound,
  noKnowledge,
  vouchFor,
} from './freshness.ts';
import type { Knowledge } from './freshness.ts';
import { LifeEvent, makeLifecycle } from './lifecycle.ts';
import { Phase } from './membership.ts';
import type { View } from './membership.ts';
import type { MembershipOptions, MembershipTask } from './options.ts';
import { heartbeat, noObservations, observe, successors } from './ring.ts';
import { membershipRules } from './rules.ts';

const rejoinMs = { base: 300, max: 5_000 } as const;
const joinTimeoutMs = 2_000;
const memberPhases: Phase[] = [Phase.Provisional, Phase.Full, Phase.Draining];

/**
 * Makes the membership of a process.
 *
 * @example
 * const membership = makeMembership({ lane, table, peers, settings, clock, random, identify });
 * await membership.run(signal);
 */
export function makeMembership(options: MembershipOptions): MembershipTask {
  const { lane, table, peers, settings, clock, random, identify, log = silentLogger } = options;
  const { handOver = async () => undefined, rules = membershipRules } = options;
  const lifecycle = makeLifecycle();
  const views = makeViews({ clock });
  const observers: ((view: View) => void)[] = [];
  const expelling = new Set<string>();
  const former: string[] = [];
  let id = '';
  let knowledge: Knowledge = noKnowledge(settings.current().version);
  let observations = noObservations;
  let unsettled = false;
  let joinFailures = 0;
  let own: { seen: number; draining: boolean } = { seen: 0, draining: false };
  let uncertainCommits = 0;

  const isMember = () => memberPhases.includes(lifecycle.phase());
  const announce = () => observers.forEach((observer) => observer(views.current()));
  const noteApplied = () => {
    knowledge = afterApplied(knowledge, settings.current().version);
  };
  settings.subscribe(noteApplied);

  const markExpelled = () => {
    if (!isMember()) return;
    log.warn('The own row is gone; the process was expelled.', { id });
    lifecycle.send(LifeEvent.Expel);
    knowledge = noKnowledge(settings.current().version);
    observations = noObservations;
    expelling.clear();
    former.push(id);
    announce();
  };

  const refreshView = async () => {
    const self = id;
    const read = await readView(table);
    read.ifRight(({ view, head, unsettled: pending }) => {
      if (self !== id || lifecycle.phase() === Phase.Expelled) return;
      knowledge = { ...knowledge, known: Math.max(knowledge.known, head.settings) };
      const changed = view.version !== views.current().version;
      views.install(view);
      unsettled = pending;
      if (!view.members.some((member) => member.id === id)) {
        markExpelled();
        return;
      }
      own = { ...own, seen: view.version };
      knowledge = { ...knowledge, member: true };
      if (rules.isFull(id, view.members)) lifecycle.send(LifeEvent.SeenByAll);
      if (changed) announce();
    });
    return read.isRight();
  };

  const applyNewest = async () => {
    noteApplied();
    if (knowledge.known <= knowledge.applied) return;
    await settings.catchUp(knowledge.known);
    noteApplied();
  };

  const join = async () => {
    await clock.sleep(Math.min(rejoinMs.max, rejoinMs.base * 2 ** joinFailures) * random());
    if (lifecycle.phase() === Phase.Expelled) lifecycle.send(LifeEvent.Rejoin);
    const identity = identify();
    const joined = await joinAs(lane, { table, identity, timeoutMs: joinTimeoutMs });
    joinFailures = joined.isRight() ? 0 : Math.min(joinFailures + 1, 8);
    joined.ifRight(() => {
      id = identity.id;
      own = { seen: 0, draining: false };
      uncertainCommits = 0;
      lifecycle.send(LifeEvent.Joined);
      log.info('The process has joined.', { id });
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
    // Until the outcome is known, the member may be gone: it must get neither relay nor promise.
    expelling.add(target);
    const full = lifecycle.phase() === Phase.Full;
    const outcome = await expelMember(lane, { stale: { ...first, value }, head, by: id, full });
    outcome.ifRight(() => log.warn('A member was expelled.', { target }));
    if (outcome.isRight()) await refreshView();
  };

  const onExchange = async (begunAt: number, rows: Row[]) => {
    const endedAt = clock.now();
    const headRow = rows.find(({ key }) => key === 'head');
    const head = (headRow?.value ?? emptyHead) as Head;
    knowledge = { ...knowledge, known: Math.max(knowledge.known, head.settings) };
    const watched = rows.filter(({ key }) => key.startsWith('members/'));
    const { observations: next, stale } = observe(observations, {
      begunAt,
      endedAt,
      rows: watched,
    });
    observations = next;
    const { version } = views.current();
    // A provisional member waits for `seen` of the older ones, which does not advance the version.
    if (version !== head.membership || lifecycle.phase() === Phase.Provisional || unsettled) {
      await refreshView();
    }
    if (views.current().version >= head.membership) expelling.clear();
    await applyNewest();
    if (!isMember() || !knowledge.member) return;
    knowledge = afterExchange(knowledge, { begunAt, settings: head.settings });
    await expelStale(stale, headRow);
  };

  const askPeers = async () => {
    const view = views.current();
    if (!knowledge.member) return;
    noteApplied();
    const question = { member: id, settings: knowledge.applied, membership: view.version };
    const round = await askAll({ view, question, peers, clock });
    if (question.member !== id || !isMember()) return;
    noteApplied();
    knowledge = afterRound(knowledge, round);
    if (knowledge.known <= knowledge.applied) return;
    await catchUpFromPeers({ view, round, peers, settings });
    noteApplied();
  };

  const onFailure = async ({ kind }: Failure) => {
    observations = noObservations;
    if (kind === ErrorKind.Expelled) {
      markExpelled();
      return;
    }
    knowledge = afterFailure(knowledge);
    const { applied } = knowledge;
    await askPeers();
    if (knowledge.applied > applied) await askPeers();
  };

  const endCommits = (count: number) => {
    uncertainCommits = Math.max(0, uncertainCommits - count);
    knowledge = { ...knowledge, committing: Math.max(0, knowledge.committing - count) };
  };

  const beat = async () => {
    const begunAt = clock.now();
    const ids = views.current().members.map((member) => member.id);
    const watched = successors(id, ids).map((other) => `members/${other}`);
    const settled = uncertainCommits;
    const outcome = await lane.commit(
      { writes: [{ key: `members/${id}`, value: own }], reads: ['head'], versions: watched },
      { timeoutMs: heartbeat.timeoutMs },
    );
    if (!isMember()) return;
    if (outcome.isRight()) endCommits(settled);
    await outcome.caseOf({
      Right: ({ rows }) => onExchange(begunAt, rows),
      Left: onFailure,
    });
  };

  const leave = async () => {
    while (isMember()) {
      await leaveAs(lane, { table, timeoutMs: joinTimeoutMs });
      // An unknown outcome of the lane means that the row is gone.
      if (lane.memberRow() === undefined) lifecycle.send(LifeEvent.Leave);
      else await clock.sleep(rejoinMs.base);
    }
    lifecycle.send(LifeEvent.Leave);
    knowledge = noKnowledge(settings.current().version);
    announce();
  };

  return {
    id: () => id,
    phase: lifecycle.phase,
    view: views.current,
    recentViews: views.recent,
    isFresh: () => isMember() && rules.isFresh(clock.now(), knowledge.freshUntil),
    freshUntil: () => knowledge.freshUntil,
    formerIds: () => [...former],
    mayCommitSettings: () =>
      rules.mayCommit(knowledge, {
        now: clock.now(),
        full: lifecycle.phase() === Phase.Full,
        unsettled,
      }),
    beginSettingsCommit() {
      const self = id;
      let open = true;
      knowledge = { ...knowledge, committing: knowledge.committing + 1 };
      return ({ certain = true } = {}) => {
        if (!open || self !== id) return;
        open = false;
        // The lane answers the next heartbeat only after it has resolved an uncertain write.
        if (certain) endCommits(1);
        else uncertainCommits += 1;
      };
    },
    vouch(question) {
      const view = views.current();
      const asker = {
        inView: view.members.some((member) => member.id === question.member),
        expelling: expelling.has(question.member),
        viewVersion: view.version,
      };
      const now = clock.now();
      const vouching = vouchFor(knowledge, question, { now, asker, rules });
      knowledge = vouching.knowledge;
      return vouching.answer;
    },
    subscribe: (observer) => {
      observers.push(observer);
    },
    async drain() {
      if (!isMember()) {
        lifecycle.send(LifeEvent.Leave);
        return;
      }
      lifecycle.send(LifeEvent.Drain);
      own = { ...own, draining: true };
      announce();
      while (isMember() && (await markDraining(lane, { table, id })).isLeft()) {
        await clock.sleep(rejoinMs.base);
      }
      await handOver();
      await leave();
    },
    async run(signal) {
      while (!signal.aborted && lifecycle.phase() !== Phase.Left) {
        const begunAt = clock.now();
        if (isMember()) await beat();
        else await join();
        const rest = heartbeat.periodMs - (clock.now() - begunAt);
        if (rest > 0 && isMember()) await clock.sleep(rest, signal);
      }
    },
  };
}
