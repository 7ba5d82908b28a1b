import { ApplyDecision } from "../decisions/configuration/ApplyDecision.js";
import { ControlStatus } from "./ControlStatus.js";

/** Operations of the control role that the operator API exposes. */
export interface ControlHandlers {
    /** Returns the state of the quorum. */
    status(): ControlStatus;
    /** Starts a new log with this VM as its only voter. */
    bootstrap(): Promise<void>;
    /** Adds a control VM to the voters or removes one; `name` is its identity or VM name. */
    changeVoters(name: string, shouldAdd: boolean): Promise<void>;
    /** Validates a manifest and decides whether to accept it. */
    apply(text: string, fileName: string, basedOnVersion: number, changeId: string): Promise<ApplyDecision>;
}
