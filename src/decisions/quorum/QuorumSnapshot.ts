import { ConfigurationVersion } from "../../model/ConfigurationVersion.js";
import { ManifestPart } from "../configuration/ManifestPart.js";
import { VersionedItem } from "../items/VersionedItem.js";
import { RetainedChange } from "./RetainedChange.js";

/** State of the replicated log up to an entry, which the entries up to there can be replaced by. */
export interface QuorumSnapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly voters: readonly string[];
    readonly position: ConfigurationVersion;
    readonly parts: readonly ManifestPart[];
    /** Newest versions of the items that have versions of their own, removals included. */
    readonly items: readonly VersionedItem[];
    /** Outcomes of the latest changes, for operators who send one again. */
    readonly retained: readonly RetainedChange[];
}
