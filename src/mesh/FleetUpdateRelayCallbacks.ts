import { RefusalListener } from "../logs/RefusalListener.js";
import { Message } from "../links/Message.js";

/** Functions of a control VM that `FleetUpdateRelay` needs. */
export interface FleetUpdateRelayCallbacks {
    /** Sends a message to a linked VM. */
    send(vm: string, message: Message): void;
    /** Returns the names of the other live control VMs. */
    peers(): readonly string[];
    /** Called when there is no room for the records of further proxies. */
    readonly recordRefusal: RefusalListener;
}
