/**
 * Serialises the writes of a process: one transaction is in flight at a time. Each checks the process's
 * member row and rewrites it with the next sequence and an operation id. After a lost response the
 * member row shows whether the transaction has committed; if not, an empty transaction advances the
 * row's version, so that the lost one cannot commit later. This relies on row versions that never
 * repeat, not even after the row was deleted.
 */
import { Left, Right } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Commit, Row } from '../schema/mod.ts';
import { extractCommit, makeBatch, rebuildCommit, takeBatchEntries } from './_batch.ts';
import type { Batch, MemberRow } from './_batch.ts';
import { failConflicting, makeQueueEntry } from './_queue_entry.ts';
import type { QueueEntry } from './_queue_entry.ts';
import { BatchStatus, determineStatus, makeVersionAdvance } from './_batch_status.ts';
import { phaseMessages } from './_phase.ts';
import type { MembershipPhase } from './_phase.ts';
import { backoffMs } from './retry_budget.ts';
import type { Mutation } from './table.ts';
import type { WriterOptions } from './writer.ts';

// Shorter than the heartbeat timeout, so that each heartbeat gets at least one attempt.
const maxBackoffMs = 400;

/** Implementation of the writer that `makeWriter` returns. */
export class SerialWriter {
  private readonly options: Required<Omit<WriterOptions, 'memberKey'>>;

  private member: MemberRow;

  private phase: MembershipPhase = 'outside';

  private queue: QueueEntry[] = [];

  /** The mutation of a leave, which is sent once the queue is empty. */
  private queuedLeave: QueueEntry | undefined;

  private inFlight: Batch | undefined;

  private isRunning = false;

  private failureCount = 0;

  private operationCount = 0;

  constructor({ memberKey, ...options }: Required<WriterOptions>) {
    this.options = options;
    this.member = { key: memberKey, version: 0, value: {} };
  }

  isBusy(): boolean {
    return this.inFlight !== undefined;
  }

  memberRow(): Row | undefined {
    const isMember = this.phase === 'member' || this.phase === 'leaving';
    return isMember ? structuredClone(this.member) : undefined;
  }

  commit(mutation: Mutation, timeoutMs: number): Outcome<Commit> {
    if (this.phase !== 'member') return Promise.resolve(Left(this.makePhaseFailure()));
    return this.enqueue(mutation, timeoutMs, (entry) => this.queue.push(entry));
  }

  join(
    value: Record<string, unknown>,
    options: { memberKey?: string; mutation: Mutation; timeoutMs: number },
  ): Outcome<Commit> {
    const { memberKey = this.member.key, mutation, timeoutMs } = options;
    if (this.phase === 'member' || this.phase === 'leaving') {
      const message = `a join is not possible while ${phaseMessages[this.phase]}`;
      return Promise.resolve(Left(makeFailure(ErrorKind.Internal, message)));
    }
    // An abandoned join may still commit, but only on the row of its own member id.
    this.inFlight = undefined;
    this.failQueued(this.makePhaseFailure());
    this.phase = 'joining';
    this.member = { key: memberKey, version: 0, value: { ...value, sequence: 0 } };
    return this.enqueue(mutation, timeoutMs, (entry) => this.queue.push(entry));
  }

  leave(mutation: Mutation, timeoutMs: number): Outcome<Commit> {
    if (this.phase !== 'member') return Promise.resolve(Left(this.makePhaseFailure()));
    this.phase = 'leaving';
    return this.enqueue(mutation, timeoutMs, (entry) => {
      this.queuedLeave = entry;
    });
  }

  private enqueue(mutation: Mutation, timeoutMs: number, add: (entry: QueueEntry) => void) {
    const { clock } = this.options;
    const onTimeout = (entry: QueueEntry) => {
      const isInFlight = this.inFlight?.entries.includes(entry) ?? false;
      const kind = isInFlight ? ErrorKind.TableUnknown : ErrorKind.TableUnavailable;
      return makeFailure(kind, `no certain outcome within ${timeoutMs} ms`);
    };
    const { entry, outcome } = makeQueueEntry(mutation, { clock, timeoutMs, onTimeout });
    add(entry);
    if (!this.isRunning) this.processQueue().catch((error: unknown) => this.handleCrash(error));
    return outcome;
  }

