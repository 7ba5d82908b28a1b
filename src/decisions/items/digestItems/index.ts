import { crc32 } from "node:zlib";
import { mixBits } from "../../../model/mixBits/index.js";
import { bucketOfItem } from "../bucketOfItem/index.js";
import { ITEM_BUCKET_COUNT } from "../itemBucketCount.js";
import { VersionedItem } from "../VersionedItem.js";

/**
 * Digests the keys and versions of items, so that two processes find which items they do not have in common without sending all.
 *
 * @param items - Items with different keys.
 * @returns One unsigned 32-bit integer for each bucket of items; 0 for an empty bucket.
 * @example
 * digestItems([]); // 64 zeros
 */
export function digestItems(items: readonly VersionedItem[]): readonly number[] {
    const digests = new Array<number>(ITEM_BUCKET_COUNT).fill(0);
    items.forEach(({ key, version }) => {
        const bucket = bucketOfItem(key);
        digests[bucket] = ((digests[bucket] ?? 0) + mixBits(crc32(`${key}@${version}`))) >>> 0;
    });
    return digests;
}
