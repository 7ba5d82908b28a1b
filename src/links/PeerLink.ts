import { Message } from "./Message.js";
import { PeerIdentity } from "./PeerIdentity.js";

/** An open link to a peer, as the controllers use it. */
export interface PeerLink {
    readonly peer: PeerIdentity;
    /** Sends a message; it is lost if the link fails. */
    send(message: Message): void;
    /** Closes the link. */
    close(): void;
}
