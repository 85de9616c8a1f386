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

const digits = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';

/** Units of the whole fleet: the largest number in two characters. */
export const maxUnits = digits.length ** 2 - 1;

function encodeUnits(units: number[]): string {
  return units
    .map((unit) => {
      const value = Math.max(0, Math.min(maxUnits, unit));
      const high = Math.floor(value / digits.length);
      return `${digits[high] ?? 'A'}${digits[value % digits.length] ?? 'A'}`;
    })
    .join('');
}

function decodeUnits(text: string, count: number): number[] {
  return Array.from({ length: count }, (_, i) => {
    const high = digits.indexOf(text[2 * i] ?? 'A');
    const low = digits.indexOf(text[2 * i + 1] ?? 'A');
    return Math.max(0, high) * digits.length + Math.max(0, low);
  });
}

/** One process's view of the use of the fleet. */
export interface ShareView {
  /** Sets what this process's workers run, as a part of the fleet. */
  setOwn(team: string, share: number): void;
  /** The record with this process's part brought up to date; written with the next transaction. */
  contribute(record: DigestRecord | undefined, versions: DigestVersions): DigestRecord;
  /** Undoes the last contribution, whose record was not written. */
  retract(): void;
  /** Takes over a record that was read or written. */
  observe(record: DigestRecord): void;
  /** Dominant share over the fleet, as far as known. */
  dominantShare(team: string): number;
}

/** Versions that a record belongs to, and the number of members. */
export interface DigestVersions {
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
  const indexByName = new Map(names.map((name, i) => [name, i]));
  const ownShares = new Array<number>(names.length).fill(0);
  let contributedUnits = new Array<number>(names.length).fill(0);
  let contributedVersion = '';
  let previousContribution = { contributedUnits, contributedVersion };
  let otherShares = new Array<number>(names.length).fill(0);
  const getVersionKey = ({ membership, settings }: { membership: number; settings: number }) =>
    `${membership} ${settings}`;

  const observe = (record: DigestRecord, memberCount: number) => {
    // A record that some members have not added to yet would show too little use.
    if (record.parts < memberCount) return;
    const sums = decodeUnits(record.units, names.length);
    const contained =
      contributedVersion === getVersionKey(record)
        ? contributedUnits
        : new Array<number>(names.length).fill(0);
    otherShares = sums.map((sum, i) => Math.max(0, sum - (contained[i] ?? 0)) / maxUnits);
  };
  let expectedMemberCount = 1;

  return {
    setOwn(team, share) {
      const i = indexByName.get(team);
      if (i !== undefined) ownShares[i] = share;
    },
    contribute(record, versions) {
      expectedMemberCount = versions.members;
      const current =
        record && getVersionKey(record) === getVersionKey(versions)
          ? record
          : { ...versions, parts: 0, units: encodeUnits(contributedUnits.map(() => 0)) };
      const isFirst = contributedVersion !== getVersionKey(versions) || current.parts === 0;
      const replaced = isFirst ? contributedUnits.map(() => 0) : contributedUnits;
      const sums = decodeUnits(current.units, names.length);
      const ownUnits = ownShares.map((share) => Math.round(share * maxUnits));
      const units = sums.map((sum, i) => sum - (replaced[i] ?? 0) + (ownUnits[i] ?? 0));
      previousContribution = { contributedUnits, contributedVersion };
      contributedUnits = ownUnits;
      contributedVersion = getVersionKey(versions);
      const result = {
        membership: versions.membership,
        settings: versions.settings,
        parts: current.parts + (isFirst ? 1 : 0),
        units: encodeUnits(units),
      };
      observe(result, expectedMemberCount);
      return result;
    },
    retract() {
      ({ contributedUnits, contributedVersion } = previousContribution);
    },
    observe: (record) => observe(record, expectedMemberCount),
    dominantShare(team) {
      const i = indexByName.get(team);
      return i === undefined ? 0 : (ownShares[i] ?? 0) + (otherShares[i] ?? 0);
    },
  };
}
