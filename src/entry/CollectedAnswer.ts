import { ReadyAnswer } from "./ReadyAnswer.js";

/** An answer that has been read into memory. */
export interface CollectedAnswer {
    readonly answer: ReadyAnswer;
    /** Whether its length and digest match its header fields. */
    readonly isIntact: boolean;
}
