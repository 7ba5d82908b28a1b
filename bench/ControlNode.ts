import { LocalProcess } from "./LocalProcess/index.js";

/** A control VM of a local fleet, with its addresses, files and process. */
export interface ControlNode {
    readonly name: string;
    readonly operatorAddress: string;
    readonly linkAddress: string;
    readonly settingsFile: string;
    readonly dataFolder: string;
    process: LocalProcess;
}
