/**
 * A set of workers in tournament trees: by level of free room, by level of expected delay, and by
 * capacity.
 */
import type { Need } from '../schema/mod.ts';
import type { Candidate } from './placement.ts';
import { makeRoomTree } from './_capacity_tree.ts';
import type { RoomTree } from './_capacity_tree.ts';
import { delayLevel, fitLevel, groupOf, groups, levels } from './_placement_score.ts';
import { plus, toVector } from './_size.ts';

const firstLeaves = 16;
const none = -1;

interface Entry {
  candidate: Candidate;
  leaf: number;
  fitTree: number;
  delayTree: number;
}

/** Limits and the start of one search. */
export interface ShardQuery {
  need: Need;
  /** Part of the leaves that the search begins at, from 0 to 1. */
  start: number;
  maxVisits: number;
}

/** Workers that are searched together. */
export interface Shard {
  upsert(candidate: Candidate): void;
  remove(worker: string): void;
  /**
   * Offers candidates with room, best level first, until the visitor returns true or a level had
   * one that was accepted. Returns false when a level was left before it was searched to the end.
   */
  search(query: ShardQuery, visitor: Visitor): boolean;
  /** Offers workers whose whole capacity holds the need. */
  searchCapacity(need: Need, visit: (candidate: Candidate) => boolean): void;
  /** Largest free room of a resource on any open worker. */
  largest(dimension: number): number;
}

/** Looks at candidates and says whether one was accepted. */
export interface Visitor {
  visit(candidate: Candidate): boolean;
  accepted(): boolean;
}

/** Makes an empty shard. */
export function makeShard(): Shard {
  const entries = new Map<string, Entry>();
  let byLeaf: (Entry | undefined)[] = [];
  let freeLeaves: number[] = [];
  let leaves = 0;
  let fitTrees: RoomTree[] = [];
  let delayTrees: RoomTree[] = [];
  let capacities = makeRoomTree(firstLeaves);
  // All open workers; refuses what no worker has room for without a look at the levels.
  let openRoom = makeRoomTree(firstLeaves);

  const attach = (entry: Entry) => {
    const { candidate, leaf } = entry;
    capacities.set(leaf, toVector(candidate.capacity));
    const closed = !candidate.open || candidate.penalty >= 1;
    const fitTree = closed ? none : fitLevel(candidate) * groups + groupOf(candidate);
    const delayTree = closed ? none : delayLevel(candidate) * groups + groupOf(candidate);
    if (entry.fitTree !== fitTree) fitTrees[entry.fitTree]?.clear(leaf);
    if (entry.delayTree !== delayTree) delayTrees[entry.delayTree]?.clear(leaf);
    Object.assign(entry, { fitTree, delayTree });
    if (closed) {
      openRoom.clear(leaf);
      return;
    }
    const free = toVector(plus(candidate.capacity, candidate.used, -1));
    fitTrees[fitTree]?.set(leaf, free);
    delayTrees[delayTree]?.set(leaf, free);
    openRoom.set(leaf, free);
  };

  const grow = () => {
    const added = leaves === 0 ? firstLeaves : leaves;
    leaves += added;
    const makeTrees = () => Array.from({ length: levels * groups }, () => makeRoomTree(leaves));
    fitTrees = makeTrees();
    delayTrees = makeTrees();
    capacities = makeRoomTree(leaves);
    openRoom = makeRoomTree(leaves);
    byLeaf = Array.from({ length: leaves }, (_, leaf) => byLeaf[leaf]);
    freeLeaves = Array.from({ length: added }, (_, i) => leaves - 1 - i);
    entries.forEach((entry) => {
      Object.assign(entry, { fitTree: none, delayTree: none });
      attach(entry);
    });
  };

  // Work without need of accelerators takes workers that have them only when no other has room.
  const treeOrder = ({ kind, size }: Need) => {
    const lookup = kind === 'lookup';
    const trees = lookup ? delayTrees : fitTrees;
    const firstGroup = size.accelerators > 0 ? 1 : 0;
    return { trees, lookup, firstGroup };
  };

  return {
    upsert(candidate) {
      let entry = entries.get(candidate.id);
      if (!entry) {
        if (freeLeaves.length === 0) grow();
        const leaf = freeLeaves.pop() ?? 0;
        entry = { candidate, leaf, fitTree: none, delayTree: none };
        entries.set(candidate.id, entry);
        byLeaf[leaf] = entry;
      }
      entry.candidate = candidate;
      attach(entry);
    },
    remove(worker) {
      const entry = entries.get(worker);
      if (!entry) return;
      fitTrees[entry.fitTree]?.clear(entry.leaf);
      delayTrees[entry.delayTree]?.clear(entry.leaf);
      capacities.clear(entry.leaf);
      openRoom.clear(entry.leaf);
      byLeaf[entry.leaf] = undefined;
      freeLeaves.push(entry.leaf);
      entries.delete(worker);
    },
    search({ need, start, maxVisits }, visitor) {
      const { trees, lookup, firstGroup } = treeOrder(need);
      const query = { need: toVector(need.size), start: Math.floor(start * leaves), maxVisits };
      const visit = (leaf: number) => {
        const entry = byLeaf[leaf];
        return entry !== undefined && visitor.visit(entry.candidate);
      };
      if (!openRoom.admits(query.need)) return true;
      let complete = true;
      const count = levels * (groups - firstGroup);
      for (let i = 0; i < count && !visitor.accepted(); i++) {
        const span = groups - firstGroup;
        const level = lookup ? Math.floor(i / span) : i % levels;
        const group = firstGroup + (lookup ? i % span : Math.floor(i / levels));
        const tree = trees[level * groups + group];
        if (tree) complete = tree.search(query, visit) && complete;
      }
      return complete;
    },
    searchCapacity(need, visit) {
      const query = { need: toVector(need.size), start: 0, maxVisits: Infinity };
      capacities.search(query, (leaf) => {
        const entry = byLeaf[leaf];
        return entry !== undefined && visit(entry.candidate);
      });
    },
    largest: (dimension) => openRoom.largest(dimension),
  };
}
