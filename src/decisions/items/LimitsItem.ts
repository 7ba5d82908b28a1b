import { ItemKind } from "./ItemKind.js";

/** What callers may send, and how long they may take or stay idle. */
export interface LimitsItem {
    readonly kind: ItemKind.Limits;
    readonly name: string;
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}
