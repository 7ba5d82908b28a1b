import { Manifest } from "./Manifest.js";

/** An operator's request to put a manifest in force. */
export interface ApplyRequest {
    readonly changeId: string;
    /** Manifest version on which the operator based the manifest. */
    readonly basedOnVersion: number;
    readonly manifest: Manifest;
}
