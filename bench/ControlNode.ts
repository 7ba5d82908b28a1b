import { LocalProcess } from "./LocalProcess/index.js";

/** A control VM of a local fleet. */
export interface ControlNode {
    readonly name: string;
    readonly operatorAddress: string;
    readonly linkAddress: string;
    readonly settingsFile: string;
    readonly dataFolder: string;
    process: LocalProcess;
}
