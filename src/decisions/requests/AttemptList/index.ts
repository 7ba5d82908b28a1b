import { AttemptId } from "../../../model/AttemptId.js";
import { GateRef } from "../../../model/GateRef.js";
import { Outcome } from "../../../model/Outcome.js";
import { attemptKey } from "../../gate/attemptKey/index.js";
import { AttemptProgress } from "../AttemptProgress.js";
import { TrackedAttempt } from "../TrackedAttempt.js";

/** The attempts of one request, and the outcome that follows from their progress. */
export class AttemptList {
    private readonly attempts: TrackedAttempt[] = [];

    private constructor() {}

    /** Creates an empty list. */
    static create(): AttemptList {
        return new AttemptList();
    }

    /** Adds an attempt that this request makes. */
    addOwn(id: AttemptId, gate: GateRef, isResumption: boolean, progress: AttemptProgress): TrackedAttempt {
        return this.add({ id, gate, isResumption, progress, isFromEarlierRequest: false, finishedVerdictCount: 0, isAnswerRequested: false });
    }

    /** Adds an attempt of an earlier request with the same idempotency key, whose answer is being fetched. */
    addFromEarlierRequest(id: AttemptId, gate: GateRef): TrackedAttempt {
        return this.add({
            id,
            gate,
            isResumption: false,
            progress: AttemptProgress.Fetching,
            isFromEarlierRequest: true,
            finishedVerdictCount: 0,
            isAnswerRequested: true,
        });
    }

    /** Finds an attempt by its id. */
    find(id: AttemptId): TrackedAttempt | undefined {
        return this.attempts.find((attempt) => attemptKey(attempt.id) === attemptKey(id));
    }

    /** Number of attempts. */
    get size(): number {
        return this.attempts.length;
    }

    /** Ids of the attempts that this request made. */
    get ownIds(): readonly AttemptId[] {
        return this.attempts.filter((attempt) => !attempt.isFromEarlierRequest).map((attempt) => attempt.id);
    }

    /** Gates of all attempts. */
    get gates(): readonly GateRef[] {
        return this.attempts.map((attempt) => attempt.gate);
    }

    /** Attempts that have neither been abandoned nor found not to have run. */
    get open(): readonly TrackedAttempt[] {
        return this.attempts.filter((attempt) => this.isOpen(attempt));
    }

    /** True if the answer of an attempt is being delivered or resumed. */
    get isDelivering(): boolean {
        return this.attempts.some((attempt) => attempt.progress === AttemptProgress.Delivering || attempt.isResumption);
    }

    /** True if it is known that no attempt ran or will run. */
    get isKnownNotRun(): boolean {
        return this.attempts.every((attempt) => attempt.progress === AttemptProgress.NotRun);
    }

    /** Outcome to report to the caller if there is no answer. */
    get outcome(): Outcome {
        return this.isKnownNotRun ? Outcome.NotRun : Outcome.Unknown;
    }

    /** Tells whether an attempt may still yield an answer or a verdict. */
    isOpen(attempt: TrackedAttempt): boolean {
        return attempt.progress !== AttemptProgress.NotRun && attempt.progress !== AttemptProgress.Abandoned;
    }

    /** Tells whether the answer of another attempt is being delivered. */
    isAnotherDelivering(attempt: TrackedAttempt): boolean {
        return this.attempts.some((other) => other !== attempt && other.progress === AttemptProgress.Delivering);
    }

    private add(attempt: TrackedAttempt): TrackedAttempt {
        this.attempts.push(attempt);
        return attempt;
    }
}
