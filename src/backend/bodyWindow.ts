/**
 * Bytes of a body that its source may be ahead of its reader, and above which a response is passed on in pieces: at 10 ms between
 * failure domains it allows 25 MB/s, and a hundred stalled readers hold 25 MB.
 */
export const BODY_WINDOW_BYTES = 256 * 1_024;
