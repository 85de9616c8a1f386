/**
 * The interface of the waiting work: which item is tried next, by team share, age and reservation.
 */
import type { Need } from '../schema/mod.ts';

/** A job whose tasks wait for a place. */
export interface WaitingItem {
  id: string;
  team: string;
  need: Need;
  /** Tasks that wait; a gang needs all of them at once. */
  count: number;
  gang: boolean;
  enqueuedAt: number;
  deadlineAt?: number;
}

/** What became of a try to place an item. */
export const Trial = {
  Placed: 'placed',
  /** No room now; the item keeps its turn. */
  NoRoom: 'no-room',
  /** The team may start nothing more now; its other items are not tried in this round. */
  TeamHeld: 'team-held',
} as const;

/** One of the values of {@link Trial}. */
export type Trial = (typeof Trial)[keyof typeof Trial];

/** The share of the fleet that each team uses, over all processes, as far as known. */
export interface Usage {
  /** Dominant share in use, from 0 to 1. */
  dominantShare(team: string): number;
  weight(team: string): number;
}

/** Waiting work of one process. */
export interface WaitingWork {
  add(job: WaitingItem): void;
  remove(id: string): void;
  get(id: string): WaitingItem | undefined;
  size(team?: string): number;
  /** Tries items in order until none fits; returns those placed. */
  round(options: {
    now: number;
    usage: Usage;
    place: (job: WaitingItem, options: { backfill: boolean }) => Trial;
  }): WaitingItem[];
  /** The item that room is being reserved for. */
  reserved?(): string | undefined;
  /** Why an item still waits. */
  explain(id: string, now: number): string | undefined;
}
