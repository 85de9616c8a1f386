/**
 * The state of the writer lane. One transaction is in flight at a time. Each checks the member row of
 * the process and rewrites it with the next sequence and an operation id. After a lost answer the
 * member row shows whether the transaction took effect; if it did not, an empty transaction advances
 * the row's version, so that the lost one cannot take effect later. The lane relies on versions of a
 * row that never repeat, not even after the row was deleted.
 */
import { Left, Right } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Commit, Row } from '../schema/mod.ts';
import { merge, partOf, rebuild, takeBatch } from './_batch.ts';
import type { MemberRow, Sent } from './_batch.ts';
import { makeEntry, settleConflict } from './_queued_mutation.ts';
import type { Entry } from './_queued_mutation.ts';
import { Verdict, judge, makeAdvance } from './_transaction_outcome.ts';
import { outsideMessages } from './_phase.ts';
import type { Phase } from './_phase.ts';
import { backoffMs } from './retry_budget.ts';
import type { Mutation } from './table.ts';
import type { WriterOptions } from './writer.ts';

// Shorter than the timeout of a heartbeat, so that each heartbeat has an attempt.
const maxBackoffMs = 400;

/** The writer lane; `makeWriter` is its public form. */
export class Lane {
  private readonly options: Required<Omit<WriterOptions, 'memberKey'>>;

  private member: MemberRow;

  private phase: Phase = 'outside';

  private queue: Entry[] = [];

  /** The leave, which is sent after the queue. */
  private last: Entry | undefined;

  private sent: Sent | undefined;

  private running = false;

  private failures = 0;

  private operations = 0;

  constructor({ memberKey, ...options }: Required<WriterOptions>) {
    this.options = options;
    this.member = { key: memberKey, version: 0, value: {} };
  }

  isBusy(): boolean {
    return this.sent !== undefined;
  }

  memberRow(): Row | undefined {
    const isMember = this.phase === 'member' || this.phase === 'leaving';
    return isMember ? structuredClone(this.member) : undefined;
  }

  commit(mutation: Mutation, timeoutMs: number): Outcome<Commit> {
    if (this.phase !== 'member') return Promise.resolve(Left(this.outsideFailure()));
    return this.enqueue(mutation, timeoutMs, (entry) => this.queue.push(entry));
  }

  join(
    value: Record<string, unknown>,
    options: { memberKey?: string; mutation: Mutation; timeoutMs: number },
  ): Outcome<Commit> {
    const { memberKey = this.member.key, mutation, timeoutMs } = options;
    if (this.phase === 'member' || this.phase === 'leaving') {
      const message = `a join is not possible while ${outsideMessages[this.phase]}`;
      return Promise.resolve(Left(makeFailure(ErrorKind.Internal, message)));
    }
    // A join that is given up may still take effect, but only on the row of its own member id.
    this.sent = undefined;
    this.failQueued(this.outsideFailure());
    this.phase = 'joining';
    this.member = { key: memberKey, version: 0, value: { ...value, sequence: 0 } };
    return this.enqueue(mutation, timeoutMs, (entry) => this.queue.push(entry));
  }

  leave(mutation: Mutation, timeoutMs: number): Outcome<Commit> {
    if (this.phase !== 'member') return Promise.resolve(Left(this.outsideFailure()));
    this.phase = 'leaving';
    return this.enqueue(mutation, timeoutMs, (entry) => {
      this.last = entry;
    });
  }

  private enqueue(mutation: Mutation, timeoutMs: number, add: (entry: Entry) => void) {
    const { clock } = this.options;
    const onTimeout = (entry: Entry) => {
      const inFlight = this.sent?.entries.includes(entry) ?? false;
      const kind = inFlight ? ErrorKind.TableUnknown : ErrorKind.TableUnavailable;
      return makeFailure(kind, `no certain outcome within ${timeoutMs} ms`);
    };
    const { entry, outcome } = makeEntry(mutation, { clock, timeoutMs, onTimeout });
    add(entry);
    if (!this.running) this.run().catch((error: unknown) => this.crash(error));
    return outcome;
  }

