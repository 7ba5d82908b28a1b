import { Item } from "./Item.js";

/** One version of a configuration item. */
export interface VersionedItem {
    /** Kind and name, unique among the items. */
    readonly key: string;
    readonly version: number;
    /** Content, or undefined if this version removes the item. */
    readonly content: Item | undefined;
    /** Canonical text of the item as it was submitted; empty if it was removed or is not kept here. */
    readonly document: string;
}
