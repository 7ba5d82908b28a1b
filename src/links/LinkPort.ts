import { Message } from "./Message.js";
import { PeerIdentity } from "./PeerIdentity.js";

/** An open link to a peer, as the controllers see it. */
export interface LinkPort {
    readonly peer: PeerIdentity;
    /** Sends a message; lost if the link breaks. */
    send(message: Message): void;
    /** Closes the link. */
    close(): void;
}
