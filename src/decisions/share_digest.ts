/**
 * The share digest: how processes tell each other what teams use, in a few bytes.
 *
 * Each process adds its own part of the use of each team to one shared record; the sum is the use
 * over the fleet. Teams are numbered by their sorted names, which is the same in all processes at
 * one version of the settings. A team takes two characters. When the membership or the settings
 * change, the record starts anew: a process that died takes no part in the next one.
 */

/** The shared record. */
export interface DigestRecord {
  /** Versions of membership and settings that the record was started for. */
  membership: number;
  settings: number;
  /** Number of processes that have added their part. */
  parts: number;
  /** Units per team, two characters each. */
  units: string;
}

const alphabet = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';

/** Units of the whole fleet: the largest number in two characters. */
export const fleetUnits = alphabet.length ** 2 - 1;

function encode(units: number[]): string {
  return units
    .map((unit) => {
      const value = Math.max(0, Math.min(fleetUnits, unit));
      const high = Math.floor(value / alphabet.length);
      return `${alphabet[high] ?? 'A'}${alphabet[value % alphabet.length] ?? 'A'}`;
    })
    .join('');
}

function decode(text: string, count: number): number[] {
  return Array.from({ length: count }, (_, i) => {
    const high = alphabet.indexOf(text[2 * i] ?? 'A');
    const low = alphabet.indexOf(text[2 * i + 1] ?? 'A');
    return Math.max(0, high) * alphabet.length + Math.max(0, low);
  });
}

/** One process's view of the use of the fleet. */
export interface ShareView {
  /** Sets what this process's workers run, as a part of the fleet. */
  setOwn(team: string, share: number): void;
  /** The record with this process's part brought up to date; written with the next transaction. */
  contribute(record: DigestRecord | undefined, versions: Versions): DigestRecord;
  /** Undoes the last contribution, whose record was not written. */
  retract(): void;
  /** Takes over a record that was read or written. */
  observe(record: DigestRecord): void;
  /** Dominant share over the fleet, as far as known. */
  dominantShare(team: string): number;
}

/** Versions that a record belongs to, and the number of members. */
export interface Versions {
  membership: number;
  settings: number;
  members: number;
}

/**
 * Makes the view of one process. The parts of other processes are as old as the record; the part of
 * this process is always exact.
 *
 * @example
 * const view = makeShareView(teamNames);
 * view.setOwn('millers', 0.02);
 * const next = view.contribute(record, versions);
 */
export function makeShareView(teams: string[]): ShareView {
  const names = [...teams].sort();
  const position = new Map(names.map((name, i) => [name, i]));
  const own = new Array<number>(names.length).fill(0);
  let given = new Array<number>(names.length).fill(0);
  let givenFor = '';
  let earlier = { given, givenFor };
  let others = new Array<number>(names.length).fill(0);
  const versionOf = ({ membership, settings }: { membership: number; settings: number }) =>
    `${membership} ${settings}`;

  const observe = (record: DigestRecord, members: number) => {
    // A record that some members have not added to yet would show too little use.
    if (record.parts < members) return;
    const sums = decode(record.units, names.length);
    const mine = givenFor === versionOf(record) ? given : new Array<number>(names.length).fill(0);
    others = sums.map((sum, i) => Math.max(0, sum - (mine[i] ?? 0)) / fleetUnits);
  };
  let expectedMembers = 1;

  return {
    setOwn(team, share) {
      const i = position.get(team);
      if (i !== undefined) own[i] = share;
    },
    contribute(record, versions) {
      expectedMembers = versions.members;
      const current =
        record && versionOf(record) === versionOf(versions)
          ? record
          : { ...versions, parts: 0, units: encode(given.map(() => 0)) };
      const first = givenFor !== versionOf(versions) || current.parts === 0;
      const before = first ? given.map(() => 0) : given;
      const sums = decode(current.units, names.length);
      const next = own.map((share) => Math.round(share * fleetUnits));
      const units = sums.map((sum, i) => sum - (before[i] ?? 0) + (next[i] ?? 0));
      earlier = { given, givenFor };
      given = next;
      givenFor = versionOf(versions);
      const result = {
        membership: versions.membership,
        settings: versions.settings,
        parts: current.parts + (first ? 1 : 0),
        units: encode(units),
      };
      observe(result, expectedMembers);
      return result;
    },
    retract() {
      ({ given, givenFor } = earlier);
    },
    observe: (record) => observe(record, expectedMembers),
    dominantShare(team) {
      const i = position.get(team);
      return i === undefined ? 0 : (own[i] ?? 0) + (others[i] ?? 0);
    },
  };
}