  private outsideFailure(): Failure {
    return makeFailure(ErrorKind.Expelled, outsideMessages[this.phase]);
  }

  private crash(error: unknown): void {
    this.options.log.error('Writer lane failed.', { error: String(error) });
    this.running = false;
    const problem = makeFailure(ErrorKind.Internal, String(error));
    this.sent?.entries.forEach(({ settle }) => settle(Left(problem)));
    this.failQueued(problem);
  }

  private failQueued(problem: Failure): void {
    const waiting = [...this.queue, ...(this.last ? [this.last] : [])];
    this.queue = [];
    this.last = undefined;
    waiting.forEach(({ settle }) => settle(Left(problem)));
  }

  private async run(): Promise<void> {
    this.running = true;
    // Mutations of the same turn go into the first transaction together.
    await Promise.resolve();
    for (;;) {
      if (this.sent) {
        await this.resolve(this.sent);
        continue;
      }
      const next = this.nextTransaction();
      if (!next) break;
      this.sent = next;
      await this.transact(next);
    }
    this.running = false;
  }

  private nextTransaction(): Sent | undefined {
    const { member, last } = this;
    this.queue = this.queue.filter(({ settled }) => !settled);
    const batch = takeBatch(this.queue, this.options.maxRows);
    if (batch.length > 0) return merge(batch, { member, operation: this.nextOperation() });
    this.last = undefined;
    if (this.phase === 'joining') this.phase = 'outside';
    if (this.phase !== 'leaving') return undefined;
    if (last && !last.settled) {
      return merge([last], { member, operation: this.nextOperation(), leaving: true });
    }
    this.phase = 'member';
    return undefined;
  }

  private nextOperation(): string {
    this.operations += 1;
    const nonce = Math.floor(this.options.random() * 2 ** 40).toString(36);
    return `${this.member.key}#${this.operations}-${nonce}`;
  }

  private async transact(sent: Sent): Promise<void> {
    const outcome = await this.options.table.transact(sent.transaction);
    if (this.sent !== sent) return;
    if (outcome.isRight()) {
      this.committed(sent, outcome.extract());
      return;
    }
    const problem = outcome.extract() as Failure;
    if (problem.kind === ErrorKind.TableConflict) this.conflicted(sent, problem);
    else if (problem.kind === ErrorKind.MalformedRequest) this.rejected(sent, problem);
    else if (problem.kind === ErrorKind.TableUnavailable) await this.unavailable(sent, problem);
    else Object.assign(sent, { uncertain: true });
  }

  private committed(sent: Sent, commit: Commit): void {
    const { key } = this.member;
    // The caller of a join that came too late has been told that it must join under another id.
    const isAwaited = sent.entries.some(({ settled }) => !settled);
    this.failures = 0;
    this.sent = undefined;
    if (sent.after) {
      this.member = { key, version: commit.versions[key] ?? 0, value: sent.after };
      if (this.phase === 'joining') this.phase = isAwaited ? 'member' : 'outside';
    } else {
      this.phase = 'outside';
    }
    sent.entries.forEach((entry) => entry.settle(Right(partOf(commit, entry, key))));
  }

  private conflicted(sent: Sent, problem: Failure): void {
    const keys = new Set(Array.isArray(problem.got) ? (problem.got as string[]) : []);
    if (sent.uncertain || keys.has(this.member.key)) {
      // The member row tells an expulsion from an earlier attempt that took effect.
      Object.assign(sent, { refused: problem });
      return;
    }
    settleConflict(sent.entries, keys);
    this.requeue(sent);
  }