  private makePhaseFailure(): Failure {
    return makeFailure(ErrorKind.Expelled, phaseMessages[this.phase]);
  }

  private handleCrash(error: unknown): void {
    this.options.log.error('The table writer failed.', { error: String(error) });
    this.isRunning = false;
    const failure = makeFailure(ErrorKind.Internal, String(error));
    this.inFlight?.entries.forEach(({ settle }) => settle(Left(failure)));
    this.failQueued(failure);
  }

  private failQueued(failure: Failure): void {
    const queued = [...this.queue, ...(this.queuedLeave ? [this.queuedLeave] : [])];
    this.queue = [];
    this.queuedLeave = undefined;
    queued.forEach(({ settle }) => settle(Left(failure)));
  }

  private async processQueue(): Promise<void> {
    this.isRunning = true;
    // Lets all mutations of the same event-loop turn join the first transaction.
    await Promise.resolve();
    for (;;) {
      if (this.inFlight) {
        await this.resolveOutcome(this.inFlight);
        continue;
      }
      const next = this.takeNextTransaction();
      if (!next) break;
      this.inFlight = next;
      await this.sendTransaction(next);
    }
    this.isRunning = false;
  }

  private takeNextTransaction(): Batch | undefined {
    const { member, queuedLeave } = this;
    this.queue = this.queue.filter(({ isSettled }) => !isSettled);
    const taken = takeBatchEntries(this.queue, this.options.maxRows);
    if (taken.length > 0) return makeBatch(taken, { member, operation: this.nextOperation() });
    this.queuedLeave = undefined;
    if (this.phase === 'joining') this.phase = 'outside';
    if (this.phase !== 'leaving') return undefined;
    if (queuedLeave && !queuedLeave.isSettled) {
      return makeBatch([queuedLeave], { member, operation: this.nextOperation(), isLeave: true });
    }
    this.phase = 'member';
    return undefined;
  }

  private nextOperation(): string {
    this.operationCount += 1;
    const nonce = Math.floor(this.options.random() * 2 ** 40).toString(36);
    return `${this.member.key}#${this.operationCount}-${nonce}`;
  }

  private async sendTransaction(batch: Batch): Promise<void> {
    const outcome = await this.options.table.transact(batch.transaction);
    if (this.inFlight !== batch) return;
    if (outcome.isRight()) {
      this.handleCommit(batch, outcome.extract());
      return;
    }
    const failure = outcome.extract() as Failure;
    if (failure.kind === ErrorKind.TableConflict) this.handleConflict(batch, failure);
    else if (failure.kind === ErrorKind.MalformedRequest) this.handleRejection(batch, failure);
    else if (failure.kind === ErrorKind.TableUnavailable) await this.handleOutage(batch, failure);
    else Object.assign(batch, { isUncertain: true });
  }

  private handleCommit(batch: Batch, commit: Commit): void {
    const { key } = this.member;
    // The caller of a join that has timed out must already join again under another id.
    const isAwaited = batch.entries.some(({ isSettled }) => !isSettled);
    this.failureCount = 0;
    this.inFlight = undefined;
    if (batch.memberValue) {
      this.member = { key, version: commit.versions[key] ?? 0, value: batch.memberValue };
      if (this.phase === 'joining') this.phase = isAwaited ? 'member' : 'outside';
    } else {
      this.phase = 'outside';
    }
    batch.entries.forEach((entry) => entry.settle(Right(extractCommit(commit, entry, key))));
  }

  private handleConflict(batch: Batch, failure: Failure): void {
    const keys = new Set(Array.isArray(failure.got) ? (failure.got as string[]) : []);
    if (batch.isUncertain || keys.has(this.member.key)) {
      // The member row shows whether the process was expelled or an earlier attempt has committed.
      Object.assign(batch, { conflict: failure });
      return;
    }
    failConflicting(batch.entries, keys);
    this.requeue(batch);
  }

  private handleRejection(batch: Batch, failure: Failure): void {
    if (batch.entries.length === 1) batch.entries.forEach(({ settle }) => settle(Left(failure)));
    // One of the mutations is malformed; sent alone, each gets its own result.
    batch.entries.forEach((entry) => Object.assign(entry, { isAlone: true }));
    this.requeue(batch);
  }

