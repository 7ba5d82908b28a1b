import { assertNever } from "../../../model/assertNever/index.js";
import { attemptKey } from "../../gate/attemptKey/index.js";
import { Claim } from "../Claim.js";
import { ClaimEntry } from "../ClaimEntry.js";
import { majorityOf } from "../majorityOf/index.js";
import { Roster } from "../Roster.js";
import { WitnessReply } from "../WitnessReply.js";
import { WitnessReplyKind } from "../WitnessReplyKind.js";
import { WitnessRequest } from "../WitnessRequest.js";
import { WitnessRequestKind } from "../WitnessRequestKind.js";
import { witnessesFor } from "../witnessesFor/index.js";

const CONTESTED = "";
const COPY_DELAY_MS = 2_000;

interface HeldClaim {
    readonly claim: Claim;
    readonly expiresAtMs: number;
}

/**
 * The claims that one witness holds. The first claimant holds a key until it releases it, until it expires, or until
 * another claimant has voided all its attempts.
 *
 * A witness that restarted has no memory. It abstains from a key until it has copied the claims of a majority of the
 * key's other witnesses, or until all claims it may have forgotten have expired. It waits before it copies, for longer
 * than claimants count replies, so that every claim that counts a vote from before the restart is in the copies.
 *
 * Deterministic: no clock, no input or output.
 */
export class WitnessLedger {
    private readonly claims = new Map<string, HeldClaim>();
    private readonly copiedFrom = new Set<string>();

    private constructor(
        private readonly vm: string,
        private readonly incarnation: string,
        private readonly startedAtMs: number,
    ) {}

    /**
     * Creates the ledger of a process that has just started.
     *
     * @param vm - VM of the witness.
     * @param incarnation - Incarnation of the process.
     * @param nowMs - Time of the start.
     */
    static create(vm: string, incarnation: string, nowMs: number): WitnessLedger {
        return new WitnessLedger(vm, incarnation, nowMs);
    }

    /** Number of claims held. */
    get size(): number {
        return this.claims.size;
    }

    /**
     * Takes a request of a claimant.
     *
     * @param request - The request.
     * @param roster - Roster in force at the witness.
     * @param witnessCount - Witnesses of each key.
     * @param retentionMs - Time for which claims are held.
     * @param nowMs - Current time.
     */
    take(request: WitnessRequest, roster: Roster, witnessCount: number, retentionMs: number, nowMs: number): WitnessReply {
        switch (request.kind) {
            case WitnessRequestKind.Claim:
                if (request.epoch < roster.epoch || !this.mayVote(request.key, roster, witnessCount, retentionMs, nowMs)) {
                    return { kind: WitnessReplyKind.Abstains };
                }
                return this.claim(request.key, request.claim, request.voided, retentionMs, nowMs);
            case WitnessRequestKind.Release:
                if (this.held(request.key, nowMs)?.claimant === request.claimant) {
                    this.claims.delete(request.key);
                }
                return { kind: WitnessReplyKind.Granted };
            default:
                return assertNever(request);
        }
    }

    /** Tells whether the memory is complete enough to vote on a key. */
    mayVote(key: string, roster: Roster, witnessCount: number, retentionMs: number, nowMs: number): boolean {
        return this.hasMemoryOf((pool) => witnessesFor(key, pool, witnessCount), roster, retentionMs, nowMs);
    }

    /** Tells whether the restart is long enough ago to copy: no claimant still counts a vote given before it. */
    mayCopy(nowMs: number): boolean {
        return nowMs - this.startedAtMs >= COPY_DELAY_MS;
    }

    /** Returns all claims, for a witness that has lost its memory; undefined while the own memory is not complete. */
    giveClaims(roster: Roster, retentionMs: number, nowMs: number): readonly ClaimEntry[] | undefined {
        if (!this.isComplete(roster, retentionMs, nowMs)) {
            return undefined;
        }
        return [...this.claims]
            .filter(([, held]) => held.expiresAtMs > nowMs)
            .map(([key, held]) => ({ key, claim: held.claim, remainingMs: held.expiresAtMs - nowMs }));
    }

    /** Tells whether the memory is complete for every key of the pools to which the witness belongs. */
    isComplete(roster: Roster, retentionMs: number, nowMs: number): boolean {
        return this.hasMemoryOf((pool) => pool, roster, retentionMs, nowMs);
    }

    /**
     * Takes over the claims that another witness gave. Attempts are united; where two witnesses name different
     * claimants, neither is taken for the holder, so that whoever asks has to void all attempts first.
     */
    copyClaims(fromVm: string, entries: readonly ClaimEntry[], nowMs: number): void {
        entries.forEach(({ key, claim, remainingMs }) => {
            const known = this.held(key, nowMs);
            const claimant = known === undefined || known.claimant === claim.claimant ? claim.claimant : CONTESTED;
            const attempts = uniteAttempts(known?.attempts ?? [], claim.attempts);
            this.claims.set(key, { claim: { ...claim, claimant, attempts }, expiresAtMs: nowMs + remainingMs });
        });
        this.copiedFrom.add(fromVm);
    }

    /** Drops claims that have expired. */
    expire(nowMs: number): void {
        for (const [key, held] of this.claims) {
            if (held.expiresAtMs > nowMs) {
                return;
            }
            this.claims.delete(key);
        }
    }

    private hasMemoryOf(
        select: (pool: Roster["witnesses"]) => Roster["witnesses"],
        roster: Roster,
        retentionMs: number,
        nowMs: number,
    ): boolean {
        const sets = [roster.witnesses, roster.previous].map(select).filter((set) => set.some((witness) => witness.vm === this.vm));
        const isOldEnough = nowMs - this.startedAtMs >= retentionMs;
        return sets.length > 0 && (isOldEnough || sets.every((set) => this.knows(set)));
    }

    private knows(set: Roster["witnesses"]): boolean {
        const own = set.find((witness) => witness.vm === this.vm);
        const others = set.filter((witness) => witness.vm !== this.vm);
        const copied = others.filter((witness) => this.copiedFrom.has(witness.vm));
        return own?.incarnation === this.incarnation || (others.length > 0 && copied.length >= majorityOf(others.length));
    }

    private claim(key: string, claim: Claim, voided: readonly string[], retentionMs: number, nowMs: number): WitnessReply {
        const held = this.held(key, nowMs);
        const isOwn = held === undefined || held.claimant === claim.claimant;
        const isVoid = held?.attempts.every((attempt) => voided.includes(attemptKey(attempt.id))) === true && held.digest === claim.digest;
        if (!isOwn && !isVoid) {
            return { kind: WitnessReplyKind.Held, claim: held };
        }
        const mayHaveRun = (held?.attempts ?? []).filter((attempt) => !voided.includes(attemptKey(attempt.id)));
        const attempts = uniteAttempts(mayHaveRun, claim.attempts);
        this.claims.delete(key);
        this.claims.set(key, { claim: { ...claim, attempts }, expiresAtMs: nowMs + retentionMs });
        return { kind: WitnessReplyKind.Granted };
    }

    private held(key: string, nowMs: number): Claim | undefined {
        const held = this.claims.get(key);
        return held !== undefined && held.expiresAtMs > nowMs ? held.claim : undefined;
    }
}

function uniteAttempts(left: Claim["attempts"], right: Claim["attempts"]): Claim["attempts"] {
    const known = new Set(left.map((attempt) => attemptKey(attempt.id)));
    return [...left, ...right.filter((attempt) => !known.has(attemptKey(attempt.id)))];
}
