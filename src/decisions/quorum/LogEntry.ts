import { AcceptedChange } from "../configuration/AcceptedChange.js";
import { VersionedItem } from "../items/VersionedItem.js";
import { EntryKind } from "./EntryKind.js";

/** One entry of the replicated log. */
export type LogEntry = {
    /** Position in the log; the first entry has index 1. */
    readonly index: number;
    /** Term of the leader that created the entry. */
    readonly term: number;
} & (
    | { readonly kind: EntryKind.Barrier }
    | { readonly kind: EntryKind.Voters; readonly voters: readonly string[] }
    | { readonly kind: EntryKind.Change; readonly change: AcceptedChange }
    | { readonly kind: EntryKind.Items; readonly proposal: string; readonly changes: readonly VersionedItem[] }
);
