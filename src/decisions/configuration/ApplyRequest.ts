import { Manifest } from "./Manifest.js";

/** An operator's request to apply a manifest. */
export interface ApplyRequest {
    readonly changeId: string;
    /** Manifest version that the operator edited. */
    readonly basedOnVersion: number;
    readonly manifest: Manifest;
}
