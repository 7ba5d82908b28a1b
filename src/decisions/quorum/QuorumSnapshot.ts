import { ConfigurationVersion } from "../../model/ConfigurationVersion.js";
import { ManifestPart } from "../configuration/ManifestPart.js";
import { RetainedChange } from "./RetainedChange.js";

/** State of the replicated log up to an entry, which the entries up to there can be replaced by. */
export interface QuorumSnapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly voters: readonly string[];
    readonly position: ConfigurationVersion;
    readonly parts: readonly ManifestPart[];
    /** Outcomes of the latest changes, for operators who send one again. */
    readonly retained: readonly RetainedChange[];
}
