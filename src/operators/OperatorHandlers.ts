import { LogFields } from "../logs/LogFields.js";
import { ControlHandlers } from "./ControlHandlers.js";
import { DaemonStatus } from "./DaemonStatus.js";
import { EndpointStatus } from "./EndpointStatus.js";

/** Operations of a process that the operator API exposes. */
export interface OperatorHandlers {
    /** Returns the status of the process. */
    status(): DaemonStatus;
    /** Lists the endpoints known to the process. */
    endpoints(): readonly EndpointStatus[];
    /** Returns the recent events that contain the text in one of their fields, oldest first. */
    explain(text: string): readonly LogFields[];
    /**
     * Starts draining one endpoint, or all endpoints on the VM if no endpoint is given.
     *
     * @returns False if the endpoint is not on this VM.
     */
    drain(endpointId: string | undefined): boolean;
    /** Operations of the control role; undefined on a process without it. */
    readonly control: ControlHandlers | undefined;
}
