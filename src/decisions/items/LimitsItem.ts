import { ItemKind } from "./ItemKind.js";

/** Limits on callers: sizes of headers and bodies, and timeouts. */
export interface LimitsItem {
    readonly kind: ItemKind.Limits;
    readonly name: string;
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}
