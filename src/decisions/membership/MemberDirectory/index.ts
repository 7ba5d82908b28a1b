import { crc32 } from "node:zlib";
import { MemberRecord } from "../../../model/MemberRecord.js";
import { MemberState } from "../../../model/MemberState.js";
import { isNewerRecord } from "../isNewerRecord/index.js";
import { memberHash } from "../memberHash/index.js";
import { MemberStamp } from "../MemberStamp.js";
import { Suspicion } from "../Suspicion.js";

/** Number of buckets whose hashes peers compare to find differing records. */
const BUCKET_COUNT = 64;
/** Time that a suspected member has to refute the suspicion before it is marked as lost, in ms. */
const SUSPICION_TIMEOUT_MS = 2_000;
/** Time for which records of left or lost members are kept, in ms. */
const TOMBSTONE_RETENTION_MS = 3_600_000;

interface OpenSuspicion {
    readonly suspicion: Suspicion;
    readonly sinceMs: number;
}

/**
 * The records of all known members; decides which members are live. Each record is written only by its owner, so the newest
 * version wins and merging is commutative. A suspected member stays live until its suspicion times out without being refuted.
 *
 * Deterministic: it reads no clock and does no input or output.
 */
export class MemberDirectory {
    private readonly records = new Map<string, MemberRecord>();
    private readonly changedAtMs = new Map<string, number>();
    private readonly suspicions = new Map<string, OpenSuspicion>();
    private readonly lost = new Set<string>();
    private readonly buckets: number[] = new Array<number>(BUCKET_COUNT).fill(0);
    private changeCount = 0;

    private constructor() {}

    /** Creates an empty directory. */
    static create(): MemberDirectory {
        return new MemberDirectory();
    }

    /** Revision number, incremented by every change of records or suspicions, so that derived data can be cached. */
    get revision(): number {
        return this.changeCount;
    }

    /** Number of records. */
    get size(): number {
        return this.records.size;
    }

    /** Stores a record if it is newer than the known one; returns true if it is. */
    merge(record: MemberRecord, nowMs: number): boolean {
        const known = this.records.get(record.vm);
        if (!isNewerRecord(record, known)) {
            return false;
        }
        this.toggleHash(known);
        this.toggleHash(record);
        this.records.set(record.vm, record);
        this.changedAtMs.set(record.vm, nowMs);
        this.suspicions.delete(record.vm);
        this.lost.delete(record.vm);
        this.changeCount += 1;
        return true;
    }

    /**
     * Stores a suspicion; returns true if it is new. A suspicion is ignored if the member is unknown, is already suspected, or
     * has published a newer record.
     */
    addSuspicion(suspicion: Suspicion, nowMs: number): boolean {
        const { vm } = suspicion.member;
        const known = this.records.get(vm);
        if (known === undefined || isNewerRecord(known, suspicion.member) || this.suspicions.has(vm)) {
            return false;
        }
        this.suspicions.set(vm, { suspicion, sinceMs: nowMs });
        this.changeCount += 1;
        return true;
    }

    /** Removes the suspicion of a member, for example after direct contact with it. */
    clearSuspicion(vm: string): void {
        if (this.suspicions.delete(vm)) {
            this.lost.delete(vm);
            this.changeCount += 1;
        }
    }

    /** Returns the suspicions that have not been refuted. */
    openSuspicions(): readonly Suspicion[] {
        return [...this.suspicions.values()].map((open) => open.suspicion);
    }

    /** Marks members as lost whose suspicions have timed out; returns the VMs of the newly lost ones. */
    expireSuspicions(nowMs: number): readonly string[] {
        const expired = [...this.suspicions]
            .filter(([vm, open]) => !this.lost.has(vm) && nowMs - open.sinceMs >= SUSPICION_TIMEOUT_MS)
            .map(([vm]) => vm);
        expired.forEach((vm) => this.lost.add(vm));
        this.changeCount += expired.length;
        return expired;
    }

    /** Returns true if a member is marked as lost. */
    isLost(vm: string): boolean {
        return this.lost.has(vm);
    }

    /** Returns the record of a member, if known. */
    record(vm: string): MemberRecord | undefined {
        return this.records.get(vm);
    }

    /** Returns all records, in any state. */
    all(): readonly MemberRecord[] {
        return [...this.records.values()];
    }

    /** Returns the records of the members that have neither left nor been marked as lost. */
    live(): readonly MemberRecord[] {
        return this.all().filter((record) => record.state !== MemberState.Left && !this.isLost(record.vm));
    }

    /** Removes members that left or were lost longer than the retention time ago; returns their VMs. */
    removeExpired(nowMs: number): readonly string[] {
        const tombstones = this.all().filter((record) => this.isExpired(record, nowMs));
        tombstones.forEach((record) => this.remove(record));
        return tombstones.map((record) => record.vm);
    }

    /** Returns the hash of each bucket of records. Directories with equal hashes hold the same records. */
    summary(): readonly number[] {
        return [...this.buckets];
    }

    /** Returns the version stamps of the records in the buckets whose hashes differ from a peer's summary. */
    stampsInDifferingBuckets(summary: readonly number[]): readonly MemberStamp[] {
        return this.stampsIn(this.differingBuckets(summary));
    }

    /** Returns the version stamps of the records in the given buckets. */
    stampsIn(buckets: readonly number[]): readonly MemberStamp[] {
        const requested = new Set(buckets);
        return this.all()
            .filter((record) => requested.has(bucketOf(record.vm)))
            .map(({ vm, startedAtMs, sequence }) => ({ vm, startedAtMs, sequence }));
    }

    /** Returns the records in the given buckets that are newer than a peer's versions or unknown to the peer. */
    recordsNewerThan(stamps: readonly MemberStamp[], buckets: readonly number[]): readonly MemberRecord[] {
        const byVm = new Map(stamps.map((stamp) => [stamp.vm, stamp]));
        const requested = new Set(buckets);
        return this.all().filter((record) => requested.has(bucketOf(record.vm)) && isNewerRecord(record, byVm.get(record.vm)));
    }

    /** Returns the indexes of the buckets whose hashes differ from a peer's summary. */
    differingBuckets(summary: readonly number[]): readonly number[] {
        return this.buckets.flatMap((hash, index) => hash === summary[index] ? [] : [index]);
    }

    private isExpired(record: MemberRecord, nowMs: number): boolean {
        const sinceMs = this.suspicions.get(record.vm)?.sinceMs ?? this.changedAtMs.get(record.vm) ?? nowMs;
        const isTombstone = record.state === MemberState.Left || this.isLost(record.vm);
        return isTombstone && nowMs - sinceMs >= TOMBSTONE_RETENTION_MS;
    }

    private remove(record: MemberRecord): void {
        this.toggleHash(record);
        this.records.delete(record.vm);
        this.changedAtMs.delete(record.vm);
        this.suspicions.delete(record.vm);
        this.changeCount += 1;
    }

    private toggleHash(record: MemberRecord | undefined): void {
        if (record !== undefined) {
            const index = bucketOf(record.vm);
            this.buckets[index] = ((this.buckets[index] ?? 0) ^ memberHash(record)) >>> 0;
        }
    }
}

function bucketOf(vm: string): number {
    return crc32(vm) % BUCKET_COUNT;
}
