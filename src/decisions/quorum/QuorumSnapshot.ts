import { ConfigurationVersion } from "../../model/ConfigurationVersion.js";
import { ManifestPart } from "../configuration/ManifestPart.js";
import { VersionedItem } from "../items/VersionedItem.js";
import { RetainedChange } from "./RetainedChange.js";

/** State after applying the log up to and including entry `lastIndex`. It replaces these entries. */
export interface QuorumSnapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly voters: readonly string[];
    readonly position: ConfigurationVersion;
    readonly parts: readonly ManifestPart[];
    /** Latest versions of the configuration items, including tombstones of removed items. */
    readonly items: readonly VersionedItem[];
    /** Results of the latest changes, which make retries by operators idempotent. */
    readonly retained: readonly RetainedChange[];
}
