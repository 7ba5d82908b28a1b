import { DiskProfileKind } from "./DiskProfileKind.js";

/** Sync times of a simulated disk. A disk that stalls is hung for some time. */
export type DiskProfile =
    | { readonly kind: DiskProfileKind.Steady; readonly syncMs: number }
    | { readonly kind: DiskProfileKind.Uneven; readonly syncMs: number; readonly slowSyncMs: number; readonly slowShare: number }
    | { readonly kind: DiskProfileKind.Hung };
