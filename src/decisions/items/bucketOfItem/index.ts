import { crc32 } from "node:zlib";
import { mixBits } from "../../../model/mixBits/index.js";
import { ITEM_BUCKET_COUNT } from "../itemBucketCount.js";

/**
 * Returns the bucket of an item, by which processes compare what they hold.
 *
 * @param key - Key of the item.
 * @returns Index from 0 up to, but not including, 64.
 * @example
 * bucketOfItem("service/s");
 */
export function bucketOfItem(key: string): number {
    return mixBits(crc32(key)) % ITEM_BUCKET_COUNT;
}
