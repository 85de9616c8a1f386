/**
 * A set of workers that are searched together, held in tournament trees: one per level and group
 * for free capacity and for expected delay, and one for total capacity.
 */
import type { Need } from '../schema/mod.ts';
import type { Candidate } from './placement.ts';
import { makeCapacityTree } from './_capacity_tree.ts';
import type { CapacityTree } from './_capacity_tree.ts';
import {
  computeDelayLevel,
  computeFitLevel,
  getWorkerGroup,
  groupCount,
  levelCount,
} from './_placement_score.ts';
import { addScaled, toVector } from './_size.ts';

const initialLeafCount = 16;
const noTree = -1;

interface Entry {
  candidate: Candidate;
  leaf: number;
  fitTreeIndex: number;
  delayTreeIndex: number;
}

/** The need, start and limit of one search. */
export interface ShardQuery {
  need: Need;
  /** Where the search starts, as a fraction of the leaves from 0 to 1. */
  startFraction: number;
  /** Number of nodes visited in one tree before the search moves on to the next. */
  maxVisits: number;
}

/** An index of workers by free capacity, delay and total capacity. */
export interface Shard {
  upsert(candidate: Candidate): void;
  remove(worker: string): void;
  /**
   * Visits candidates with enough free capacity, best level first. A tree is left when the visitor
   * returns true, and the search ends after the first tree with an accepted candidate. Returns
   * false when a tree was left because of the limit of visited nodes.
   */
  search(query: ShardQuery, visitor: CandidateVisitor): boolean;
  /** Visits workers whose total capacity satisfies the need, until the visitor returns true. */
  searchTotalCapacity(need: Need, visit: (candidate: Candidate) => boolean): void;
  /** Largest free amount of a resource on any open worker. */
  getLargestFree(dimension: number): number;
}

/** Receives the candidates of a search. */
export interface CandidateVisitor {
  /** Returns true to leave the current tree. */
  visit(candidate: Candidate): boolean;
  /** True when a visited candidate was acceptable, which ends the search. */
  hasAccepted(): boolean;
}

/** Makes an empty shard. */
export function makeShard(): Shard {
  const entries = new Map<string, Entry>();
  let entryByLeaf: (Entry | undefined)[] = [];
  let freeLeaves: number[] = [];
  let leafCount = 0;
  let fitTrees: CapacityTree[] = [];
  let delayTrees: CapacityTree[] = [];
  let totalCapacity = makeCapacityTree(initialLeafCount);
  // Free capacity of all open workers; a need that fits on none is rejected without a search.
  let freeCapacity = makeCapacityTree(initialLeafCount);

  const updateTrees = (entry: Entry) => {
    const { candidate, leaf } = entry;
    totalCapacity.set(leaf, toVector(candidate.capacity));
    const isClosed = !candidate.open || candidate.penalty >= 1;
    const fitTreeIndex = isClosed
      ? noTree
      : computeFitLevel(candidate) * groupCount + getWorkerGroup(candidate);
    const delayTreeIndex = isClosed
      ? noTree
      : computeDelayLevel(candidate) * groupCount + getWorkerGroup(candidate);
    if (entry.fitTreeIndex !== fitTreeIndex) fitTrees[entry.fitTreeIndex]?.clear(leaf);
    if (entry.delayTreeIndex !== delayTreeIndex) delayTrees[entry.delayTreeIndex]?.clear(leaf);
    Object.assign(entry, { fitTreeIndex, delayTreeIndex });
    if (isClosed) {
      freeCapacity.clear(leaf);
      return;
    }
    const free = toVector(addScaled(candidate.capacity, candidate.used, -1));
    fitTrees[fitTreeIndex]?.set(leaf, free);
    delayTrees[delayTreeIndex]?.set(leaf, free);
    freeCapacity.set(leaf, free);
  };

  const grow = () => {
    const addedLeaves = leafCount === 0 ? initialLeafCount : leafCount;
    leafCount += addedLeaves;
    const makeTrees = () =>
      Array.from({ length: levelCount * groupCount }, () => makeCapacityTree(leafCount));
    fitTrees = makeTrees();
    delayTrees = makeTrees();
    totalCapacity = makeCapacityTree(leafCount);
    freeCapacity = makeCapacityTree(leafCount);
    entryByLeaf = Array.from({ length: leafCount }, (_, leaf) => entryByLeaf[leaf]);
    freeLeaves = Array.from({ length: addedLeaves }, (_, i) => leafCount - 1 - i);
    entries.forEach((entry) => {
      Object.assign(entry, { fitTreeIndex: noTree, delayTreeIndex: noTree });
      updateTrees(entry);
    });
  };

  // Jobs are searched for group by group, so that one without accelerators uses workers that have
  // them only when no other fits; lookups are searched for level by level.
  const selectTrees = ({ kind, size }: Need) => {
    const isLookup = kind === 'lookup';
    const trees = isLookup ? delayTrees : fitTrees;
    const firstGroup = size.accelerators > 0 ? 1 : 0;
    return { trees, isLookup, firstGroup };
  };

  return {
    upsert(candidate) {
      let entry = entries.get(candidate.id);
      if (!entry) {
        if (freeLeaves.length === 0) grow();
        const leaf = freeLeaves.pop() ?? 0;
        entry = { candidate, leaf, fitTreeIndex: noTree, delayTreeIndex: noTree };
        entries.set(candidate.id, entry);
        entryByLeaf[leaf] = entry;
      }
      entry.candidate = candidate;
      updateTrees(entry);
    },
    remove(worker) {
      const entry = entries.get(worker);
      if (!entry) return;
      fitTrees[entry.fitTreeIndex]?.clear(entry.leaf);
      delayTrees[entry.delayTreeIndex]?.clear(entry.leaf);
      totalCapacity.clear(entry.leaf);
      freeCapacity.clear(entry.leaf);
      entryByLeaf[entry.leaf] = undefined;
      freeLeaves.push(entry.leaf);
      entries.delete(worker);
    },
    search({ need, startFraction, maxVisits }, visitor) {
      const { trees, isLookup, firstGroup } = selectTrees(need);
      const query = {
        need: toVector(need.size),
        start: Math.floor(startFraction * leafCount),
        maxVisits,
      };
      const visit = (leaf: number) => {
        const entry = entryByLeaf[leaf];
        return entry !== undefined && visitor.visit(entry.candidate);
      };
      if (!freeCapacity.mayFit(query.need)) return true;
      let isComplete = true;
      const treeCount = levelCount * (groupCount - firstGroup);
      for (let i = 0; i < treeCount && !visitor.hasAccepted(); i++) {
        const searchedGroups = groupCount - firstGroup;
        const level = isLookup ? Math.floor(i / searchedGroups) : i % levelCount;
        const group = firstGroup + (isLookup ? i % searchedGroups : Math.floor(i / levelCount));
        const tree = trees[level * groupCount + group];
        if (tree) isComplete = tree.search(query, visit) && isComplete;
      }
      return isComplete;
    },
    searchTotalCapacity(need, visit) {
      const query = { need: toVector(need.size), start: 0, maxVisits: Infinity };
      totalCapacity.search(query, (leaf) => {
        const entry = entryByLeaf[leaf];
        return entry !== undefined && visit(entry.candidate);
      });
    },
    getLargestFree: (dimension) => freeCapacity.getLargest(dimension),
  };
}
