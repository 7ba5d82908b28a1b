import { LinkBytes } from "../links/LinkBytes.js";
import { LatencySummary } from "../metrics/LatencySummary.js";
import { ConfigurationVersion } from "../model/ConfigurationVersion.js";
import { MemberState } from "../model/MemberState.js";
import { Role } from "../model/Role.js";
import { MemberStatus } from "./MemberStatus.js";

/** Status of a process, as returned by the operator API. */
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
    /** Requests of callers in flight. */
    readonly inFlight: number;
    /** Number of completed requests by outcome. */
    readonly outcomes: Readonly<Record<string, number>>;
    readonly latencies: readonly LatencySummary[];
    readonly invariantViolations: number;
    readonly memoryBytes: number;
    /** CPU time used since the start of the process, in ms. */
    readonly processorMs: number;
}