  private async handleOutage(batch: Batch, failure: Failure): Promise<void> {
    if (batch.isUncertain) return;
    const { maxAttempts, budget } = this.options;
    const mayRetry = budget.take();
    batch.entries.forEach((entry) => {
      const attemptCount = entry.attemptCount + 1;
      Object.assign(entry, { attemptCount });
      if (!mayRetry || attemptCount >= maxAttempts) entry.settle(Left(failure));
    });
    this.requeue(batch);
    await this.backOff();
  }

  private requeue(batch: Batch): void {
    this.inFlight = undefined;
    const unsettled = batch.entries.filter(({ isSettled }) => !isSettled);
    if (batch.memberValue) this.queue.unshift(...unsettled);
    else [this.queuedLeave] = unsettled;
  }

  private async resolveOutcome(batch: Batch): Promise<void> {
    const { key } = this.member;
    const { writes, reads, versions = [] } = batch.transaction;
    const keys = [...new Set([key, ...writes.map((write) => write.key), ...reads, ...versions])];
    const result = await this.options.table.read(keys);
    if (this.inFlight !== batch) return;
    const rows = result.orDefault([]);
    const row = rows.find((other) => other.key === key);
    if (!row) {
      await this.backOff();
      return;
    }
    const status = determineStatus(batch, { member: this.member, row });
    if (status === BatchStatus.Committed) this.handleCommit(batch, rebuildCommit(batch, rows));
    else if (status === BatchStatus.Undecided) await this.advanceMemberVersion(batch);
    else if (status === BatchStatus.Superseded) this.handleVersionAdvance(batch, row.version);
    else if (this.phase !== 'joining') this.handleMissingMember(batch);
    else if (batch.entries.every(({ isSettled }) => isSettled)) this.requeue(batch);
    else if (status === BatchStatus.RowMissing && !batch.conflict) await this.retryJoin(batch);
    else this.failJoin(batch);
  }

  private async advanceMemberVersion(batch: Batch): Promise<void> {
    const advance = batch.advance ?? makeVersionAdvance(this.member, this.nextOperation());
    Object.assign(batch, { advance });
    const outcome = await this.options.table.transact(advance);
    if (this.inFlight !== batch) return;
    const version = outcome.map(({ versions }) => versions[this.member.key]).orDefault(undefined);
    if (version !== undefined) this.handleVersionAdvance(batch, version);
    else if ((outcome.extract() as Failure).kind !== ErrorKind.TableConflict) await this.backOff();
  }

  private handleVersionAdvance(batch: Batch, version: number): void {
    const value = batch.advance?.writes[0]?.value as Record<string, unknown>;
    this.member = { key: this.member.key, version, value };
    this.requeue(batch);
  }

  private async retryJoin(batch: Batch): Promise<void> {
    await this.backOff();
    // Both attempts check that the row is absent, so at most one of them can commit.
    if (this.inFlight === batch) await this.sendTransaction(batch);
  }

  private failJoin(batch: Batch): void {
    const keys = (batch.conflict?.got as string[] | undefined) ?? [this.member.key];
    failConflicting(batch.entries, new Set(keys));
    this.requeue(batch);
  }

  private handleMissingMember(batch: Batch): void {
    this.inFlight = undefined;
    const hasLeft = !batch.memberValue && batch.isUncertain;
    this.phase = hasLeft ? 'outside' : 'expelled';
    const failure = this.makePhaseFailure();
    const uncertain = makeFailure(
      ErrorKind.TableUnknown,
      `${failure.message}; a write may have taken effect`,
    );
    batch.entries.forEach(({ settle }) => settle(Left(batch.isUncertain ? uncertain : failure)));
    this.failQueued(failure);
    if (hasLeft) return;
    this.options.log.warn('The member row was deleted or overwritten.', { key: this.member.key });
    this.options.onExpelled();
  }

  private async backOff(): Promise<void> {
    this.failureCount += 1;
    const { clock, random } = this.options;
    await clock.sleep(backoffMs(this.failureCount, random, { maxMs: maxBackoffMs }));
  }
}
