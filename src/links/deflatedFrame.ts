/** First byte of a compressed frame; no frame in MessagePack begins with it. */
export const DEFLATED_FRAME = 0xC1;
