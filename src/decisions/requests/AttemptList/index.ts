import { AttemptId } from "../../../model/AttemptId.js";
import { GateRef } from "../../../model/GateRef.js";
import { Outcome } from "../../../model/Outcome.js";
import { attemptKey } from "../../gate/attemptKey/index.js";
import { AttemptProgress } from "../AttemptProgress.js";
import { TrackedAttempt } from "../TrackedAttempt.js";

/** The attempts of one request, and what follows from how far each got. */
export class AttemptList {
    private readonly attempts: TrackedAttempt[] = [];

    private constructor() {}

    /** Creates an empty list. */
    static create(): AttemptList {
        return new AttemptList();
    }

    /** Adds an attempt of this request. */
    addOwn(id: AttemptId, gate: GateRef, resume: boolean, progress: AttemptProgress): TrackedAttempt {
        return this.add({ id, gate, resume, progress, foreign: false, finishedVerdicts: 0, fetched: false });
    }

    /** Adds an attempt that an earlier request under the same key made, whose answer is being fetched. */
    addForeign(id: AttemptId, gate: GateRef): TrackedAttempt {
        return this.add({ id, gate, resume: false, progress: AttemptProgress.Fetching, foreign: true, finishedVerdicts: 0, fetched: true });
    }

    /** Finds an attempt by its identity. */
    find(id: AttemptId): TrackedAttempt | undefined {
        return this.attempts.find((attempt) => attemptKey(attempt.id) === attemptKey(id));
    }

    /** Number of attempts made. */
    get size(): number {
        return this.attempts.length;
    }

    /** Identities of the attempts that this request made. */
    get ownIds(): readonly AttemptId[] {
        return this.attempts.filter((attempt) => !attempt.foreign).map((attempt) => attempt.id);
    }

    /** Gates of all attempts. */
    get gates(): readonly GateRef[] {
        return this.attempts.map((attempt) => attempt.gate);
    }

    /** Attempts of which something is still expected. */
    get open(): readonly TrackedAttempt[] {
        return this.attempts.filter((attempt) => this.isOpen(attempt));
    }

    /** True if the answer of an attempt is being delivered, or continued. */
    get isDelivering(): boolean {
        return this.attempts.some((attempt) => attempt.progress === AttemptProgress.Delivering || attempt.resume);
    }

    /** True if no attempt ran or ever will. */
    get allNotRun(): boolean {
        return this.attempts.every((attempt) => attempt.progress === AttemptProgress.NotRun);
    }

    /** What the caller may conclude if no answer comes. */
    get outcome(): Outcome {
        return this.allNotRun ? Outcome.NotRun : Outcome.Unknown;
    }

    /** Tells whether something is still expected of an attempt. */
    isOpen(attempt: TrackedAttempt): boolean {
        return attempt.progress !== AttemptProgress.NotRun && attempt.progress !== AttemptProgress.Lost;
    }

    /** Tells whether the answer of another attempt than this one is being delivered. */
    isOtherDelivering(attempt: TrackedAttempt): boolean {
        return this.attempts.some((other) => other !== attempt && other.progress === AttemptProgress.Delivering);
    }

    private add(attempt: TrackedAttempt): TrackedAttempt {
        this.attempts.push(attempt);
        return attempt;
    }
}
