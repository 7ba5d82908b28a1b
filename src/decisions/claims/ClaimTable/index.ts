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
import { selectWitnesses } from "../selectWitnesses/index.js";

/** Claimant of a key for which two witnesses report different claimants; matches no request. */
const CONTESTED_CLAIMANT = "";
/** Delay after a restart before claims are copied, in ms; longer than claimants count replies, see `ClaimMachine`. */
const COPY_DELAY_MS = 2_000;

interface StoredClaim {
    readonly claim: Claim;
    readonly expiresAtMs: number;
}

/**
 * The claims that one witness stores; decides which claimant holds a key. The first claimant holds a key until it releases
 * the key, the claim expires, or another claimant has voided all its attempts.
 *
 * A witness loses its claims in a restart. It then abstains from voting on a key until it has copied the claims of a majority
 * of the key's other witnesses, or until all claims that it may have lost have expired. Before it copies, it waits longer than
 * claimants count replies, so that the copies include every claim that counts a vote from before the restart.
 *
 * Deterministic: it reads no clock and does no input or output.
 */
export class ClaimTable {
    private readonly claims = new Map<string, StoredClaim>();
    private readonly copiedFrom = new Set<string>();

    private constructor(
        private readonly vm: string,
        private readonly incarnation: string,
        private readonly startedAtMs: number,
    ) {}

    /**
     * Creates the claim table of a process that has just started.
     *
     * @param vm - VM of the witness.
     * @param incarnation - Incarnation of the process.
     * @param nowMs - Start time in ms.
     */
    static create(vm: string, incarnation: string, nowMs: number): ClaimTable {
        return new ClaimTable(vm, incarnation, nowMs);
    }

    /** Number of stored claims. */
    get size(): number {
        return this.claims.size;
    }

    /**
     * Handles a request from a claimant.
     *
     * @param request - The request.
     * @param roster - Current roster of the witness.
     * @param witnessCount - Number of witnesses of each key.
     * @param retentionMs - Time for which claims are retained, in ms.
     * @param nowMs - Current time in ms.
     * @returns The witness's reply.
     */
    handleRequest(request: WitnessRequest, roster: Roster, witnessCount: number, retentionMs: number, nowMs: number): WitnessReply {
        switch (request.kind) {
            case WitnessRequestKind.Claim:
                if (request.epoch < roster.epoch || !this.canVote(request.key, roster, witnessCount, retentionMs, nowMs)) {
                    return { kind: WitnessReplyKind.Abstains };
                }
                return this.handleClaim(request.key, request.claim, request.voided, retentionMs, nowMs);
            case WitnessRequestKind.Release:
                if (this.activeClaim(request.key, nowMs)?.claimant === request.claimant) {
                    this.claims.delete(request.key);
                }
                return { kind: WitnessReplyKind.Granted };
            default:
                return assertNever(request);
        }
    }

    /** Returns true if the witness has every claim that it needs to vote on a key. */
    canVote(key: string, roster: Roster, witnessCount: number, retentionMs: number, nowMs: number): boolean {
        return this.hasAllClaims((pool) => selectWitnesses(key, pool, witnessCount), roster, retentionMs, nowMs);
    }

    /** Returns true if the last restart is long enough ago that no claimant still counts a vote from before it. */
    canCopyClaims(nowMs: number): boolean {
        return nowMs - this.startedAtMs >= COPY_DELAY_MS;
    }

    /** Returns all claims, for a witness that lost its own; undefined while this table is incomplete. */
    exportClaims(roster: Roster, retentionMs: number, nowMs: number): readonly ClaimEntry[] | undefined {
        if (!this.isComplete(roster, retentionMs, nowMs)) {
            return undefined;
        }
        return [...this.claims]
            .filter(([, stored]) => stored.expiresAtMs > nowMs)
            .map(([key, stored]) => ({ key, claim: stored.claim, remainingMs: stored.expiresAtMs - nowMs }));
    }

    /** Returns true if the table is complete for every key of the pools to which the witness belongs. */
    isComplete(roster: Roster, retentionMs: number, nowMs: number): boolean {
        return this.hasAllClaims((pool) => pool, roster, retentionMs, nowMs);
    }

    /**
     * Imports claims that another witness exported. The attempts of claims on one key are merged. If two witnesses report
     * different claimants, neither counts as the holder, so that the next claimant has to void all attempts first.
     */
    importClaims(fromVm: string, entries: readonly ClaimEntry[], nowMs: number): void {
        entries.forEach(({ key, claim, remainingMs }) => {
            const known = this.activeClaim(key, nowMs);
            const claimant = known === undefined || known.claimant === claim.claimant ? claim.claimant : CONTESTED_CLAIMANT;
            const attempts = mergeAttempts(known?.attempts ?? [], claim.attempts);
            this.claims.set(key, { claim: { ...claim, claimant, attempts }, expiresAtMs: nowMs + remainingMs });
        });
        this.copiedFrom.add(fromVm);
    }

    /** Removes expired claims. */
    removeExpired(nowMs: number): void {
        for (const [key, stored] of this.claims) {
            if (stored.expiresAtMs > nowMs) {
                return;
            }
            this.claims.delete(key);
        }
    }

    private hasAllClaims(
        selectSet: (pool: Roster["witnesses"]) => Roster["witnesses"],
        roster: Roster,
        retentionMs: number,
        nowMs: number,
    ): boolean {
        const sets = [roster.witnesses, roster.previous].map(selectSet).filter((set) => set.some((witness) => witness.vm === this.vm));
        const haveLostClaimsExpired = nowMs - this.startedAtMs >= retentionMs;
        return sets.length > 0 && (haveLostClaimsExpired || sets.every((set) => this.hasClaimsOf(set)));
    }

    private hasClaimsOf(set: Roster["witnesses"]): boolean {
        const own = set.find((witness) => witness.vm === this.vm);
        const others = set.filter((witness) => witness.vm !== this.vm);
        const copied = others.filter((witness) => this.copiedFrom.has(witness.vm));
        return own?.incarnation === this.incarnation || (others.length > 0 && copied.length >= majorityOf(others.length));
    }

    private handleClaim(key: string, claim: Claim, voided: readonly string[], retentionMs: number, nowMs: number): WitnessReply {
        const current = this.activeClaim(key, nowMs);
        const isFreeOrOwn = current === undefined || current.claimant === claim.claimant;
        const isVoid = current?.attempts.every((attempt) => voided.includes(attemptKey(attempt.id))) === true && current.digest === claim.digest;
        if (!isFreeOrOwn && !isVoid) {
            return { kind: WitnessReplyKind.Held, claim: current };
        }
        const unvoidedAttempts = (current?.attempts ?? []).filter((attempt) => !voided.includes(attemptKey(attempt.id)));
        const attempts = mergeAttempts(unvoidedAttempts, claim.attempts);
        this.claims.delete(key);
        this.claims.set(key, { claim: { ...claim, attempts }, expiresAtMs: nowMs + retentionMs });
        return { kind: WitnessReplyKind.Granted };
    }

    private activeClaim(key: string, nowMs: number): Claim | undefined {
        const stored = this.claims.get(key);
        return stored !== undefined && stored.expiresAtMs > nowMs ? stored.claim : undefined;
    }
}

function mergeAttempts(left: Claim["attempts"], right: Claim["attempts"]): Claim["attempts"] {
    const known = new Set(left.map((attempt) => attemptKey(attempt.id)));
    return [...left, ...right.filter((attempt) => !known.has(attemptKey(attempt.id)))];
}
