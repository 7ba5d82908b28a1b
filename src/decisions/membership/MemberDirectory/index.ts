import { crc32 } from "node:zlib";
import { MemberRecord } from "../../../model/MemberRecord.js";
import { MemberState } from "../../../model/MemberState.js";
import { isNewerRecord } from "../isNewerRecord/index.js";
import { memberHash } from "../memberHash/index.js";
import { MemberStamp } from "../MemberStamp.js";
import { Suspicion } from "../Suspicion.js";

const BUCKETS = 64;
const SUSPICION_TIMEOUT_MS = 2_000;
const LEFT_RETENTION_MS = 3_600_000;

interface OpenSuspicion {
    readonly suspicion: Suspicion;
    readonly sinceMs: number;
}

/**
 * The records of all known members. Only owners write records, so the newest version of each owner wins and merging
 * is commutative. A member stays usable while suspected, until the suspicion has gone unrefuted for its timeout.
 *
 * Deterministic: no clock, no input or output.
 */
export class MemberDirectory {
    private readonly records = new Map<string, MemberRecord>();
    private readonly changedAtMs = new Map<string, number>();
    private readonly suspicions = new Map<string, OpenSuspicion>();
    private readonly lost = new Set<string>();
    private readonly buckets: number[] = new Array<number>(BUCKETS).fill(0);
    private changeCount = 0;

    private constructor() {}

    /** Creates an empty directory. */
    static create(): MemberDirectory {
        return new MemberDirectory();
    }

    /** Raised by every change of records or suspicions, so that views of the directory can be cached. */
    get revision(): number {
        return this.changeCount;
    }

    /** Number of records held. */
    get size(): number {
        return this.records.size;
    }

    /** Takes a record over if it is newer than the one held; tells whether it was. */
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

    /** Takes a suspicion over; tells whether it is news. Suspicions of older versions than the one held are void. */
    suspect(suspicion: Suspicion, nowMs: number): boolean {
        const { vm } = suspicion.member;
        const known = this.records.get(vm);
        if (known === undefined || isNewerRecord(known, suspicion.member) || this.suspicions.has(vm)) {
            return false;
        }
        this.suspicions.set(vm, { suspicion, sinceMs: nowMs });
        this.changeCount += 1;
        return true;
    }

    /** Withdraws a suspicion, as when the member has been heard from directly. */
    clearSuspicion(vm: string): void {
        if (this.suspicions.delete(vm)) {
            this.lost.delete(vm);
            this.changeCount += 1;
        }
    }

    /** Suspicions not yet refuted. */
    openSuspicions(): readonly Suspicion[] {
        return [...this.suspicions.values()].map((open) => open.suspicion);
    }

    /** Holds members to be lost whose suspicions have not been refuted in time; returns the newly lost ones. */
    expireSuspicions(nowMs: number): readonly string[] {
        const expired = [...this.suspicions]
            .filter(([vm, open]) => !this.lost.has(vm) && nowMs - open.sinceMs >= SUSPICION_TIMEOUT_MS)
            .map(([vm]) => vm);
        expired.forEach((vm) => this.lost.add(vm));
        this.changeCount += expired.length;
        return expired;
    }

    /** Tells whether a member is held to be lost. */
    isLost(vm: string): boolean {
        return this.lost.has(vm);
    }

    /** Returns the record of a member, if known. */
    record(vm: string): MemberRecord | undefined {
        return this.records.get(vm);
    }

    /** Returns all records, whatever their state. */
    all(): readonly MemberRecord[] {
        return [...this.records.values()];
    }

    /** Returns the records of the members that are neither gone nor lost. */
    live(): readonly MemberRecord[] {
        return this.all().filter((record) => record.state !== MemberState.Left && !this.isLost(record.vm));
    }

    /** Forgets members that have been gone or lost for the retention time; returns their names. */
    expire(nowMs: number): readonly string[] {
        const gone = this.all().filter((record) => this.isExpired(record, nowMs));
        gone.forEach((record) => this.forget(record));
        return gone.map((record) => record.vm);
    }

    /** Hash of each bucket of records; two directories with equal hashes hold the same records. */
    summary(): readonly number[] {
        return [...this.buckets];
    }

    /** Versions of the records in the buckets whose hashes differ from a peer's summary. */
    stampsDiffering(summary: readonly number[]): readonly MemberStamp[] {
        return this.stampsIn(this.bucketsDiffering(summary));
    }

    /** Versions of the records in the given buckets. */
    stampsIn(buckets: readonly number[]): readonly MemberStamp[] {
        const wanted = new Set(buckets);
        return this.all()
            .filter((record) => wanted.has(bucketOf(record.vm)))
            .map(({ vm, startedAtMs, sequence }) => ({ vm, startedAtMs, sequence }));
    }

    /** Records that are newer than a peer's versions, or in the given buckets and unknown to the peer. */
    recordsNewerThan(stamps: readonly MemberStamp[], buckets: readonly number[]): readonly MemberRecord[] {
        const byVm = new Map(stamps.map((stamp) => [stamp.vm, stamp]));
        const wanted = new Set(buckets);
        return this.all().filter((record) => wanted.has(bucketOf(record.vm)) && isNewerRecord(record, byVm.get(record.vm)));
    }

    /** Indexes of the buckets whose hashes differ from a peer's summary. */
    bucketsDiffering(summary: readonly number[]): readonly number[] {
        return this.buckets.flatMap((hash, index) => hash === summary[index] ? [] : [index]);
    }

    private isExpired(record: MemberRecord, nowMs: number): boolean {
        const sinceMs = this.suspicions.get(record.vm)?.sinceMs ?? this.changedAtMs.get(record.vm) ?? nowMs;
        const isGone = record.state === MemberState.Left || this.isLost(record.vm);
        return isGone && nowMs - sinceMs >= LEFT_RETENTION_MS;
    }

    private forget(record: MemberRecord): void {
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
    return crc32(vm) % BUCKETS;
}
