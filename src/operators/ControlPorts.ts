import { ApplyDecision } from "../decisions/configuration/ApplyDecision.js";
import { ControlStatus } from "./ControlStatus.js";

/** What the operators' interface may ask of the control role. */
export interface ControlPorts {
    status(): ControlStatus;
    /** Makes the VM the only voter of a new log. */
    bootstrap(): Promise<void>;
    /** Adds a control VM to the voters or removes one, by identity or VM name. */
    changeVoters(name: string, add: boolean): Promise<void>;
    /** Decides an apply request. */
    apply(text: string, fileName: string, basedOnVersion: number, changeId: string): Promise<ApplyDecision>;
}
