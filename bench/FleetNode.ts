import { LocalProcess } from "./LocalProcess/index.js";

/** A VM of a local fleet: a proxy and the stand-in backend server next to it. */
export interface FleetNode {
    readonly name: string;
    readonly endpointId: string;
    readonly callerAddress: string;
    readonly operatorAddress: string;
    readonly standInAddress: string;
    readonly settingsFile: string;
    /** Command line arguments of the stand-in backend server. */
    readonly standInArguments: readonly string[];
    proxy: LocalProcess;
    standIn: LocalProcess;
}
