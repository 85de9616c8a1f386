/**
 * Safety rules, each replaced by a version without it. A run with one of them has to fail; otherwise
 * the rule is not needed or the run does not show what it protects from.
 */
import { limitsRules } from '../limits/mod.ts';
import { membershipRules } from '../membership/mod.ts';
import { ownershipRules } from '../ownership/mod.ts';
import { rules } from './sim_process.ts';
import type { Rules } from './sim_process.ts';

/** A rule that is left out, and where a run looks for the consequence. */
export interface Mutation {
  name: string;
  rules: Rules;
  /** Faults under which the rule matters; all when absent. */
  names?: string[];
  settingsChance?: number;
  fencing?: boolean;
  runMs?: number;
}

const churn = ['pause', 'death', 'cut both ways', 'table down', 'join', 'drain'];

/** The rules that are left out, one at a time. */
export const mutations: Mutation[] = [
  {
    name: 'skip the fence',
    rules: {
      ...rules,
      workers: (workers) => ({
        ...workers,
        fence: (worker, { epoch }) => workers.list(worker, { epoch }),
      }),
    },
    // The fence stops starts that are still on their way when the worker changes its owner.
    names: ['pause', 'slow and reordered'],
  },
  {
    name: 'skip the wait for a former owner without fencing',
    rules: { ...rules, ownership: { ...ownershipRules, mayClaim: () => true } },
    names: churn,
    fencing: false,
  },
  {
    name: 'resend after bytes',
    rules: { ...rules, sends: 2 },
    names: ['cut one way', 'slow and reordered', 'join'],
  },
  {
    name: 'allot without returning',
    rules: {
      ...rules,
      limits: {
        ...limitsRules,
        move: (allotment, { to, count }) => ({
          ...allotment,
          held: { ...allotment.held, [to]: (allotment.held[to] ?? 0) + count },
        }),
      },
    },
    names: churn,
  },
  {
    name: 'borrow beyond the limit',
    rules: {
      ...rules,
      limits: {
        ...limitsRules,
        borrow: (allotment, { member, count }) => ({
          ...allotment,
          held: { ...allotment.held, [member]: (allotment.held[member] ?? 0) + count },
        }),
      },
    },
  },
  {
    name: 'promise while committing',
    rules: { ...rules, membership: { ...membershipRules, mayPromise: () => true } },
    names: ['answers lost after a commit'],
    settingsChance: 0.5,
  },
  {
    name: 'commit while provisional, promised or unsettled',
    rules: {
      ...rules,
      membership: { ...membershipRules, mayCommit: ({ isMember: member }) => member },
    },
    names: ['only a joiner reaches the table'],
    settingsChance: 0.5,
  },
  {
    name: 'ignore freshness',
    rules: {
      ...rules,
      freshUntil: (_, now) => now + 60_000,
      membership: { ...membershipRules, isFresh: () => true },
    },
  },
  {
    name: 'forget `from` on a claim',
    rules: { ...rules, ownership: { ...ownershipRules, findUnitHolders: () => [] } },
    names: churn,
    runMs: 15_000,
  },
  {
    name: 'free units of a member whose workers are not settled',
    rules: { ...rules, ownership: { ...ownershipRules, mayHoldUnits: () => false } },
    names: churn,
    runMs: 15_000,
  },
  {
    name: 'give units back at a hand-over',
    rules: {
      ...rules,
      park: (limits) => ({
        park: (_, units) =>
          Object.entries(units).forEach(([team, count]) => limits.release(team, count)),
      }),
    },
    names: [...churn, 'drain', 'join'],
    runMs: 15_000,
  },
];
