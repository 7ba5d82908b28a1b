import { Item } from "./Item.js";

/** One version of a configuration item. */
export interface VersionedItem {
    /** Kind and name, unique among the items. */
    readonly key: string;
    readonly version: number;
    /** Content, or undefined if this version is the tombstone of a removed item. */
    readonly content: Item | undefined;
    /** Canonical text of the submitted item; empty if the item was removed or the text is not stored here. */
    readonly document: string;
}
