import { QuorumSnapshot } from "./QuorumSnapshot.js";

/** Snapshot of a log without entries and voters. */
export const emptySnapshot: QuorumSnapshot = {
    lastIndex: 0,
    lastTerm: 0,
    voters: [],
    position: { term: 0, version: 0, manifestVersion: 0 },
    parts: [],
    items: [],
    retained: [],
};