  private rejected(sent: Sent, problem: Failure): void {
    if (sent.entries.length === 1) sent.entries.forEach(({ settle }) => settle(Left(problem)));
    // One of them is at fault; sent alone, each gets its own answer.
    sent.entries.forEach((entry) => Object.assign(entry, { alone: true }));
    this.requeue(sent);
  }

  private async unavailable(sent: Sent, problem: Failure): Promise<void> {
    if (sent.uncertain) return;
    const { maxAttempts, budget } = this.options;
    const retry = budget.take();
    sent.entries.forEach((entry) => {
      const attempts = entry.attempts + 1;
      Object.assign(entry, { attempts });
      if (!retry || attempts >= maxAttempts) entry.settle(Left(problem));
    });
    this.requeue(sent);
    await this.backOff();
  }

  private requeue(sent: Sent): void {
    this.sent = undefined;
    const again = sent.entries.filter(({ settled }) => !settled);
    if (sent.after) this.queue.unshift(...again);
    else [this.last] = again;
  }

  private async resolve(sent: Sent): Promise<void> {
    const { key } = this.member;
    const { writes, reads, versions = [] } = sent.transaction;
    const keys = [...new Set([key, ...writes.map((write) => write.key), ...reads, ...versions])];
    const read = await this.options.table.read(keys);
    if (this.sent !== sent) return;
    const rows = read.orDefault([]);
    const row = rows.find((other) => other.key === key);
    if (!row) {
      await this.backOff();
      return;
    }
    const verdict = judge(sent, { member: this.member, row });
    if (verdict === Verdict.Committed) this.committed(sent, rebuild(sent, rows));
    else if (verdict === Verdict.Open) await this.advance(sent);
    else if (verdict === Verdict.Dead) this.advanced(sent, row.version);
    else if (this.phase !== 'joining') this.gone(sent);
    else if (sent.entries.every(({ settled }) => settled)) this.requeue(sent);
    else if (verdict === Verdict.Absent && !sent.refused) await this.joinAgain(sent);
    else this.joinRefused(sent);
  }

  private async advance(sent: Sent): Promise<void> {
    const advance = sent.advance ?? makeAdvance(this.member, this.nextOperation());
    Object.assign(sent, { advance });
    const outcome = await this.options.table.transact(advance);
    if (this.sent !== sent) return;
    const version = outcome.map(({ versions }) => versions[this.member.key]).orDefault(undefined);
    if (version !== undefined) this.advanced(sent, version);
    else if ((outcome.extract() as Failure).kind !== ErrorKind.TableConflict) await this.backOff();
  }

  private advanced(sent: Sent, version: number): void {
    const value = sent.advance?.writes[0]?.value as Record<string, unknown>;
    this.member = { key: this.member.key, version, value };
    this.requeue(sent);
  }

  private async joinAgain(sent: Sent): Promise<void> {
    await this.backOff();
    // The same transaction again: its check of the absent row lets only one of the two take effect.
    if (this.sent === sent) await this.transact(sent);
  }

  private joinRefused(sent: Sent): void {
    const keys = (sent.refused?.got as string[] | undefined) ?? [this.member.key];
    settleConflict(sent.entries, new Set(keys));
    this.requeue(sent);
  }

  private gone(sent: Sent): void {
    this.sent = undefined;
    const left = !sent.after && sent.uncertain;
    this.phase = left ? 'outside' : 'expelled';
    const problem = this.outsideFailure();
    const unknown = makeFailure(
      ErrorKind.TableUnknown,
      `${problem.message}; a write may have taken effect`,
    );
    sent.entries.forEach(({ settle }) => settle(Left(sent.uncertain ? unknown : problem)));
    this.failQueued(problem);
    if (left) return;
    this.options.log.warn('Member row is gone.', { key: this.member.key });
    this.options.onExpelled();
  }

  private async backOff(): Promise<void> {
    this.failures += 1;
    const { clock, random } = this.options;
    await clock.sleep(backoffMs(this.failures, random, { maxMs: maxBackoffMs }));
  }
}
