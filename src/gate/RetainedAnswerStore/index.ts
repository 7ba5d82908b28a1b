import { RetainedAnswer } from "../RetainedAnswer.js";

const MAX_BYTES = 32 * 1_024 * 1_024;
/** Estimated memory of an answer without its body, in bytes. */
const ANSWER_OVERHEAD_BYTES = 512;
const RETENTION_MS = 3_600_000;

interface StoredAnswer {
    readonly answer: RetainedAnswer;
    readonly atMs: number;
    readonly bytes: number;
}

/** Retains answers to work that must not be repeated, in bounded memory; evicts the oldest first. */
export class RetainedAnswerStore {
    private readonly answers = new Map<string, StoredAnswer>();
    private bytes = 0;

    private constructor() {}

    /** Creates an empty store. */
    static create(): RetainedAnswerStore {
        return new RetainedAnswerStore();
    }

    /** Stores the answer of an attempt and evicts expired and excess answers. */
    put(key: string, answer: RetainedAnswer, nowMs: number): void {
        const bytes = answer.body.length + ANSWER_OVERHEAD_BYTES;
        this.answers.set(key, { answer, atMs: nowMs, bytes });
        this.bytes += bytes;
        for (const [oldest, retained] of this.answers) {
            if (this.bytes <= MAX_BYTES && retained.atMs > nowMs - RETENTION_MS) {
                break;
            }
            this.answers.delete(oldest);
            this.bytes -= retained.bytes;
        }
    }

    /** Returns the answer of an attempt, if it is still retained. */
    get(key: string): RetainedAnswer | undefined {
        return this.answers.get(key)?.answer;
    }
}
