import { ApplyDecision } from "../decisions/configuration/ApplyDecision.js";
import { LogFields } from "../logs/LogFields.js";
import { DaemonStatus } from "./DaemonStatus.js";
import { EndpointStatus } from "./EndpointStatus.js";

/** What the operators' interface may ask of the process. */
export interface OperatorPorts {
    status(): DaemonStatus;
    endpoints(): readonly EndpointStatus[];
    /** Retained events with the text in one of their fields, oldest first. */
    explain(text: string): readonly LogFields[];
    /** Begins to drain the process and all endpoints on its VM, or one endpoint. */
    drain(endpointId: string | undefined): boolean;
    /** Decides an apply request; undefined on a process without the control role. */
    apply: ((text: string, fileName: string, basedOnVersion: number, changeId: string) => Promise<ApplyDecision>) | undefined;
}
