/** Rate at which a busy link still carries a large body, in bytes per ms: half of a link of 2.24 Mbit/s. */
export const MIN_LINK_BYTES_PER_MS = 140;
