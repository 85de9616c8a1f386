/**
 * The share digest: a small shared record by which processes exchange the usage of teams.
 *
 * Each process adds the usage of each team on its own workers to the record, so that the sums are
 * those of the fleet. Teams are numbered by their sorted names, which all processes agree on at one
 * version of the settings, and take two characters each. The record starts empty whenever the
 * membership or the settings change, so a process that died no longer contributes.
 */

/** The shared record. */
export interface DigestRecord {
  /** Versions of the membership and the settings that the record belongs to. */
  membership: number;
  settings: number;
  /** Number of processes that have contributed. */
  parts: number;
  /** Units per team, encoded as two characters each. */
  units: string;
}

const digits = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';

/** Units of the whole fleet: the largest number that two characters encode. */
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

/** The view that one process has of the usage of the fleet. */
export interface ShareView {
  /** Sets the share of the fleet that a team uses on the workers of this process. */
  setOwnShare(team: string, share: number): void;
  /** Returns the record with the contribution of this process updated, for the next transaction. */
  contribute(record: DigestRecord | undefined, versions: DigestVersions): DigestRecord;
  /** Undoes the last contribution after its record could not be written. */
  retract(): void;
  /** Updates the view from a record that was read or written. */
  observe(record: DigestRecord): void;
  /** Dominant share of a team over the fleet, as far as known. */
  dominantShare(team: string): number;
}

/** The versions that a record belongs to, and the number of members. */
export interface DigestVersions {
  membership: number;
  settings: number;
  members: number;
}

/**
 * Makes the view of one process. Its own usage is always exact, that of other processes is as old
 * as the record.
 *
 * @example
 * const view = makeShareView(teamNames);
 * view.setOwnShare('team-a', 0.02);
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
    // A record without the contributions of all members would show too little usage.
    if (record.parts < memberCount) return;
    const sums = decodeUnits(record.units, names.length);
    const includedUnits =
      contributedVersion === getVersionKey(record)
        ? contributedUnits
        : new Array<number>(names.length).fill(0);
    otherShares = sums.map((sum, i) => Math.max(0, sum - (includedUnits[i] ?? 0)) / maxUnits);
  };
  let expectedMemberCount = 1;

  return {
    setOwnShare(team, share) {
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
      const replacedUnits = isFirst ? contributedUnits.map(() => 0) : contributedUnits;
      const sums = decodeUnits(current.units, names.length);
      const ownUnits = ownShares.map((share) => Math.round(share * maxUnits));
      const units = sums.map((sum, i) => sum - (replacedUnits[i] ?? 0) + (ownUnits[i] ?? 0));
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
