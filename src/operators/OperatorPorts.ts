import { LogFields } from "../logs/LogFields.js";
import { ControlPorts } from "./ControlPorts.js";
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
    /** Undefined on a process without the control role. */
    readonly control: ControlPorts | undefined;
}
