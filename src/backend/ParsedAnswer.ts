import { BackendAnswer } from "./BackendAnswer.js";

/** A whole answer and whether the connection may be used after it. */
export interface ParsedAnswer extends BackendAnswer {
    readonly keepsAlive: boolean;
}
