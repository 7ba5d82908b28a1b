import { LinkBytes } from "../links/LinkBytes.js";
import { LatencySummary } from "../metrics/LatencySummary.js";
import { ConfigurationVersion } from "../model/ConfigurationVersion.js";
import { MemberState } from "../model/MemberState.js";
import { Role } from "../model/Role.js";
import { MemberStatus } from "./MemberStatus.js";

/** What a process says of itself. */
export interface DaemonStatus {
    readonly vm: string;
    readonly failureDomain: string;
    readonly roles: readonly Role[];
    readonly incarnation: string;
    readonly state: MemberState;
    readonly configuration: ConfigurationVersion;
    /** True once a proxy serves callers; always true without the proxy role. */
    readonly ready: boolean;
    readonly links: readonly string[];
    readonly linkBytes: LinkBytes;
    readonly members: readonly MemberStatus[];
    /** Requests of callers being worked on. */
    readonly inFlight: number;
    /** Requests that ended, by outcome. */
    readonly outcomes: Readonly<Record<string, number>>;
    readonly latencies: readonly LatencySummary[];
    readonly invariantViolations: number;
    readonly memoryBytes: number;
    /** Processor time used since the start, in ms. */
    readonly processorMs: number;
}
