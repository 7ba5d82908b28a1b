import { ConfigurationVersion } from "../../model/ConfigurationVersion.js";
import { ManifestDelta } from "./ManifestDelta.js";

/** One accepted change of the configuration: the unit of the log. */
export interface AcceptedChange {
    readonly position: ConfigurationVersion;
    /** Identity that the operator gave the change; a resend carries the same one. */
    readonly changeId: string;
    readonly delta: ManifestDelta;
}
