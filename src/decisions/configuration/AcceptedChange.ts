import { ConfigurationVersion } from "../../model/ConfigurationVersion.js";
import { ManifestDelta } from "./ManifestDelta.js";

/** An accepted configuration change, as stored in one entry of the replicated log. */
export interface AcceptedChange {
    readonly position: ConfigurationVersion;
    /** Identity that the operator gave the change; a retry has the same one. */
    readonly changeId: string;
    readonly delta: ManifestDelta;
}
