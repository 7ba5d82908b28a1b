import { bucketOfItem } from "../bucketOfItem/index.js";
import { digestItems } from "../digestItems/index.js";
import { VersionedItem } from "../VersionedItem.js";

/**
 * Selects the items that another process may not have.
 *
 * @param items - Items of this process.
 * @param digests - Digests of the items of the other process, as it has sent them.
 * @returns The items in the buckets whose digests differ.
 * @example
 * selectDifferingItems(items, digestItems([])); // all items
 */
export function selectDifferingItems(items: readonly VersionedItem[], digests: readonly unknown[]): readonly VersionedItem[] {
    const own = digestItems(items);
    return items.filter(({ key }) => own[bucketOfItem(key)] !== digests[bucketOfItem(key)]);
}
