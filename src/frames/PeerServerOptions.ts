import { StartWaits } from "../starts/StartWaits/index.js";
import { RefusalListener } from "../logs/RefusalListener.js";

/** Settings of a `PeerServer`. */
export interface PeerServerOptions {
    readonly host: string;
    readonly port: number;
    /** Name of the setting for the port, used in error messages. */
    readonly name: string;
    /** Maximum size of a frame. */
    readonly maxFrameBytes: number;
    /** Returns whether a connection with this `Authorization` may open a WebSocket. */
    readonly isAuthorized: (authorization: string | undefined) => boolean;
    /** Called each time a connection is closed because of a limit. */
    readonly recordRefusal: RefusalListener;
    /** Called when a connection cannot be accepted. */
    readonly onError: (error: Error) => void;
    /** Waits for a port that is held; without it, that is an error. */
    readonly waits?: StartWaits;
}
