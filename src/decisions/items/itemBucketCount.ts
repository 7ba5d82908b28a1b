/** Number of buckets of `digestItems`. After one change, one in 64 items is in a bucket that differs. */
export const ITEM_BUCKET_COUNT = 64;
